//! The load as operators see it at the metrics address of a running instance, and messages
//! with load estimates (frame kind 19) that are malformed.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

/// Number of polls after which a test fails.
const POLLS_MAX: usize = 400;
/// Time between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Protocol version and frame kinds of the links between instances.
const VERSION: u8 = 1;
const HELLO: u8 = 0;
const LOAD: u8 = 19;
/// A body that is no message.
const UNDECODABLE: &[u8] = &[0xff; 40];
/// Bodies that are messages with a value out of range or without content: none, a report with
/// 4,294,967,295 answers of a target, a summary with a spread of 1,000, and an unknown variant.
const INVALID: [&[u8]; 4] = [
    &[],
    &[0x0a, 0x08, 0x0a, 0x06, 0x10, 0xff, 0xff, 0xff, 0xff, 0x0f],
    &[0x12, 0x04, 0x10, 0xc0, 0x84, 0x3d],
    &[0x1a, 0x00],
];

/// A packet front process that is killed when the value is dropped.
struct Instance {
    ip: Ipv4Addr,
    child: Child,
}

impl Drop for Instance {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Instance {
    /// Starts an instance without a platform whose settings end with `more`. Its IP address is
    /// derived from the process id and `number`, so that tests that run at the same time do not
    /// share it.
    fn start(number: u8, more: &str) -> Instance {
        let [.., third, fourth] = std::process::id().to_be_bytes();
        let ip = Ipv4Addr::new(127, 84 + number, third, fourth);
        let name = format!("mustardway-{}-load{number}.ini", std::process::id());
        let path = std::env::temp_dir().join(name);
        let settings = format!(
            "[instance]\nname = a-1\ndomain = a\npackets = {ip}:7000\nready = {ip}:7001\n\
            peer = {ip}:7002\n[platform]\naddress = {ip}:7009\n[metrics]\naddress = {ip}:7003\n\
            {more}"
        );
        std::fs::write(&path, settings).expect("settings file can be written");
        let child = Command::new(env!("CARGO_BIN_EXE_mustardway"))
            .args(["front", "--settings"])
            .arg(&path)
            .stdout(Stdio::null())
            .spawn()
            .expect("binary can be run");
        let instance = Instance { ip, child };
        instance.wait_for("/metrics", |text| text.contains("mustardway_instances_live 1"));
        std::fs::remove_file(&path).expect("settings file can be removed");
        instance
    }

    /// Returns the body of the answer to a GET request for `path` at the metrics address.
    fn get(&self, path: &str) -> Option<String> {
        let mut stream = TcpStream::connect(SocketAddr::from((self.ip, 7_003))).ok()?;
        let text = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        stream.write_all(text.as_bytes()).ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        let (head, body) = answer.split_once("\r\n\r\n")?;
        head.starts_with("HTTP/1.1 200").then(|| body.to_string())
    }

    /// Polls `path` until its body satisfies `wanted`, and returns that body.
    fn wait_for(&self, path: &str, wanted: impl Fn(&str) -> bool) -> String {
        for _ in 0..POLLS_MAX {
            if let Some(body) = self.get(path).filter(|body| wanted(body)) {
                return body;
            }
            thread::sleep(POLL_INTERVAL);
        }
        panic!("{path} stays {:?}", self.get(path));
    }

    /// Returns the document at `/load` once it satisfies `wanted`.
    fn wait_for_load(&self, wanted: impl Fn(&Value) -> bool) -> Value {
        let parse = |body: &str| serde_json::from_str(body).expect("the document is JSON");
        parse(&self.wait_for("/load", |body| wanted(&parse(body))))
    }

    /// Connects as the peer 127.0.0.1 and sends frames of kind 19 with these bodies.
    fn send_load(&self, bodies: &[&[u8]]) -> TcpStream {
        let mut stream = TcpStream::connect(SocketAddr::from((self.ip, 7_002))).expect("listens");
        let mut hello = field(1, b"127.0.0.1:7002");
        hello.extend(field(2, self.ip.to_string().as_bytes()));
        let mut frames = frame(HELLO, "127.0.0.1", &hello);
        for body in bodies {
            frames.extend(frame(LOAD, "", body));
        }
        stream.write_all(&frames).expect("the frames are sent");
        stream
    }
}

/// Encodes a protobuf field of type bytes. Numbers and lengths are below 128.
fn field(number: u8, bytes: &[u8]) -> Vec<u8> {
    let length = u8::try_from(bytes.len()).expect("a short field");
    [&[number << 3 | 2, length], bytes].concat()
}

/// Encodes a frame of the links between instances.
fn frame(kind: u8, from: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = vec![VERSION];
    bytes.extend(field(1, from.as_bytes()));
    bytes.extend([2 << 3, kind]);
    bytes.extend(field(3, body));
    let length = u32::try_from(bytes.len()).expect("a short frame");
    [&length.to_be_bytes(), bytes.as_slice()].concat()
}

#[test]
fn load_is_served_where_it_is_used() {
    let instance = Instance::start(0, "[load]\nplacement = expected-time\nadmission = priority\n");
    let load = instance.wait_for_load(|load| load["summary_age_ms"].is_u64());
    assert_eq!(load["placement"], "expected-time");
    assert_eq!(load["admission"], "priority");
    assert_eq!((&load["services"], &load["targets"]), (&json!([]), &json!([])));
    let metrics = instance
        .wait_for("/metrics", |text| text.contains("mustardway_load_summary_age_seconds 0."));
    for name in ["mustardway_targets_slow 0", "mustardway_load_spread 1.0"] {
        assert!(metrics.lines().any(|line| line == name), "{name}: {metrics}");
    }
    assert!(instance.get("/loads").is_none());
}

/// Guards against metrics that look like those of a service without load, from an instance
/// that does not estimate any.
#[test]
fn load_is_empty_where_it_is_not_used() {
    let instance = Instance::start(1, "");
    let load = instance.wait_for_load(|load| load["placement"] == "outstanding");
    assert_eq!(load["admission"], "off");
    assert_eq!((&load["summary_age_ms"], &load["services"]), (&Value::Null, &json!([])));
    let metrics = instance.get("/metrics").expect("metrics are served");
    for name in ["mustardway_load_", "mustardway_service_", "mustardway_targets_slow"] {
        assert!(!metrics.contains(name), "{name}: {metrics}");
    }
}

/// Guards against messages that change the estimates or end the process although they are
/// malformed, and against their silent loss.
#[test]
fn malformed_load_messages_are_counted_and_ignored() {
    let instance = Instance::start(2, "[load]\nadmission = priority\n");
    let bodies: Vec<&[u8]> = [&[UNDECODABLE], INVALID.as_slice()].concat();
    let _link = instance.send_load(&bodies);
    let metrics = instance.wait_for("/metrics", |text| {
        text.contains(r#"mustardway_load_reports_ignored_total{cause="invalid"} 4"#)
    });
    let undecodable = r#"mustardway_load_reports_ignored_total{cause="undecodable"} 1"#;
    assert!(metrics.contains(undecodable), "{metrics}");
    assert!(metrics.contains("mustardway_load_spread 1.0"), "{metrics}");
    let load = instance.wait_for_load(|load| load["summary_age_ms"].is_u64());
    assert_eq!((&load["services"], &load["targets"]), (&json!([]), &json!([])));
}

/// Instances that do not use load estimates take part in no tree, and ignore the messages of
/// those that do.
#[test]
fn load_messages_are_ignored_where_it_is_not_used() {
    let instance = Instance::start(3, "");
    let bodies: Vec<&[u8]> = [&[UNDECODABLE], INVALID.as_slice()].concat();
    let _link = instance.send_load(&bodies);
    instance.wait_for("/metrics", |text| {
        let mut lines = text.lines();
        let received = r#"mustardway_peer_received_bytes_total{kind="load"}"#;
        lines.any(|line| line.starts_with(received) && !line.ends_with(" 0"))
    });
    let load = instance.wait_for_load(|load| load["placement"] == "outstanding");
    assert_eq!(load["services"], json!([]));
}
