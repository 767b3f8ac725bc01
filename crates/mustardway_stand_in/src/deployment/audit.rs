//! Compares the answers that callers received with the runs that targets recorded.

use std::collections::{HashMap, HashSet};

use serde::{Deserialize, Serialize};

use crate::caller::request::NotRun;
use crate::payload::Key;
use crate::target::ledger::Run;

/// Counts of broken execution guarantees.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Audit {
    /// Non-repeatable requests that ran more than once, over all targets.
    pub doubles: u64,
    /// Answers "not run" for an attempt that did run.
    pub false_not_run: u64,
}

impl Audit {
    /// Joins the runs of all targets with the "not run" answers that callers received.
    pub fn new(runs: &[Run], not_run: &[NotRun]) -> Audit {
        Audit { doubles: count_doubles(runs), false_not_run: count_false_not_run(runs, not_run) }
    }
}

/// Counts the non-repeatable requests that ran more than once.
fn count_doubles(runs: &[Run]) -> u64 {
    let mut times: HashMap<Key, u64> = HashMap::new();
    for run in runs {
        if run.once {
            *times.entry(run.key()).or_default() += 1;
        }
    }
    times.values().filter(|times| **times > 1).count() as u64
}

/// Counts the answers "not run" for attempts that did run.
fn count_false_not_run(runs: &[Run], not_run: &[NotRun]) -> u64 {
    let ran: HashSet<(Key, u32)> = runs.iter().map(|run| (run.key(), run.attempt)).collect();
    not_run.iter().filter(|answer| ran.contains(&(answer.key, answer.attempt))).count() as u64
}
