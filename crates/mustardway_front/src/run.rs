//! An instance from its start to its stop.

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
use crate::control::{Control, Parts};
use crate::http;
use crate::input::Input;
use crate::metrics::Metrics;
use crate::peers::{Inlet, KINDS};
use crate::signals::{Received, Signals};

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(50);
/// Time between two looks whether the settings have changed: a third of the 6 s
/// in which a change of the configuration has to be in force.
const POLL: Duration = Duration::from_secs(2);
/// Messages that wait for the control task.
const INPUTS: usize = 1_024;
/// Time after a stop was ordered in which the routers notice that this instance
/// is not ready: two misses of a check that comes every 500 ms, and a margin.
const NOTICED: Span = Span::millis(1_200);
/// Silence of callers after which a stopping instance has nothing left to do.
const QUIET: Span = Span::millis(300);
/// Part of the time until the process is killed that is left for closing links.
const CLOSING: Span = Span::millis(1_000);
/// Longest time for sending what waits on the links.
const FLUSH: Span = Span::millis(200);

/// Who and where an instance is.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name among its peers.
    pub id: instance::Id,
    /// Failure domain that it lives in.
    pub domain: domain::Name,
    /// Where packets come in.
    pub packets: SocketAddr,
    /// Where it tells whether it is ready.
    pub ready: SocketAddr,
    /// Where it listens for peers.
    pub peer: SocketAddr,
    /// Where peers reach it.
    pub advertise: SocketAddr,
    /// Where some peers may be reached.
    pub seeds: Vec<SocketAddr>,
    /// Where metrics are served, if anywhere.
    pub metrics: Option<SocketAddr>,
    /// Time from the order to stop until the process is killed.
    pub grace: Span,
    /// Greater with every start.
    pub incarnation: Incarnation,
    /// Seed of every random choice.
    pub seed: u64,
}

/// Settings that come into force while an instance runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReloadableSettings {
    /// Where some peers may be reached.
    pub seeds: Vec<SocketAddr>,
    /// Time from the order to stop until the process is killed.
    pub grace: Span,
}

/// Where settings come from.
pub trait SettingsSource: Send {
    /// Reads the settings because a signal says that they have changed.
    fn read(&mut self) -> Option<ReloadableSettings>;

    /// Reads the settings where they have changed without a signal.
    fn poll(&mut self) -> Option<ReloadableSettings>;
}

/// Settings that never change.
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

/// Name among its peers of the instance that listens at `address`. Seeds are
/// known by address alone, so the address is the name.
pub fn peer_id(address: SocketAddr) -> Option<instance::Id> {
    address.ip().to_string().parse().ok()
}

/// Runs an instance until it is told to stop. Settings of `source` that can come
/// into force meanwhile do.
///
/// # Errors
/// When an address cannot be listened on, or a signal cannot be handled.
pub async fn run(
    settings: Settings,
    ports: Adapter,
    logger: Logger,
    source: &mut dyn SettingsSource,
) -> io::Result<()> {
    let mut signals = Signals::register()?;
    let ready = Arc::new(AtomicBool::new(false));
    let (inputs, mut inbox) = mpsc::channel(INPUTS);
    let listener = TcpListener::bind(settings.ready).await?;
    tokio::spawn(ports.readiness.serve(listener, Arc::clone(&ready)));
    let metrics = Arc::new(Metrics::default());
    if let Some(address) = settings.metrics {
        let listener = TcpListener::bind(address).await?;
        let metrics = Arc::clone(&metrics);
        let answer = move |path: &str| metrics.answer(path);
        tokio::spawn(http::serve(listener, answer, logger.clone()));
    }
    let mut control = start(&settings, ports, inputs, metrics, &logger).await?;
    slog::info!(logger, "started"; "id" => %settings.id, "domain" => %settings.domain,
        "packets" => %settings.packets, "peer" => %settings.peer);
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut polls = tokio::time::interval(POLL);
    polls.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut grace = settings.grace;
    let mut stopping: Option<Instant> = None;
    while !stopping.is_some_and(|since| is_done(&control, since, grace)) {
        let mut adjusted = None;
        tokio::select! {
            readable = control.readable(), if control.is_configured() => {
                readable?;
                control.receive();
            }
            Some(input) = inbox.recv() => control.take(input),
            _ = ticks.tick() => control.tick(),
            _ = polls.tick() => adjusted = source.poll(),
            signal = signals.next() => match signal {
                Received::Hangup => adjusted = source.read(),
                Received::Terminate | Received::Interrupt => {
                    slog::info!(logger, "stopping");
                    stopping = stopping.or(Some(control.now()));
                    control.leave();
                }
            },
        }
        if let Some(adjusted) = adjusted {
            grace = adjusted.grace;
            control.seed(seeds(&adjusted.seeds, &settings.domain));
        }
        ready.store(control.is_ready() && stopping.is_none(), Ordering::Relaxed);
    }
    control.close(FLUSH).await;
    slog::info!(logger, "stopped");
    Ok(())
}

async fn start(
    settings: &Settings,
    ports: Adapter,
    inputs: mpsc::Sender<Input>,
    metrics: Arc<Metrics>,
    logger: &Logger,
) -> io::Result<Control> {
    let clock = Clock::new();
    let socket = UdpSocket::bind(settings.packets).await?;
    let mut mesh = mustardway_peer::settings::Settings::new(
        settings.id.clone(),
        settings.peer,
        logger.clone(),
    );
    mesh.advertised = Some(settings.advertise);
    mesh.kinds = KINDS.to_vec();
    let mesh = Mesh::start(mesh, Arc::new(Inlet::new(inputs.clone()))).await?;
    Ok(Control::new(Parts {
        clock,
        me: settings.id.clone(),
        home: settings.domain.clone(),
        socket,
        mesh,
        membership: join(settings, clock.now()),
        ports,
        inputs,
        metrics,
        logger: logger.clone(),
        seed: settings.seed,
    }))
}

/// The live list of an instance that knows its seeds alone.
fn join(settings: &Settings, now: Instant) -> node::Node {
    let me = member::Member {
        id: settings.id.clone(),
        domain: settings.domain.clone(),
        address: settings.advertise,
        incarnation: settings.incarnation,
    };
    let own = mustardway_membership::settings::Settings::new(me, settings.seed);
    let mut membership = node::Node::new(own, now);
    // Only events that are sent ask for something to be done.
    let roster = event::Event::Roster(seeds(&settings.seeds, &settings.domain));
    membership.handle(now, roster, &mut Vec::new());
    membership
}

/// Peers of which only the addresses are known; their failure domains are taken
/// for this one's until they say otherwise.
fn seeds(addresses: &[SocketAddr], domain: &domain::Name) -> Vec<roster::Entry> {
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

/// Whether a stop that was ordered at `since` has nothing left to wait for.
fn is_done(control: &Control, since: Instant, grace: Span) -> bool {
    let passed = control.now().since(since);
    let is_quiet = passed >= NOTICED && control.quiet() >= QUIET;
    is_quiet || passed >= grace.less(CLOSING)
}
