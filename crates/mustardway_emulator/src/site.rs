//! Sites: the deployments that are simulated, with their failure domains, instances,
//! services and requests.

use std::f64::consts::TAU;
use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use mustardway_flow::load::Settings;
use mustardway_mirror::publication::Repeat;
use mustardway_types::parse;
use mustardway_types::time::Span;

/// Bandwidth of a wide link, in each direction.
pub const WIDE_LINK_BITS_PER_SECOND: f64 = 1e9;

/// Number of times in a period at which the maximum of a swing is looked for.
const SWING_STEPS: u64 = 200;

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
    /// Speeds of the targets, assigned in turn in the order of their start. A request
    /// takes the service time divided by the speed. Empty if all speeds are 1.
    pub speeds: Vec<f64>,
}

impl Service {
    /// Returns the speed of the target that is the `number`th of the service.
    pub fn speed(&self, number: usize) -> f64 {
        match self.speeds.len() {
            0 => 1.0,
            count => self.speeds[number % count],
        }
    }

    /// Returns the slots of all targets, each multiplied by the speed of its target.
    pub fn capacity(&self) -> f64 {
        let targets: u32 = self.targets.iter().sum();
        (0..targets as usize).map(|number| f64::from(self.slots) * self.speed(number)).sum()
    }
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
    /// Priority under overload. 0 is the most urgent.
    pub urgency: u32,
    /// Whether flows stay open for further requests.
    pub is_persistent: bool,
    /// Requests per second in all failure domains together.
    pub rate: f64,
    /// Mean service time.
    pub service_time: Span,
    /// Number of parts of an answer, each of which the caller acknowledges.
    pub parts: u32,
    /// Size of one part of an answer.
    pub part_bytes: u32,
    /// Target latency: a request that is answered in this time has its full value.
    pub aim: Span,
    /// Timeout after which the caller gives up.
    pub limit: Span,
}

/// A periodic change of the demand, which reaches the failure domains one after another.
#[derive(Debug, Clone)]
pub struct Swing {
    /// Greatest change of a rate, as a share of its mean.
    pub amplitude: f64,
    /// Time from one maximum to the next.
    pub period: Span,
    /// Position of each failure domain in its period at the start of traffic, as a share
    /// of the period.
    pub phases: Vec<f64>,
}

impl Swing {
    /// Returns the factor on the rates of a failure domain at `at` from the start of
    /// traffic.
    pub fn factor(&self, domain: usize, at: Span) -> f64 {
        let phase = self.phases.get(domain).copied().unwrap_or_default();
        let turns = at.as_seconds() / self.period.as_seconds() + phase;
        1.0 + self.amplitude * (turns * TAU).sin()
    }
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
    /// Periodic change of the demand, if any.
    pub swing: Option<Swing>,
    /// Time after which a caller sends a failed request again.
    pub retry_delay: Span,
    /// Whether a caller closes a flow on which a target rejected a request, so that the
    /// instance sees the end of the answer. Otherwise the caller abandons the flow.
    pub closes_rejected: bool,
    /// What the instances use load estimates for.
    pub load: Settings,
    /// Whether instances exchange load estimates. Otherwise each uses its own samples.
    pub is_load_shared: bool,
}

impl Site {
    /// Returns the bandwidth of the link of the instance with the given index.
    pub fn link_bits_per_second_of(&self, instance: usize) -> f64 {
        match self.wide_links.contains(&instance) {
            true => WIDE_LINK_BITS_PER_SECOND,
            false => self.link_bits_per_second,
        }
    }

    /// Returns the factor on the request rates at which the demand for one service reaches
    /// its capacity at the maximum of the swing, while no other service has less spare
    /// capacity. At that factor a smaller demand than the maximum leaves slots idle.
    pub fn load_at_capacity(&self) -> f64 {
        let mut load = f64::INFINITY;
        for (index, service) in self.services.iter().enumerate() {
            let classes = self.classes.iter().filter(|class| class.service == index);
            let busy: f64 = classes.map(|class| class.rate * class.service_time.as_seconds()).sum();
            load = load.min(service.capacity() / busy);
        }
        load / self.peak_factor()
    }

    /// Returns the greatest factor that the swing gives the demand of all failure domains
    /// together.
    fn peak_factor(&self) -> f64 {
        let Some(swing) = &self.swing else { return 1.0 };
        let all: usize = self.instances.iter().sum();
        let mut peak: f64 = 1.0;
        for step in 0..SWING_STEPS {
            let at = Span(swing.period.0 * step / SWING_STEPS);
            let mut factor = 0.0;
            for (domain, instances) in self.instances.iter().enumerate() {
                factor += swing.factor(domain, at) * *instances as f64 / all as f64;
            }
            peak = peak.max(factor);
        }
        peak
    }

    /// Returns this site with the given settings of the load estimates.
    #[must_use]
    pub fn with_load(mut self, load: Settings) -> Self {
        self.load = load;
        self
    }

    /// Returns a smaller site with the instances, targets and rates divided by `divisor`.
    /// Each failure domain keeps at least one instance, and one target of each service.
    #[must_use]
    pub fn divided(mut self, divisor: usize) -> Self {
        let divisor = divisor.max(1);
        for count in &mut self.instances {
            *count = count.div_ceil(divisor);
        }
        for service in &mut self.services {
            for count in &mut service.targets {
                *count = count.div_ceil(divisor as u32);
            }
        }
        for class in &mut self.classes {
            class.rate /= divisor as f64;
        }
        self.wide_links.clear();
        self
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
    /// Targets of unequal speed, and demand that swings.
    Uneven,
    /// Equal targets that the demand may exceed.
    Contended,
    /// The gazette: a few instances, short flows, and queues that take as long as the aim.
    Gazette,
    /// The gazette's grown deployment.
    GazetteGrown,
}

impl Preset {
    /// All predefined sites.
    pub const ALL: [Preset; 8] = [
        Preset::FrioAustral,
        Preset::FrioAustralGrown,
        Preset::SanJose,
        Preset::SanJoseGrown,
        Preset::Uneven,
        Preset::Contended,
        Preset::Gazette,
        Preset::GazetteGrown,
    ];

    /// Returns the site.
    pub fn site(self) -> Site {
        match self {
            Preset::FrioAustral => frio_austral(),
            Preset::FrioAustralGrown => frio_austral_grown(),
            Preset::SanJose => san_jose(),
            Preset::SanJoseGrown => san_jose_grown(),
            Preset::Uneven => uneven(),
            Preset::Contended => contended(),
            Preset::Gazette => gazette(),
            Preset::GazetteGrown => gazette_grown(),
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
            Preset::Uneven => "uneven",
            Preset::Contended => "contended",
            Preset::Gazette => "gazette",
            Preset::GazetteGrown => "gazette-grown",
        })
    }
}

impl FromStr for Preset {
    type Err = parse::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        const WANTED: &str = "site: frio-austral, frio-austral-grown, san-jose, \
            san-jose-grown, uneven, contended, gazette or gazette-grown";
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
        speeds: Vec::new(),
    }
}

fn frio_austral() -> Site {
    let class = |name: &str, service, repeat, rate, service_time, aim, limit| Class {
        name: name.into(),
        service,
        repeat,
        urgency: u32::from(repeat == Repeat::Free),
        is_persistent: false,
        rate,
        service_time: Span::millis(service_time),
        parts: 1,
        part_bytes: 2_400,
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
        swing: None,
        retry_delay: Span::millis(10),
        closes_rejected: false,
        load: Settings::default(),
        is_load_shared: true,
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

/// Sets rate, service time, aim and limit of each class of a site. Times are in
/// microseconds.
fn set_classes(site: &mut Site, classes: [(f64, u64, u64, u64); 3]) {
    for (class, (rate, service_time, aim, limit)) in site.classes.iter_mut().zip(classes) {
        class.rate = rate;
        class.service_time = Span(service_time);
        class.aim = Span(aim);
        class.limit = Span(limit);
        class.part_bytes = 2_000;
    }
}

fn uneven() -> Site {
    let mut site = san_jose_grown();
    site.name = "uneven".into();
    site.domains = ["zone-a", "zone-b", "zone-c", "zone-d"].map(CompactString::from).to_vec();
    site.instances = vec![22, 21, 21, 21];
    site.services[0].speeds = vec![0.55, 1.2, 1.2, 1.2];
    set_classes(
        &mut site,
        [
            (1_001.0, 26_000, 400_000, 2_500_000),
            (286.0, 33_000, 500_000, 3_000_000),
            (85.8, 4_200, 1_200_000, 8_000_000),
        ],
    );
    site.domain_delay = Span(500);
    site.swing = Some(Swing {
        amplitude: 0.55,
        period: Span::seconds(15),
        phases: vec![0.1, 0.18, 0.26, 0.34],
    });
    site.retry_delay = Span::ZERO;
    site.closes_rejected = true;
    site
}

fn contended() -> Site {
    let mut site = frio_austral_grown();
    site.name = "contended".into();
    site.domains = ["zone-a", "zone-b", "zone-c"].map(CompactString::from).to_vec();
    site.instances = vec![27, 26, 26];
    site.services =
        vec![service("bookings", &[40, 40, 40], 2), service("archive", &[10, 10, 10], 2)];
    set_classes(
        &mut site,
        [
            (1_312.0, 22_000, 500_000, 3_000_000),
            (375.0, 29_000, 500_000, 3_000_000),
            (112.0, 5_000, 1_500_000, 10_000_000),
        ],
    );
    site.wide_links = Vec::new();
    site.domain_delay = Span(1_400);
    site.retry_delay = Span::ZERO;
    site.closes_rejected = true;
    site
}

fn gazette() -> Site {
    let mut site = san_jose();
    site.name = "gazette".into();
    site.domains = ["east-a", "east-b", "east-c"].map(CompactString::from).to_vec();
    site.instances = vec![3, 3, 2];
    site.services = vec![service("gazette", &[5, 5, 4], 4), service("archive", &[2, 1, 1], 4)];
    for service in &mut site.services {
        service.queue = 16;
    }
    set_classes(
        &mut site,
        [
            (292.0, 55_000, 250_000, 2_500_000),
            (83.3, 72_000, 300_000, 3_000_000),
            (25.0, 5_000, 500_000, 5_000_000),
        ],
    );
    set_gazette(&mut site);
    site
}

fn gazette_grown() -> Site {
    let mut site = gazette();
    site.name = "gazette-grown".into();
    site.instances = vec![21, 21, 23];
    site.services =
        vec![service("gazette", &[40, 40, 40], 2), service("archive", &[10, 10, 10], 2)];
    set_classes(
        &mut site,
        [
            (1_137.0, 55_000, 600_000, 4_000_000),
            (325.0, 72_000, 600_000, 4_000_000),
            (97.5, 5_000, 1_500_000, 8_000_000),
        ],
    );
    site.link_bits_per_second = 10e6;
    set_gazette(&mut site);
    site
}

/// Sets what both deployments of the gazette share: a flow for each request.
fn set_gazette(site: &mut Site) {
    site.classes[0].is_persistent = false;
    site.classes[0].parts = 2;
    site.classes[1].parts = 1;
    site.classes[1].part_bytes = 600;
    site.classes[2].parts = 34;
    site.domain_delay = Span(1_400);
    site.caller_delay = Span::millis(1);
    site.swing =
        Some(Swing { amplitude: 0.15, period: Span::seconds(11), phases: vec![0.71, 0.059, 0.91] });
    site.retry_delay = Span::ZERO;
    site.closes_rejected = true;
}
