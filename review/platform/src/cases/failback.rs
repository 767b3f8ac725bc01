//! The check of FAILBACK: what a cold server gets within a second.

use std::collections::BTreeMap;

use crate::record::{Fact, Flow, Record};

/// `WarmupOverage` and `WarmupSlack`.
const OVERAGE: (f64, f64) = (1.5, 5.0);

/// Returns a line for each cold server, and whether one got more than `WarmupPerS` x
/// `WarmupOverage` + `WarmupSlack` requests that were sent and arrived inside one second.
/// A server is cold for `warmup_s` after the record says so.
pub fn check(record: &Record, warmup_s: f64, warmup_per_s: f64) -> (Vec<String>, bool) {
    let limit = warmup_per_s * OVERAGE.0 + OVERAGE.1;
    let mut cold: BTreeMap<String, Vec<f64>> = BTreeMap::new();
    let mut sent: BTreeMap<Flow, f64> = BTreeMap::new();
    let mut taken: BTreeMap<String, Vec<(f64, f64)>> = BTreeMap::new();
    for (at, fact) in record.facts() {
        match fact {
            Fact::Done(what) if what.ends_with(" is cold") => {
                let id = what.trim_end_matches(" is cold").to_string();
                cold.entry(id).or_default().push(at);
            }
            Fact::Sent { flow, .. } => {
                sent.insert(flow, at);
            }
            Fact::Opened { flow, server } => {
                let Some(sent) = sent.get(&flow) else { continue };
                let spans = cold.get(&server).cloned().unwrap_or_default();
                if spans.iter().any(|from| at >= *from && at < from + warmup_s) {
                    taken.entry(server).or_default().push((*sent, at));
                }
            }
            _ => {}
        }
    }
    let mut lines = vec![format!("limit of FAILBACK: {limit:.1} requests within a second")];
    let mut is_broken = false;
    for (server, requests) in taken {
        let mut worst = (0.0, 0);
        for (from, _) in &requests {
            let inside = |(sent, at): &&(f64, f64)| sent >= from && *at <= from + 1.0;
            let count = requests.iter().filter(inside).count();
            if count > worst.1 {
                worst = (*from, count);
            }
        }
        let broken = worst.1 as f64 > limit;
        is_broken |= broken;
        let verdict = if broken { "broken" } else { "held" };
        let line = format!("{server}, cold, got {} within a second from {:.3}", worst.1, worst.0);
        lines.push(format!("FAILBACK {verdict}: {line}"));
    }
    (lines, is_broken)
}
