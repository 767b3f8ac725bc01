//! The load that callers put on a deployment.

use std::sync::Arc;
use std::time::Duration;

use mustardway_types::request::{Repeat, Urgency};
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::fleet::{Error, Fleet};
use super::plan::{Plan, Service};
use super::user::Workload;
use crate::caller::load::Generator;
use crate::caller::report::Report;
use crate::caller::request::NotRun;
use crate::caller::workload::{Kind, RetryPolicy};
use crate::fabric::Fabric;
use crate::payload::Demand;

/// Size of each request, in bytes.
const REQUEST_BYTES: usize = 200;

/// Flows held open for each target by kinds of request that close their flows.
const SHORT_FLOWS_PER_TARGET: usize = 10;

/// Processing time of a packet that only opens a flow.
const OPENING_WORK: Duration = Duration::from_millis(1);

/// Rate at which the long flows are opened before a run.
const OPENINGS_PER_SECOND: f64 = 1_500.0;

/// Longest wait until every target has run a request.
const REACH_TIMEOUT: Duration = Duration::from_secs(60);

/// Time between two checks whether every target has run a request.
const REACH_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Probe requests a second to each service until every target has run a request.
const PROBES_PER_SECOND: f64 = 100.0;

/// Time until the answer to a probe request is late.
const PROBE_DEADLINE: Duration = Duration::from_secs(1);

/// Offset of the probes' seeds, which keeps them apart from the seeds of the workloads.
const PROBE_SEED_OFFSET: u64 = 500;

/// Amount of traffic.
#[derive(Debug, Clone, Copy)]
pub struct Volume {
    /// Offered load as a fraction of the capacity of the services' warm targets.
    pub load: f64,
    /// Long flows for each target.
    pub flows_per_target: usize,
    /// Seed of flows and of the fabric.
    pub seed: u64,
}

/// The callers of a deployment.
pub struct Traffic {
    fabric: Arc<Fabric>,
    lines: Vec<Arc<Generator>>,
    probes: Vec<Arc<Generator>>,
}

impl Traffic {
    /// Creates the callers for the workloads of `plan`.
    pub fn new(plan: &Plan, volume: Volume) -> Traffic {
        let fabric = Arc::new(Fabric::new(volume.seed, &plan.fronts()));
        let mut lines = Vec::new();
        for (index, workload) in (0..).zip(plan.user.workloads()) {
            let kind = kind(plan, workload, volume);
            let seed = volume.seed.wrapping_mul(1_000).wrapping_add(index);
            lines.push(Generator::new(kind, RetryPolicy::default(), Arc::clone(&fabric), seed));
        }
        let mut probes = Vec::new();
        for (index, service) in (0..).zip(&plan.services) {
            let seed = volume.seed.wrapping_mul(1_000).wrapping_add(PROBE_SEED_OFFSET + index);
            let retry_policy = RetryPolicy { attempts_max: 1, ..RetryPolicy::default() };
            let fabric = Arc::clone(&fabric);
            probes.push(Generator::new(probe(service), retry_policy, fabric, seed));
        }
        Traffic { fabric, lines, probes }
    }

    /// Returns the fabric that carries the packets.
    pub fn fabric(&self) -> &Arc<Fabric> {
        &self.fabric
    }

    /// Returns the load of each kind of request.
    pub fn lines(&self) -> &[Arc<Generator>] {
        &self.lines
    }

    /// Sends probe requests until every target has run a request, and returns the
    /// time this took; `None` when the timeout passes first.
    ///
    /// # Errors
    ///
    /// Fails when a target process does not answer.
    pub async fn reach_all_targets(&self, fleet: &Fleet) -> Result<Option<Duration>, Error> {
        let start = Instant::now();
        while start.elapsed() < REACH_TIMEOUT {
            let mut tasks = JoinSet::new();
            for line in &self.probes {
                let line = Arc::clone(line);
                tasks.spawn(async move { line.run(REACH_POLL_INTERVAL).await });
            }
            while tasks.join_next().await.is_some() {}
            if fleet.ledgers().await?.iter().all(|ledger| ledger.runs > 0) {
                return Ok(Some(start.elapsed()));
            }
        }
        Ok(None)
    }

    /// Opens the flows of the workloads that keep theirs open, and returns after at
    /// least `time`.
    pub async fn open_long_flows(&self, time: Duration) {
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

    /// Sends requests of every kind for `time`, and waits until the last one ends.
    pub async fn run(&self, time: Duration) {
        let mut tasks = JoinSet::new();
        for line in &self.lines {
            let line = Arc::clone(line);
            tasks.spawn(async move { line.run(time).await });
        }
        while tasks.join_next().await.is_some() {}
    }

    /// Returns the reports on the packets that only opened flows.
    pub fn openings(&self) -> Vec<Report> {
        self.lines.iter().map(|line| line.openings()).collect()
    }

    /// Returns the answers "not run" received so far.
    pub fn not_run(&self) -> Vec<NotRun> {
        self.lines.iter().flat_map(|line| line.not_run()).collect()
    }
}

/// Returns a cheap kind of request that opens a new flow for each request.
fn probe(service: &Service) -> Kind {
    Kind {
        name: "probe".into(),
        address: service.address,
        urgency: Urgency::Ordinary,
        repeat: Repeat::Idempotent,
        rate: PROBES_PER_SECOND,
        flows: 0,
        requests_per_flow: Some(1),
        parts: 1,
        deadline: PROBE_DEADLINE,
        resend_timeout: PROBE_DEADLINE,
        request_bytes: REQUEST_BYTES,
        demand: Demand { answer_bytes: 1, work_micros: 1_000 },
    }
}

/// Returns the kind of request of a workload, with the rate that gives the service
/// its share of the offered load.
fn kind(plan: &Plan, workload: &Workload, volume: Volume) -> Kind {
    let service = &plan.services[workload.service];
    let targets = plan.targets_of(&service.name).len();
    let capacity = targets as f64 * f64::from(plan.limits.slots);
    let work = workload.work.as_secs_f64() * f64::from(workload.parts);
    let flows_per_target = match workload.requests_per_flow {
        Some(_) => SHORT_FLOWS_PER_TARGET,
        None => volume.flows_per_target,
    };
    Kind {
        name: workload.name.into(),
        address: service.address,
        urgency: workload.urgency,
        repeat: workload.repeat,
        rate: capacity * volume.load * workload.share / work,
        flows: flows_per_target * targets,
        requests_per_flow: workload.requests_per_flow,
        parts: workload.parts,
        deadline: workload.deadline,
        resend_timeout: workload.deadline / 2,
        request_bytes: REQUEST_BYTES,
        demand: Demand {
            answer_bytes: workload.answer_bytes,
            work_micros: u32::try_from(workload.work.as_micros()).unwrap_or(u32::MAX),
        },
    }
}
