//! Random events over several owners, checked against every execution in the
//! simulation.

mod support;

use support::events::{EventSource, RUNS, drive};
use support::simulation::Fault;

#[test]
fn random_events_keep_guarantees() {
    let mut source = EventSource::new();
    let mut starts = 0;
    for run in 0..RUNS {
        println!("run {run}");
        starts += drive(Fault::None, &source.next_run());
    }
    assert!(starts > u64::from(RUNS) * 10, "{starts} starts are too few to tell");
}
