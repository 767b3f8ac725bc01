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

use crate::control::{Control, Input, Parts};
use crate::peers::{Inlet, KINDS};
use crate::port::Ports;
use crate::signals::{Received, Signals};

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(50);
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
    /// Where peers reach it.
    pub peer: SocketAddr,
    /// Where some peers may be reached.
    pub seeds: Vec<SocketAddr>,
    /// Time from the order to stop until the process is killed.
    pub grace: Span,
    /// Greater with every start.
    pub incarnation: Incarnation,
    /// Seed of every random choice.
    pub seed: u64,
}

/// Name among its peers of the instance that listens at `address`. Seeds are
/// known by address alone, so the address is the name.
pub fn peer_id(address: SocketAddr) -> Option<instance::Id> {
    address.ip().to_string().parse().ok()
}

/// Runs an instance until it is told to stop. `reload` is called when the
/// settings are to be read again.
///
/// # Errors
/// When an address cannot be listened on, or a signal cannot be handled.
pub async fn run(
    settings: Settings,
    ports: Ports,
    logger: Logger,
    mut reload: impl FnMut(),
) -> io::Result<()> {
    let mut signals = Signals::register()?;
    let ready = Arc::new(AtomicBool::new(false));
    let (inputs, mut inbox) = mpsc::channel(INPUTS);
    let listener = TcpListener::bind(settings.ready).await?;
    tokio::spawn(ports.readiness.serve(listener, Arc::clone(&ready)));
    let mut control = start(&settings, ports, inputs, &logger).await?;
    slog::info!(logger, "started"; "id" => %settings.id, "domain" => %settings.domain,
        "packets" => %settings.packets, "peer" => %settings.peer);
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut stopping: Option<Instant> = None;
    while !stopping.is_some_and(|since| is_done(&control, since, settings.grace)) {
        tokio::select! {
            readable = control.readable(), if control.is_configured() => {
                readable?;
                control.receive();
            }
            Some(input) = inbox.recv() => control.take(input),
            _ = ticks.tick() => control.tick(),
            signal = signals.next() => match signal {
                Received::Hangup => reload(),
                Received::Terminate | Received::Interrupt => {
                    slog::info!(logger, "stopping");
                    stopping = stopping.or(Some(control.now()));
                    control.leave();
                }
            },
        }
        ready.store(control.is_ready() && stopping.is_none(), Ordering::Relaxed);
    }
    control.close(FLUSH).await;
    slog::info!(logger, "stopped");
    Ok(())
}

async fn start(
    settings: &Settings,
    ports: Ports,
    inputs: mpsc::Sender<Input>,
    logger: &Logger,
) -> io::Result<Control> {
    let clock = Clock::new();
    let socket = UdpSocket::bind(settings.packets).await?;
    let mut mesh = mustardway_peer::settings::Settings::new(
        settings.id.clone(),
        settings.peer,
        logger.clone(),
    );
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
        logger: logger.clone(),
        seed: settings.seed,
    }))
}

/// The live list of an instance that knows its seeds alone.
fn join(settings: &Settings, now: Instant) -> node::Node {
    let me = member::Member {
        id: settings.id.clone(),
        domain: settings.domain.clone(),
        address: settings.peer,
        incarnation: settings.incarnation,
    };
    let own = mustardway_membership::settings::Settings::new(me, settings.seed);
    let mut membership = node::Node::new(own, now);
    let mut entries = Vec::new();
    for seed in &settings.seeds {
        let Some(id) = peer_id(*seed) else { continue };
        let domain = settings.domain.clone();
        entries.push(roster::Entry { id, domain, address: *seed, leaving: false });
    }
    // Only events that are sent ask for something to be done.
    membership.handle(now, event::Event::Roster(entries), &mut Vec::new());
    membership
}

/// Whether a stop that was ordered at `since` has nothing left to wait for.
fn is_done(control: &Control, since: Instant, grace: Span) -> bool {
    let passed = control.now().since(since);
    let is_quiet = passed >= NOTICED && control.quiet() >= QUIET;
    is_quiet || passed >= grace.less(CLOSING)
}
