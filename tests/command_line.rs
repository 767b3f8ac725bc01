//! Exit codes, stdout and stderr of the binary for commands that need no running instance.
#![allow(clippy::unwrap_used)]

use std::fs;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// Subcommands, each with a line on an exit code that its help text has to contain.
const SUBCOMMANDS: [(&str, &str); 11] = [
    ("run", "143 a second signal (TERM) ended the stop"),
    ("drain", "0 the instance drains, or with --undrain no longer does"),
    ("check", "1 the folder has problems or cannot be read"),
    ("diff", "0 the differences are printed, or there are none"),
    ("status", "0 the answer is printed"),
    ("targets", "0 the answer is printed"),
    ("peers", "0 the answer is printed"),
    ("promises", "0 the answer is printed"),
    ("audit", "0 the trail is printed and, with --verify, its chain holds"),
    ("explain", "1 the instance was not reached or refused; stderr says why"),
    ("timeline", "1 no line tells of the flow, or a file cannot be read"),
];
/// A valid configuration.
const VALID: &str = "\
[domain rosario]
region = ar-centro
[domain cordoba]
region = ar-centro
[service archivo-viajes]
addresses = 127.0.8.1:443
[defaults target]
service = archivo-viajes
[target av-1]
domain = rosario
endpoint = 127.0.3.1:9000
[target av-2]
domain = cordoba
endpoint = 127.0.3.2:9000
";

fn mustardway(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_mustardway")).args(arguments).output().unwrap()
}

/// Creates an empty folder for the test `name`.
fn create_folder(name: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("command_line").join(name);
    if path.exists() {
        fs::remove_dir_all(&path).unwrap();
    }
    fs::create_dir_all(&path).unwrap();
    path
}

/// Creates a folder with `files` for the test `name`.
fn create_folder_with(name: &str, files: &[(&str, &[u8])]) -> PathBuf {
    let path = create_folder(name);
    for (file, content) in files {
        fs::write(path.join(file), content).unwrap();
    }
    path
}

fn stdout(output: &Output) -> &str {
    str::from_utf8(&output.stdout).unwrap()
}

fn stderr(output: &Output) -> &str {
    str::from_utf8(&output.stderr).unwrap()
}

/// Checks that `mustardway check` rejects the folder and prints exactly `lines`.
fn assert_check_rejects(path: &Path, lines: &[&str]) {
    let output = mustardway(&["check", path.to_str().unwrap()]);
    let wanted: String = lines.iter().map(|line| format!("mustardway: {line}\n")).collect();
    assert_eq!(stderr(&output), wanted);
    assert_eq!(stdout(&output), "");
    assert_eq!(output.status.code(), Some(1));
}

#[test]
fn help_lists_each_subcommand_and_exit_code() {
    let all = mustardway(&["--help"]);
    assert_eq!(all.status.code(), Some(0));
    for (name, code) in SUBCOMMANDS {
        assert!(stdout(&all).contains(&format!("\n  {name} ")), "{name}");
        let one = mustardway(&[name, "--help"]);
        assert_eq!(one.status.code(), Some(0), "{name}");
        assert!(stdout(&one).contains(code), "{name}: {}", stdout(&one));
    }
}

#[test]
fn malformed_command_lines_fail() {
    for arguments in [&["fly"][..], &["status"], &["check", "a", "b"], &["status", "--admin", "x"]]
    {
        let output = mustardway(arguments);
        assert_eq!(output.status.code(), Some(1), "{arguments:?}");
        assert_eq!(stdout(&output), "", "{arguments:?}");
        assert_ne!(stderr(&output), "", "{arguments:?}");
    }
}

#[test]
fn valid_folder_is_summarized() {
    let path = create_folder_with("good", &[("10-all.ini", VALID.as_bytes())]);
    let output = mustardway(&["check", path.to_str().unwrap()]);
    assert_eq!(stderr(&output), "");
    assert_eq!(
        stdout(&output),
        "service         addresses  targets  open targets  open slots\n\
         archivo-viajes  1          2        2             4\n"
    );
    assert_eq!(output.status.code(), Some(0));
}

#[test]
fn empty_folder_is_rejected() {
    assert_check_rejects(
        &create_folder("empty"),
        &["folder: no files: at least one file ending in .ini is needed"],
    );
}

#[test]
fn absent_folder_is_reported() {
    let path = create_folder("absent").join("nothing");
    let output = mustardway(&["check", path.to_str().unwrap()]);
    assert!(stderr(&output).contains("folder cannot be read"), "{}", stderr(&output));
    assert_eq!(stderr(&output).lines().count(), 1);
    assert_eq!(output.status.code(), Some(1));
}

#[test]
fn duplicate_section_is_rejected() {
    let text = format!("{VALID}[domain rosario]\nstate = out\n");
    let path = create_folder_with("duplicate", &[("10-all.ini", text.as_bytes())]);
    assert_check_rejects(
        &path,
        &["10-all.ini:15: [domain rosario] section given twice in one file: first on line 1"],
    );
}

#[test]
fn file_that_is_not_utf8_is_rejected() {
    let files: [(&str, &[u8]); 2] =
        [("10-all.ini", VALID.as_bytes()), ("20-latin.ini", b"; Fr\xedo\n")];
    assert_check_rejects(
        &create_folder_with("encoding", &files),
        &["20-latin.ini: byte 4 is not UTF-8: allowed is UTF-8 text"],
    );
}

#[test]
fn oversized_file_is_rejected() {
    let long = vec![b'#'; (1 << 20) + 1];
    let files: [(&str, &[u8]); 2] = [("10-all.ini", VALID.as_bytes()), ("20-long.ini", &long)];
    assert_check_rejects(
        &create_folder_with("oversized", &files),
        &["20-long.ini: 1048577 bytes: allowed are at most 1048576"],
    );
}

#[test]
fn service_without_targets_is_rejected() {
    let extra = "[service central-reservas]\naddresses = 127.0.8.2:443\n";
    let files: [(&str, &[u8]); 2] =
        [("10-all.ini", VALID.as_bytes()), ("20-more.ini", extra.as_bytes())];
    assert_check_rejects(
        &create_folder_with("no_targets", &files),
        &[
            "20-more.ini:1: [service central-reservas] no target serves this service: at least one is \
           needed",
        ],
    );
}

#[test]
fn address_of_two_services_is_rejected() {
    let extra = "[service other]\naddresses = 127.0.8.1:443\n\
                 [target o-1]\nservice = other\ndomain = rosario\nendpoint = 127.0.3.9:9000\n";
    let files: [(&str, &[u8]); 2] =
        [("10-all.ini", VALID.as_bytes()), ("20-more.ini", extra.as_bytes())];
    assert_check_rejects(
        &create_folder_with("address_twice", &files),
        &[
            "20-more.ini:2: [service other] addresses: address 127.0.8.1:443 is given twice: first at \
           10-all.ini:6",
        ],
    );
}

#[test]
fn target_without_existing_domain_is_rejected() {
    let extra = "[target av-3]\nendpoint = 127.0.3.3:9000\n\
                 [target av-4]\ndomain = mendoza\nendpoint = 127.0.3.4:9000\n";
    let files: [(&str, &[u8]); 2] =
        [("10-all.ini", VALID.as_bytes()), ("20-more.ini", extra.as_bytes())];
    assert_check_rejects(
        &create_folder_with("no_domain", &files),
        &[
            "20-more.ini:1: [target av-3] domain: missing: it has no default and must be given",
            "20-more.ini:4: [target av-4] domain: no failure domain 'mendoza': allowed is one with \
             its own section",
        ],
    );
}

#[test]
fn repeated_removal_is_rejected() {
    let removal = b"[remove target av-2]\n";
    let anew = b"[target av-2]\ndomain = rosario\nendpoint = 127.0.3.2:9000\n";
    let files: [(&str, &[u8]); 4] = [
        ("10-all.ini", VALID.as_bytes()),
        ("20-out.ini", removal),
        ("30-in.ini", anew),
        ("40-out.ini", removal),
    ];
    assert_check_rejects(
        &create_folder_with("removal_loop", &files),
        &[
            "40-out.ini:1: [remove target av-2] removed a second time, first at 20-out.ini:1: allowed \
           is one removal of each item",
        ],
    );
}

#[test]
fn diff_lists_changes_and_touched_items() {
    let old = create_folder_with("diff_old", &[("10-all.ini", VALID.as_bytes())]);
    let out = b"[domain cordoba]\nstate = out\n";
    let files: [(&str, &[u8]); 2] = [("10-all.ini", VALID.as_bytes()), ("50-out.ini", out)];
    let new = create_folder_with("diff_new", &files);
    let (old, new) = (old.to_str().unwrap(), new.to_str().unwrap());
    let output = mustardway(&["diff", new, "--against", old]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    assert!(stdout(&output).starts_with("failure domain cordoba taken out\n"));
    assert!(
        stdout(&output).contains("\ntargets touched: 0\nfailure domains touched: cordoba\n"),
        "{}",
        stdout(&output)
    );
    let output = mustardway(&["diff", new, "--against", new]);
    assert_eq!(stdout(&output), "nothing changes\n");
    let output = mustardway(&["diff", new]);
    assert_eq!(output.status.code(), Some(1));
    assert!(stderr(&output).contains("--admin or --against"), "{}", stderr(&output));
}

#[test]
fn invalid_settings_are_all_reported() {
    let text = "[instance]\nname = e1\nfront = 127.0.0.1:1\npeer = 127.0.0.1:1\nspeed = 9\n";
    let path = create_folder_with("settings", &[("e1.ini", text.as_bytes())]).join("e1.ini");
    let output = mustardway(&["run", "--settings", path.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(1));
    assert_eq!(stdout(&output), "");
    for part in [
        "[instance] speed: unknown key: allowed are",
        "[instance] domain: missing",
        "[platform] addresses: missing",
    ] {
        assert!(stderr(&output).contains(part), "{part}: {}", stderr(&output));
    }
    let absent = path.with_file_name("absent.ini");
    let output = mustardway(&["run", "--settings", absent.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(1));
    assert!(stderr(&output).starts_with("mustardway: cannot read "), "{}", stderr(&output));
}

#[test]
fn unreachable_instance_is_reported() {
    // The listener is dropped at once, so nothing listens on its port.
    let address = TcpListener::bind("127.0.7.1:0").unwrap().local_addr().unwrap().to_string();
    for arguments in [
        &["status"][..],
        &["targets"],
        &["peers"],
        &["promises"],
        &["audit", "--verify"],
        &["drain"],
        &["explain", "aa", "--address", "127.0.8.1:443"],
    ] {
        let mut all = arguments.to_vec();
        all.extend(["--admin", &address]);
        let output = mustardway(&all);
        assert_eq!(output.status.code(), Some(1), "{arguments:?}");
        assert_eq!(
            stderr(&output),
            format!(
                "mustardway: the administration API at {address} cannot be reached: is the \
                 instance running?\n"
            )
        );
        assert_eq!(stdout(&output), "", "{arguments:?}");
    }
}

#[test]
fn invalid_token_options_are_rejected() {
    let path = create_folder_with("token", &[("token", b"short\n")]).join("token");
    let (path, admin) = (path.to_str().unwrap(), "127.0.0.1:1");
    let output = mustardway(&["status", "--admin", admin, "--token-file", path, "--token", "x"]);
    assert_eq!(stderr(&output), "mustardway: give either --token or --token-file\n");
    let output = mustardway(&["status", "--admin", admin, "--token-file", path]);
    assert_eq!(
        stderr(&output),
        "mustardway: a token of 5 bytes: a token is 16 to 256 visible ASCII characters\n"
    );
    assert_eq!(output.status.code(), Some(1));
}
