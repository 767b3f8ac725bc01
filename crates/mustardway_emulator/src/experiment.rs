//! Variants over many days, and the smallest day that fails.

use std::fmt;

use crate::report::{Counts, Report};
use crate::scenario::Day;
use crate::site::Site;
use crate::variant::Variant;
use crate::world::{play, play_variant};

/// What became of one variant over all days.
#[derive(Debug, Clone)]
pub struct Row {
    /// The variant.
    pub variant: Variant,
    /// Requests of all days.
    pub counts: Counts,
    /// Mean over the days of the time within which half of the answers came, in
    /// milliseconds.
    pub median: f64,
    /// The same for 99 of 100.
    pub slowest: f64,
    /// Mean over the days of the busiest target's work against the mean.
    pub imbalance: f64,
    /// Share of the opening packets that went to another failure domain.
    pub across: f64,
    /// Days on which a rule was broken.
    pub broken: usize,
}

/// Plays each of `days` with each of `variants`; the seed of a day is its place.
pub fn compare(site: &Site, days: &[Day], variants: &[Variant]) -> Vec<Row> {
    variants.iter().map(|variant| row(site, days, *variant)).collect()
}

fn row(site: &Site, days: &[Day], variant: Variant) -> Row {
    let mut row = Row {
        variant,
        counts: Counts::default(),
        median: 0.0,
        slowest: 0.0,
        imbalance: 0.0,
        across: 0.0,
        broken: 0,
    };
    let (mut across, mut placed) = (0, 0);
    for (place, day) in days.iter().enumerate() {
        let report = play_variant(site, day, place as u64 + 1, variant);
        row.counts = row.counts + report.total();
        row.median += f64::from(report.quantile(0.5));
        row.slowest += f64::from(report.quantile(0.99));
        row.imbalance += report.imbalance();
        row.broken += usize::from(!report.broken.is_empty());
        across += report.across;
        placed += report.placed;
    }
    let count = days.len().max(1) as f64;
    row.median /= count;
    row.slowest /= count;
    row.imbalance /= count;
    row.across = f64::from(across) / f64::from(placed.max(1));
    row
}

/// Head of the table of rows.
pub const HEAD: &str =
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
            self.median,
            self.slowest,
            self.imbalance,
            self.across * 100.0,
            self.broken
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
    pub fn is_broken(self, report: &Report) -> bool {
        !report.broken.is_empty() || report.total().failed_share() > self.failed
    }
}

/// The smallest day with troubles of `day` that still fails; none where `day`
/// itself does not fail. Troubles are left out one after the other for as long
/// as that changes something.
pub fn shrink(site: &Site, day: &Day, seed: u64, bound: Bound) -> Option<Day> {
    let fails = |day: &Day| bound.is_broken(&play(site, day, seed));
    if !fails(day) {
        return None;
    }
    let mut smallest = day.clone();
    let mut place = 0;
    while place < smallest.troubles.len() {
        let mut smaller = smallest.clone();
        smaller.troubles.remove(place);
        if fails(&smaller) {
            smallest = smaller;
            place = 0;
        } else {
            place += 1;
        }
    }
    Some(smallest)
}
