//! Measures frames over loopback: the overhead in bytes, the rate in one direction, and
//! the round-trip time. Run with
//! `cargo run --release -p mustardway_peer --example frame_cost`

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mustardway_peer::frame::{Frame, Kind};
use mustardway_peer::handler::Handler;
use mustardway_peer::link::{Down, Peer};
use mustardway_peer::mesh::Mesh;
use mustardway_peer::send::{Error, Priority};
use mustardway_peer::settings::Settings;
use mustardway_types::instance;
use slog::{Discard, Logger, o};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

const KIND: Kind = Kind::FIRST_APPLICATION;
const BODY_BYTES: usize = 200;
const FRAMES: usize = 400_000;
const ROUND_TRIPS: usize = 10_000;
const RUNS: usize = 5;

/// Forwards every received frame to a channel.
struct Forwarder(UnboundedSender<Frame>);

impl Handler for Forwarder {
    fn frame(&self, _: &instance::Id, frame: Frame) {
        // The receiver may already be dropped when the example ends.
        let _ = self.0.send(frame);
    }

    fn link_down(&self, down: &Down) {
        eprintln!("link down: {down:?}");
    }
}

struct Node {
    mesh: Mesh,
    peer: Peer,
    frames: UnboundedReceiver<Frame>,
}

async fn start_node(name: &str) -> Result<Node, Box<dyn std::error::Error>> {
    let id: instance::Id = name.parse()?;
    let logger = Logger::root(Discard, o!());
    let mut settings = Settings::new(id.clone(), "127.0.0.1:0".parse()?, logger);
    settings.kinds = vec![KIND];
    let (sender, frames) = unbounded_channel();
    let mesh = Mesh::start(settings, Arc::new(Forwarder(sender))).await?;
    let peer = Peer { id, address: mesh.address() };
    Ok(Node { mesh, peer, frames })
}

async fn send(from: &Node, to: &Peer, body: &Bytes) -> Result<(), Error> {
    loop {
        match from.mesh.send(to, Priority::Bulk, KIND, body.clone()) {
            Err(Error::Full) => tokio::time::sleep(Duration::from_micros(50)).await,
            other => return other,
        }
    }
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut one = start_node("one").await?;
    let mut two = start_node("two").await?;
    for bytes in [0, 20, BODY_BYTES, 64 << 10] {
        let frame = Frame::new(KIND, Bytes::from(vec![0; bytes]));
        println!("body of {bytes} bytes: {} more on the wire", frame.wire_size() - bytes);
    }

    let body = Bytes::from(vec![0; BODY_BYTES]);
    let mut rates = Vec::new();
    for _ in 0..RUNS {
        let start = Instant::now();
        let receive = async {
            for _ in 0..FRAMES {
                two.frames.recv().await;
            }
        };
        let send_all = async {
            for _ in 0..FRAMES {
                send(&one, &two.peer, &body).await?;
            }
            Ok::<(), Error>(())
        };
        let ((), sent) = tokio::join!(receive, send_all);
        sent?;
        rates.push((FRAMES as f64 / start.elapsed().as_secs_f64()) as u64);
    }
    rates.sort_unstable();
    println!("one way, {BODY_BYTES} bytes: {} frames/s", summary(&rates));

    let mut times = Vec::new();
    for _ in 0..ROUND_TRIPS {
        let start = Instant::now();
        send(&one, &two.peer, &body).await?;
        two.frames.recv().await;
        send(&two, &one.peer, &body).await?;
        one.frames.recv().await;
        times.push(start.elapsed().as_micros() as u64);
    }
    times.sort_unstable();
    println!("round trip, {BODY_BYTES} bytes: {} us", summary(&times));
    Ok(())
}

/// Formats the minimum, median and maximum of sorted values.
fn summary(sorted: &[u64]) -> String {
    let median = sorted[sorted.len() / 2];
    format!("min {} median {median} max {}", sorted[0], sorted[sorted.len() - 1])
}
