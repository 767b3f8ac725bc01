//! Times taken during a run.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use tokio::time::Instant;

use crate::caller::load::Generator;
use crate::caller::workload::{Kind, RetryPolicy};
use crate::deployment::fleet::{Error, Fleet};
use crate::fabric::Fabric;
use crate::http;
use crate::payload::Demand;
use crate::platform::message::Configuration;
use mustardway_types::request::{Repeat, Urgency};

/// Longest wait until a revision is in force.
const IN_FORCE_MAX: Duration = Duration::from_secs(20);

/// Time between two looks.
const POLL: Duration = Duration::from_millis(20);

/// Requests a second of the calls that are compared.
const COMPARED_RATE: f64 = 50.0;

/// Work on a call that is compared.
const COMPARED_WORK_MICROS: u32 = 1_000;

/// What an instance shows of its view.
#[derive(Debug, Deserialize)]
struct Shown {
    revision: u64,
}

/// Revision that the platform serves.
///
/// # Errors
///
/// Fails when the platform does not answer.
pub async fn revision(fleet: &Fleet) -> Result<u64, Error> {
    let got: Configuration = http::get(fleet.plan().platform, "/configuration").await?;
    Ok(got.revision)
}

/// Time since `start` when every instance has a revision above `before`;
/// `None` when that takes too long.
pub async fn in_force(fleet: &Fleet, before: u64, start: Instant) -> Option<Duration> {
    for instance in &fleet.plan().instances {
        loop {
            let shown = http::get::<Shown>(instance.admin, "/view").await;
            if shown.is_ok_and(|shown| shown.revision > before) {
                break;
            }
            if start.elapsed() > IN_FORCE_MAX {
                return None;
            }
            tokio::time::sleep(POLL).await;
        }
    }
    Some(start.elapsed())
}

/// Median latency in milliseconds of light calls to the last target, direct,
/// and of the same calls through the instances.
pub async fn compare(fleet: &Fleet, seed: u64, time: Duration) -> Option<(f64, f64)> {
    let target = fleet.plan().targets.last()?;
    let direct = Arc::new(Fabric::new(seed, &[target.endpoint]));
    let through = Arc::new(Fabric::new(seed, &fleet.plan().fronts()));
    let kind = Kind {
        name: "compared".into(),
        address: target.address,
        urgency: Urgency::Ordinary,
        repeat: Repeat::Idempotent,
        rate: COMPARED_RATE,
        flows: 16,
        requests_per_flow: None,
        parts: 1,
        deadline: Duration::from_secs(2),
        resend_timeout: Duration::from_secs(2),
        request_bytes: 200,
        demand: Demand { answer_bytes: 200, work_micros: COMPARED_WORK_MICROS },
    };
    let direct = Generator::new(kind.clone(), RetryPolicy::default(), direct, seed);
    let through = Generator::new(kind, RetryPolicy::default(), through, seed + 1);
    tokio::join!(direct.run(time), through.run(time));
    let millis = |line: &Generator| line.report().latency().p50_micros as f64 / 1e3;
    Some((millis(&direct), millis(&through)))
}
