//! Entries of targets in messages, by columns. Most bytes of a message are those of targets,
//! and packed columns need no tags and lengths for each value.

use mustardway_types::time::Instant;

use crate::key;
use crate::message::{ENTRIES_MAX, FACTOR_MAX, from_millis, to_factor_millis, to_millis};
use crate::sums::{COUNT_MAX, Contributors, RATIO_MAX, Target};
use crate::view::TargetLoad;

/// Sums of targets, see [`Target`]. All columns have the length of `keys`, or are empty and
/// stand for zeros.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TargetSums {
    /// Keys of the targets.
    #[prost(fixed32, repeated, tag = "1")]
    pub keys: Vec<u32>,
    /// Numbers of answers.
    #[prost(uint32, repeated, tag = "2")]
    pub answers: Vec<u32>,
    /// Numbers of answers that do not show the speed.
    #[prost(uint32, repeated, tag = "3")]
    pub without_speed: Vec<u32>,
    /// Sums of the ratios, in thousandths.
    #[prost(uint64, repeated, tag = "4")]
    pub ratio_millis: Vec<u64>,
    /// Numbers of short answers.
    #[prost(uint32, repeated, tag = "5")]
    pub short: Vec<u32>,
    /// The instances that contributed, see [`Contributors`].
    #[prost(uint32, repeated, tag = "6")]
    pub contributors: Vec<u32>,
}

/// Estimates of targets, by columns as in [`TargetSums`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct TargetEstimates {
    /// Keys of the targets.
    #[prost(fixed32, repeated, tag = "1")]
    pub keys: Vec<u32>,
    /// Slowness of each, in thousandths.
    #[prost(uint32, repeated, tag = "2")]
    pub slowness_millis: Vec<u32>,
    /// Shares of short answers, in thousandths.
    #[prost(uint32, repeated, tag = "3")]
    pub short_millis: Vec<u32>,
}

impl TargetSums {
    /// Creates the columns of `targets`.
    pub fn new(targets: &[(key::Target, Target)]) -> Self {
        let mut columns = TargetSums::default();
        for (key, sums) in targets {
            columns.keys.push(key.0 as u32);
            columns.answers.push(sums.answers);
            columns.without_speed.push(sums.answers.saturating_sub(sums.samples));
            columns.ratio_millis.push(to_millis(sums.ratio));
            columns.short.push(sums.short);
            columns.contributors.push(sums.contributors.encode());
        }
        clear_zeros(&mut columns.without_speed);
        clear_zeros(&mut columns.short);
        columns
    }

    /// Returns the sums, or `None` if any value is out of range.
    pub fn decode(&self) -> Option<Vec<(key::Target, Target)>> {
        let rows = self.keys.len();
        let is_valid = rows <= ENTRIES_MAX
            && has_rows(&self.answers, rows)
            && has_rows(&self.without_speed, rows)
            && has_rows(&self.ratio_millis, rows)
            && has_rows(&self.short, rows)
            && has_rows(&self.contributors, rows);
        if !is_valid {
            return None;
        }
        let mut targets = Vec::with_capacity(rows);
        for (row, key) in self.keys.iter().enumerate() {
            targets.push((key::Target(u64::from(*key)), self.decode_row(row)?));
        }
        Some(targets)
    }

    fn decode_row(&self, row: usize) -> Option<Target> {
        let answers = value(&self.answers, row);
        let samples = answers.checked_sub(value(&self.without_speed, row))?;
        let ratio = from_millis(value(&self.ratio_millis, row));
        let short = value(&self.short, row);
        let contributors = Contributors::decode(value(&self.contributors, row))?;
        // Thousandths are rounded up.
        let ratio_max = RATIO_MAX * f64::from(samples) + 1.0;
        let is_valid = answers <= COUNT_MAX && short <= answers && ratio <= ratio_max;
        is_valid.then_some(Target { answers, samples, ratio, short, contributors, waits: 0 })
    }
}

impl TargetEstimates {
    /// Creates the columns of `targets`.
    pub fn new(targets: &[(key::Target, TargetLoad)]) -> Self {
        let mut columns = TargetEstimates::default();
        for (key, load) in targets {
            columns.keys.push(key.0 as u32);
            columns.slowness_millis.push(to_factor_millis(load.slowness));
            columns.short_millis.push(to_factor_millis(load.short_share));
        }
        clear_zeros(&mut columns.short_millis);
        columns
    }

    /// Returns whether all values are in range.
    pub fn is_valid(&self) -> bool {
        let rows = self.keys.len();
        let factors = 1..=to_factor_millis(FACTOR_MAX);
        rows <= ENTRIES_MAX
            && self.slowness_millis.len() == rows
            && has_rows(&self.short_millis, rows)
            && self.slowness_millis.iter().all(|millis| factors.contains(millis))
            && self.short_millis.iter().all(|millis| *millis <= 1_000)
    }

    /// Returns the estimates, made at `updated`.
    pub fn loads(&self, updated: Instant) -> impl Iterator<Item = (key::Target, TargetLoad)> {
        self.keys.iter().enumerate().map(move |(row, key)| {
            let slowness = from_millis(u64::from(value(&self.slowness_millis, row)));
            let short_share = from_millis(u64::from(value(&self.short_millis, row)));
            (key::Target(u64::from(*key)), TargetLoad { slowness, short_share, updated })
        })
    }
}

fn clear_zeros(column: &mut Vec<u32>) {
    if column.iter().all(|value| *value == 0) {
        column.clear();
    }
}

fn has_rows<T>(column: &[T], rows: usize) -> bool {
    column.is_empty() || column.len() == rows
}

fn value<T: Copy + Default>(column: &[T], row: usize) -> T {
    column.get(row).copied().unwrap_or_default()
}
