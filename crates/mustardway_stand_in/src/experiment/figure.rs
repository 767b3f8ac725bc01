//! Measures of runs and their spread over seeds.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use super::scenario::Scenario;
use crate::deployment::table::Table;

/// A quantity that is measured in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Measure {
    /// Established flows that ended while their failure domain was in service, per 10,000.
    BrokenFlows,
    /// Established flows that ended because their failure domain was taken out, per 10,000.
    GivenUpFlows,
    /// Share of urgent requests that received a complete answer in time.
    UrgentService,
    /// Share of ordinary requests that received a complete answer in time.
    OrdinaryService,
    /// Runs on the busiest target divided by the mean, over the targets of the first service.
    Imbalance,
    /// Non-repeatable requests that ran more than once.
    Doubles,
    /// Answers "not run" for attempts that did run.
    FalseNotRun,
    /// Packets that reached a target of another service.
    WrongService,
    /// Greatest load on a cold target divided by its capacity when cold.
    ColdLoad,
    /// Number of times that a target failed under overload.
    Falls,
    /// Seconds from readiness until every target had run a request.
    SecondsToServe,
    /// Seconds from taking a failure domain out until its last packet.
    SecondsToEmpty,
    /// Seconds from the start of leaving until the target's last new flow.
    SecondsToLeave,
    /// Seconds until a new revision was in force at every instance.
    SecondsInForce,
    /// Exit code of a stopped instance; -1 when it was killed or did not end in time.
    ExitCode,
    /// Median latency that the instances add to a direct call, in milliseconds.
    AddedDelay,
    /// Calls to the platform per second.
    PlatformCalls,
}

/// Every measure with its text in the results.
const TABLE: [(Measure, &str); 17] = [
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
    (Measure::SecondsToServe, "s from ready until every target has work"),
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

/// Values that one run measured.
pub type Figures = BTreeMap<Measure, f64>;

/// Figures of every run, by scenario and measure.
#[derive(Debug, Default)]
pub struct Collection {
    values: BTreeMap<(Scenario, Measure), Vec<f64>>,
}

/// Spread of the values of one measure over seeds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Spread {
    /// Smallest value.
    pub min: f64,
    /// Median; the lower of the two middle values for an even count.
    pub median: f64,
    /// Largest value.
    pub max: f64,
    /// Number of values.
    pub count: usize,
}

impl Spread {
    /// Returns the spread of `values`; `None` when there are no values.
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
    /// Adds the figures of one run.
    pub fn add(&mut self, scenario: Scenario, figures: &Figures) {
        for (measure, value) in figures {
            self.values.entry((scenario, *measure)).or_default().push(*value);
        }
    }

    /// Returns the spread of one measure; `None` when no run measured it.
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
