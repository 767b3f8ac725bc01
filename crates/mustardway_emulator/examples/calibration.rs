//! Runs the scenarios that `docs/DESIGN.md` compares with the users' bench: one
//! disruption each, on Frío Austral's site, at 280 requests per second.

use mustardway_emulator::preset::Preset;
use mustardway_emulator::report::Counts;
use mustardway_emulator::scenario::{Kind, Scenario};
use mustardway_emulator::world::simulate;
use mustardway_types::time::Span;

/// Duration of the traffic.
const TRAFFIC_SECONDS: u64 = 24;
/// Request rate of all callers together.
const REQUESTS_PER_SECOND: f64 = 280.0;
/// Number of seeds that each scenario runs with.
const SEEDS: u64 = 5;

fn main() {
    let site = Preset::FrioAustral.site();
    let nominal_rate: f64 = site.classes.iter().map(|class| class.rate).sum();
    let quiet =
        Scenario { load: REQUESTS_PER_SECOND / nominal_rate, ..Scenario::quiet(TRAFFIC_SECONDS) };
    println!("day            in time    late  failed");
    println!("{}", row("calm", &quiet));
    for (name, at, kind) in disruptions() {
        println!("{}", row(name, &quiet.clone().with(at, kind)));
    }
}

/// Returns a table row with the shares of a scenario's requests by outcome, over all
/// seeds.
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

/// Returns each disruption with its name and the second at which it begins.
fn disruptions() -> [(&'static str, f64, Kind); 10] {
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
