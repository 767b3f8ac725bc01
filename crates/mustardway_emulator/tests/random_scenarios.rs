//! Days of drawn troubles: no rule is broken, whatever comes when.

use mustardway_emulator::scenario::Day;
use mustardway_emulator::site::Known;
use mustardway_emulator::world::play;

/// Days of each site; many more are played by hand.
const DAYS: u64 = 12;

fn play_days(known: Known, days: u64) {
    let site = known.site();
    for seed in 1..=days {
        let day = Day::drawn(seed, site.domains.len(), site.services.len());
        let report = play(&site, &day, seed);
        assert!(report.broken.is_empty(), "{known}, day {seed}: {report}");
    }
}

#[test]
fn frio_austral_days() {
    play_days(Known::FrioAustral, DAYS);
}

#[test]
fn san_jose_days() {
    play_days(Known::SanJose, DAYS);
}

#[test]
fn grown_day() {
    play_days(Known::SanJoseGrown, 1);
}

#[test]
fn mixed_days() {
    for known in [Known::FrioAustral, Known::SanJose] {
        let site = known.site();
        for seed in 1..=DAYS {
            let day = Day::mixed(seed, site.domains.len(), site.services.len());
            let report = play(&site, &day, seed);
            assert!(report.broken.is_empty(), "{known}, mixed day {seed}: {report}");
        }
    }
}
