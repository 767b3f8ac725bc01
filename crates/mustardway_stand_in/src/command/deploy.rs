//! `deploy`: runs a user's whole deployment with its workload on loopback.

use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use compact_str::CompactString;

use super::Failure;
use super::launch::{self, Percent};
use crate::caller::report::Report;
use crate::deployment::audit::Audit;
use crate::deployment::fleet::Fleet;
use crate::deployment::plan::Plan;
use crate::deployment::process::Signal;
use crate::deployment::summary::{Row, Stop, Summary};
use crate::deployment::traffic::{Traffic, Volume};
use crate::deployment::user::User;

/// Longest wait until a stopped instance ends.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between the end of an instance and its removal from the platform's list.
const LIST_REMOVAL_DELAY: Duration = Duration::from_secs(1);

/// start a user's deployment of its present size on loopback and run its
/// workload; exits 0 when every request was answered once, else 1
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "deploy")]
pub struct Arguments {
    /// frio-austral or partitura-viva
    #[argh(option)]
    user: User,
    /// the mustardway binary; by default the one beside this program
    #[argh(option)]
    binary: Option<PathBuf>,
    /// length of the run in seconds
    #[argh(option, default = "20")]
    seconds: u64,
    /// time before the run, in which long flows are opened
    #[argh(option, default = "Duration::from_secs(6)", from_str_fn(super::duration))]
    settle: Duration,
    /// load offered to the services, in percent of the capacity of their targets
    #[argh(option, default = "Percent(50)")]
    rate: Percent,
    /// long flows for each target
    #[argh(option, default = "100")]
    flows: usize,
    /// seed of flows and of the fabric
    #[argh(option, default = "1")]
    seed: u64,
    /// stop one instance by SIGTERM after this part of the run, in percent
    #[argh(option)]
    stop_one_at: Option<Percent>,
    /// count an instance as ready when its front accepts connections, without
    /// asking its admin address
    #[argh(switch)]
    ready_by_front: bool,
    /// print JSON
    #[argh(switch)]
    json: bool,
    /// keep logs and files, and print their folder
    #[argh(switch)]
    keep: bool,
}

/// Runs the deployment and prints its summary; returns whether the run passed.
pub(super) async fn run(arguments: &Arguments) -> Result<bool, Failure> {
    let launch = launch::from_options(arguments.binary.as_deref(), arguments.ready_by_front)?;
    let plan = Plan::new(arguments.user)?;
    let running = async {
        let mut fleet = Fleet::start(plan, launch, launch::deployment_folder()).await?;
        if arguments.keep {
            fleet.keep_folder();
            eprintln!("files and logs: {}", fleet.folder().root().display());
        }
        measure(arguments, &mut fleet).await
    };
    let summary = tokio::select! {
        summary = running => summary?,
        stopped = super::stop_signal() => {
            stopped?;
            return Err("stopped by a signal".into());
        }
    };
    match arguments.json {
        true => println!("{}", serde_json::to_string_pretty(&summary)?),
        false => print!("{summary}"),
    }
    Ok(summary.passed())
}

/// Runs the workload on a started deployment and collects the results.
async fn measure(arguments: &Arguments, fleet: &mut Fleet) -> Result<Summary, Failure> {
    let volume = Volume {
        load: arguments.rate.fraction(),
        flows_per_target: arguments.flows,
        seed: arguments.seed,
    };
    let time = Duration::from_secs(arguments.seconds);
    let traffic = Traffic::new(fleet.plan(), volume);
    let reached = traffic.reach_all_targets(fleet).await?;
    traffic.open_long_flows(arguments.settle).await;
    let stop_at = arguments.stop_one_at.map(|at| time.mul_f64(at.fraction()));
    let (stopped, ()) = tokio::join!(stop_one(fleet, stop_at), traffic.run(time));
    let targets = fleet.ledgers().await?;
    let audit = Audit::new(&fleet.runs().await?, &traffic.not_run());
    Ok(Summary {
        requests: rows(&traffic),
        targets,
        audit,
        reached_millis: reached.map(|time| time.as_millis() as u64),
        stopped: stopped?,
    })
}

/// Stops the first instance after `at`, and removes it from the platform's list.
async fn stop_one(fleet: &mut Fleet, at: Option<Duration>) -> Result<Option<Stop>, Failure> {
    let Some(at) = at else { return Ok(None) };
    tokio::time::sleep(at).await;
    let instance = fleet.plan().instances[0].id.clone();
    fleet.signal(&instance, Signal::Terminate)?;
    let code = fleet.wait_exit(&instance, STOP_TIMEOUT).await?;
    tokio::time::sleep(LIST_REMOVAL_DELAY).await;
    let remaining = fleet.plan().instances.iter().filter(|other| other.id != instance);
    fleet.folder().put_instances(remaining)?;
    Ok(Some(Stop { instance, code }))
}

/// Returns the rows of the summary, with the flow openings of a kind before its requests.
fn rows(traffic: &Traffic) -> Vec<Row> {
    let mut rows = Vec::new();
    for line in traffic.lines() {
        let openings = line.openings();
        if openings.counts.asked > 0 {
            let name = compact_str::format_compact!("{} (flow openings)", line.kind().name);
            rows.push(row(name, &openings));
        }
        rows.push(row(line.kind().name.clone(), &line.report()));
    }
    rows
}

fn row(name: CompactString, report: &Report) -> Row {
    Row { name, counts: report.counts.clone(), latency: report.latency() }
}
