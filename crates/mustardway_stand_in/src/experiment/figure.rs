//! What is measured, over seeds.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use super::scenario::Scenario;
use crate::deployment::table::Table;

/// One measure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Measure {
    /// Established flows that ended though their failure domain was in, of 10,000.
    BrokenFlows,
    /// Established flows that ended with their failure domain, of 10,000.
    GivenUpFlows,
    /// Share of urgent requests that were answered once and in time.
    UrgentService,
    /// Share of ordinary requests that were answered once and in time.
    OrdinaryService,
    /// Runs on the busiest target against the mean, first service.
    Imbalance,
    /// Runs of requests beyond the first that may run once.
    Doubles,
    /// Answers "not run" that were not true.
    FalseNotRun,
    /// Packets that reached a target of another service.
    WrongService,
    /// Greatest load on a cold target against what it bears.
    ColdLoad,
    /// Times that a target fell over.
    Falls,
    /// Seconds until a failure domain got no more packets.
    SecondsToEmpty,
    /// Seconds until a leaving target got no new flows.
    SecondsToLeave,
    /// Seconds until a revision was in force at every instance.
    SecondsInForce,
    /// Exit code of an instance that was stopped, -1 for none in time.
    ExitCode,
    /// Milliseconds that a call takes longer than a direct one, median.
    AddedDelay,
    /// Calls to the platform a second.
    PlatformCalls,
}

/// Every measure with its text.
const TABLE: [(Measure, &str); 16] = [
    (Measure::BrokenFlows, "broken flows per 10,000"),
    (Measure::GivenUpFlows, "flows given up with their domain per 10,000"),
    (Measure::UrgentService, "urgent answered in time / asked"),
    (Measure::OrdinaryService, "ordinary answered in time / asked"),
    (Measure::Imbalance, "imbalance max/mean"),
    (Measure::Doubles, "requests run twice"),
    (Measure::FalseNotRun, "untrue answers \"not run\""),
    (Measure::WrongService, "packets of another service"),
    (Measure::ColdLoad, "load on a cold target / borne"),
    (Measure::Falls, "targets fallen over"),
    (Measure::SecondsToEmpty, "s until a domain is empty"),
    (Measure::SecondsToLeave, "s until no new flows at a leaving target"),
    (Measure::SecondsInForce, "s until in force everywhere"),
    (Measure::ExitCode, "exit code of the stopped instance"),
    (Measure::AddedDelay, "ms added to a direct call, p50"),
    (Measure::PlatformCalls, "platform calls a second"),
];

impl fmt::Display for Measure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let found = TABLE.iter().find(|(measure, _)| measure == self);
        f.write_str(found.map_or("", |(_, text)| text))
    }
}

/// What one run measured.
pub type Figures = BTreeMap<Measure, f64>;

/// Figures of every run, by scenario and measure.
#[derive(Debug, Default)]
pub struct Collection {
    values: BTreeMap<(Scenario, Measure), Vec<f64>>,
}

/// Spread of one measure over seeds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Spread {
    /// Least value.
    pub min: f64,
    /// Middle value, the lower of two.
    pub median: f64,
    /// Greatest value.
    pub max: f64,
    /// Number of values.
    pub count: usize,
}

impl Spread {
    /// The spread of `values`; `None` of none.
    pub fn of(values: &[f64]) -> Option<Spread> {
        let mut sorted = values.to_vec();
        sorted.sort_by(f64::total_cmp);
        Some(Spread {
            min: *sorted.first()?,
            median: sorted[(sorted.len() - 1) / 2],
            max: *sorted.last()?,
            count: sorted.len(),
        })
    }
}

impl Collection {
    /// Enters what a run measured.
    pub fn add(&mut self, scenario: Scenario, figures: &Figures) {
        for (measure, value) in figures {
            self.values.entry((scenario, *measure)).or_default().push(*value);
        }
    }

    /// The spread of one measure.
    pub fn spread(&self, scenario: Scenario, measure: Measure) -> Option<Spread> {
        Spread::of(self.values.get(&(scenario, measure))?)
    }
}

impl fmt::Display for Collection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut table = Table::new(&["measure", "min", "median", "max", "runs"]);
        for (scenario, measure) in self.values.keys() {
            let Some(spread) = self.spread(*scenario, *measure) else { continue };
            let Spread { min, median, max, count } = spread;
            let mut row = vec![format!("{scenario}: {measure}")];
            row.extend([min, median, max].map(|value| format!("{value:.4}")));
            row.push(count.to_string());
            table.add(row);
        }
        write!(f, "{table}")
    }
}
