//! What callers get while targets are lost, played over several seeds.

use mustardway_emulator::scenario::{Day, Kind};
use mustardway_emulator::site::Known;
use mustardway_emulator::world::play;
use mustardway_types::time::Span;

/// Requests that are lost with a target that falls silent: those at work on it
/// and those sent to it until it is found out. At 483 requests a second over 18
/// targets, a fifth of them silent, half a second of their share is 48.
#[test]
fn silent_targets_are_found_out() {
    let lasts = Span::seconds(8);
    let kind = Kind::Crash { service: 0, share: 0.2, is_dark: true, lasts };
    let day = Day::quiet(16).with(4.0, kind);
    for seed in 1..=3 {
        let report = play(&Known::FrioAustral.site(), &day, seed);
        let total = report.total();
        assert!(report.broken.is_empty(), "seed {seed}: {report}");
        assert!(total.failed + total.late <= 48 + 12, "seed {seed}: {report}");
    }
}

/// A failure domain that is cut off serves its callers by its own targets.
#[test]
fn cut_domain_serves_itself() {
    let kind = Kind::Cut { domain: 0, lasts: Span::seconds(6), refuses: false };
    let day = Day::quiet(18).with(4.0, kind);
    for known in [Known::FrioAustral, Known::SanJose] {
        let report = play(&known.site(), &day, 2);
        assert!(report.broken.is_empty(), "{known}: {report}");
        assert!(report.total().failed_share() <= 0.002, "{known}: {report}");
        assert!(report.total().in_time_share() >= 0.985, "{known}: {report}");
    }
}

/// The platform is away, registrations lapse, and instances restart meanwhile.
#[test]
fn platform_is_away() {
    let day = Day::quiet(20)
        .with(4.0, Kind::PlatformDown { lasts: Span::seconds(8), lapses: true })
        .with(6.0, Kind::PowerOff { share: 0.3, lasts: Span::seconds(1) });
    for known in [Known::FrioAustral, Known::SanJose] {
        let report = play(&known.site(), &day, 2);
        assert!(report.broken.is_empty(), "{known}: {report}");
        let after = report.between(Span::seconds(12), Span::seconds(16));
        assert!(after.failed_share() <= 0.005, "{known}: {after:?}");
    }
}
