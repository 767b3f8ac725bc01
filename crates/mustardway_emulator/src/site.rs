//! Sites: the deployments that are simulated, with their failure domains, instances,
//! services and requests.

use std::f64::consts::TAU;

use compact_str::CompactString;
use mustardway_flow::load::Settings;
use mustardway_mirror::publication::Repeat;
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
