//! Real instances with a platform that is down at their start, goes back,
//! talks nonsense, or publishes what is bad.

#![allow(clippy::unwrap_used)]

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::Duration;

use mustardway_stand_in::platform::Server;
use mustardway_stand_in::platform::fault::{Faults, Malformed};
use mustardway_stand_in::platform::message::{self, InstanceState};
use serde_json::Value;
use tokio::runtime::Runtime;

/// Looks at an instance before a test gives up.
const LOOKS_MAX: usize = 600;
/// Time between two looks.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
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
/// A part that adds a target.
const ADDED: &str = "\
[target av-2]
service = archivo-viajes
domain = rosario
endpoint = 127.0.3.4:9000
";
/// A part that is refused.
const BAD: &str = "[target av-3]\nservice = nobody\n";

/// An instance with its addresses.
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
        // It may have ended already.
        let _ = child.kill();
        let _ = child.wait();
    }
}

impl Instance {
    fn new(name: &'static str) -> Self {
        let listeners = [(); 3].map(|()| TcpListener::bind("127.0.7.4:0").unwrap());
        let [front, peer, admin] = listeners.map(|listener| listener.local_addr().unwrap());
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
        let file = folder.join(format!("{name}-{}.ini", admin.port()));
        fs::write(&file, settings).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_mustardway"));
        command.arg("run").arg("--settings").arg(file).stderr(Stdio::null());
        self.child = Some(command.spawn().unwrap());
    }

    fn ask(&self, query: &str) -> Option<Value> {
        let mut command = Command::new(env!("CARGO_BIN_EXE_mustardway"));
        command.args([query, "--json", "--admin", &self.admin.to_string()]);
        let output = command.output().unwrap();
        serde_json::from_slice(&output.stdout).ok()
    }

    /// Looks until `wanted` holds of the answer to `query`.
    fn until(&self, query: &str, wanted: impl Fn(&Value) -> bool) {
        for _ in 0..LOOKS_MAX {
            if self.ask(query).is_some_and(|answer| wanted(&answer)) {
                return;
            }
            thread::sleep(LOOK_INTERVAL);
        }
        panic!("{}: {:?}", self.name, self.ask(query));
    }

    fn listed(&self) -> message::Instance {
        message::Instance {
            id: self.name.into(),
            domain: "rosario".into(),
            peer: self.peer,
            state: InstanceState::Live,
        }
    }
}

/// A platform that publishes one file and lists `instances`.
fn platform(instances: &[Instance]) -> (Runtime, Server) {
    let runtime = Runtime::new().unwrap();
    let server = runtime.block_on(Server::start("127.0.7.5:0".parse().unwrap())).unwrap();
    server.state().put("10-all.ini", PUBLISHED);
    server.state().set_instances(instances.iter().map(Instance::listed).collect());
    (runtime, server)
}

fn has_revision(number: u64) -> impl Fn(&Value) -> bool {
    move |status| status["revision"] == number
}

#[test]
fn started_without_platform() {
    let mut instance = Instance::new("a");
    let (_runtime, server) = platform(std::slice::from_ref(&instance));
    server.set_faults(Faults { down: true, ..Faults::default() });
    instance.start(server.address());
    instance.until("status", |status| status["state"] == "starting");
    server.set_faults(Faults::default());
    instance.until("status", has_revision(1));
}

#[test]
fn view_taken_from_peer() {
    let mut instances = [Instance::new("a"), Instance::new("b")];
    let (_runtime, server) = platform(&instances);
    let address = server.address();
    instances[0].start(address);
    instances[0].until("status", has_revision(1));
    instances[0].until("peers", |peers| peers["peers"].is_array());
    server.set_faults(Faults { down: true, ..Faults::default() });
    instances[1].start(address);
    instances[1].until("status", has_revision(1));
}

#[test]
fn never_back() {
    let mut instance = Instance::new("a");
    let (_runtime, server) = platform(std::slice::from_ref(&instance));
    instance.start(server.address());
    instance.until("status", has_revision(1));
    server.state().put("20-more.ini", ADDED);
    instance.until("status", has_revision(2));
    server.set_faults(Faults { back: true, ..Faults::default() });
    server.set_faults(Faults { nonsense: Some(Malformed::Half), ..Faults::default() });
    server.set_faults(Faults { stale: Some(1), ..Faults::default() });
    instance.until("status", has_revision(2));
    server.set_faults(Faults::default());
    server.state().put("30-comment.ini", "# nothing\n");
    instance.until("status", has_revision(3));
    instance.until("promises", |answer| {
        let promises = answer["promises"].as_array().unwrap();
        let held = promises.iter().find(|count| count["promise"] == "configuration-holds");
        held.is_some_and(|count| count["violated"] == 0 && count["decided"] == 3)
    });
}

#[test]
fn bad_revision_refused() {
    let mut instance = Instance::new("a");
    let (_runtime, server) = platform(std::slice::from_ref(&instance));
    instance.start(server.address());
    instance.until("status", has_revision(1));
    server.state().put("20-bad.ini", BAD);
    instance.until("audit", |audit| {
        let records = audit["records"].as_array().unwrap();
        records.iter().any(|record| record["event"] == "refused" && record["revision"] == 2)
    });
    instance.until("status", has_revision(1));
    server.state().remove("20-bad.ini");
    instance.until("status", has_revision(3));
}
