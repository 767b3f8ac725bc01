//! Measures how the control traffic grows with the number of instances: calls to the
//! platform and bytes between instances, in a scenario of the grown site without
//! disruptions.

use mustardway_emulator::preset::Preset;
use mustardway_emulator::scenario::Scenario;
use mustardway_emulator::world::simulate;

/// Seconds that the instances run: startup, traffic and the wait for the last answers.
const SIMULATED_SECONDS: f64 = 5.0 + 10.0 + 10.0;

fn main() {
    println!("instances  calls a second  bytes a second an instance");
    for instances_per_domain in [3, 8, 25, 75] {
        let mut site = Preset::SanJoseGrown.site();
        site.instances = vec![instances_per_domain; 4];
        let count: usize = site.instances.iter().sum();
        let report = simulate(&site, &Scenario::quiet(10), 1);
        let platform_calls = f64::from(report.platform_calls) - count as f64;
        let bytes = report.instance_bytes as f64 / SIMULATED_SECONDS / count as f64;
        println!("{count:9}  {:14.2}  {bytes:26.0}", platform_calls / SIMULATED_SECONDS);
    }
}
