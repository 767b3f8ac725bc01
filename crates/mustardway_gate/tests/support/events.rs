//! Random events for the simulation, the same in every run of the tests.

use proptest::prelude::{Strategy, any, prop_oneof};
use proptest::strategy::{Just, ValueTree};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use super::simulation::{Event, Fault, OWNERS, Simulation};

/// Number of runs in one test.
pub const RUNS: u32 = 3_000;

/// Number of events in one run.
const EVENTS_PER_RUN: usize = 250;

fn event() -> impl Strategy<Value = Event> {
    let index = 0usize..64;
    prop_oneof![
        20 => (0u64..16, 0u64..5, any::<bool>(), any::<bool>(), index.clone()).prop_map(
            |(flow, request, once, urgent, to)| Event::Send {
                flow, request, once: once || urgent, urgent, to
            }
        ),
        25 => (index.clone(), index.clone()).prop_map(|(index, to)| Event::Retry { index, to }),
        60 => index.clone().prop_map(|index| Event::Deliver { index }),
        25 => (index.clone(), 0u8..12)
            .prop_map(|(index, ending)| Event::Finish { index, ending }),
        3 => index.prop_map(|index| Event::Cancel { index }),
        15 => (1u64..400).prop_map(|millis| Event::AdvanceTime { millis }),
        2 => (1_000u64..8_000).prop_map(|millis| Event::AdvanceTime { millis }),
        3 => (0..OWNERS).prop_map(|to| Event::Move { to }),
        1 => (0..OWNERS).prop_map(|to| Event::Crash { to }),
        1 => (0..OWNERS).prop_map(|to| Event::Split { to }),
        3 => Just(Event::Heal),
        1 => any::<bool>().prop_map(|leaving| Event::Leaving { leaving }),
        1 => (0u8..4).prop_map(|out| Event::Domain { out: out == 0 }),
        1 => (1u32..5).prop_map(|slots| Event::Slots { slots }),
    ]
}

/// Generates the events of each run.
pub struct EventSource {
    runner: TestRunner,
}

impl EventSource {
    pub fn new() -> Self {
        let config = Config { failure_persistence: None, ..Config::default() };
        let random = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
        EventSource { runner: TestRunner::new_with_rng(config, random) }
    }

    pub fn next_run(&mut self) -> Vec<Event> {
        let events = proptest::collection::vec(event(), EVENTS_PER_RUN);
        events.new_tree(&mut self.runner).unwrap().current()
    }
}

/// Runs the simulation with the given events and returns the number of started requests.
pub fn drive(fault: Fault, events: &[Event]) -> u64 {
    let mut simulation = Simulation::new(fault);
    for event in events {
        simulation.apply(event);
    }
    simulation.settle();
    simulation.starts
}
