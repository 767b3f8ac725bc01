//! Sends a workload.

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

/// One kind of request, its flows and its report.
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
    /// A line of `kind` requests over `fabric`.
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

    /// Its kind.
    pub fn kind(&self) -> &Kind {
        &self.kind
    }

    /// What became of its requests so far.
    pub fn report(&self) -> Report {
        self.report.lock().clone()
    }

    /// What became of the packets that only opened flows.
    pub fn openings(&self) -> Report {
        self.openings.lock().clone()
    }

    /// Answers "not run" so far.
    pub fn not_run(&self) -> Vec<NotRun> {
        self.not_run.lock().clone()
    }

    /// Flows that are open.
    pub fn open_flows(&self) -> usize {
        self.pool.open_count()
    }

    /// Flows opened so far.
    pub fn opened_flows(&self) -> u64 {
        self.pool.opened_count()
    }

    /// Sends requests at the kind's rate for `time`, and waits for the last.
    pub async fn run(self: &Arc<Generator>, time: Duration) {
        self.run_at_rate(self.kind.rate, time).await;
    }

    /// Sends requests at `rate` a second for `time`, and waits for the last.
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

    /// Opens the kind's flows at `rate` a second, with `work` on each opening.
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

    /// Sends one request that was due at `due`.
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
