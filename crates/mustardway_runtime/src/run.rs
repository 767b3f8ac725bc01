//! Startup and planned stop of an instance.
//!
//! A planned stop has a single deadline for all its steps. First the ownership of targets is handed
//! over while packets are still served. Then the front accepts no more connections and the packets
//! in flight end. Last, the peers are told that this instance has left. A second signal ends the
//! process at once.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use displaydoc::Display;
use mustardway_membership::{member, settings as membership};
use mustardway_peer::mesh::Mesh;
use mustardway_peer::settings as peer;
use mustardway_reader::platform::Platform;
use mustardway_telemetry::promise::Counters;
use mustardway_types::size::Bytes;
use mustardway_types::time::Span;
use mustardway_types::{domain, hash, instance};
use mustardway_wire::packet::FrontServer;
use parking_lot::RwLock;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant as Deadline;
use volo::net::Address;
use volo_grpc::server::{Server, ServiceBuilder};

use crate::control::channel::{self, Order};
use crate::control::observer::Observer;
use crate::control::report::Report;
use crate::control::{self, Control};
use crate::front::Front;
use crate::message::Kind;
use crate::node::{Node, frame_kind};
use crate::peers::Peers;
use crate::probe;
use crate::promise_checks;

/// Time between two checks of the progress of a stop.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which an instance that has left keeps its links open. Until all peers know that it has
/// left, it tells them who owns its former targets.
const LEAVE_PROPAGATION_TIME: Duration = Duration::from_millis(500);
/// Part of the time until the stop's deadline that is reserved for the last messages to peers.
const CLOSE_TIME: Span = Span::seconds(1);

/// The settings of an instance.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the instance.
    pub id: instance::Id,
    /// Failure domain of the instance.
    pub domain: domain::Name,
    /// Address on which the instance listens for callers.
    pub front: SocketAddr,
    /// Address on which the instance listens for other instances.
    pub peer: SocketAddr,
    /// Time between two heartbeats.
    pub heartbeat: Span,
    /// Time without heartbeats after which an instance is declared dead.
    pub lease: Span,
    /// Longest duration of a planned stop.
    pub drain: Span,
    /// Largest allowed payload of a packet.
    pub packet_max: Bytes,
    /// Capacity of the flow cache, in flows.
    pub flows_max: usize,
    /// Seed of every random choice.
    pub seed: u64,
    /// Incarnation of the instance. It increases with every start.
    pub incarnation: instance::Incarnation,
    /// Whether links may be cut for failure tests.
    pub cut_allowed: bool,
}

/// Why an instance could not start.
#[derive(Debug, Display)]
pub enum Error {
    /// cannot listen for instances on {address}: {error}
    Peer {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        error: io::Error,
    },
    /// cannot listen for callers on {address}: {error}
    Front {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        error: io::Error,
    },
}

impl std::error::Error for Error {}

/// A running instance.
pub struct Instance {
    /// Shared tables of the instance.
    pub node: Arc<Node>,
    /// Report of the control loop.
    pub report: Arc<RwLock<Report>>,
    /// Channel for orders to the control loop.
    pub orders: mpsc::Sender<Order>,
    mesh: Mesh,
    front: tokio::task::JoinHandle<()>,
    front_stop: oneshot::Sender<()>,
    drain: Span,
}

impl Instance {
    /// Starts an instance.
    ///
    /// # Errors
    /// Returns an error if the instance cannot listen on an address from the settings.
    pub async fn start(
        settings: Settings,
        platform: Arc<dyn Platform>,
        observer: Box<dyn Observer>,
        promises: Arc<Counters>,
        logger: slog::Logger,
    ) -> Result<Self, Error> {
        let gap_max = Span(settings.lease.0 / 2);
        let (id, flows_max) = (settings.id.clone(), settings.flows_max);
        let node = Arc::new(Node::new(id, flows_max, gap_max, promises, logger.clone()));
        let (handles, inbox) = channel::channels();
        let mesh = start_mesh(&settings, &node, handles.notices, logger).await?;
        let _ = node.mesh.set(mesh.clone());
        let report = Arc::new(RwLock::new(Report::default()));
        let membership = membership_settings(&settings, mesh.address());
        let control =
            Control::new(Arc::clone(&node), platform, observer, membership, Arc::clone(&report));
        tokio::spawn(control.run(inbox));
        tokio::spawn(probe::run(Arc::clone(&node)));
        let (front, front_stop) = start_front(&settings, &node).await?;
        let (orders, drain) = (handles.orders, settings.drain);
        Ok(Instance { node, report, orders, mesh, front, front_stop, drain })
    }

    /// Performs a planned stop within the time from the settings.
    pub async fn stop(self) {
        let logger = self.node.logger.clone();
        let deadline = Deadline::now() + Duration::from(self.drain);
        let handover_deadline = deadline - Duration::from(CLOSE_TIME);
        slog::info!(logger, "stopping: handing over all targets"; "deadline" => %self.drain);
        // The control loop still runs: it ends only with `Order::Stop`.
        let _ = self.orders.send(Order::Leave).await;
        let report = Arc::clone(&self.report);
        tokio::time::sleep(control::TICK * 2).await;
        let handed_over = wait_until(handover_deadline, || report.read().handed_over).await;
        slog::info!(logger, "stopping: accepting no more packets"; "handed-over" => handed_over);
        // The receiver is gone if the front has failed.
        let _ = self.front_stop.send(());
        // The front ends when the packets on all connections of callers have ended.
        let _ = tokio::time::timeout_at(handover_deadline, self.front).await;
        let node = Arc::clone(&self.node);
        let ended = wait_until(handover_deadline, || {
            node.tickets.is_empty()
                && node.in_flight.load(std::sync::atomic::Ordering::Relaxed) == 0
        });
        let is_empty = ended.await;
        let (acknowledgement, acknowledged) = oneshot::channel();
        let _ = self.orders.send(Order::Stop(acknowledgement)).await;
        let _ = tokio::time::timeout_at(deadline, acknowledged).await;
        tokio::time::sleep_until(deadline.min(Deadline::now() + LEAVE_PROPAGATION_TIME)).await;
        let left = deadline.saturating_duration_since(Deadline::now());
        self.mesh.close(Span::from(left).min(CLOSE_TIME)).await;
        promise_checks::record_stop(&self.node, handed_over, is_empty);
        slog::info!(logger, "stopped"; "in-flight-ended" => is_empty);
    }
}

/// Waits until `done` returns true. Returns false if the deadline passes first.
async fn wait_until(deadline: Deadline, done: impl Fn() -> bool) -> bool {
    while !done() {
        if Deadline::now() >= deadline {
            return false;
        }
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
    }
    true
}

/// Returns the membership settings of the instance, which listens for its peers on `address`.
fn membership_settings(settings: &Settings, address: SocketAddr) -> membership::Settings {
    let me = member::Member {
        id: settings.id.clone(),
        domain: settings.domain.clone(),
        address,
        incarnation: settings.incarnation,
    };
    let seed = hash::seeded(settings.seed, settings.id.as_str().as_bytes());
    membership::Settings {
        heartbeat: settings.heartbeat,
        lease: settings.lease,
        ..membership::Settings::new(me, seed)
    }
}

/// Starts the links to other instances.
async fn start_mesh(
    settings: &Settings,
    node: &Arc<Node>,
    notices: mpsc::Sender<crate::peers::Notice>,
    logger: slog::Logger,
) -> Result<Mesh, Error> {
    let kinds = Kind::ALL.into_iter().map(frame_kind).collect();
    let peer_settings = peer::Settings {
        kinds,
        partition_allowed: settings.cut_allowed,
        ..peer::Settings::new(settings.id.clone(), settings.peer, logger)
    };
    let handler = Arc::new(Peers::new(node, notices));
    let address = settings.peer;
    let started = Mesh::start(peer_settings, handler).await;
    started.map_err(|error| Error::Peer { address, error })
}

/// Starts the gRPC server for callers. Returns its task and the sender that stops it.
async fn start_front(
    settings: &Settings,
    node: &Arc<Node>,
) -> Result<(tokio::task::JoinHandle<()>, oneshot::Sender<()>), Error> {
    let address = settings.front;
    // Binds once in advance, because the server would only log a failure to bind.
    let probe = tokio::net::TcpListener::bind(address).await;
    drop(probe.map_err(|error| Error::Front { address, error })?);
    let front = Front::new(Arc::clone(node), settings.packet_max);
    let service = ServiceBuilder::new(FrontServer::new(front)).build();
    let (stop, stopped) = oneshot::channel::<()>();
    let logger = node.logger.clone();
    let server = tokio::spawn(async move {
        let signal = async {
            // A dropped sender also stops the server.
            let _ = stopped.await;
            Ok(())
        };
        let served =
            Server::new().add_service(service).run_with_shutdown(Address::from(address), signal);
        if let Err(error) = served.await {
            slog::error!(logger, "the server for callers failed"; "error" => %error);
        }
    });
    Ok((server, stop))
}
