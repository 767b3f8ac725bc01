//! Start, event loop and graceful shutdown of an instance.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use mustardway_membership::{event, member, node, roster};
use mustardway_peer::mesh::Mesh;
use mustardway_types::clock::Clock;
use mustardway_types::instance::Incarnation;
use mustardway_types::time::{Instant, Span};
use mustardway_types::{domain, instance};
use slog::Logger;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;

use crate::adapter::Adapter;
use crate::dispatcher::{Context, Dispatcher, TICK_INTERVAL};
use crate::http;
use crate::input::Input;
use crate::load;
use crate::metrics::Metrics;
use crate::peers::{InboundHandler, KINDS};
use crate::signals::{Received, Signals};

/// Interval of the check whether the settings file has changed: a third of the 6 s
/// within which a changed configuration must be in force.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Events that can wait for the dispatcher.
const INPUT_QUEUE_LEN: usize = 1_024;
/// Time after the stop signal until every router has seen that this instance is not
/// ready: two failed checks at an interval of 500 ms, and a margin.
const READINESS_LAG: Span = Span::millis(1_200);
/// Time without packets after which a stopping instance counts as drained.
const QUIET_MIN: Span = Span::millis(300);
/// Part of the grace period that is reserved for closing the links to peers.
const CLOSE_RESERVE: Span = Span::millis(1_000);
/// Timeout for sending the queued messages when the links are closed.
const FLUSH_TIMEOUT: Span = Span::millis(200);

/// Identity, addresses and other settings of an instance.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the instance among its peers.
    pub id: instance::Id,
    /// Failure domain of the instance.
    pub domain: domain::Name,
    /// UDP address for packets.
    pub packets: SocketAddr,
    /// TCP address of the readiness check.
    pub ready: SocketAddr,
    /// TCP address on which the instance listens for peers.
    pub peer: SocketAddr,
    /// Address at which peers reach the instance.
    pub advertise: SocketAddr,
    /// Addresses of some peers through which the instance joins.
    pub seeds: Vec<SocketAddr>,
    /// TCP address of the metrics endpoint; `None` serves no metrics.
    pub metrics: Option<SocketAddr>,
    /// Grace period: time from the stop signal until the process is killed.
    pub grace: Span,
    /// What load estimates are used for.
    pub load: mustardway_flow::load::Settings,
    /// Incarnation number, greater at every start.
    pub incarnation: Incarnation,
    /// Seed of the random number generators.
    pub seed: u64,
}

/// Settings that can change while an instance runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReloadableSettings {
    /// Addresses of some peers through which the instance joins.
    pub seeds: Vec<SocketAddr>,
    /// Grace period: time from the stop signal until the process is killed.
    pub grace: Span,
}

/// Source of reloadable settings.
pub trait SettingsSource: Send {
    /// Reads the settings again after SIGHUP. Returns `None` if nothing changed.
    fn read(&mut self) -> Option<ReloadableSettings>;

    /// Reads the settings if they have changed without a signal, for example in an
    /// updated file. Returns `None` if nothing changed.
    fn poll(&mut self) -> Option<ReloadableSettings>;
}

/// A settings source whose settings never change.
#[derive(Debug, Clone, Copy)]
pub struct StaticSettings;

impl SettingsSource for StaticSettings {
    fn read(&mut self) -> Option<ReloadableSettings> {
        None
    }

    fn poll(&mut self) -> Option<ReloadableSettings> {
        None
    }
}

/// Returns the name of the instance that listens for peers at `address`: its IP
/// address. Only the addresses of seeds are configured, so names derive from them.
pub fn peer_id(address: SocketAddr) -> Option<instance::Id> {
    address.ip().to_string().parse().ok()
}

/// Runs an instance until SIGTERM or SIGINT has stopped it gracefully. Reloaded
/// settings from `source` are applied meanwhile.
///
/// # Errors
/// When an address cannot be bound, a signal handler cannot be registered, or the
/// socket for packets fails.
pub async fn run(
    settings: Settings,
    adapter: Adapter,
    logger: Logger,
    source: &mut dyn SettingsSource,
) -> io::Result<()> {
    let mut signals = Signals::register()?;
    let ready = Arc::new(AtomicBool::new(false));
    let (inputs, mut input_receiver) = mpsc::channel(INPUT_QUEUE_LEN);
    let listener = TcpListener::bind(settings.ready).await?;
    tokio::spawn(adapter.readiness.serve(listener, Arc::clone(&ready)));
    let mut metrics = Metrics::default();
    if settings.load.is_used() {
        metrics = metrics.with_load();
    }
    let metrics = Arc::new(metrics);
    let mut dispatcher = start(&settings, adapter, inputs, Arc::clone(&metrics), &logger).await?;
    if let Some(address) = settings.metrics {
        let listener = TcpListener::bind(address).await?;
        let documents = dispatcher.load_documents();
        let handler = move |path: &str| match path {
            load::PATH => load::respond(&documents),
            _ => metrics.respond(path),
        };
        tokio::spawn(http::serve(listener, handler, logger.clone()));
    }
    slog::info!(logger, "started"; "id" => %settings.id, "domain" => %settings.domain,
        "packets" => %settings.packets, "peer" => %settings.peer);
    let mut ticks = tokio::time::interval(TICK_INTERVAL.into());
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut polls = tokio::time::interval(SETTINGS_POLL_INTERVAL);
    polls.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut grace = settings.grace;
    let mut stopping: Option<Instant> = None;
    while !stopping.is_some_and(|since| is_drained(&dispatcher, since, grace)) {
        let mut reloaded = None;
        tokio::select! {
            readable = dispatcher.readable(), if dispatcher.is_configured() => {
                readable?;
                // Messages that arrived before the packets may tell where these belong. The
                // first turn lets the driver notice them, the second one lets the tasks that
                // read the links pass them on.
                tokio::task::yield_now().await;
                tokio::task::yield_now().await;
                for _ in 0..INPUT_QUEUE_LEN {
                    let Ok(input) = input_receiver.try_recv() else { break };
                    dispatcher.handle_input(input);
                }
                dispatcher.receive_packets();
            }
            Some(input) = input_receiver.recv() => dispatcher.handle_input(input),
            _ = ticks.tick() => dispatcher.tick(),
            _ = polls.tick() => reloaded = source.poll(),
            signal = signals.next() => match signal {
                Received::Hangup => reloaded = source.read(),
                Received::Terminate | Received::Interrupt => {
                    slog::info!(logger, "stopping");
                    stopping = stopping.or(Some(dispatcher.now()));
                    dispatcher.announce_leave();
                }
            },
        }
        if let Some(reloaded) = reloaded {
            grace = reloaded.grace;
            dispatcher.set_seeds(seed_entries(&reloaded.seeds, &settings.domain));
        }
        ready.store(dispatcher.is_ready() && stopping.is_none(), Ordering::Relaxed);
    }
    dispatcher.close(FLUSH_TIMEOUT).await;
    slog::info!(logger, "stopped");
    Ok(())
}

/// Binds the sockets, starts the mesh of peers and builds the dispatcher.
async fn start(
    settings: &Settings,
    adapter: Adapter,
    inputs: mpsc::Sender<Input>,
    metrics: Arc<Metrics>,
    logger: &Logger,
) -> io::Result<Dispatcher> {
    let clock = Clock::new();
    let socket = UdpSocket::bind(settings.packets).await?;
    let mut mesh = mustardway_peer::settings::Settings::new(
        settings.id.clone(),
        settings.peer,
        logger.clone(),
    );
    mesh.advertised = Some(settings.advertise);
    mesh.kinds = KINDS.to_vec();
    let mesh = Mesh::start(mesh, Arc::new(InboundHandler::new(inputs.clone()))).await?;
    Ok(Dispatcher::new(Context {
        clock,
        id: settings.id.clone(),
        domain: settings.domain.clone(),
        socket,
        mesh,
        membership: membership_node(settings, clock.now()),
        adapter,
        inputs,
        metrics,
        logger: logger.clone(),
        load: settings.load,
        seed: settings.seed,
    }))
}

/// Creates the membership state of an instance that knows only its seeds.
fn membership_node(settings: &Settings, now: Instant) -> node::Node {
    let me = member::Member {
        id: settings.id.clone(),
        domain: settings.domain.clone(),
        address: settings.advertise,
        incarnation: settings.incarnation,
    };
    let own = mustardway_membership::settings::Settings::new(me, settings.seed);
    let mut membership = node::Node::new(own, now);
    // A node without peers sends nothing when its seeds are set, so no action is lost.
    let roster = event::Event::Roster(seed_entries(&settings.seeds, &settings.domain));
    membership.handle(now, roster, &mut Vec::new());
    membership
}

/// Builds roster entries for seeds. Their failure domains are unknown at first and
/// assumed to be `domain` until the seeds report their own.
fn seed_entries(addresses: &[SocketAddr], domain: &domain::Name) -> Vec<roster::Entry> {
    let mut entries = Vec::new();
    for address in addresses {
        let Some(id) = peer_id(*address) else { continue };
        entries.push(roster::Entry {
            id,
            domain: domain.clone(),
            address: *address,
            leaving: false,
        });
    }
    entries
}

/// Returns whether a shutdown that began at `since` can be completed: the routers
/// have taken the instance out and no packets arrive, or the grace period is over.
fn is_drained(dispatcher: &Dispatcher, since: Instant, grace: Span) -> bool {
    let passed = dispatcher.now().since(since);
    let is_quiet = passed >= READINESS_LAG && dispatcher.time_since_packet() >= QUIET_MIN;
    is_quiet || passed >= grace.saturating_sub(CLOSE_RESERVE)
}
