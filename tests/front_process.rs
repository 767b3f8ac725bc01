//! The `front` subcommand as a process: reload of its settings file, and its signals.

use std::io::{BufRead, BufReader};
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use rustix::process::{Pid, Signal, kill_process};

/// A packet front process that is killed when the value is dropped.
struct Instance {
    child: Child,
    lines: std::io::Lines<BufReader<std::process::ChildStdout>>,
}

impl Drop for Instance {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Instance {
    fn start(settings: &Path) -> Instance {
        let mut child = Command::new(env!("CARGO_BIN_EXE_mustardway"))
            .args(["front", "--settings"])
            .arg(settings)
            .stdout(Stdio::piped())
            .spawn()
            .expect("binary can be run");
        let output = child.stdout.take().expect("stdout is piped");
        Instance { child, lines: BufReader::new(output).lines() }
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).expect("process is running");
    }

    /// Reads the log up to the first line that contains `text`, and returns that line.
    fn wait_for_line(&mut self, text: &str) -> String {
        for line in self.lines.by_ref() {
            let line = line.expect("log line is UTF-8");
            if line.contains(text) {
                return line;
            }
        }
        panic!("the log ended without {text}");
    }
}

/// Returns settings whose IP address is derived from the process id and `number`, so that tests that
/// run at the same time do not share it.
fn settings(number: u8, more: &str) -> String {
    let [.., third, fourth] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, 80 + number, third, fourth);
    format!(
        "[instance]\nname = a-1\ndomain = a\npackets = {ip}:7000\nready = {ip}:7001\n\
        peer = {ip}:7002\n{more}\n[platform]\naddress = {ip}:7009\n"
    )
}

/// Returns the path of the settings file for the test `name`.
fn settings_path(name: &str) -> PathBuf {
    let file = format!("mustardway-{}-{name}.ini", std::process::id());
    std::env::temp_dir().join(file)
}

#[test]
fn changed_settings_are_reloaded() {
    let path = settings_path("changed");
    std::fs::write(&path, settings(0, "")).expect("settings file can be written");
    let mut instance = Instance::start(&path);
    instance.wait_for_line("\"started\"");
    std::fs::write(&path, settings(0, "seeds = 127.0.0.9:1"))
        .expect("settings file can be written");
    instance.wait_for_line("changed without a signal");
    instance.wait_for_line("changed settings are in force");
    std::fs::write(&path, settings(0, "sedes = x")).expect("settings file can be written");
    instance.signal(Signal::HUP);
    let refused = instance.wait_for_line("settings not taken");
    assert!(refused.contains("sedes"), "{refused}");
    instance.signal(Signal::TERM);
    instance.wait_for_line("\"stopped\"");
    assert_eq!(instance.child.wait().expect("process has exited").code(), Some(0));
    std::fs::remove_file(&path).expect("settings file can be removed");
}

#[test]
fn changed_addresses_need_a_restart() {
    let path = settings_path("addresses");
    std::fs::write(&path, settings(1, "")).expect("settings file can be written");
    let mut instance = Instance::start(&path);
    instance.wait_for_line("\"started\"");
    std::fs::write(&path, settings(1, "").replace(":7009", ":7010"))
        .expect("settings file can be written");
    instance.signal(Signal::HUP);
    instance.wait_for_line("at the next start");
    std::fs::remove_file(&path).expect("settings file can be removed");
}

/// Guards against a process that ends since it is started while its settings file is being
/// written.
#[test]
fn settings_may_be_written_during_a_start() {
    let path = settings_path("written");
    let whole = settings(2, "");
    std::fs::write(&path, "").expect("settings file can be written");
    let mut instance = Instance::start(&path);
    for part in [&whole[..whole.len() / 2], &whole] {
        std::thread::sleep(std::time::Duration::from_millis(100));
        std::fs::write(&path, part).expect("settings file can be written");
    }
    instance.wait_for_line("\"started\"");
    std::fs::remove_file(&path).expect("settings file can be removed");
}
