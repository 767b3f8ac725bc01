//! `measure`: runs scenarios with several seeds and prints the measures.

use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;

use super::Failure;
use super::launch::{self, Percent};
use crate::deployment::plan::Plan;
use crate::deployment::traffic::Volume;
use crate::deployment::user::User;
use crate::experiment::figure::{Collection, Measure};
use crate::experiment::run::Run;
use crate::experiment::scenario::{NAMES, Scenario};

/// measure scenarios over several seeds and print min, median and max; exits 1
/// when a request ran twice, an answer "not run" was false or a packet reached a
/// target of another service
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "measure")]
pub struct Arguments {
    /// frio-austral or partitura-viva
    #[argh(option)]
    user: User,
    /// a scenario; may be given more than once; all by default
    #[argh(option)]
    scenario: Vec<Scenario>,
    /// the mustardway binary; by default the one beside this program
    #[argh(option)]
    binary: Option<PathBuf>,
    /// number of seeds
    #[argh(option, default = "5")]
    seeds: u64,
    /// time before each run, in which long flows are opened
    #[argh(option, default = "Duration::from_secs(6)", from_str_fn(super::duration))]
    settle: Duration,
    /// length of each run in seconds
    #[argh(option, default = "18")]
    seconds: u64,
    /// load offered to the services, in percent of the capacity of their targets
    #[argh(option, default = "Percent(40)")]
    rate: Percent,
    /// long flows for each target
    #[argh(option, default = "50")]
    flows: usize,
    /// count an instance as ready when its front accepts connections, without
    /// asking its admin address
    #[argh(switch)]
    ready_by_front: bool,
}

/// Runs every selected scenario with every seed and prints the measures.
pub(super) async fn run(arguments: &Arguments) -> Result<bool, Failure> {
    let mut collection = Collection::default();
    tokio::select! {
        ran = run_all(arguments, &mut collection) => ran?,
        stopped = super::stop_signal() => stopped?,
    }
    print!("{collection}");
    Ok(no_violation(&collection))
}

/// Adds the figures of every run to `collection`; a failed run is reported and skipped.
async fn run_all(arguments: &Arguments, collection: &mut Collection) -> Result<(), Failure> {
    let launch = launch::from_options(arguments.binary.as_deref(), arguments.ready_by_front)?;
    let phase = Duration::from_secs(arguments.seconds) / 3;
    for scenario in scenarios(arguments) {
        for seed in 1..=arguments.seeds {
            let volume =
                Volume { load: arguments.rate.fraction(), flows_per_target: arguments.flows, seed };
            let plan = Plan::new(arguments.user)?;
            let run = Run { scenario, settle: arguments.settle, phase, volume };
            match run.measure(plan, launch.clone(), launch::deployment_folder()).await {
                Ok(figures) => collection.add(scenario, &figures),
                Err(error) => eprintln!("{scenario}, seed {seed}: not measured: {error}"),
            }
        }
    }
    Ok(())
}

fn scenarios(arguments: &Arguments) -> Vec<Scenario> {
    match arguments.scenario.is_empty() {
        true => NAMES.map(|(scenario, _)| scenario).into(),
        false => arguments.scenario.clone(),
    }
}

/// Returns whether no run broke an execution or routing guarantee; false when no
/// run was measured.
fn no_violation(collection: &Collection) -> bool {
    let mut measured = false;
    for (scenario, _) in NAMES {
        for measure in [Measure::Doubles, Measure::FalseNotRun, Measure::WrongService] {
            let Some(spread) = collection.spread(scenario, measure) else { continue };
            measured = true;
            if spread.max > 0.0 {
                return false;
            }
        }
    }
    measured
}
