//! Sites: the deployments that are simulated, with their failure domains, instances,
//! services and requests.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use mustardway_mirror::publication::Repeat;
use mustardway_types::parse;
use mustardway_types::time::Span;

/// Bandwidth of a wide link, in each direction.
pub const WIDE_LINK_BITS_PER_SECOND: f64 = 1e9;

/// A service and its targets.
#[derive(Debug, Clone)]
pub struct Service {
    /// Name of the service.
    pub name: CompactString,
    /// Number of targets in each failure domain.
    pub targets: Vec<u32>,
    /// Number of requests that a target runs concurrently.
    pub slots: u32,
    /// Maximum number of requests in a target's queue. Further requests are rejected.
    pub queue: usize,
    /// Requests per second that a cold target can handle, or `None` for no limit.
    pub cold_rate: Option<u32>,
    /// Time for which a target is cold after its start.
    pub cold: Span,
}

/// A class of requests. Each class has its own route.
#[derive(Debug, Clone)]
pub struct Class {
    /// Name of the class.
    pub name: CompactString,
    /// Index of the service that runs the requests.
    pub service: usize,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// Whether flows stay open for further requests.
    pub is_persistent: bool,
    /// Requests per second in all failure domains together.
    pub rate: f64,
    /// Mean service time.
    pub service_time: Span,
    /// Number of parts of an answer, each of which the caller acknowledges.
    pub parts: u32,
    /// Target latency: a request that is answered in this time has its full value.
    pub aim: Span,
    /// Timeout after which the caller gives up.
    pub limit: Span,
}

/// A deployment to simulate.
#[derive(Debug, Clone)]
pub struct Site {
    /// Name of the site.
    pub name: CompactString,
    /// Names of the failure domains.
    pub domains: Vec<CompactString>,
    /// Number of instances in each failure domain.
    pub instances: Vec<usize>,
    /// Services with their targets.
    pub services: Vec<Service>,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// One-way delay between failure domains.
    pub domain_delay: Span,
    /// One-way delay between callers and instances or targets.
    pub caller_delay: Span,
    /// Bandwidth of an instance's link, in each direction.
    pub link_bits_per_second: f64,
    /// Indexes of the instances whose links have [`WIDE_LINK_BITS_PER_SECOND`] instead.
    pub wide_links: Vec<usize>,
    /// Time between two renewals of a target's registration on the platform.
    pub heartbeat_interval: Span,
    /// Time after a target's notice from which no new flow may reach it.
    pub leaving_time: Span,
    /// Time after which a published configuration has to be in force.
    pub in_force_time: Span,
}

impl Site {
    /// Returns the bandwidth of the link of the instance with the given index.
    pub fn link_bits_per_second_of(&self, instance: usize) -> f64 {
        match self.wide_links.contains(&instance) {
            true => WIDE_LINK_BITS_PER_SECOND,
            false => self.link_bits_per_second,
        }
    }
}

/// A predefined site, which the command line selects by name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Preset {
    /// Van bookings and cold-chain alerts.
    FrioAustral,
    /// Frío Austral's grown deployment, most of it on narrow links.
    FrioAustralGrown,
    /// Orders and downloads.
    SanJose,
    /// San José's grown deployment, on narrow links.
    SanJoseGrown,
}

impl Preset {
    /// All predefined sites.
    pub const ALL: [Preset; 4] =
        [Preset::FrioAustral, Preset::FrioAustralGrown, Preset::SanJose, Preset::SanJoseGrown];

    /// Returns the site.
    pub fn site(self) -> Site {
        match self {
            Preset::FrioAustral => frio_austral(),
            Preset::FrioAustralGrown => frio_austral_grown(),
            Preset::SanJose => san_jose(),
            Preset::SanJoseGrown => san_jose_grown(),
        }
    }
}

impl fmt::Display for Preset {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Preset::FrioAustral => "frio-austral",
            Preset::FrioAustralGrown => "frio-austral-grown",
            Preset::SanJose => "san-jose",
            Preset::SanJoseGrown => "san-jose-grown",
        })
    }
}

impl FromStr for Preset {
    type Err = parse::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        const WANTED: &str = "site: frio-austral, frio-austral-grown, san-jose or san-jose-grown";
        let preset = Preset::ALL.into_iter().find(|preset| preset.to_string() == text);
        preset.ok_or_else(|| parse::Error::value(text, WANTED))
    }
}

/// Creates a service with the queue and cold period that all sites share.
fn service(name: &str, targets: &[u32], slots: u32) -> Service {
    Service {
        name: name.into(),
        targets: targets.to_vec(),
        slots,
        queue: 8,
        cold_rate: None,
        cold: Span::seconds(2),
    }
}

fn frio_austral() -> Site {
    let class = |name: &str, service, repeat, rate, service_time, aim, limit| Class {
        name: name.into(),
        service,
        repeat,
        is_persistent: false,
        rate,
        service_time: Span::millis(service_time),
        parts: 1,
        aim: Span::millis(aim),
        limit: Span::millis(limit),
    };
    let mut classes = vec![
        class("alert", 0, Repeat::Free, 292.0, 22, 120, 800),
        class("booking", 0, Repeat::Once, 83.3, 29, 150, 1_000),
        class("manifest", 1, Repeat::Free, 25.0, 5, 500, 3_000),
    ];
    classes[0].is_persistent = true;
    classes[2].parts = 17;
    Site {
        name: "frio-austral".into(),
        domains: vec!["rosario".into(), "cordoba".into(), "santa-fe".into()],
        instances: vec![3, 2, 2],
        services: vec![service("bookings", &[5, 5, 4], 2), service("archive", &[2, 1, 1], 2)],
        classes,
        domain_delay: Span(500),
        caller_delay: Span::millis(1),
        link_bits_per_second: WIDE_LINK_BITS_PER_SECOND,
        wide_links: Vec::new(),
        heartbeat_interval: Span::millis(770),
        leaving_time: Span::seconds(3),
        in_force_time: Span::seconds(3),
    }
}

fn frio_austral_grown() -> Site {
    let mut site = frio_austral();
    site.name = "frio-austral-grown".into();
    site.instances = vec![31, 28, 26];
    site.services =
        vec![service("bookings", &[44, 39, 37], 2), service("archive", &[11, 10, 9], 2)];
    let classes = [(1_137.0, 400, 2_000), (325.0, 400, 2_000), (97.4, 1_200, 6_000)];
    for (class, (rate, aim, limit)) in site.classes.iter_mut().zip(classes) {
        class.rate = rate;
        class.aim = Span::millis(aim);
        class.limit = Span::millis(limit);
    }
    site.link_bits_per_second = 10e6;
    site.wide_links = vec![0, 2, 31, 33, 59, 61];
    site.leaving_time = Span::seconds(5);
    site.in_force_time = Span::seconds(5);
    site
}

fn san_jose() -> Site {
    let mut site = frio_austral();
    site.name = "san-jose".into();
    site.domains = vec!["central-a".into(), "central-b".into(), "central-c".into()];
    site.instances = vec![4, 3, 2];
    site.services = vec![service("orders", &[5, 5, 4], 4), service("vault", &[2, 1, 1], 4)];
    let times = [("watch", 55, 250, 4_000), ("part", 72, 300, 5_000), ("fetch", 5, 500, 8_000)];
    for (class, (name, service_time, aim, limit)) in site.classes.iter_mut().zip(times) {
        class.name = name.into();
        class.service_time = Span::millis(service_time);
        class.aim = Span::millis(aim);
        class.limit = Span::millis(limit);
    }
    site.domain_delay = Span(900);
    site.caller_delay = Span::millis(3);
    site.heartbeat_interval = Span::millis(1_200);
    site
}

fn san_jose_grown() -> Site {
    let mut site = san_jose();
    site.name = "san-jose-grown".into();
    site.domains.push("central-d".into());
    site.instances = vec![24, 21, 22, 23];
    site.services =
        vec![service("orders", &[30, 30, 30, 30], 2), service("vault", &[8, 8, 7, 7], 2)];
    for class in &mut site.classes {
        class.rate *= 3.9;
        class.aim = Span(class.aim.0 * 2);
    }
    site.link_bits_per_second = 10e6;
    site
}
