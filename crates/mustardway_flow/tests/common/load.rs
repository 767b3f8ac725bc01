//! An instance that uses shared load estimates, and the estimates to send to it.

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::ops::Range;

use mustardway_flow::front::{Action, Event, Verdict};
use mustardway_flow::load::{Admission, Placement, Settings};
use mustardway_flow::packet::{Flags, Packet};
use mustardway_load::column::TargetEstimates;
use mustardway_load::key;
use mustardway_load::message::{Body, RouteEstimate, Summary};
use mustardway_load::sums::{self, Sums};
use mustardway_load::topology::Topology;
use mustardway_types::time::Span;

use super::{
    Harness, TICK_MILLIS, acknowledgement, caller, forwarded_to, id, opening, peer, route_address,
};

/// Placement by estimates, without admission control.
pub const PLACEMENT: Settings =
    Settings { placement: Placement::ExpectedTime, admission: Admission::Off };
/// Admission control, without placement by estimates.
pub const ADMISSION: Settings =
    Settings { placement: Placement::Outstanding, admission: Admission::ByPriority };

/// Time that requests take in [`Harness::exchange`] without a round trip.
pub const BASE_MILLIS: u64 = 50;
/// Round trip of the flows that [`Harness::establish_in`] opens by default.
pub const ROUND_TRIP_MILLIS: u64 = 2;

/// Returns a route estimate without any load.
pub fn idle_route(number: u8) -> RouteEstimate {
    let key = key::Route::of(route_address(number)).0;
    let base_micros = BASE_MILLIS * 1_000;
    RouteEstimate { key, base_micros, service_micros: base_micros, ..RouteEstimate::default() }
}

/// Returns the estimate of a route on which callers want `wanted` requests per second, of which
/// `served` are served and the rest is refused with two retries.
pub fn busy_route(number: u8, wanted: u64, served: u64) -> RouteEstimate {
    RouteEstimate {
        opens_millis: served * 1_000,
        requests_millis: served * 1_000,
        answers_millis: served * 1_000,
        refused_millis: (wanted - served) * 3 * 1_000,
        flows: 100,
        ..idle_route(number)
    }
}

/// Requests that callers send on one route.
#[derive(Debug, Clone, Copy)]
pub struct Demand {
    pub route: u8,
    /// Requests that callers want in a tick.
    pub wanted: usize,
    /// Number of requests that were wanted so far.
    pub asked: usize,
    /// Number of requests that were refused at all three attempts.
    pub refused: usize,
}

impl Demand {
    pub fn new(route: u8, wanted: usize) -> Self {
        Demand { route, wanted, asked: 0, refused: 0 }
    }
}

/// Callers that send one request per flow, and targets that serve the oldest requests first.
#[derive(Debug)]
pub struct Traffic {
    pub demands: Vec<Demand>,
    /// Number of callers, which take turns.
    pub callers: usize,
    /// Requests that the targets serve in a tick.
    capacity: usize,
    /// Caller, route and target of each request.
    in_progress: VecDeque<(SocketAddrV4, u8, u64)>,
}

impl Traffic {
    pub fn new(demands: &[Demand], capacity: usize) -> Self {
        let in_progress = VecDeque::new();
        Traffic { demands: demands.to_vec(), callers: 500, capacity, in_progress }
    }

    /// Lets some time pass, with a summary every 500 ms unless `routes` is empty. Returns the
    /// number of requests that were refused on the first route.
    pub fn play(&mut self, harness: &mut Harness, millis: u64, routes: &[RouteEstimate]) -> usize {
        let before = self.demands[0].refused;
        for tick in 0..millis / TICK_MILLIS {
            for _ in 0..self.capacity.min(self.in_progress.len()) {
                let (source, route, target) = self.in_progress.pop_front().expect("not empty");
                harness.send(&Packet { source, ..data(0, route, target, 200, 1_000, 0) });
                harness.send(&Packet { source, ..finish(0, route, target, 200, 1_000) });
            }
            for demand in 0..self.demands.len() {
                for _ in 0..self.demands[demand].wanted {
                    self.ask(harness, demand);
                }
            }
            harness.advance(TICK_MILLIS);
            if !routes.is_empty() && tick % (500 / TICK_MILLIS) == 0 {
                harness.receive_summary(&[], routes);
            }
        }
        self.demands[0].refused - before
    }

    /// Sends one request, with two retries.
    fn ask(&mut self, harness: &mut Harness, demand: usize) {
        let Demand { route, asked, .. } = self.demands[demand];
        self.demands[demand].asked += 1;
        let mut source = caller(10_000 + (asked % self.callers) as u16);
        for attempt in 0..3 {
            source.set_port(10_000 + ((asked * 3 + attempt) % 50_000) as u16);
            let packet = Packet { source, ..opening(0, route, 0) };
            let Some(target) = forwarded_to(harness.send(&packet)) else { continue };
            harness.send(&Packet { source, ..acknowledgement(0, route, target) });
            harness.send(&Packet { source, ..data(0, route, target, 0, 0, 200) });
            self.in_progress.push_back((source, route, target));
            return;
        }
        self.demands[demand].refused += 1;
    }
}

pub fn target_key(number: u64) -> key::Target {
    key::Target::of(&id(number), Some(1))
}

/// The estimate of one target.
#[derive(Debug, Clone, Copy)]
pub struct Estimate {
    key: key::Target,
    slowness_millis: u32,
    short_millis: u32,
}

/// Returns the estimate of a target.
pub fn estimate(number: u64, slowness_millis: u32, short_millis: u32) -> Estimate {
    Estimate { key: target_key(number), slowness_millis, short_millis }
}

/// Returns the columns of `targets` in a summary.
pub fn columns(targets: &[Estimate]) -> TargetEstimates {
    let mut columns = TargetEstimates::default();
    for estimate in targets {
        columns.keys.push(estimate.key.0 as u32);
        columns.slowness_millis.push(estimate.slowness_millis);
        columns.short_millis.push(estimate.short_millis);
    }
    columns
}

/// Returns a packet of an open flow, with `length` bytes of data from byte `sent` on, whose
/// caller has received `received` bytes.
pub fn data(from: u16, route: u8, target: u64, sent: u32, received: u32, length: u16) -> Packet {
    let first = acknowledgement(from, route, target);
    Packet {
        sequence: first.sequence + sent,
        acknowledgement: first.acknowledgement + received,
        length,
        ..first
    }
}

/// Returns the last packet of a flow.
pub fn finish(from: u16, route: u8, target: u64, sent: u32, received: u32) -> Packet {
    let flags = Flags { acknowledges: true, finishes: true, ..Flags::default() };
    Packet { flags, ..data(from, route, target, sent, received, 0) }
}

impl Harness {
    /// Creates an instance like [`Harness::new`] that uses load estimates.
    pub fn with_load(local: u64, remote: u64, settings: Settings) -> Self {
        let mut harness = Harness::new(local, remote);
        harness.front = harness.front.with_load(settings, harness.now);
        harness
    }

    /// Makes the instance send its samples to a peer, which sends it summaries.
    pub fn become_child(&mut self) {
        let topology = Topology { parent: Some(peer(1)), members: 2, ..Topology::default() };
        self.handle(Event::LoadTopology(topology));
    }

    /// Receives a summary from the parent. Its number rises with the time.
    pub fn receive_summary(&mut self, targets: &[Estimate], routes: &[RouteEstimate]) {
        let summary = Summary {
            number: self.now.0 / 500_000,
            spread_millis: 1_000,
            targets: Some(columns(targets)),
            routes: routes.to_vec(),
        };
        let message = Body::Summary(summary).into();
        self.handle(Event::Load { from: peer(1), message });
    }

    /// Returns the sums of the reports that were sent, after the next one.
    pub fn take_sums(&mut self) -> Sums {
        self.advance(500);
        let mut sums = Sums::default();
        for action in std::mem::take(&mut self.actions) {
            let Action::SendLoad { message, .. } = action else { continue };
            let Some(Body::Report(report)) = message.body else { continue };
            sums.add(&report.decode().expect("own reports are in range"));
        }
        sums
    }

    /// Opens a flow with a round trip of some time.
    pub fn establish_in(&mut self, from: u16, route: u8, round_trip_millis: u64) -> u64 {
        let target = self.open(from, route).expect("the flow is placed");
        self.advance(round_trip_millis);
        self.send(&acknowledgement(from, route, target));
        target
    }

    /// Opens a flow, sends a request, acknowledges an answer of `bytes` after `millis`, and
    /// ends the flow. Returns the target.
    pub fn exchange(&mut self, from: u16, route: u8, millis: u64, bytes: u32) -> u64 {
        let target = self.establish_in(from, route, ROUND_TRIP_MILLIS);
        self.finish_exchange(from, route, target, millis, bytes);
        target
    }

    /// Sends a request on an established flow, acknowledges the answer, and ends the flow.
    pub fn finish_exchange(&mut self, from: u16, route: u8, target: u64, millis: u64, bytes: u32) {
        self.send(&data(from, route, target, 0, 0, 200));
        self.advance(millis + ROUND_TRIP_MILLIS);
        self.send(&data(from, route, target, 200, bytes, 0));
        self.send(&finish(from, route, target, 200, bytes));
    }

    /// Opens a flow of each of `callers` and returns the number at each of `targets` targets.
    /// Each flow is ended at once.
    pub fn count_placements(&mut self, callers: Range<u16>, route: u8, targets: u64) -> Vec<u32> {
        let mut placements = vec![0; targets as usize];
        for from in callers {
            let target = self.establish_in(from, route, ROUND_TRIP_MILLIS);
            self.send(&finish(from, route, target, 0, 0));
            placements[target as usize - 1] += 1;
        }
        placements
    }

    /// Sends the opening packets of `callers` and returns how many are refused.
    pub fn count_refused(&mut self, callers: Range<u16>, route: u8) -> usize {
        let mut refused = 0;
        for from in callers {
            let verdict = self.send(&opening(from, route, 0));
            refused += usize::from(matches!(verdict, Verdict::Reset(_)));
        }
        refused
    }
}

/// Returns the sums of a route.
pub fn route_sums(sums: &Sums, number: u8) -> sums::Route {
    let key = key::Route::of(route_address(number));
    sums.routes.get(&key).copied().unwrap_or_default()
}

/// Returns the sums of a target.
pub fn target_sums(sums: &Sums, number: u64) -> sums::Target {
    sums.targets.get(&target_key(number)).copied().unwrap_or_default()
}

/// Returns the mean time at targets of the answers in a route's sums.
pub fn mean_time(sums: &Sums, number: u8) -> Span {
    let route = route_sums(sums, number);
    Span(route.time.0 / u64::from(route.timed.max(1)))
}
