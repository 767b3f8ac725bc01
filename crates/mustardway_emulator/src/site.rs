//! Sites: the deployments that are simulated, with their failure domains, instances,
//! services and requests.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use mustardway_mirror::publication::Repeat;
use mustardway_types::parse;
use mustardway_types::time::Span;

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
    /// Bandwidth of an instance's link.
    pub link_bits_per_second: f64,
    /// Time between two renewals of a target's registration on the platform.
    pub heartbeat_interval: Span,
}

/// A predefined site, which the command line selects by name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Preset {
    /// Van bookings and cold-chain alerts.
    FrioAustral,
    /// Orders and downloads.
    SanJose,
    /// San José's grown deployment, on narrow links.
    SanJoseGrown,
}

impl Preset {
    /// All predefined sites.
    pub const ALL: [Preset; 3] = [Preset::FrioAustral, Preset::SanJose, Preset::SanJoseGrown];

    /// Returns the site.
    pub fn site(self) -> Site {
        match self {
            Preset::FrioAustral => frio_austral(),
            Preset::SanJose => san_jose(),
            Preset::SanJoseGrown => san_jose_grown(),
        }
    }
}

impl fmt::Display for Preset {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Preset::FrioAustral => "frio-austral",
            Preset::SanJose => "san-jose",
            Preset::SanJoseGrown => "san-jose-grown",
        })
    }
}

impl FromStr for Preset {
    type Err = parse::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        const WANTED: &str = "site: frio-austral, san-jose or san-jose-grown";
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
        link_bits_per_second: 1e9,
        heartbeat_interval: Span::millis(770),
    }
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
