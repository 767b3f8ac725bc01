//! What happens on a day.

use compact_str::{CompactString, format_compact};
use mustardway_types::time::Span;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

/// A trouble or a planned change.
#[derive(Debug, Clone, PartialEq)]
pub enum Kind {
    /// A share of a service's targets end without notice.
    Crash {
        /// Service, by its place.
        service: usize,
        /// Share of its targets.
        share: f64,
        /// They do not answer at all; else their machines refuse.
        is_dark: bool,
        /// They start again after this time.
        lasts: Span,
    },
    /// All targets of a failure domain end, and come back cold.
    DomainTargetsDown {
        /// Failure domain, by its place.
        domain: usize,
        /// They start again after this time.
        lasts: Span,
    },
    /// A share of a service's targets are replaced: the new one starts, then the
    /// old one leaves.
    Release {
        /// Service, by its place.
        service: usize,
        /// Share of its targets.
        share: f64,
        /// Time between two replacements.
        gap: Span,
    },
    /// Targets work slower.
    Slow {
        /// Service, by its place.
        service: usize,
        /// Share of its targets.
        share: f64,
        /// By this factor.
        factor: f64,
        /// For this time.
        lasts: Span,
    },
    /// Targets go down and up by turns.
    Flap {
        /// Service, by its place.
        service: usize,
        /// Share of its targets.
        share: f64,
        /// Time between two turns.
        period: Span,
        /// For this time.
        lasts: Span,
    },
    /// Targets take requests and leave a part of them unanswered.
    Mute {
        /// Service, by its place.
        service: usize,
        /// Share of its targets.
        share: f64,
        /// Part of their requests.
        part: f64,
        /// For this time.
        lasts: Span,
    },
    /// Instances lose power.
    PowerOff {
        /// Share of the instances.
        share: f64,
        /// They start again after this time.
        lasts: Span,
    },
    /// A failure domain loses power, instances and targets.
    DomainLost {
        /// Failure domain, by its place.
        domain: usize,
        /// They start again after this time.
        lasts: Span,
    },
    /// Instances are stopped as planned and started again, one after the other.
    Roll {
        /// Share of the instances.
        share: f64,
        /// Time between two of them.
        gap: Span,
    },
    /// Instances stand still.
    Freeze {
        /// Share of the instances.
        share: f64,
        /// For this time.
        lasts: Span,
    },
    /// A failure domain is cut off from the others and the platform.
    Cut {
        /// Failure domain, by its place.
        domain: usize,
        /// For this time.
        lasts: Span,
        /// Connections over the cut are refused instead of going unanswered.
        refuses: bool,
    },
    /// Two failure domains cannot reach each other.
    BridgeCut {
        /// The two, by their places.
        domains: (usize, usize),
        /// For this time.
        lasts: Span,
    },
    /// The platform does not answer.
    PlatformDown {
        /// For this time.
        lasts: Span,
        /// Registrations run out meanwhile.
        lapses: bool,
    },
    /// The platform does not answer some instances.
    PlatformRefuses {
        /// Share of the instances.
        share: f64,
        /// For this time.
        lasts: Span,
    },
    /// The platform is slow, and some answers are lost.
    PlatformSlow {
        /// Time more that an answer takes.
        delay: Span,
        /// Share of the answers that are lost.
        loss: f64,
        /// For this time.
        lasts: Span,
    },
    /// The platform forgets its history.
    PlatformForgets,
    /// A failure domain is to get nothing.
    Evacuate {
        /// Failure domain, by its place.
        domain: usize,
        /// For this time.
        lasts: Span,
    },
    /// A new configuration with this many routes more.
    Configure {
        /// Routes more than before.
        routes: usize,
    },
}

/// A trouble and when it begins.
#[derive(Debug, Clone, PartialEq)]
pub struct Disruption {
    /// Time from the start of traffic.
    pub at: Span,
    /// What happens.
    pub kind: Kind,
}

/// A day.
#[derive(Debug, Clone, PartialEq)]
pub struct Scenario {
    /// Name.
    pub name: CompactString,
    /// How long callers send requests.
    pub duration: Span,
    /// Traffic against the site's own.
    pub load: f64,
    /// What happens.
    pub disruptions: Vec<Disruption>,
}

impl Scenario {
    /// A day of `seconds` on which nothing happens.
    pub fn quiet(seconds: u64) -> Self {
        let (name, duration) = ("quiet".into(), Span::seconds(seconds));
        Scenario { name, duration, load: 0.7, disruptions: Vec::new() }
    }

    /// The same with something that happens at `seconds`.
    #[must_use]
    pub fn with(mut self, seconds: f64, kind: Kind) -> Self {
        let at = Span((seconds * 1e6) as u64);
        self.disruptions.push(Disruption { at, kind });
        self
    }

    /// A day of troubles of every kind drawn by `seed`.
    pub fn mixed(seed: u64, domains: usize, services: usize) -> Self {
        let mut scenario = Scenario::random(seed, domains, services);
        // A stream of its own, so that the drawn part stays the same.
        let mut rng = Pcg32::new(seed, 1);
        for _ in 0..rng.random_range(1..4) {
            let at = rng.random_range(1.0..24.0);
            scenario = scenario.with(at, draw_mixed_only(&mut rng, domains, services));
        }
        scenario.name = format_compact!("mixed-{seed}");
        scenario
    }

    /// A day of troubles drawn by `seed`.
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

/// One of the kinds that [`Day::drawn`] does not draw.
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
