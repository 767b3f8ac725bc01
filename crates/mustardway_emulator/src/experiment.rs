//! Variants over many days, and the smallest day that fails.

use std::fmt;

use crate::report::{Counts, Report};
use crate::scenario::Scenario;
use crate::site::Site;
use crate::variant::Variant;
use crate::world::{simulate, simulate_variant};

/// What became of one variant over all days.
#[derive(Debug, Clone)]
pub struct Row {
    /// The variant.
    pub variant: Variant,
    /// Requests of all days.
    pub counts: Counts,
    /// Mean over the days of the time within which half of the answers came, in
    /// milliseconds.
    pub p50: f64,
    /// The same for 99 of 100.
    pub p99: f64,
    /// Mean over the days of the busiest target's work against the mean.
    pub imbalance: f64,
    /// Share of the opening packets that went to another failure domain.
    pub cross_domain: f64,
    /// Days on which a rule was broken.
    pub violations: usize,
}

/// Plays each of `days` with each of `variants`; the seed of a day is its place.
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

/// Head of the table of rows.
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

/// What makes a day fail.
#[derive(Debug, Clone, Copy)]
pub struct Bound {
    /// Largest share of requests that may fail; a broken rule always fails.
    pub failed: f64,
}

impl Bound {
    /// Whether `report` is of a day that failed.
    pub fn is_exceeded(self, report: &Report) -> bool {
        !report.violations.is_empty() || report.total().failed_share() > self.failed
    }
}

/// The smallest day with troubles of `day` that still fails; none where `day`
/// itself does not fail. Troubles are left out one after the other for as long
/// as that changes something.
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
