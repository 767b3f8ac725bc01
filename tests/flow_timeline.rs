//! The `timeline` subcommand, which reconstructs the history of a flow from log files.

use std::path::PathBuf;
use std::process::{Command, Output};

/// Log of instance `a-1`, which takes its name from the file name.
const FIRST: &str = r#"
{"msg":"flow placed","level":"INFO","ts":"2026-03-09T00:57:57.50Z","target":"i-1","flow":"10.9.0.1:1071>198.18.0.1:443","copies":0}
{"msg":"flow placed","level":"INFO","ts":"2026-03-09T00:57:57.60Z","target":"i-2","flow":"10.9.0.2:1000>198.18.0.1:443","copies":0}
{"msg":"target probed","level":"INFO","ts":"2026-03-09T00:57:58.50Z","target":"i-1","outcome":"no answer"}
{"msg":"target probed","level":"INFO","ts":"2026-03-09T00:57:58.51Z","target":"i-3","outcome":"no answer"}
{"msg":"flow reset","level":"INFO","ts":"2026-03-09T00:57:58.67Z","target":"i-1","flow":"10.9.0.1:1071>198.18.0.1:443","reason":"its target no longer answers"}
{"msg":"flow reset","level":"INFO","ts":"2026-03-09T00:57:58.68Z","target":"i-1","flow":"10.9.0.9:1>198.18.0.1:443","reason":"its target no longer answers"}
{"msg":"target lost","level":"WARN","ts":"2026-03-09T00:57:58.67Z","target":"i-1","flows":2}
{"msg":"the platform does not answer","level":"WARN","ts":"2026-03-09T00:50:00Z","failure":"x"}
"#;
/// Log whose lines name their instance before the record; other lines are skipped.
const SECOND: &str = r#"
not a record
  23.2 b-2 {"msg":"target lost","level":"WARN","ts":"2026-03-09T00:57:58.80Z","target":"i-1","flows":0}
  23.9 b-2 {"msg":"started","level":"INFO","ts":"2026-03-09T00:57:59Z"}
"#;

/// Log of an instance that refused flows to one service while another one had become open again.
const REFUSING: &str = r#"
{"msg":"service contended","level":"WARN","ts":"2026-03-09T00:56:00Z","service":"ticker","state":"refusing","offered":30.2,"slots":20.0}
{"msg":"service contended","level":"WARN","ts":"2026-03-09T00:56:30Z","service":"archive","state":"refusing","offered":4.0,"slots":3.0}
{"msg":"service contended","level":"WARN","ts":"2026-03-09T00:56:40Z","service":"archive","state":"open","offered":1.0,"slots":3.0}
{"msg":"flow reset","level":"INFO","ts":"2026-03-09T00:57:50Z","target":"","flow":"10.9.0.7:2000>198.18.0.1:443","reason":"the service is full","age":"90ms"}
{"msg":"flow reset","level":"INFO","ts":"2026-03-09T00:57:51Z","target":"","flow":"10.9.0.8:2000>198.18.0.1:443","reason":"the service is full, and the caller has used up its share","age":"90ms"}
{"msg":"service contended","level":"WARN","ts":"2026-03-09T00:57:53Z","service":"ticker","state":"open","offered":10.0,"slots":20.0}
"#;

/// Runs `timeline` for `caller` on all logs.
fn timeline(test: &str, caller: &str) -> Output {
    let folder: PathBuf =
        std::env::temp_dir().join(format!("mustardway-{}-{test}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("folder can be created");
    for (name, text) in [("a-1.log", FIRST), ("more.log", SECOND), ("c-3.log", REFUSING)] {
        std::fs::write(folder.join(name), text).expect("log file can be written");
    }
    let output = Command::new(env!("CARGO_BIN_EXE_mustardway"))
        .args(["timeline", caller])
        .args([folder.join("a-1.log"), folder.join("more.log"), folder.join("c-3.log")])
        .output()
        .expect("binary can be run");
    std::fs::remove_dir_all(&folder).expect("folder can be removed");
    output
}

#[test]
fn timeline_ends_with_the_reset_and_its_reason() {
    let output = timeline("reset", "10.9.0.1:1071");
    let text = String::from_utf8_lossy(&output.stdout);
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 6, "{text}");
    assert!(lines[0].contains("a-1 flow placed") && lines[0].contains("target=i-1"), "{text}");
    assert!(lines[1].contains("outcome=no answer"), "{text}");
    assert!(lines[4].contains("b-2 target lost"), "{text}");
    assert_eq!(lines[5], "the flow was reset by a-1: its target no longer answers (i-1)");
}

#[test]
fn timeline_without_an_end_says_so() {
    let output = timeline("silent", "10.9.0.2:1000");
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(text.ends_with("the flow was placed at i-2; no line tells of its end\n"), "{text}");
}

/// Guards against a refusal without its cause: the change of the service's load is older than
/// the lines around the flow, and other services and later changes do not explain it.
#[test]
fn timeline_of_a_refused_flow_names_the_load_of_the_full_service() {
    for (caller, reason) in [
        ("10.9.0.7:2000", "the service is full"),
        ("10.9.0.8:2000", "the service is full, and the caller has used up its share"),
    ] {
        let output = timeline(&format!("refused{}", &caller[..8]), caller);
        let text = String::from_utf8_lossy(&output.stdout);
        let lines: Vec<&str> = text.lines().collect();
        assert_eq!(lines.len(), 3, "{text}");
        assert!(lines[0].contains("c-3 service contended offered=30.2 service=ticker"), "{text}");
        assert!(lines[1].contains("c-3 flow reset"), "{text}");
        let conclusion = format!(
            "the flow was refused by c-3 before any target had it: {reason}; ticker had been \
            refusing since 2026-03-09T00:56:00Z with 30.2 offered for 20.0 slots"
        );
        assert_eq!(lines[2], conclusion);
    }
}

#[test]
fn timeline_of_an_unknown_flow_fails() {
    let output = timeline("unknown", "10.9.0.3:1");
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains("no line tells of a flow of 10.9.0.3:1"), "{text}");
}
