//! Comparison of load-balancing policies over many scenarios, and minimisation of a
//! failing scenario.

use std::fmt;

use crate::report::{Counts, Report};
use crate::scenario::Scenario;
use crate::site::Site;
use crate::variant::Variant;
use crate::world::{simulate, simulate_variant};

/// The results of one policy over all scenarios.
#[derive(Debug, Clone)]
pub struct Row {
    /// The policy.
    pub variant: Variant,
    /// Requests of all scenarios, by outcome.
    pub counts: Counts,
    /// Median latency in milliseconds, as the mean over the scenarios.
    pub p50: f64,
    /// Latency at the 99th percentile in milliseconds, as the mean over the scenarios.
    pub p99: f64,
    /// Ratio of the busiest target's requests to the mean of its service, as the mean
    /// over the scenarios.
    pub imbalance: f64,
    /// Share of the opening packets that were forwarded to another failure domain.
    pub cross_domain: f64,
    /// Number of scenarios in which a rule was violated.
    pub violations: usize,
}

/// Runs each scenario with each policy. The seed of a scenario is its position, from 1.
pub fn compare(site: &Site, scenarios: &[Scenario], variants: &[Variant]) -> Vec<Row> {
    variants.iter().map(|variant| row(site, scenarios, *variant)).collect()
}

fn row(site: &Site, scenarios: &[Scenario], variant: Variant) -> Row {
    let mut row = Row {
        variant,
        counts: Counts::default(),
        p50: 0.0,
        p99: 0.0,
        imbalance: 0.0,
        cross_domain: 0.0,
        violations: 0,
    };
    let (mut cross_domain, mut placed) = (0, 0);
    for (index, scenario) in scenarios.iter().enumerate() {
        let report = simulate_variant(site, scenario, index as u64 + 1, variant);
        row.counts = row.counts + report.total();
        row.p50 += f64::from(report.quantile(0.5));
        row.p99 += f64::from(report.quantile(0.99));
        row.imbalance += report.imbalance();
        row.violations += usize::from(!report.violations.is_empty());
        cross_domain += report.cross_domain;
        placed += report.placed;
    }
    let count = scenarios.len().max(1) as f64;
    row.p50 /= count;
    row.p99 /= count;
    row.imbalance /= count;
    row.cross_domain = f64::from(cross_domain) / f64::from(placed.max(1));
    row
}

/// Header of the table of rows.
pub const TABLE_HEADER: &str =
    "variant     in time    late  failed  p50 ms  p99 ms  busiest/mean  across  days broken";

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let asked = f64::from(self.counts.asked.max(1));
        let share = |count: u32| f64::from(count) / asked * 100.0;
        write!(
            f,
            "{:<10} {:7.2}% {:6.2}% {:6.2}% {:7.1} {:7.1} {:13.2} {:6.1}% {:12}",
            self.variant,
            share(self.counts.in_time),
            share(self.counts.late),
            share(self.counts.failed),
            self.p50,
            self.p99,
            self.imbalance,
            self.cross_domain * 100.0,
            self.violations
        )
    }
}

/// The criterion for a failed scenario. A violated rule always fails a scenario.
#[derive(Debug, Clone, Copy)]
pub struct Bound {
    /// Maximum share of requests that may fail.
    pub failed: f64,
}

impl Bound {
    /// Returns whether the scenario of `report` failed.
    pub fn is_exceeded(self, report: &Report) -> bool {
        !report.violations.is_empty() || report.total().failed_share() > self.failed
    }
}

/// Minimises a failing scenario: removes one disruption at a time while the rest still
/// fails. Returns `None` if `scenario` itself does not fail.
pub fn shrink(site: &Site, scenario: &Scenario, seed: u64, bound: Bound) -> Option<Scenario> {
    let fails = |scenario: &Scenario| bound.is_exceeded(&simulate(site, scenario, seed));
    if !fails(scenario) {
        return None;
    }
    let mut smallest = scenario.clone();
    let mut index = 0;
    while index < smallest.disruptions.len() {
        let mut smaller = smallest.clone();
        smaller.disruptions.remove(index);
        if fails(&smaller) {
            smallest = smaller;
            index = 0;
        } else {
            index += 1;
        }
    }
    Some(smallest)
}
