//! Scenarios of planned work alone, on machines that run late.

use compact_str::format_compact;
use mustardway_types::time::Span;
use rand::RngExt;
use rand_pcg::Pcg32;

use crate::scenario::{Kind, Scenario};

/// Period in which a quota of the processor is enforced.
const QUOTA_PERIOD: Span = Span::millis(100);

impl Scenario {
    /// Creates a random scenario in which a failure domain is evacuated, instances are
    /// restarted in turn, targets are released and the configuration changes, while the
    /// processors of the instances are throttled, targets answer late and packets are lost.
    /// No instance or target fails.
    pub fn planned(seed: u64, domains: usize, services: usize) -> Self {
        let mut rng = Pcg32::new(seed, 5);
        let mut scenario = Scenario::quiet(20);
        scenario.name = format_compact!("planned-{seed}");
        scenario.load = rng.random_range(0.5..0.9);
        let all = Span::seconds(30);
        let run = Span::millis(rng.random_range(10..60));
        let crowded = rng.random_range(0.0..0.3);
        let throttle =
            Kind::Throttle { share: 0.9, run, period: QUOTA_PERIOD, crowded, lasts: all };
        scenario = scenario.with(0.0, throttle);
        for service in 0..services {
            let gap = Span::millis(rng.random_range(1_500..5_000));
            let share = rng.random_range(0.2..1.0);
            let longest = Span::millis(rng.random_range(200..600));
            let stutter = Kind::Stutter { service, share, gap, longest, lasts: all };
            scenario = scenario.with(0.0, stutter);
        }
        let share = rng.random_range(0.001..0.03);
        scenario = scenario.with(0.0, Kind::Drops { share, lasts: all });
        let domain = rng.random_range(0..domains);
        let lasts = Span::millis(rng.random_range(5_000..12_000));
        scenario = scenario.with(rng.random_range(2.0..6.0), Kind::Evacuate { domain, lasts });
        for _ in 0..rng.random_range(1..4) {
            let at = rng.random_range(1.0..14.0);
            scenario = scenario.with(at, draw_planned(&mut rng, services));
        }
        for _ in 0..rng.random_range(0..30) {
            let at = rng.random_range(1.0..16.0);
            let lasts = Span::millis(rng.random_range(600..2_000));
            scenario = scenario.with(at, Kind::Unchecked { share: 0.3, lasts });
        }
        scenario
    }
}

/// Draws other planned work.
fn draw_planned(rng: &mut Pcg32, services: usize) -> Kind {
    let gap = Span::millis(rng.random_range(600..2_500));
    match rng.random_range(0..4) {
        0 => Kind::Release { service: rng.random_range(0..services), share: 0.3, gap },
        1 => Kind::Configure { routes: rng.random_range(0..50) },
        _ => Kind::Roll { share: rng.random_range(0.3..1.0), gap },
    }
}
