//! Plays the days that `docs/DESIGN.md` compares with the users' bench: one
//! trouble each, on Frío Austral's site, at 280 requests a second.

use mustardway_emulator::report::Counts;
use mustardway_emulator::scenario::{Day, Kind};
use mustardway_emulator::site::Known;
use mustardway_emulator::world::play;
use mustardway_types::time::Span;

/// Seconds of traffic.
const LENGTH: u64 = 24;
/// Requests a second of all callers.
const RATE: f64 = 280.0;
/// Seeds that each day is played with.
const SEEDS: u64 = 5;

fn main() {
    let site = Known::FrioAustral.site();
    let own: f64 = site.classes.iter().map(|class| class.rate).sum();
    let quiet = Day { load: RATE / own, ..Day::quiet(LENGTH) };
    println!("day            in time    late  failed");
    println!("{}", row("calm", &quiet));
    for (name, at, kind) in days() {
        println!("{}", row(name, &quiet.clone().with(at, kind)));
    }
}

/// What became of a day's requests, over all seeds.
fn row(name: &str, day: &Day) -> String {
    let site = Known::FrioAustral.site();
    let mut counts = Counts::default();
    for seed in 1..=SEEDS {
        counts = counts + play(&site, day, seed).total();
    }
    let share = |count: u32| f64::from(count) / f64::from(counts.asked.max(1)) * 100.0;
    let (in_time, late, failed) = (share(counts.in_time), share(counts.late), share(counts.failed));
    format!("{name:<14} {in_time:6.2}% {late:6.2}% {failed:6.2}%")
}

/// Each trouble with the second at which it begins.
fn days() -> [(&'static str, f64, Kind); 10] {
    let seconds = Span::seconds;
    [
        ("release", 4.0, Kind::Release { service: 0, share: 0.5, gap: seconds(1) }),
        ("roll", 4.0, Kind::Roll { share: 1.0, gap: Span::millis(2_500) }),
        ("power-off", 8.0, Kind::PowerOff { share: 0.4, lasts: seconds(2) }),
        ("all-off", 8.0, Kind::PowerOff { share: 1.0, lasts: seconds(2) }),
        ("freeze", 8.0, Kind::Freeze { share: 0.4, lasts: seconds(3) }),
        ("crash", 8.0, Kind::Crash { service: 0, share: 0.3, is_dark: false, lasts: seconds(5) }),
        ("domain-cut", 8.0, Kind::Cut { domain: 0, lasts: seconds(5), refuses: false }),
        ("platform-down", 8.0, Kind::PlatformDown { lasts: seconds(5), lapses: false }),
        ("evacuate", 8.0, Kind::Evacuate { domain: 0, lasts: seconds(8) }),
        ("domain-lost", 8.0, Kind::DomainLost { domain: 0, lasts: seconds(3) }),
    ]
}
