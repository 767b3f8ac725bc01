//! The spread of measures over seeds, and the names of scenarios.

use mustardway_stand_in::experiment::figure::{Collection, Figures, Measure, Spread};
use mustardway_stand_in::experiment::scenario::{NAMES, Scenario};

#[test]
fn spread_gives_min_median_max_and_count() {
    let spread = Spread::of(&[5.0, 1.0, 4.0, 2.0, 3.0]).unwrap();
    assert_eq!(spread, Spread { min: 1.0, median: 3.0, max: 5.0, count: 5 });
    assert_eq!(Spread::of(&[]), None);
}

#[test]
fn collection_keeps_scenarios_apart() {
    let mut collection = Collection::default();
    collection.add(Scenario::Calm, &Figures::from([(Measure::Falls, 1.0)]));
    collection.add(Scenario::DomainOut, &Figures::from([(Measure::Falls, 2.0)]));
    assert_eq!(collection.spread(Scenario::Calm, Measure::Falls).unwrap().max, 1.0);
    assert_eq!(collection.spread(Scenario::Calm, Measure::Doubles), None);
}

#[test]
fn scenario_names_parse_and_print() {
    for (scenario, name) in NAMES {
        assert_eq!(name.parse(), Ok(scenario));
        assert_eq!(scenario.to_string(), name);
    }
}
