//! The callers of a deployment.

use std::sync::Arc;
use std::time::Duration;

use mustardway_types::request::{Repeat, Urgency};
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::fleet::{Error, Fleet};
use super::plan::{Plan, Service};
use super::user::Activity;
use crate::caller::load::Generator;
use crate::caller::report::Report;
use crate::caller::request::NotRun;
use crate::caller::workload::{Kind, RetryPolicy};
use crate::fabric::Fabric;
use crate::payload::Demand;

/// Size of each request, in bytes.
const REQUEST_BYTES: usize = 200;

/// Flows that are held for each target by kinds that close theirs.
const SHORT_FLOWS_PER_TARGET: usize = 10;

/// Work on a packet that only opens a flow.
const OPENING_WORK: Duration = Duration::from_millis(1);

/// Flows opened a second while the deployment settles.
const OPENINGS_PER_SECOND: f64 = 1_500.0;

/// Longest time until every target has run a request.
const REACH_MAX: Duration = Duration::from_secs(60);

/// Time between two looks whether it has.
const REACH_POLL: Duration = Duration::from_millis(500);

/// Light requests a second to each service, until then.
const SCOUTS_PER_SECOND: f64 = 100.0;

/// Time until the answer to a light request is late.
const SCOUT_DEADLINE: Duration = Duration::from_secs(1);

/// First seed of light requests, beyond those of the kinds.
const SCOUT_SEED: u64 = 500;

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
    lines: Vec<Arc<Generator>>,
    scouts: Vec<Arc<Generator>>,
}

impl Traffic {
    /// The callers of `plan`.
    pub fn new(plan: &Plan, volume: Volume) -> Traffic {
        let fabric = Arc::new(Fabric::new(volume.seed, &plan.fronts()));
        let mut lines = Vec::new();
        for (index, activity) in (0..).zip(plan.user.activities()) {
            let kind = kind(plan, activity, volume);
            let seed = volume.seed.wrapping_mul(1_000).wrapping_add(index);
            lines.push(Generator::new(kind, RetryPolicy::default(), Arc::clone(&fabric), seed));
        }
        let mut scouts = Vec::new();
        for (index, service) in (0..).zip(&plan.services) {
            let seed = volume.seed.wrapping_mul(1_000).wrapping_add(SCOUT_SEED + index);
            let retry_policy = RetryPolicy { attempts_max: 1, ..RetryPolicy::default() };
            let fabric = Arc::clone(&fabric);
            scouts.push(Generator::new(scout(service), retry_policy, fabric, seed));
        }
        Traffic { fabric, lines, scouts }
    }

    /// The fabric.
    pub fn fabric(&self) -> &Arc<Fabric> {
        &self.fabric
    }

    /// One line for each kind of request.
    pub fn lines(&self) -> &[Arc<Generator>] {
        &self.lines
    }

    /// Sends light requests until every target has run one; gives how long that
    /// took, `None` when it takes too long.
    ///
    /// # Errors
    ///
    /// Fails when a process of targets does not answer.
    pub async fn reach_all(&self, fleet: &Fleet) -> Result<Option<Duration>, Error> {
        let start = Instant::now();
        while start.elapsed() < REACH_MAX {
            let mut tasks = JoinSet::new();
            for line in &self.scouts {
                let line = Arc::clone(line);
                tasks.spawn(async move { line.run(REACH_POLL).await });
            }
            while tasks.join_next().await.is_some() {}
            if fleet.ledgers().await?.iter().all(|ledger| ledger.runs > 0) {
                return Ok(Some(start.elapsed()));
            }
        }
        Ok(None)
    }

    /// Opens the long flows, for at least `time`.
    pub async fn settle(&self, time: Duration) {
        let mut tasks = JoinSet::new();
        for line in &self.lines {
            if line.kind().requests_per_flow.is_some() {
                continue;
            }
            let line = Arc::clone(line);
            tasks.spawn(
                async move { line.establish_flows(OPENINGS_PER_SECOND, OPENING_WORK).await },
            );
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

/// A light request over a flow of its own.
fn scout(service: &Service) -> Kind {
    Kind {
        name: "scout".into(),
        address: service.address,
        urgency: Urgency::Ordinary,
        repeat: Repeat::Idempotent,
        rate: SCOUTS_PER_SECOND,
        flows: 0,
        requests_per_flow: Some(1),
        parts: 1,
        deadline: SCOUT_DEADLINE,
        resend_timeout: SCOUT_DEADLINE,
        request_bytes: REQUEST_BYTES,
        demand: Demand { answer_bytes: 1, work_micros: 1_000 },
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
        resend_timeout: activity.deadline / 2,
        request_bytes: REQUEST_BYTES,
        demand: Demand {
            answer_bytes: activity.answer_bytes,
            work_micros: u32::try_from(activity.work.as_micros()).unwrap_or(u32::MAX),
        },
    }
}
