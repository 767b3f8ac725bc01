//! The deployment: failure domains, machines, services, callers.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use mustardway_mirror::publication::Repeat;
use mustardway_types::parse;
use mustardway_types::time::Span;

/// A service and its targets.
#[derive(Debug, Clone)]
pub struct Service {
    /// Name.
    pub name: CompactString,
    /// Targets in each failure domain.
    pub targets: Vec<u32>,
    /// Requests that a target works on at a time.
    pub slots: u32,
    /// Requests that wait at a target, at most; others are turned away.
    pub queue: usize,
    /// Requests a second that a cold target bears, where limited.
    pub cold_rate: Option<u32>,
    /// How long a target that has just started is cold.
    pub cold: Span,
}

/// A kind of request.
#[derive(Debug, Clone)]
pub struct Class {
    /// Name.
    pub name: CompactString,
    /// Service that runs it, by its place among the services.
    pub service: usize,
    /// What callers may do again.
    pub repeat: Repeat,
    /// Flows stay open for further requests.
    pub is_persistent: bool,
    /// Requests a second, all failure domains together.
    pub rate: f64,
    /// Mean time that a target works on it.
    pub service_time: Span,
    /// Acknowledgements that its answer takes.
    pub parts: u32,
    /// Time in which it earns its full worth.
    pub aim: Span,
    /// Time after which the caller gives up.
    pub limit: Span,
}

/// A deployment.
#[derive(Debug, Clone)]
pub struct Site {
    /// Its name.
    pub name: CompactString,
    /// Failure domains.
    pub domains: Vec<CompactString>,
    /// Instances in each failure domain.
    pub instances: Vec<usize>,
    /// Services.
    pub services: Vec<Service>,
    /// Kinds of requests.
    pub classes: Vec<Class>,
    /// One way between failure domains.
    pub domain_delay: Span,
    /// One way between callers and instances or targets.
    pub caller_delay: Span,
    /// Bits a second of an instance's link.
    pub link_bits_per_second: f64,
    /// Time between two heartbeats of a target at the platform.
    pub heartbeat_interval: Span,
}

/// A deployment that is known by name.
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
    /// All of them.
    pub const ALL: [Preset; 3] = [Preset::FrioAustral, Preset::SanJose, Preset::SanJoseGrown];

    /// The deployment.
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
