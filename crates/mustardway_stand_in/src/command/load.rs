//! `load`: sends one kind of request to given addresses and prints the results.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use argh::FromArgs;
use mustardway_types::address;
use mustardway_types::request::{Repeat, Urgency};

use super::Failure;
use crate::caller::load::Generator;
use crate::caller::workload::{Kind, RetryPolicy};
use crate::fabric::Fabric;
use crate::payload::Demand;

/// send requests through the fabric and print their outcomes and latencies
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "load")]
pub struct Arguments {
    /// where an instance or a target listens, ip:port; may be given again
    #[argh(option)]
    front: Vec<SocketAddr>,
    /// service address to which packets are sent, ip:port
    #[argh(option)]
    address: address::Address,
    /// requests a second
    #[argh(option, default = "100.0")]
    rate: f64,
    /// length of the run
    #[argh(option, default = "Duration::from_secs(5)", from_str_fn(super::duration))]
    time: Duration,
    /// number of flows held open
    #[argh(option, default = "20")]
    flows: usize,
    /// number of parts of each answer
    #[argh(option, default = "1")]
    parts: u32,
    /// requests must not run more than once
    #[argh(switch)]
    once: bool,
    /// requests are urgent
    #[argh(switch)]
    urgent: bool,
    /// processing time of each request at the target
    #[argh(option, default = "Duration::from_millis(2)", from_str_fn(super::duration))]
    work: Duration,
    /// time until an answer is late
    #[argh(option, default = "Duration::from_secs(2)", from_str_fn(super::duration))]
    deadline: Duration,
    /// size of each answer, in bytes
    #[argh(option, default = "200")]
    answer_bytes: u32,
    /// seed of flows and of the fabric
    #[argh(option, default = "1")]
    seed: u64,
}

/// Sends the requests and prints the counts and latencies; returns whether every
/// request was answered in time.
pub(super) async fn run(arguments: &Arguments) -> Result<bool, Failure> {
    let fabric = Arc::new(Fabric::new(arguments.seed, &arguments.front));
    let line = Generator::new(kind(arguments), RetryPolicy::default(), fabric, arguments.seed);
    line.run(arguments.time).await;
    let report = line.report();
    println!("{}", serde_json::to_string_pretty(&report.counts)?);
    println!("{}", serde_json::to_string_pretty(&report.latency())?);
    Ok(report.counts.is_whole())
}

fn kind(arguments: &Arguments) -> Kind {
    let work_micros = u32::try_from(arguments.work.as_micros()).unwrap_or(u32::MAX);
    Kind {
        name: "load".into(),
        address: arguments.address,
        urgency: if arguments.urgent { Urgency::Urgent } else { Urgency::Ordinary },
        repeat: if arguments.once { Repeat::Once } else { Repeat::Idempotent },
        rate: arguments.rate,
        flows: arguments.flows,
        requests_per_flow: None,
        parts: arguments.parts,
        deadline: arguments.deadline,
        resend_timeout: arguments.deadline,
        request_bytes: 100,
        demand: Demand { answer_bytes: arguments.answer_bytes, work_micros },
    }
}
