//! Real instances with a platform that is down at their start, reverts to an older
//! revision, sends malformed answers, or publishes an invalid configuration.

#![allow(clippy::unwrap_used)]

use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU8, Ordering::Relaxed};
use std::thread;
use std::time::Duration;

use mustardway_stand_in::platform::Server;
use mustardway_stand_in::platform::fault::{Faults, Malformed};
use mustardway_stand_in::platform::message::{self, InstanceState};
use serde_json::Value;
use tokio::runtime::Runtime;

/// Number of polls after which a test fails.
const POLLS_MAX: usize = 600;
/// Time between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// A configuration with one target.
const PUBLISHED: &str = "\
[domain rosario]
region = ar-centro
[service archivo-viajes]
addresses = 127.0.8.2:443
[target av-1]
service = archivo-viajes
domain = rosario
endpoint = 127.0.3.3:9000
";
/// A configuration file that adds a target.
const ADDED: &str = "\
[target av-2]
service = archivo-viajes
domain = rosario
endpoint = 127.0.3.4:9000
";
/// A configuration file that is refused, since its service does not exist.
const INVALID: &str = "[target av-3]\nservice = nobody\n";

/// An instance with its addresses, whose process is killed when the value is dropped.
struct Instance {
    name: &'static str,
    front: SocketAddr,
    peer: SocketAddr,
    admin: SocketAddr,
    child: Option<Child>,
}

impl Drop for Instance {
    fn drop(&mut self) {
        let Some(child) = &mut self.child else { return };
        // The process may have exited already.
        let _ = child.kill();
        let _ = child.wait();
    }
}

impl Instance {
    fn new(name: &'static str) -> Self {
        // A port that was free a moment ago may be taken before the instance listens.
        static SECOND_OCTET: AtomicU8 = AtomicU8::new(150);
        let [.., third, fourth] = std::process::id().to_be_bytes();
        let ip = Ipv4Addr::new(127, SECOND_OCTET.fetch_add(1, Relaxed), third, fourth);
        let [front, peer, admin] = [7_001, 7_002, 7_003].map(|port| SocketAddr::from((ip, port)));
        Instance { name, front, peer, admin, child: None }
    }

    fn start(&mut self, platform: SocketAddr) {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("platform_lost");
        fs::create_dir_all(&folder).unwrap();
        let Instance { name, front, peer, admin, .. } = &self;
        let settings = format!(
            "[instance]\nname = {name}\ndomain = rosario\nfront = {front}\npeer = {peer}\n\
             admin = {admin}\n[platform]\naddresses = {platform}\n"
        );
        let file = folder.join(format!("{name}-{}.ini", admin.ip()));
        fs::write(&file, settings).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_mustardway"));
        command.arg("run").arg("--settings").arg(file);
        command.stderr(fs::File::create(self.error_file()).unwrap());
        self.child = Some(command.spawn().unwrap());
    }

    /// Returns the file with the error output of the process.
    fn error_file(&self) -> PathBuf {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("platform_lost");
        folder.join(format!("{}-{}.errors", self.name, self.admin.ip()))
    }

    /// Runs the query and returns its JSON answer, or `None` if there is none yet.
    fn query(&self, query: &str) -> Option<Value> {
        let mut command = Command::new(env!("CARGO_BIN_EXE_mustardway"));
        command.args([query, "--json", "--admin", &self.admin.to_string()]);
        let output = command.output().unwrap();
        serde_json::from_slice(&output.stdout).ok()
    }

    /// Polls until the answer to `query` satisfies `wanted`.
    fn wait_until(&self, query: &str, wanted: impl Fn(&Value) -> bool) {
        for _ in 0..POLLS_MAX {
            if self.query(query).is_some_and(|answer| wanted(&answer)) {
                return;
            }
            thread::sleep(POLL_INTERVAL);
        }
        let errors = fs::read_to_string(self.error_file()).unwrap();
        panic!("{}: {:?}; {errors}", self.name, self.query(query));
    }

    /// Returns the entry of this instance in the platform's list.
    fn list_entry(&self) -> message::Instance {
        message::Instance {
            id: self.name.into(),
            domain: "rosario".into(),
            peer: self.peer,
            state: InstanceState::Live,
        }
    }
}

/// Starts a platform that publishes one file and lists `instances`, and returns it with the runtime
/// that serves it.
fn start_platform(instances: &[Instance]) -> (Runtime, Server) {
    let runtime = Runtime::new().unwrap();
    let server = runtime.block_on(Server::start("127.0.7.5:0".parse().unwrap())).unwrap();
    server.state().put("10-all.ini", PUBLISHED);
    server.state().set_instances(instances.iter().map(Instance::list_entry).collect());
    (runtime, server)
}

fn has_revision(number: u64) -> impl Fn(&Value) -> bool {
    move |status| status["revision"] == number
}

#[test]
fn instance_started_without_platform_waits_for_it() {
    let mut instance = Instance::new("a");
    let (_runtime, server) = start_platform(std::slice::from_ref(&instance));
    server.set_faults(Faults { down: true, ..Faults::default() });
    instance.start(server.address());
    instance.wait_until("status", |status| status["state"] == "starting");
    server.set_faults(Faults::default());
    instance.wait_until("status", has_revision(1));
}

#[test]
fn view_is_taken_from_a_peer_while_the_platform_is_down() {
    let mut instances = [Instance::new("a"), Instance::new("b")];
    let (_runtime, server) = start_platform(&instances);
    let address = server.address();
    instances[0].start(address);
    instances[0].wait_until("status", has_revision(1));
    instances[0].wait_until("peers", |peers| peers["peers"].is_array());
    server.set_faults(Faults { down: true, ..Faults::default() });
    instances[1].start(address);
    instances[1].wait_until("status", has_revision(1));
}

#[test]
fn revision_never_reverts() {
    let mut instance = Instance::new("a");
    let (_runtime, server) = start_platform(std::slice::from_ref(&instance));
    instance.start(server.address());
    instance.wait_until("status", has_revision(1));
    server.state().put("20-more.ini", ADDED);
    instance.wait_until("status", has_revision(2));
    server.set_faults(Faults { back: true, ..Faults::default() });
    server.set_faults(Faults { nonsense: Some(Malformed::Half), ..Faults::default() });
    server.set_faults(Faults { stale: Some(1), ..Faults::default() });
    instance.wait_until("status", has_revision(2));
    server.set_faults(Faults::default());
    server.state().put("30-comment.ini", "# nothing\n");
    instance.wait_until("status", has_revision(3));
    instance.wait_until("promises", |answer| {
        let promises = answer["promises"].as_array().unwrap();
        let held = promises.iter().find(|count| count["promise"] == "configuration-holds");
        held.is_some_and(|count| count["violated"] == 0 && count["decided"] == 3)
    });
}

#[test]
fn invalid_revision_is_refused() {
    let mut instance = Instance::new("a");
    let (_runtime, server) = start_platform(std::slice::from_ref(&instance));
    instance.start(server.address());
    instance.wait_until("status", has_revision(1));
    server.state().put("20-bad.ini", INVALID);
    instance.wait_until("audit", |audit| {
        let records = audit["records"].as_array().unwrap();
        records.iter().any(|record| record["event"] == "refused" && record["revision"] == 2)
    });
    instance.wait_until("status", has_revision(1));
    server.state().remove("20-bad.ini");
    instance.wait_until("status", has_revision(3));
}
