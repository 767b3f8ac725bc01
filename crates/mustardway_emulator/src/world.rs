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
use crate::disruption::Later;
use crate::host::{Frame, Host};
use crate::network::{Link, Network};
use crate::platform::Platform;
use crate::queue::Queue;
use crate::report::Report;
use crate::router::Seat;
use crate::scenario::Day;
use crate::site::Site;
use crate::target::Server;
use crate::variant::Variant;

/// Time from the start of the machines to the start of traffic.
const LEAD: Span = Span::seconds(5);
/// Time between two ticks of an instance.
const TICK: Span = Span::millis(50);
/// Time between two readiness checks.
const CHECK: Span = Span::millis(500);
/// Time after the last request in which answers are awaited.
const TAIL: Span = Span::seconds(10);

/// What a caller receives.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Reply {
    /// A target takes the flow.
    Opened { target: usize, life: u32 },
    /// The target has the request's bytes.
    Confirmed,
    /// The target has worked on the request.
    Answered { request: usize, closes: bool },
    /// The target has turned the request away.
    TurnedAway { request: usize },
    /// The flow is reset, by an instance or by a target.
    Reset { host: Option<usize> },
}

/// What happens.
#[derive(Debug, Clone)]
pub(crate) enum Event {
    Ask { domain: usize, class: usize },
    Retry { request: usize },
    GiveUp { request: usize },
    Timer { flow: u32, generation: u32 },
    ToHost { host: usize, flow: u32, packet: Packet, is_held: bool },
    ToTarget { host: usize, target: usize, flow: u32, packet: Packet },
    ToCaller { flow: u32, reply: Reply },
    Done { target: usize, life: u32, flow: u32, request: usize },
    Tick { host: usize, life: u32 },
    Frame { from: usize, to: usize, frame: Frame },
    Call { host: usize, life: u32, ask: Query },
    Answer { host: usize, life: u32, answer: Result<Answer, Failure> },
    Probed { host: usize, life: u32, id: target::Id, outcome: Outcome },
    Check,
    Beat { target: usize, life: u32 },
    Begin(usize),
    Later(Later),
}

/// The simulation of one day.
pub struct World {
    pub(crate) site: Site,
    pub(crate) day: Day,
    pub(crate) now: Instant,
    /// When traffic starts.
    pub(crate) traffic: Instant,
    pub(crate) queue: Queue<Event>,
    pub(crate) rng: Pcg32,
    pub(crate) network: Network,
    pub(crate) platform: Platform,
    /// When the platform last did not answer somebody.
    pub(crate) platform_harmed: Instant,
    pub(crate) evacuated: BTreeMap<usize, Instant>,
    pub(crate) version: u64,
    /// Routes beyond those of the site, and since when there are so many.
    pub(crate) further: (usize, Instant),
    pub(crate) domain_names: Vec<domain::Name>,
    pub(crate) service_names: Vec<service::Name>,
    pub(crate) hosts: Vec<Host>,
    pub(crate) seats: Vec<Seat>,
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
pub fn play(site: &Site, day: &Day, seed: u64) -> Report {
    play_variant(site, day, seed, Variant::default())
}

/// Plays a day with another way to choose targets.
pub fn play_variant(site: &Site, day: &Day, seed: u64, variant: Variant) -> Report {
    let mut world = World::new(site.clone(), day.clone(), seed, variant);
    world.run();
    world.report
}

/// Plays a day with instances that have a defect.
pub fn play_defect(site: &Site, day: &Day, seed: u64, defect: Defect) -> Report {
    let mut world = World::new(site.clone(), day.clone(), seed, Variant::default());
    world.defect = defect;
    world.run();
    world.report
}

/// Plays a day and tells `listener` every decision.
pub fn play_aloud(site: &Site, day: &Day, seed: u64, listener: Listener) -> Report {
    let mut world = World::new(site.clone(), day.clone(), seed, Variant::default());
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
    fn new(site: Site, day: Day, seed: u64, variant: Variant) -> Self {
        let start = Instant::default() + Span::seconds(3_600);
        let name = |text: &compact_str::CompactString| text.parse().expect("a site's name");
        let service_names =
            site.services.iter().map(|service| service.name.parse().expect("a site's name"));
        let mut world = World {
            network: Network::new(site.across),
            now: start,
            traffic: start + LEAD,
            queue: Queue::default(),
            rng: Pcg32::seed_from_u64(seed),
            platform: Platform::default(),
            platform_harmed: Instant::default(),
            evacuated: BTreeMap::new(),
            version: 0,
            further: (0, start),
            domain_names: site.domains.iter().map(name).collect(),
            service_names: service_names.collect(),
            hosts: Vec::new(),
            seats: Vec::new(),
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
            day,
        };
        world.set_up();
        world
    }

    fn set_up(&mut self) {
        self.configure(0);
        for service in 0..self.site.services.len() {
            for (domain, count) in self.site.services[service].targets.clone().iter().enumerate() {
                for _ in 0..*count {
                    let target = self.servers.len();
                    self.servers.push(Server::new(target, service, domain, self.now));
                    self.queue.add(self.now, Event::Beat { target, life: 0 });
                }
            }
        }
        for (domain, count) in self.site.instances.clone().into_iter().enumerate() {
            for _ in 0..count {
                let host = self.hosts.len();
                let link = Link::new(self.site.link);
                let name = &self.domain_names[domain];
                self.hosts.push(Host::new(host, domain, name, 0, link, self.variant, self.now));
                self.seats.push(Seat::new(domain));
                let stagger = Span(self.rng.random_range(0..TICK.0));
                self.queue.add(self.now + stagger, Event::Tick { host, life: 0 });
            }
        }
        self.queue.add(self.now + CHECK, Event::Check);
        for domain in 0..self.site.domains.len() {
            for class in 0..self.site.classes.len() {
                self.queue.add(self.traffic, Event::Ask { domain, class });
            }
        }
        for (number, trouble) in self.day.troubles.iter().enumerate() {
            self.queue.add(self.traffic + trouble.at, Event::Begin(number));
        }
    }

    fn run(&mut self) {
        let end = self.traffic + self.day.length + TAIL;
        while let Some((at, event)) = self.queue.next() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        for request in 0..self.requests.len() {
            self.count(request, None);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Ask { domain, class } => self.ask(domain, class),
            Event::Retry { request } => self.send_request(request),
            Event::GiveUp { request } => self.give_up(request),
            Event::Timer { flow, generation } => self.timer(flow, generation),
            Event::ToHost { host, flow, packet, is_held } => {
                self.packet_to_host(host, flow, packet, is_held);
            }
            Event::ToTarget { host, target, flow, packet } => {
                self.packet_to_target(host, target, flow, packet);
            }
            Event::ToCaller { flow, reply } => self.reply(flow, reply),
            Event::Done { target, life, flow, request } => self.done(target, life, flow, request),
            Event::Tick { host, life } => self.tick(host, life),
            Event::Frame { from, to, frame } => self.frame(from, to, frame),
            Event::Call { host, life, ask } => self.call(host, life, ask),
            Event::Answer { host, life, answer } => self.answer(host, life, answer),
            Event::Probed { host, life, id, outcome } => self.probed(host, life, id, outcome),
            Event::Check => self.check(),
            Event::Beat { target, life } => self.beat(target, life),
            Event::Begin(number) => {
                let kind = self.day.troubles[number].kind.clone();
                self.begin(&kind);
            }
            Event::Later(later) => self.go_on(later),
        }
    }

    /// The routers ask every instance whether it is ready.
    fn check(&mut self) {
        for (seat, host) in self.seats.iter_mut().zip(&self.hosts) {
            seat.check(host.is_ready(self.now));
        }
        self.expire();
        self.judge_routes();
        self.queue.add(self.now + CHECK, Event::Check);
    }

    /// Starts an instance that has ended.
    pub(crate) fn start_host(&mut self, host: usize) {
        let old = &self.hosts[host];
        let (domain, life) = (old.domain, old.life + 1);
        let link = Link::new(self.site.link);
        let name = &self.domain_names[domain];
        self.hosts[host] = Host::new(host, domain, name, life, link, self.variant, self.now);
        self.queue.add(self.now, Event::Tick { host, life });
    }

    /// Whether a failure domain could not reach the platform at some time after
    /// `since`.
    pub(crate) fn was_cut_from_platform(&self, domain: usize, since: Instant) -> bool {
        self.network.was_harmed(domain, self.site.domains.len(), since)
    }

    /// Whether the platform's configuration has a route for an address.
    pub(crate) fn is_routed(&self, route: SocketAddrV4) -> bool {
        (0..self.site.classes.len()).any(|class| route_address(class) == route)
    }
}
