//! How the price of control grows with the number of instances: calls to the
//! platform and bytes between instances, on a calm day of the grown site.

use mustardway_emulator::scenario::Day;
use mustardway_emulator::site::Known;
use mustardway_emulator::world::play;

/// Seconds that the machines of a day run: lead, day and tail.
const SECONDS: f64 = 5.0 + 10.0 + 10.0;

fn main() {
    println!("instances  calls a second  bytes a second an instance");
    for each in [3, 8, 25, 75] {
        let mut site = Known::SanJoseGrown.site();
        site.instances = vec![each; 4];
        let count: usize = site.instances.iter().sum();
        let report = play(&site, &Day::quiet(10), 1);
        let calls = f64::from(report.calls) - count as f64;
        let bytes = report.bytes as f64 / SECONDS / count as f64;
        println!("{count:9}  {:14.2}  {bytes:26.0}", calls / SECONDS);
    }
}
