//! Plays the days that `docs/DESIGN.md` compares with the users' bench: one
//! trouble each, on Frío Austral's site, at 280 requests a second.

use mustardway_emulator::report::Counts;
use mustardway_emulator::scenario::{Kind, Scenario};
use mustardway_emulator::site::Preset;
use mustardway_emulator::world::simulate;
use mustardway_types::time::Span;

/// Seconds of traffic.
const TRAFFIC_SECONDS: u64 = 24;
/// Requests a second of all callers.
const REQUESTS_PER_SECOND: f64 = 280.0;
/// Seeds that each day is played with.
const SEEDS: u64 = 5;

fn main() {
    let site = Preset::FrioAustral.site();
    let nominal_rate: f64 = site.classes.iter().map(|class| class.rate).sum();
    let quiet =
        Scenario { load: REQUESTS_PER_SECOND / nominal_rate, ..Scenario::quiet(TRAFFIC_SECONDS) };
    println!("day            in time    late  failed");
    println!("{}", row("calm", &quiet));
    for (name, at, kind) in scenarios() {
        println!("{}", row(name, &quiet.clone().with(at, kind)));
    }
}

/// What became of a day's requests, over all seeds.
fn row(name: &str, scenario: &Scenario) -> String {
    let site = Preset::FrioAustral.site();
    let mut counts = Counts::default();
    for seed in 1..=SEEDS {
        counts = counts + simulate(&site, scenario, seed).total();
    }
    let share = |count: u32| f64::from(count) / f64::from(counts.asked.max(1)) * 100.0;
    let (in_time, late, failed) = (share(counts.in_time), share(counts.late), share(counts.failed));
    format!("{name:<14} {in_time:6.2}% {late:6.2}% {failed:6.2}%")
}

/// Each trouble with the second at which it begins.
fn scenarios() -> [(&'static str, f64, Kind); 10] {
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
