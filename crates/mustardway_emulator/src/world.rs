//! The simulation: its state, its event loop and the functions that run it.

mod control_plane;
mod request;

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use mustardway_flow::health::Outcome;
use mustardway_flow::note::Note;
use mustardway_flow::packet::Packet;
use mustardway_flow::token::Token;
use mustardway_mirror::node::{Answer, Failure, Query, Ticket};
use mustardway_mirror::publication::Item;
use mustardway_types::time::{Instant, Span};
use mustardway_types::{domain, instance, service, target};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use crate::arrival::Arrival;
use crate::arrival_rate::Burst;
use crate::caller::{Flow, Request};
use crate::defect::Defect;
use crate::disruption::FollowUp;
use crate::host::{Frame, Host};
use crate::network::{Link, Network};
use crate::platform::Platform;
use crate::queue::Queue;
use crate::report::Report;
use crate::router::Upstream;
use crate::scenario::Scenario;
use crate::site::Site;
use crate::strain::Strain;
use crate::target::Server;
use crate::variant::Variant;

/// Time from the start of the instances and targets to the start of traffic.
const STARTUP_TIME: Span = Span::seconds(5);
/// Time between two ticks of an instance.
const TICK_INTERVAL: Span = Span::millis(50);
/// Time between two readiness checks by the routers.
const CHECK_INTERVAL: Span = Span::millis(500);
/// Time for which the simulation continues after the last request, so that answers
/// can arrive.
const ANSWER_WAIT: Span = Span::seconds(10);

/// A packet that a caller receives.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Reply {
    /// A target accepts the flow.
    Opened { target: usize, incarnation: u32, token: Token },
    /// The target acknowledges the bytes of the request.
    Confirmed,
    /// The target answers the request. If `closes` is set, it also ends the flow.
    Answered { request: usize, closes: bool },
    /// The target rejects the request without running it.
    Rejected { request: usize },
    /// The flow is reset by the instance `host`, or by a target if that is `None`.
    Reset { host: Option<usize> },
}

/// A query of an instance to the platform.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Call {
    pub(crate) host: usize,
    pub(crate) incarnation: u32,
    pub(crate) ticket: Ticket,
    pub(crate) query: Query,
    /// Time at which the query arrived at the platform.
    pub(crate) asked: Instant,
}

/// An event of the simulation.
///
/// An event that carries an incarnation or a generation has no effect on a later one.
#[derive(Debug, Clone)]
pub(crate) enum Event {
    /// Send the next request of a class from a failure domain.
    NewRequest { domain: usize, class: usize },
    /// Send a request again after a failed attempt.
    Retry { request: usize },
    /// The timeout of a request has passed.
    RequestExpired { request: usize },
    /// A copy of the opening packet or a retransmission is due.
    FlowTimer { flow: u32, generation: u32 },
    /// A caller's packet arrives at an instance.
    ToHost { host: usize, flow: u32, packet: Packet, is_held: bool },
    /// A forwarded packet arrives at a target.
    ToTarget { host: usize, target: usize, flow: u32, packet: Packet },
    /// A reply arrives at a caller.
    ToCaller { flow: u32, reply: Reply },
    /// A target repeats its answer to an opening packet unless the flow is open.
    RepeatAnswer { target: usize, incarnation: u32, flow: u32, token: Token, repeats: u32 },
    /// A target has finished a request.
    RequestDone { target: usize, incarnation: u32, flow: u32, request: usize },
    /// An instance's tick is due.
    Tick { host: usize, incarnation: u32 },
    /// Data reaches the link of an instance.
    Arrival(Box<Arrival>),
    /// A message arrives at an instance.
    Frame { from: usize, to: usize, frame: Frame },
    /// A query of an instance, `asked` at the given time, is due at the platform.
    PlatformCall(Call),
    /// The platform's answer, or the failure of the call, reaches the instance.
    PlatformAnswer(Call, Result<Answer, Failure>),
    /// The outcome of a probe reaches the instance.
    ProbeResult {
        host: usize,
        incarnation: u32,
        id: target::Id,
        outcome: Outcome,
        /// Time from which the probe counts as silent.
        deadline: Instant,
    },
    /// The routers' next readiness check is due.
    ReadinessCheck,
    /// A target's next heartbeat is due.
    Heartbeat { target: usize, incarnation: u32 },
    /// A disruption of the scenario begins, given by index.
    Disruption(usize),
    /// A later step of a disruption is due.
    FollowUp(FollowUp),
}

/// The state of one simulation run.
///
/// `hosts` are the simulated instances and `servers` the simulated targets. Other
/// fields refer to both by index, as they do to failure domains, services, classes,
/// requests and flows.
pub struct World {
    pub(crate) site: Site,
    pub(crate) scenario: Scenario,
    pub(crate) now: Instant,
    /// Time at which callers start to send requests.
    pub(crate) traffic_start: Instant,
    pub(crate) queue: Queue<Event>,
    pub(crate) rng: Pcg32,
    pub(crate) network: Network,
    pub(crate) strain: Strain,
    pub(crate) platform: Platform,
    /// End of the latest time in which the platform did not answer some instance. It
    /// may lie in the future.
    pub(crate) platform_impaired_until: Instant,
    /// Start of the evacuation of each evacuated failure domain.
    pub(crate) evacuated: BTreeMap<usize, Instant>,
    /// Version of the published configuration.
    pub(crate) configuration_version: u64,
    /// The configuration that was published last.
    pub(crate) configuration: Item,
    /// Number of published routes beyond those of the site, and the time at which it
    /// was published.
    pub(crate) extra_routes: (usize, Instant),
    pub(crate) domain_names: Vec<domain::Name>,
    pub(crate) service_names: Vec<service::Name>,
    pub(crate) hosts: Vec<Host>,
    pub(crate) upstreams: Vec<Upstream>,
    pub(crate) servers: Vec<Server>,
    pub(crate) requests: Vec<Request>,
    pub(crate) flows: Vec<Flow>,
    /// Bursts that have begun, in order of time.
    pub(crate) bursts: Vec<Burst>,
    /// Latest flow of each caller address.
    pub(crate) by_caller: BTreeMap<SocketAddrV4, u32>,
    /// Open flows without a request, by failure domain and class.
    pub(crate) idle: BTreeMap<(usize, usize), Vec<u32>>,
    pub(crate) report: Report,
    pub(crate) variant: Variant,
    pub(crate) defect: Defect,
    pub(crate) listener: Option<Listener>,
}

/// Receives every decision of an instance, with the time from the start of traffic
/// and the id of the instance.
pub type Listener = Box<dyn FnMut(Span, &instance::Id, &Note)>;

/// Runs a scenario with the default policy. Equal arguments give equal reports.
pub fn simulate(site: &Site, scenario: &Scenario, seed: u64) -> Report {
    simulate_variant(site, scenario, seed, Variant::default())
}

/// Runs a scenario with the given load-balancing policy.
pub fn simulate_variant(site: &Site, scenario: &Scenario, seed: u64, variant: Variant) -> Report {
    let mut world = World::new(site.clone(), scenario.clone(), seed, variant);
    world.run();
    world.report
}

/// Runs a scenario with a defect in every instance.
pub fn simulate_defect(site: &Site, scenario: &Scenario, seed: u64, defect: Defect) -> Report {
    let mut world = World::new(site.clone(), scenario.clone(), seed, Variant::default());
    world.defect = defect;
    world.run();
    world.report
}

/// Runs a scenario and passes every decision of an instance to `listener`.
pub fn simulate_with_listener(
    site: &Site,
    scenario: &Scenario,
    seed: u64,
    listener: Listener,
) -> Report {
    let mut world = World::new(site.clone(), scenario.clone(), seed, Variant::default());
    world.listener = Some(listener);
    world.run();
    world.report
}

/// Returns the address of the route with the given index.
pub(crate) fn route_address(index: usize) -> SocketAddrV4 {
    let [.., third, fourth] = (index as u32).to_be_bytes();
    SocketAddrV4::new(Ipv4Addr::new(198, 18, third, fourth), 443)
}

impl World {
    /// Creates the state at the start of the instances and targets, with the first
    /// events in the queue.
    fn new(site: Site, scenario: Scenario, seed: u64, variant: Variant) -> Self {
        let start = Instant::default() + Span::seconds(3_600);
        let name = |text: &compact_str::CompactString| {
            text.parse().expect("the names in a site are valid")
        };
        let service_names = site
            .services
            .iter()
            .map(|service| service.name.parse().expect("the names in a site are valid"));
        let mut world = World {
            network: Network::new(site.domain_delay),
            strain: Strain::new(seed),
            now: start,
            traffic_start: start + STARTUP_TIME,
            queue: Queue::default(),
            rng: Pcg32::seed_from_u64(seed),
            platform: Platform::default(),
            platform_impaired_until: Instant::default(),
            evacuated: BTreeMap::new(),
            configuration_version: 0,
            configuration: Item::Configuration(Arc::default()),
            extra_routes: (0, start),
            domain_names: site.domains.iter().map(name).collect(),
            service_names: service_names.collect(),
            hosts: Vec::new(),
            upstreams: Vec::new(),
            servers: Vec::new(),
            requests: Vec::new(),
            flows: Vec::new(),
            bursts: Vec::new(),
            by_caller: BTreeMap::new(),
            idle: BTreeMap::new(),
            report: Report::default(),
            variant,
            defect: Defect::None,
            listener: None,
            site,
            scenario,
        };
        world.set_up();
        world
    }

    /// Creates the instances and targets and schedules the first events.
    fn set_up(&mut self) {
        self.publish_configuration(0);
        for service in 0..self.site.services.len() {
            for (domain, count) in self.site.services[service].targets.clone().iter().enumerate() {
                for _ in 0..*count {
                    let (target, speed) = (self.servers.len(), self.next_speed(service));
                    self.servers.push(Server::new(target, service, domain, speed, self.now));
                    self.queue.add(self.now, Event::Heartbeat { target, incarnation: 0 });
                }
            }
        }
        for (domain, count) in self.site.instances.clone().into_iter().enumerate() {
            for _ in 0..count {
                let host = self.hosts.len();
                let link = Link::new(self.site.link_bits_per_second_of(host));
                let name = &self.domain_names[domain];
                let policy = (self.variant, self.site.load);
                self.hosts.push(Host::new(host, domain, name, 0, link, policy, self.now));
                self.upstreams.push(Upstream::new(domain));
                let stagger = Span(self.rng.random_range(0..TICK_INTERVAL.0));
                self.queue.add(self.now + stagger, Event::Tick { host, incarnation: 0 });
            }
        }
        self.queue.add(self.now + CHECK_INTERVAL, Event::ReadinessCheck);
        for domain in 0..self.site.domains.len() {
            for class in 0..self.site.classes.len() {
                self.queue.add(self.traffic_start, Event::NewRequest { domain, class });
            }
        }
        for (index, disruption) in self.scenario.disruptions.iter().enumerate() {
            self.queue.add(self.traffic_start + disruption.at, Event::Disruption(index));
        }
    }

    /// Handles all events until the end of the run. Requests that are still open then
    /// count as failed.
    fn run(&mut self) {
        let end = self.traffic_start + self.scenario.duration + ANSWER_WAIT;
        while let Some((at, event)) = self.queue.next() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle_event(event);
        }
        for request in 0..self.requests.len() {
            self.record_outcome(request, None);
        }
    }

    fn handle_event(&mut self, event: Event) {
        let Some(event) = self.defer_if_late(event) else { return };
        match event {
            Event::NewRequest { domain, class } => self.start_request(domain, class),
            Event::Retry { request } => self.send_request(request),
            Event::RequestExpired { request } => self.expire_request(request),
            Event::FlowTimer { flow, generation } => self.flow_timer(flow, generation),
            Event::ToHost { host, flow, packet, is_held } => {
                self.packet_at_host(host, flow, packet, is_held);
            }
            Event::ToTarget { host, target, flow, packet } => {
                self.packet_at_target(host, target, flow, packet);
            }
            Event::ToCaller { flow, reply } => self.receive_reply(flow, reply),
            Event::RepeatAnswer { target, incarnation, flow, token, repeats } => {
                self.repeat_answer(target, incarnation, flow, token, repeats);
            }
            Event::RequestDone { target, incarnation, flow, request } => {
                self.request_done(target, incarnation, flow, request);
            }
            Event::Tick { host, incarnation } => self.tick(host, incarnation),
            Event::Arrival(arrival) => self.receive(*arrival),
            Event::Frame { from, to, frame } => self.receive_frame(from, to, frame),
            Event::PlatformCall(call) => self.call_platform(call),
            Event::PlatformAnswer(call, answer) => self.platform_answered(call, answer),
            Event::ProbeResult { host, incarnation, id, outcome, .. } => {
                self.probe_finished(host, incarnation, id, outcome);
            }
            Event::ReadinessCheck => self.check_readiness(),
            Event::Heartbeat { target, incarnation } => self.heartbeat(target, incarnation),
            Event::Disruption(index) => {
                let kind = self.scenario.disruptions[index].kind.clone();
                self.begin_disruption(&kind);
            }
            Event::FollowUp(follow_up) => self.run_follow_up(follow_up),
        }
    }

    /// Checks the readiness of every instance on behalf of the routers. Also expires
    /// registrations and checks the routes of the instances.
    fn check_readiness(&mut self) {
        for (index, (upstream, host)) in self.upstreams.iter_mut().zip(&self.hosts).enumerate() {
            let is_answered = self.strain.answers_checks(index, self.now);
            upstream.record_check(is_answered && host.is_ready(self.now));
        }
        self.expire();
        self.check_routes();
        self.queue.add(self.now + CHECK_INTERVAL, Event::ReadinessCheck);
    }

    /// Restarts an instance with empty state, as a new incarnation.
    pub(crate) fn start_host(&mut self, host: usize) {
        let old = &self.hosts[host];
        let (domain, incarnation) = (old.domain, old.incarnation + 1);
        let link = Link::new(self.site.link_bits_per_second_of(host));
        let name = &self.domain_names[domain];
        let policy = (self.variant, self.site.load);
        self.hosts[host] = Host::new(host, domain, name, incarnation, link, policy, self.now);
        self.queue.add(self.now, Event::Tick { host, incarnation });
    }

    /// Returns the speed of the next target of a service.
    pub(crate) fn next_speed(&self, service: usize) -> f64 {
        let number = self.servers.iter().filter(|server| server.service == service).count();
        self.site.services[service].speed(number)
    }

    /// Returns whether callers send requests now.
    pub(crate) fn has_traffic(&self) -> bool {
        let end = self.traffic_start + self.scenario.duration;
        self.now >= self.traffic_start && self.now < end
    }

    /// Returns whether a failure domain was cut off from the platform at any time
    /// after `since`.
    pub(crate) fn was_cut_from_platform(&self, domain: usize, since: Instant) -> bool {
        self.network.was_cut(domain, self.site.domains.len(), since)
    }

    /// Returns whether an address belongs to a route of the site.
    pub(crate) fn is_routed(&self, route: SocketAddrV4) -> bool {
        (0..self.site.classes.len()).any(|class| route_address(class) == route)
    }
}
