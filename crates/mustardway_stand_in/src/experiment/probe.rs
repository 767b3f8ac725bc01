//! Measures how long a revision takes to come into force and the latency that
//! instances add to a call.

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

/// Longest wait until a revision is in force at every instance.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(20);

/// Time between two queries of an instance's view.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Rate of the calls whose latencies are compared.
const COMPARED_PER_SECOND: f64 = 50.0;

/// Processing time of a call whose latency is compared.
const COMPARED_WORK_MICROS: u32 = 1_000;

/// Part of the view that an instance serves on its admin address.
#[derive(Debug, Deserialize)]
struct View {
    revision: u64,
}

/// Returns the revision that the platform serves.
///
/// # Errors
///
/// Fails when the platform does not answer.
pub async fn platform_revision(fleet: &Fleet) -> Result<u64, Error> {
    let configuration: Configuration = http::get(fleet.plan().platform, "/configuration").await?;
    Ok(configuration.revision)
}

/// Waits until every instance has a revision above `before` and returns the time
/// since `start`; `None` when the timeout passes first.
pub async fn wait_in_force(fleet: &Fleet, before: u64, start: Instant) -> Option<Duration> {
    for instance in &fleet.plan().instances {
        loop {
            let view = http::get::<View>(instance.admin, "/view").await;
            if view.is_ok_and(|view| view.revision > before) {
                break;
            }
            if start.elapsed() > IN_FORCE_TIMEOUT {
                return None;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    Some(start.elapsed())
}

/// Returns the median latencies, in milliseconds, of cheap calls sent directly to
/// the last target and of the same calls sent through the instances; `None` when
/// the plan has no target.
pub async fn compare_latency(fleet: &Fleet, seed: u64, time: Duration) -> Option<(f64, f64)> {
    let target = fleet.plan().targets.last()?;
    let direct = Arc::new(Fabric::new(seed, &[target.endpoint]));
    let through = Arc::new(Fabric::new(seed, &fleet.plan().fronts()));
    let kind = Kind {
        name: "compared".into(),
        address: target.address,
        urgency: Urgency::Ordinary,
        repeat: Repeat::Idempotent,
        rate: COMPARED_PER_SECOND,
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
