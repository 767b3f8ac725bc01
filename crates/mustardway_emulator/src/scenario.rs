//! Scenarios: the load and the disruptions of a simulation run. The command line
//! calls a scenario a day.

use compact_str::{CompactString, format_compact};
use mustardway_types::time::Span;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

/// A kind of disruption: a fault or a planned change. The command line prints the
/// names of the variants and their fields.
#[derive(Debug, Clone, PartialEq)]
pub enum Kind {
    /// A share of a service's targets crash.
    Crash {
        /// Index of the service.
        service: usize,
        /// Share of the service's targets.
        share: f64,
        /// Whether connections to the crashed targets go unanswered. Otherwise they
        /// are refused.
        is_dark: bool,
        /// Time until the targets restart.
        lasts: Span,
    },
    /// All targets in a failure domain crash and restart cold.
    DomainTargetsDown {
        /// Index of the failure domain.
        domain: usize,
        /// Time until the targets restart.
        lasts: Span,
    },
    /// A release replaces a share of a service's targets one by one. The new target
    /// starts before the old one leaves.
    Release {
        /// Index of the service.
        service: usize,
        /// Share of the service's targets.
        share: f64,
        /// Time from one replacement to the next.
        gap: Span,
    },
    /// A share of a service's targets slow down.
    Slow {
        /// Index of the service.
        service: usize,
        /// Share of the service's targets.
        share: f64,
        /// Factor by which requests take longer.
        factor: f64,
        /// Duration of the slowdown.
        lasts: Span,
    },
    /// Callers send more requests than usual.
    Burst {
        /// Index of the class, or `None` for all classes.
        class: Option<usize>,
        /// Factor on the request rates.
        factor: f64,
        /// Duration of the burst.
        lasts: Span,
    },
    /// A share of a service's targets repeatedly crash and restart.
    Flap {
        /// Index of the service.
        service: usize,
        /// Share of the service's targets.
        share: f64,
        /// Time that a target stays down, and then up.
        period: Span,
        /// Duration of the flapping.
        lasts: Span,
    },
    /// A share of a service's targets accept connections but leave some requests
    /// unanswered.
    Mute {
        /// Index of the service.
        service: usize,
        /// Share of the service's targets.
        share: f64,
        /// Share of the requests that go unanswered.
        part: f64,
        /// Duration of the fault.
        lasts: Span,
    },
    /// A share of the instances lose power.
    PowerOff {
        /// Share of the instances.
        share: f64,
        /// Duration of the power loss.
        lasts: Span,
    },
    /// All instances and targets in a failure domain lose power. Afterwards new
    /// targets with other ids take the place of the old ones.
    DomainLost {
        /// Index of the failure domain.
        domain: usize,
        /// Duration of the power loss.
        lasts: Span,
    },
    /// The links between a failure domain and the others lose packets. Targets repeat
    /// their answers to opening packets meanwhile.
    Lossy {
        /// Index of the failure domain.
        domain: usize,
        /// Share of the packets that are lost.
        share: f64,
        /// Duration of the losses.
        lasts: Span,
    },
    /// A rolling restart: a share of the instances are stopped gracefully and
    /// restarted, one after the other.
    Roll {
        /// Share of the instances.
        share: f64,
        /// Time from one stop to the next.
        gap: Span,
    },
    /// A share of the instances are paused, as a suspended process is.
    Freeze {
        /// Share of the instances.
        share: f64,
        /// Duration of the pause.
        lasts: Span,
    },
    /// A quota limits the processor of a share of the instances: in each period they run
    /// for a part of it only. Planned work: no rule makes an exception for it. Targets
    /// repeat their answers to opening packets from then on.
    Throttle {
        /// Share of the instances.
        share: f64,
        /// Part of each period in which an instance runs.
        run: Span,
        /// Length of a period.
        period: Span,
        /// Share of the periods in which packets take the whole of `run`, so that messages
        /// wait until the next one.
        crowded: f64,
        /// Duration of the quota.
        lasts: Span,
    },
    /// A share of a service's targets stand still for 150 ms or more now and then. Targets
    /// repeat their answers to opening packets from then on.
    Stutter {
        /// Index of the service.
        service: usize,
        /// Share of the service's targets.
        share: f64,
        /// Usual time from one time that a target stands still to the next.
        gap: Span,
        /// Longest time for which a target stands still.
        longest: Span,
        /// Duration of the fault.
        lasts: Span,
    },
    /// A share of the callers' packets, acknowledgements included, are lost because
    /// instances do not read them in time. Packets of a flow within 20 ms are lost together.
    Drops {
        /// Share of the packets.
        share: f64,
        /// Duration of the losses.
        lasts: Span,
    },
    /// A share of the instances do not answer the routers' checks in time, though they run.
    Unchecked {
        /// Share of the instances.
        share: f64,
        /// Time for which the checks go unanswered.
        lasts: Span,
    },
    /// A network partition separates a failure domain from all others and from the
    /// platform.
    Cut {
        /// Index of the failure domain.
        domain: usize,
        /// Duration of the partition.
        lasts: Span,
        /// Whether connections across the partition are refused. Otherwise they go
        /// unanswered.
        refuses: bool,
    },
    /// A network partition separates two failure domains from each other.
    BridgeCut {
        /// Indexes of the failure domains.
        domains: (usize, usize),
        /// Duration of the partition.
        lasts: Span,
    },
    /// The platform does not answer.
    PlatformDown {
        /// Duration of the outage.
        lasts: Span,
        /// Whether the registrations of the targets expire during the outage.
        lapses: bool,
    },
    /// The platform does not answer a share of the instances.
    PlatformRefuses {
        /// Share of the instances.
        share: f64,
        /// Duration of the fault.
        lasts: Span,
    },
    /// The platform is slow, and some of its answers are lost.
    PlatformSlow {
        /// Additional response time.
        delay: Span,
        /// Share of the answers that are lost.
        loss: f64,
        /// Duration of the fault.
        lasts: Span,
    },
    /// The platform is unavailable and comes back from an older copy of its state.
    /// The operator and the targets then publish again what the copy lacks.
    PlatformRestored {
        /// Age of the copy at the beginning of the outage.
        lost: Span,
        /// Duration of the outage.
        lasts: Span,
        /// Time after which the operator publishes again.
        rewrite: Span,
    },
    /// The platform discards its change history, so that instances have to read
    /// everything that is published.
    PlatformForgets,
    /// A failure domain is evacuated: its targets must get no new flows.
    Evacuate {
        /// Index of the failure domain.
        domain: usize,
        /// Duration of the evacuation.
        lasts: Span,
    },
    /// A new configuration is published.
    Configure {
        /// Number of routes in addition to those of the site.
        routes: usize,
    },
}

/// A fault or planned change that begins at a given time.
#[derive(Debug, Clone, PartialEq)]
pub struct Disruption {
    /// Time from the start of traffic.
    pub at: Span,
    /// Kind of the disruption.
    pub kind: Kind,
}

/// The load and the disruptions of a simulation run.
#[derive(Debug, Clone, PartialEq)]
pub struct Scenario {
    /// Name of the scenario.
    pub name: CompactString,
    /// Time for which callers send requests.
    pub duration: Span,
    /// Factor on the request rates of the site.
    pub load: f64,
    /// Disruptions, in the order in which they were added.
    pub disruptions: Vec<Disruption>,
}

impl Scenario {
    /// Creates a scenario of `seconds` without disruptions.
    pub fn quiet(seconds: u64) -> Self {
        let (name, duration) = ("quiet".into(), Span::seconds(seconds));
        Scenario { name, duration, load: 0.7, disruptions: Vec::new() }
    }

    /// Adds a disruption that begins at `seconds`.
    #[must_use]
    pub fn with(mut self, seconds: f64, kind: Kind) -> Self {
        let at = Span((seconds * 1e6) as u64);
        self.disruptions.push(Disruption { at, kind });
        self
    }

    /// Creates a random scenario with disruptions of every kind.
    pub fn mixed(seed: u64, domains: usize, services: usize) -> Self {
        let mut scenario = Scenario::random(seed, domains, services);
        // A separate random stream keeps the rest equal to `random` with this seed.
        let mut rng = Pcg32::new(seed, 1);
        for _ in 0..rng.random_range(1..4) {
            let at = rng.random_range(1.0..24.0);
            scenario = scenario.with(at, draw_mixed_only(&mut rng, domains, services));
        }
        scenario.name = format_compact!("mixed-{seed}");
        scenario
    }

    /// Creates a random scenario like [`Scenario::mixed`], in which the platform is also
    /// restored from a copy once or twice, shortly after changes.
    pub fn restored(seed: u64, domains: usize, services: usize) -> Self {
        let mut scenario = Scenario::mixed(seed, domains, services);
        let mut rng = Pcg32::new(seed, 2);
        for _ in 0..rng.random_range(1..3) {
            let at = rng.random_range(4.0..22.0);
            let lost = Span::millis(rng.random_range(500..5_000));
            let lasts = Span::millis(rng.random_range(100..2_000));
            let rewrite = Span::millis(rng.random_range(50..1_500));
            let before = at - rng.random_range(0.0..3.0);
            let change = match rng.random_range(0..3) {
                0 => Kind::Configure { routes: rng.random_range(0..50) },
                1 => {
                    let domain = rng.random_range(0..domains);
                    Kind::Evacuate { domain, lasts: Span::millis(rng.random_range(1_000..9_000)) }
                }
                _ => {
                    let service = rng.random_range(0..services);
                    Kind::Release { service, share: 0.3, gap: Span::millis(700) }
                }
            };
            scenario = scenario.with(before, change);
            scenario = scenario.with(at, Kind::PlatformRestored { lost, lasts, rewrite });
        }
        scenario.name = format_compact!("restored-{seed}");
        scenario
    }

    /// Creates a random scenario like [`Scenario::mixed`], in which large configurations
    /// are also published, each larger than the one before. The largest can be read over a
    /// link of 10 Mbit/s within the timeout of a call.
    pub fn large(seed: u64, domains: usize, services: usize) -> Self {
        let mut scenario = Scenario::mixed(seed, domains, services);
        let mut rng = Pcg32::new(seed, 3);
        let (mut at, mut routes) = (0.0, 0);
        for _ in 0..rng.random_range(2..4) {
            at += rng.random_range(1.0..9.0);
            routes += rng.random_range(800..1_600);
            scenario = scenario.with(at, Kind::Configure { routes });
        }
        scenario.name = format_compact!("large-{seed}");
        scenario
    }

    /// Creates a random scenario without the kinds that only [`Scenario::mixed`]
    /// draws.
    pub fn random(seed: u64, domains: usize, services: usize) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut scenario = Scenario::quiet(30);
        scenario.name = format_compact!("drawn-{seed}");
        scenario.load = rng.random_range(0.6..1.0);
        for _ in 0..rng.random_range(2..7) {
            let at = rng.random_range(1.0..24.0);
            let kind = draw(&mut rng, domains, services);
            scenario = scenario.with(at, kind);
        }
        scenario
    }
}

/// Draws one of the kinds that [`Scenario::random`] does not draw.
fn draw_mixed_only(rng: &mut Pcg32, domains: usize, services: usize) -> Kind {
    let service = rng.random_range(0..services);
    let domain = rng.random_range(0..domains);
    let share = rng.random_range(0.1..0.4);
    let lasts = Span::millis(rng.random_range(1_000..7_000));
    match rng.random_range(0..5) {
        0 => Kind::Flap { service, share, period: Span::millis(900), lasts },
        1 => Kind::Mute { service, share, part: rng.random_range(0.2..1.0), lasts },
        2 => Kind::DomainLost { domain, lasts },
        3 => Kind::PowerOff { share: 1.0, lasts: Span::millis(rng.random_range(200..1_500)) },
        _ => {
            let delay = Span::millis(rng.random_range(50..400));
            Kind::PlatformSlow { delay, loss: share, lasts }
        }
    }
}

/// Draws one of the kinds of [`Scenario::random`].
fn draw(rng: &mut Pcg32, domains: usize, services: usize) -> Kind {
    let service = rng.random_range(0..services);
    let domain = rng.random_range(0..domains);
    let share = rng.random_range(0.1..0.4);
    let lasts = Span::millis(rng.random_range(1_000..7_000));
    let gap = Span::millis(rng.random_range(700..1_500));
    match rng.random_range(0..14) {
        0 => Kind::Crash { service, share, is_dark: true, lasts },
        1 => Kind::Crash { service, share, is_dark: false, lasts },
        2 => Kind::DomainTargetsDown { domain, lasts },
        3 => Kind::Release { service, share, gap },
        4 => Kind::Slow { service, share, factor: rng.random_range(2.0..6.0), lasts },
        5 => Kind::PowerOff { share: if share > 0.3 { 1.0 } else { share }, lasts },
        6 => Kind::Roll { share, gap },
        7 => Kind::Freeze { share, lasts },
        8 => Kind::Cut { domain, lasts, refuses: share > 0.25 },
        9 => Kind::BridgeCut { domains: (domain, (domain + 1) % domains), lasts },
        10 => Kind::PlatformDown { lasts, lapses: share > 0.25 },
        11 => Kind::PlatformRefuses { share, lasts },
        12 => Kind::Evacuate { domain, lasts },
        _ if share > 0.3 => Kind::PlatformForgets,
        _ => Kind::Configure { routes: rng.random_range(0..200) },
    }
}
