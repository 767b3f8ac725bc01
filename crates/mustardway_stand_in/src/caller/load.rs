//! Open-loop load generator.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::flow::Pool;
use super::report::{Events, Outcome, Report};
use super::request::{NotRun, Request};
use super::workload::{Kind, RetryPolicy};
use crate::fabric::Fabric;

/// Generates the requests of one kind, with a flow pool and a report.
pub struct Generator {
    kind: Kind,
    retry_policy: RetryPolicy,
    fabric: Arc<Fabric>,
    pool: Pool,
    report: Mutex<Report>,
    openings: Mutex<Report>,
    not_run: Mutex<Vec<NotRun>>,
    next_request: AtomicU64,
}

impl Generator {
    /// Creates a generator of `kind` requests that go through `fabric`.
    pub fn new(
        kind: Kind,
        retry_policy: RetryPolicy,
        fabric: Arc<Fabric>,
        seed: u64,
    ) -> Arc<Generator> {
        let pool = Pool::new(seed, kind.flows);
        Arc::new(Generator {
            kind,
            retry_policy,
            fabric,
            pool,
            report: Mutex::default(),
            openings: Mutex::default(),
            not_run: Mutex::default(),
            next_request: AtomicU64::new(1),
        })
    }

    /// Returns the kind of the requests.
    pub fn kind(&self) -> &Kind {
        &self.kind
    }

    /// Returns the report of the requests so far.
    pub fn report(&self) -> Report {
        self.report.lock().clone()
    }

    /// Returns the report of the requests that [`Generator::establish_flows`] sent.
    pub fn openings(&self) -> Report {
        self.openings.lock().clone()
    }

    /// Returns the attempts that were answered "not run" so far.
    pub fn not_run(&self) -> Vec<NotRun> {
        self.not_run.lock().clone()
    }

    /// Returns the number of open flows.
    pub fn open_flows(&self) -> usize {
        self.pool.open_count()
    }

    /// Returns the number of flows opened so far.
    pub fn opened_flows(&self) -> u64 {
        self.pool.opened_count()
    }

    /// Sends requests at the rate of the kind for `time`, and waits until all have ended.
    pub async fn run(self: &Arc<Generator>, time: Duration) {
        self.run_at_rate(self.kind.rate, time).await;
    }

    /// Sends requests at `rate` per second for `time`, and waits until all have ended.
    pub async fn run_at_rate(self: &Arc<Generator>, rate: f64, time: Duration) {
        if rate <= 0.0 {
            return;
        }
        let start = Instant::now();
        let total = (rate * time.as_secs_f64()) as u64;
        let mut tasks = JoinSet::new();
        for index in 0..total {
            let due = start + Duration::from_secs_f64(index as f64 / rate);
            tokio::time::sleep_until(due).await;
            let generator = Arc::clone(self);
            tasks.spawn(async move { generator.send_request(due).await });
            while tasks.try_join_next().is_some() {}
        }
        while tasks.join_next().await.is_some() {}
    }

    /// Establishes the flows of the kind at `rate` per second; the target works for
    /// `work` on each opening request.
    pub async fn establish_flows(self: &Arc<Generator>, rate: f64, work: Duration) {
        let mut kind = self.kind.clone();
        kind.demand.work_micros = u32::try_from(work.as_micros()).unwrap_or(u32::MAX);
        let kind = Arc::new(kind);
        let start = Instant::now();
        let mut tasks = JoinSet::new();
        for index in 0..self.kind.flows {
            let due = start + Duration::from_secs_f64(index as f64 / rate);
            tokio::time::sleep_until(due).await;
            let (generator, kind) = (Arc::clone(self), Arc::clone(&kind));
            tasks.spawn(
                async move { generator.send_request_as(&kind, &generator.openings, due).await },
            );
        }
        while tasks.join_next().await.is_some() {}
    }

    /// Sends one request; its deadline and latency count from `due`.
    pub async fn send_request(&self, due: Instant) -> Outcome {
        self.send_request_as(&self.kind, &self.report, due).await
    }

    async fn send_request_as(&self, kind: &Kind, report: &Mutex<Report>, due: Instant) -> Outcome {
        let mut flow = self.pool.take();
        flow.requests += 1;
        let is_last = self.kind.requests_per_flow.is_some_and(|limit| flow.requests >= limit);
        report.lock().begin();
        let mut request = Request {
            kind,
            retry_policy: self.retry_policy,
            fabric: &self.fabric,
            pool: &self.pool,
            flow,
            id: self.next_request.fetch_add(1, Ordering::Relaxed),
            events: Events::default(),
            not_run: Vec::new(),
        };
        let outcome = request.run(due, is_last).await;
        let Request { flow, events, not_run, .. } = request;
        self.not_run.lock().extend(not_run);
        report.lock().end(&outcome, due.elapsed(), events);
        let is_open = !is_last && !matches!(outcome, Outcome::FlowEnded(_));
        match is_open {
            true => self.pool.release(flow),
            false => self.pool.discard(),
        }
        outcome
    }
}
