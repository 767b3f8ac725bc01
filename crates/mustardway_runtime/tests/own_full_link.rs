//! An owner whose own link is full gets the answers of all its targets late. That says
//! nothing about the targets.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use mustardway_gate::{Gate, Ownership};
use mustardway_routing::snapshot::{Plan, Snapshot};
use mustardway_runtime::node::Node;
use mustardway_runtime::probe;
use mustardway_telemetry::promise::Counters;
use mustardway_types::time::{Instant, Span};
use mustardway_types::{revision, target};
use mustardway_view::model::{Domain, DomainState, Limits, Target, TargetState, View};
use mustardway_wire::health::health_check_response::ServingStatus;
use mustardway_wire::health::{Health, HealthCheckRequest, HealthCheckResponse, HealthServer};
use parking_lot::Mutex;
use slog::{Discard, Logger, o};
use tokio::sync::watch;
use volo::net::Address;
use volo_grpc::server::{Server, ServiceBuilder};
use volo_grpc::{Request, Response, Status};

const TARGETS: usize = 4;
const LIMITS: Limits =
    Limits { slots: 8, cold_slots: 2, connections: 100, warm_up: Span::seconds(5), queue: 8 };
/// Time for which the owner's link is full.
const FULL: Duration = Duration::from_secs(4);

/// The health checks of all targets. Their answers wait while the link is full.
#[derive(Clone)]
struct Targets {
    is_full: watch::Receiver<bool>,
}

impl Health for Targets {
    async fn check(
        &self,
        _request: Request<HealthCheckRequest>,
    ) -> Result<Response<HealthCheckResponse>, Status> {
        let _ = self.is_full.clone().wait_for(|is_full| !is_full).await;
        Ok(Response::new(HealthCheckResponse { status: ServingStatus::SERVING }))
    }
}

/// Starts the server of all targets.
async fn serve_targets(is_full: watch::Receiver<bool>) -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let service = ServiceBuilder::new(HealthServer::new(Targets { is_full })).build();
    tokio::spawn(Server::new().add_service(service).run(Address::from(address)));
    while tokio::net::TcpStream::connect(address).await.is_err() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    address
}

fn target(number: usize) -> target::Id {
    format!("target-{number}").parse().unwrap()
}

/// Creates an owner of all targets at `endpoint`.
fn owner(endpoint: SocketAddr) -> Arc<Node> {
    let me = "owner-1".parse().unwrap();
    let logger = Logger::root(Discard, o!());
    let node = Node::new(me, 1_000, Span::seconds(3_600), Arc::new(Counters::default()), logger);
    let mut view = View { revision: revision::Number(1), ..View::default() };
    let domain = Domain { region: "region".into(), state: DomainState::In };
    view.domains.insert("zone".parse().unwrap(), domain);
    for number in 0..TARGETS {
        let entry = Target {
            service: "reservas".parse().unwrap(),
            domain: "zone".parse().unwrap(),
            endpoint,
            state: TargetState::Serving,
            weight: 100,
            limits: LIMITS,
        };
        view.targets.insert(target(number), entry);
        let ownership = Ownership::Serving { since: Instant::default(), inherited: false };
        let now = node.clock.now();
        let gate = Gate::new(target(number), node.me.clone(), LIMITS, ownership, 1, now);
        node.gates.write().insert(target(number), Arc::new(Mutex::new(gate)));
    }
    let mut snapshot = Snapshot::empty(node.me.clone());
    snapshot.plan = Some(Arc::new(Plan::new(Arc::new(view))));
    node.set_snapshot(Arc::new(snapshot));
    node.record_tick(node.clock.now(), false);
    Arc::new(node)
}

/// Returns how often targets were reset to cold.
fn cold_resets(node: &Node) -> u64 {
    let mut resets = 0;
    for number in 0..TARGETS {
        let gate = node.gate(&target(number)).unwrap();
        resets += gate.lock().load(node.clock.now()).chills;
    }
    resets
}

/// The first answer in time after a late one reset a target to cold.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn targets_stay_warm_after_a_full_link() {
    let (link, is_full) = watch::channel(true);
    let node = owner(serve_targets(is_full).await);
    let checks = tokio::spawn(probe::run(Arc::clone(&node)));
    tokio::time::sleep(FULL).await;
    link.send(false).unwrap();
    tokio::time::sleep(FULL).await;
    checks.abort();
    assert_eq!(cold_resets(&node), 0);
}
