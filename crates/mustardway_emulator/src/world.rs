//! The simulation: what happens, in order, and to whom.

mod control_plane;
mod request;

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};

use mustardway_flow::health::Outcome;
use mustardway_flow::note::Note;
use mustardway_flow::packet::Packet;
use mustardway_mirror::node::{Answer, Failure, Query};
use mustardway_types::time::{Instant, Span};
use mustardway_types::{domain, instance, service, target};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

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
use crate::target::Server;
use crate::variant::Variant;

/// Time from the start of the machines to the start of traffic.
const STARTUP_TIME: Span = Span::seconds(5);
/// Time between two ticks of an instance.
const TICK_INTERVAL: Span = Span::millis(50);
/// Time between two readiness checks.
const CHECK_INTERVAL: Span = Span::millis(500);
/// Time after the last request in which answers are awaited.
const ANSWER_WAIT: Span = Span::seconds(10);

/// What a caller receives.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Reply {
    /// A target takes the flow.
    Opened { target: usize, incarnation: u32 },
    /// The target has the request's bytes.
    Confirmed,
    /// The target has worked on the request.
    Answered { request: usize, closes: bool },
    /// The target has turned the request away.
    Rejected { request: usize },
    /// The flow is reset, by an instance or by a target.
    Reset { host: Option<usize> },
}

/// What happens.
#[derive(Debug, Clone)]
pub(crate) enum Event {
    NewRequest { domain: usize, class: usize },
    Retry { request: usize },
    RequestExpired { request: usize },
    FlowTimer { flow: u32, generation: u32 },
    ToHost { host: usize, flow: u32, packet: Packet, is_held: bool },
    ToTarget { host: usize, target: usize, flow: u32, packet: Packet },
    ToCaller { flow: u32, reply: Reply },
    RequestDone { target: usize, incarnation: u32, flow: u32, request: usize },
    Tick { host: usize, incarnation: u32 },
    Frame { from: usize, to: usize, frame: Frame },
    PlatformCall { host: usize, incarnation: u32, query: Query },
    PlatformAnswer { host: usize, incarnation: u32, answer: Result<Answer, Failure> },
    ProbeResult { host: usize, incarnation: u32, id: target::Id, outcome: Outcome },
    ReadinessCheck,
    Heartbeat { target: usize, incarnation: u32 },
    Disruption(usize),
    FollowUp(FollowUp),
}

/// The simulation of one day.
pub struct World {
    pub(crate) site: Site,
    pub(crate) scenario: Scenario,
    pub(crate) now: Instant,
    /// When traffic starts.
    pub(crate) traffic_start: Instant,
    pub(crate) queue: Queue<Event>,
    pub(crate) rng: Pcg32,
    pub(crate) network: Network,
    pub(crate) platform: Platform,
    /// When the platform last did not answer somebody.
    pub(crate) platform_impaired_until: Instant,
    pub(crate) evacuated: BTreeMap<usize, Instant>,
    pub(crate) configuration_version: u64,
    /// Routes beyond those of the site, and since when there are so many.
    pub(crate) extra_routes: (usize, Instant),
    pub(crate) domain_names: Vec<domain::Name>,
    pub(crate) service_names: Vec<service::Name>,
    pub(crate) hosts: Vec<Host>,
    pub(crate) upstreams: Vec<Upstream>,
    pub(crate) servers: Vec<Server>,
    pub(crate) requests: Vec<Request>,
    pub(crate) flows: Vec<Flow>,
    pub(crate) by_caller: BTreeMap<SocketAddrV4, u32>,
    /// Open flows that wait for a request, by failure domain and class.
    pub(crate) idle: BTreeMap<(usize, usize), Vec<u32>>,
    pub(crate) report: Report,
    pub(crate) variant: Variant,
    pub(crate) defect: Defect,
    pub(crate) listener: Option<Listener>,
}

/// Takes the decisions of instances: time from the start of traffic, instance,
/// decision.
pub type Listener = Box<dyn FnMut(Span, &instance::Id, &Note)>;

/// Plays a day; equal arguments give equal reports.
pub fn simulate(site: &Site, scenario: &Scenario, seed: u64) -> Report {
    simulate_variant(site, scenario, seed, Variant::default())
}

/// Plays a day with another way to choose targets.
pub fn simulate_variant(site: &Site, scenario: &Scenario, seed: u64, variant: Variant) -> Report {
    let mut world = World::new(site.clone(), scenario.clone(), seed, variant);
    world.run();
    world.report
}

/// Plays a day with instances that have a defect.
pub fn simulate_defect(site: &Site, scenario: &Scenario, seed: u64, defect: Defect) -> Report {
    let mut world = World::new(site.clone(), scenario.clone(), seed, Variant::default());
    world.defect = defect;
    world.run();
    world.report
}

/// Plays a day and tells `listener` every decision.
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

/// Address of a route.
pub(crate) fn route_address(number: usize) -> SocketAddrV4 {
    let [.., third, fourth] = (number as u32).to_be_bytes();
    SocketAddrV4::new(Ipv4Addr::new(198, 18, third, fourth), 443)
}

impl World {
    fn new(site: Site, scenario: Scenario, seed: u64, variant: Variant) -> Self {
        let start = Instant::default() + Span::seconds(3_600);
        let name = |text: &compact_str::CompactString| text.parse().expect("a site's name");
        let service_names =
            site.services.iter().map(|service| service.name.parse().expect("a site's name"));
        let mut world = World {
            network: Network::new(site.domain_delay),
            now: start,
            traffic_start: start + STARTUP_TIME,
            queue: Queue::default(),
            rng: Pcg32::seed_from_u64(seed),
            platform: Platform::default(),
            platform_impaired_until: Instant::default(),
            evacuated: BTreeMap::new(),
            configuration_version: 0,
            extra_routes: (0, start),
            domain_names: site.domains.iter().map(name).collect(),
            service_names: service_names.collect(),
            hosts: Vec::new(),
            upstreams: Vec::new(),
            servers: Vec::new(),
            requests: Vec::new(),
            flows: Vec::new(),
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

    fn set_up(&mut self) {
        self.publish_configuration(0);
        for service in 0..self.site.services.len() {
            for (domain, count) in self.site.services[service].targets.clone().iter().enumerate() {
                for _ in 0..*count {
                    let target = self.servers.len();
                    self.servers.push(Server::new(target, service, domain, self.now));
                    self.queue.add(self.now, Event::Heartbeat { target, incarnation: 0 });
                }
            }
        }
        for (domain, count) in self.site.instances.clone().into_iter().enumerate() {
            for _ in 0..count {
                let host = self.hosts.len();
                let link = Link::new(self.site.link_bits_per_second);
                let name = &self.domain_names[domain];
                self.hosts.push(Host::new(host, domain, name, 0, link, self.variant, self.now));
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
        for (number, disruption) in self.scenario.disruptions.iter().enumerate() {
            self.queue.add(self.traffic_start + disruption.at, Event::Disruption(number));
        }
    }

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
            Event::RequestDone { target, incarnation, flow, request } => {
                self.request_done(target, incarnation, flow, request);
            }
            Event::Tick { host, incarnation } => self.tick(host, incarnation),
            Event::Frame { from, to, frame } => self.receive_frame(from, to, frame),
            Event::PlatformCall { host, incarnation, query } => {
                self.call_platform(host, incarnation, query);
            }
            Event::PlatformAnswer { host, incarnation, answer } => {
                self.platform_answered(host, incarnation, answer);
            }
            Event::ProbeResult { host, incarnation, id, outcome } => {
                self.probe_finished(host, incarnation, id, outcome);
            }
            Event::ReadinessCheck => self.check_readiness(),
            Event::Heartbeat { target, incarnation } => self.heartbeat(target, incarnation),
            Event::Disruption(number) => {
                let kind = self.scenario.disruptions[number].kind.clone();
                self.begin_disruption(&kind);
            }
            Event::FollowUp(follow_up) => self.run_follow_up(follow_up),
        }
    }

    /// The routers ask every instance whether it is ready.
    fn check_readiness(&mut self) {
        for (upstream, host) in self.upstreams.iter_mut().zip(&self.hosts) {
            upstream.record_check(host.is_ready(self.now));
        }
        self.expire();
        self.check_routes();
        self.queue.add(self.now + CHECK_INTERVAL, Event::ReadinessCheck);
    }

    /// Starts an instance that has ended.
    pub(crate) fn start_host(&mut self, host: usize) {
        let old = &self.hosts[host];
        let (domain, incarnation) = (old.domain, old.incarnation + 1);
        let link = Link::new(self.site.link_bits_per_second);
        let name = &self.domain_names[domain];
        self.hosts[host] = Host::new(host, domain, name, incarnation, link, self.variant, self.now);
        self.queue.add(self.now, Event::Tick { host, incarnation });
    }

    /// Whether a failure domain could not reach the platform at some time after
    /// `since`.
    pub(crate) fn was_cut_from_platform(&self, domain: usize, since: Instant) -> bool {
        self.network.was_cut(domain, self.site.domains.len(), since)
    }

    /// Whether the platform's configuration has a route for an address.
    pub(crate) fn is_routed(&self, route: SocketAddrV4) -> bool {
        (0..self.site.classes.len()).any(|class| route_address(class) == route)
    }
}
