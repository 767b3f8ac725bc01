//! Days on which nothing happens: the floor of what callers get, and its price.

use mustardway_emulator::scenario::{Day, Kind};
use mustardway_emulator::site::Known;
use mustardway_emulator::world::play;
use mustardway_types::time::Span;

/// Calls to the platform by one instance in a second, at most.
const CALLS: f64 = 0.15;

#[test]
fn calm_day_is_served() {
    for known in [Known::FrioAustral, Known::SanJose] {
        let site = known.site();
        let report = play(&site, &Day::quiet(30), 3);
        let total = report.total();
        assert!(report.broken.is_empty(), "{known}: {report}");
        assert_eq!(total.failed, 0, "{known}: {report}");
        assert!(total.in_time_share() >= 0.995, "{known}: {report}");
        // The machines run for 45 s; each reads once at its start.
        let instances: usize = site.instances.iter().sum();
        let most = CALLS * 45.0 * instances as f64 + instances as f64;
        assert!(f64::from(report.calls) <= most, "{known}: {report}");
        assert!(report.across * 100 <= report.placed, "{known}: {report}");
    }
}

#[test]
fn planned_work_breaks_nothing() {
    let gap = Span::seconds(1);
    let day = Day::quiet(30)
        .with(3.0, Kind::Release { service: 0, share: 0.5, gap })
        .with(6.0, Kind::Roll { share: 1.0, gap: Span::millis(2_500) })
        .with(8.0, Kind::Configure { routes: 100 })
        .with(15.0, Kind::Evacuate { domain: 1, lasts: Span::seconds(6) });
    for known in [Known::FrioAustral, Known::SanJose] {
        let report = play(&known.site(), &day, 5);
        assert!(report.broken.is_empty(), "{known}: {report}");
        assert!(report.total().in_time_share() >= 0.99, "{known}: {report}");
        assert!(report.total().failed_share() <= 0.001, "{known}: {report}");
    }
}

#[test]
fn equal_seeds_give_equal_days() {
    let site = Known::FrioAustral.site();
    let day = Day::drawn(11, 3, 2);
    let play = |seed| format!("{}", play(&site, &day, seed));
    assert_eq!(play(7), play(7));
    assert_ne!(play(7), play(8));
}
