//! A handler that returns fixed values, and plain HTTP requests over TCP.
#![allow(dead_code, clippy::unwrap_used)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};

use mustardway_admin::error::Error;
use mustardway_admin::handler::Handler;
use mustardway_admin::response;
use mustardway_admin::server::{Server, Settings};
use mustardway_telemetry::promise::{self, Promise, Verdict};
use mustardway_telemetry::{audit, tally};
use mustardway_types::answer::Reason;
use mustardway_types::{address, flow, instance, revision, time};
use mustardway_view::model::View;
use slog::{Discard, Logger, o};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Token that the tests configure, as short as is allowed.
pub const TOKEN: &str = "0123456789abcdef";

/// Handler that returns fixed values.
#[derive(Default)]
pub struct FakeHandler {
    /// Whether a view is in force and the instance is ready.
    pub started: bool,
    /// Whether a drain was commanded and not cancelled.
    pub draining: AtomicBool,
}

impl Handler for FakeHandler {
    fn live(&self) -> response::Live {
        response::Live { id: "e1".parse().unwrap(), live: true }
    }

    fn ready(&self) -> response::Ready {
        let reason = (!self.started).then(|| "no configuration is in force yet".into());
        response::Ready { ready: self.started, reason }
    }

    fn status(&self) -> response::Status {
        response::Status {
            id: "e1".parse().unwrap(),
            domain: "rosario".parse().unwrap(),
            incarnation: instance::Incarnation(3),
            state: response::State::Serving,
            up: time::Span::seconds(90),
            revision: revision::Number(7),
            digest: "00000000000000ff".into(),
            peers: 7,
            targets_owned: 2,
            flows: 40,
            running: 3,
            queued: 1,
            platform_calls: 12,
        }
    }

    fn view(&self) -> Option<Arc<View>> {
        let view = View { revision: revision::Number(7), ..View::default() };
        self.started.then(|| Arc::new(view))
    }

    fn targets(&self) -> response::Targets {
        let load =
            response::Load { state: "cold".into(), running: 1, slots: 2, queued: 0, flows: 9 };
        let target = response::Target {
            id: "t1".parse().unwrap(),
            service: "central-reservas".parse().unwrap(),
            domain: "rosario".parse().unwrap(),
            endpoint: "127.0.2.1:9000".parse().unwrap(),
            owner: Some("e1".parse().unwrap()),
            load: Some(load),
        };
        response::Targets { targets: vec![target] }
    }

    fn flows(&self, shown_max: usize) -> response::Flows {
        let flow = response::Flow {
            id: "00000000000000aa".into(),
            address: "10.0.0.1:443".parse().unwrap(),
            target: "t1".parse().unwrap(),
            idle: time::Span::millis(250),
        };
        response::Flows { total: 5_000, shown: vec![flow; shown_max.min(5_000)] }
    }

    fn peers(&self) -> response::Peers {
        let peer = response::Peer {
            id: "e2".parse().unwrap(),
            domain: "cordoba".parse().unwrap(),
            address: "127.0.1.2:7000".parse().unwrap(),
            state: "live".into(),
            heard: Some(time::Span::millis(100)),
            revision: revision::Number(7),
        };
        response::Peers { peers: vec![peer] }
    }

    fn audit(&self) -> response::Audit {
        let trail = audit::Trail::new(10, Logger::root(Discard, o!()));
        let event = audit::Event::Adopted {
            revision: revision::Number(7),
            digest: revision::Digest(255),
            files: Vec::new(),
            changes: vec!["failure domain rosario: in -> out".into()],
        };
        trail.write(audit::Time(1_500_000), event);
        response::Audit::of(&trail)
    }

    fn promises(&self) -> response::Promises {
        let promises = promise::Counters::default();
        promises.add(Promise::AtMostOnce, Verdict::Kept);
        let answers = tally::Tally::default();
        answers.add(Reason::Full);
        response::Promises { promises: promises.counts(), answers: answers.counts() }
    }

    fn explain(&self, flow: flow::Id, address: address::Address) -> response::Explanation {
        let mut explanation = response::Explanation::new(flow, address);
        explanation.steps.push("no service has the address".into());
        explanation
    }

    fn drain(&self) -> Result<response::Command, Error> {
        self.draining.store(true, Relaxed);
        Ok(response::Command { state: response::State::Draining })
    }

    fn undrain(&self) -> Result<response::Command, Error> {
        if !self.draining.swap(false, Relaxed) {
            return Err(Error::Conflict("the instance is not draining".into()));
        }
        Ok(response::Command { state: response::State::Serving })
    }
}

/// Starts the API on a free port of loopback, with a handler of fixed values.
pub async fn start_server(token: Option<&str>, started: bool) -> Server {
    let settings = Settings {
        listen: "127.0.0.1:0".parse().unwrap(),
        token: token.map(|token| token.parse().unwrap()),
    };
    let handler = FakeHandler { started, ..FakeHandler::default() };
    Server::start(settings, Arc::new(handler)).await.unwrap()
}

/// Sends one request over a connection of its own and returns status and body. Each of
/// the `headers` ends with a line break.
pub async fn send(address: SocketAddr, request: &str, headers: &str) -> (u16, String) {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let text = format!("{request} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{headers}\r\n");
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).await.unwrap();
    let status = response.split(' ').nth(1).unwrap().parse().unwrap();
    let body = response.split_once("\r\n\r\n").unwrap().1.to_owned();
    (status, body)
}
