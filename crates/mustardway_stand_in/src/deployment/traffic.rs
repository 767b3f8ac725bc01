//! The callers of a deployment.

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;

use super::plan::Plan;
use super::user::Activity;
use crate::caller::load::Line;
use crate::caller::report::Report;
use crate::caller::request::NotRun;
use crate::caller::workload::{Kind, Persistence};
use crate::fabric::Fabric;
use crate::payload::Wish;

/// Size of each request, in bytes.
const REQUEST_BYTES: usize = 200;

/// Flows that are held for each target by kinds that close theirs.
const SHORT_FLOWS_PER_TARGET: usize = 10;

/// Work on a packet that only opens a flow.
const OPENING_WORK: Duration = Duration::from_millis(1);

/// Flows opened a second while the deployment settles.
const OPENINGS_PER_SECOND: f64 = 1_500.0;

/// How much traffic.
#[derive(Debug, Clone, Copy)]
pub struct Volume {
    /// Work that services are given, against what their targets bear warm.
    pub load: f64,
    /// Long flows for each target.
    pub flows_per_target: usize,
    /// Seed of flows and of the fabric.
    pub seed: u64,
}

/// The callers.
pub struct Traffic {
    fabric: Arc<Fabric>,
    lines: Vec<Arc<Line>>,
}

impl Traffic {
    /// The callers of `plan`.
    pub fn new(plan: &Plan, volume: Volume) -> Traffic {
        let fabric = Arc::new(Fabric::new(volume.seed, &plan.fronts()));
        let mut lines = Vec::new();
        for (index, activity) in (0..).zip(plan.user.activities()) {
            let kind = kind(plan, activity, volume);
            let seed = volume.seed.wrapping_mul(1_000).wrapping_add(index);
            lines.push(Line::new(kind, Persistence::default(), Arc::clone(&fabric), seed));
        }
        Traffic { fabric, lines }
    }

    /// The fabric.
    pub fn fabric(&self) -> &Arc<Fabric> {
        &self.fabric
    }

    /// One line for each kind of request.
    pub fn lines(&self) -> &[Arc<Line>] {
        &self.lines
    }

    /// Opens the long flows, for at least `time`.
    pub async fn settle(&self, time: Duration) {
        let mut tasks = JoinSet::new();
        for line in &self.lines {
            if line.kind().requests_per_flow.is_some() {
                continue;
            }
            let line = Arc::clone(line);
            tasks.spawn(async move { line.open(OPENINGS_PER_SECOND, OPENING_WORK).await });
        }
        tokio::time::sleep(time).await;
        while tasks.join_next().await.is_some() {}
    }

    /// Sends requests of every kind for `time`, and waits for the last.
    pub async fn run(&self, time: Duration) {
        let mut tasks = JoinSet::new();
        for line in &self.lines {
            let line = Arc::clone(line);
            tasks.spawn(async move { line.run(time).await });
        }
        while tasks.join_next().await.is_some() {}
    }

    /// What became of the openings.
    pub fn openings(&self) -> Vec<Report> {
        self.lines.iter().map(|line| line.openings()).collect()
    }

    /// Answers "not run" so far.
    pub fn not_run(&self) -> Vec<NotRun> {
        self.lines.iter().flat_map(|line| line.not_run()).collect()
    }
}

fn kind(plan: &Plan, activity: &Activity, volume: Volume) -> Kind {
    let service = &plan.services[activity.service];
    let targets = plan.targets_of(&service.name).len();
    let bears = targets as f64 * f64::from(plan.limits.slots);
    let work = activity.work.as_secs_f64() * f64::from(activity.parts);
    let flows_per_target = match activity.requests_per_flow {
        Some(_) => SHORT_FLOWS_PER_TARGET,
        None => volume.flows_per_target,
    };
    Kind {
        name: activity.name.into(),
        address: service.address,
        urgency: activity.urgency,
        repeat: activity.repeat,
        rate: bears * volume.load * activity.share / work,
        flows: flows_per_target * targets,
        requests_per_flow: activity.requests_per_flow,
        parts: activity.parts,
        deadline: activity.deadline,
        patience: activity.deadline / 2,
        request_bytes: REQUEST_BYTES,
        wish: Wish {
            answer_bytes: activity.answer_bytes,
            work_micros: u32::try_from(activity.work.as_micros()).unwrap_or(u32::MAX),
        },
    }
}
