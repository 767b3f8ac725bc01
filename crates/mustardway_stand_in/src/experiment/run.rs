//! Runs one scenario with one seed on a new deployment.

use std::path::PathBuf;
use std::time::Duration;

use compact_str::CompactString;
use mustardway_types::request::Urgency;
use tokio::time::Instant;

use super::figure::{Figures, Measure};
use super::probe;
use super::scenario::Scenario;
use crate::clock;
use crate::deployment::audit::Audit;
use crate::deployment::files::{DomainState, TargetState};
use crate::deployment::fleet::{Error, Fleet, Launch};
use crate::deployment::plan::{Instance, Plan};
use crate::deployment::process::Signal;
use crate::deployment::traffic::{Traffic, Volume};
use crate::http;
use crate::platform::fault::Faults;
use crate::platform::message::Calls;
use crate::target::behaviour::Behaviour;
use crate::target::ledger::Summary;

/// Longest wait until a stopped instance ends.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between the end of an instance and its removal from the platform's list.
const LIST_REMOVAL_DELAY: Duration = Duration::from_secs(1);

/// Duration of the latency comparison with direct calls.
const COMPARE_DURATION: Duration = Duration::from_secs(3);

/// Time between resuming a paused instance and putting its failure domain back in.
const RESUME_MARGIN: Duration = Duration::from_secs(1);

/// Index of the instance, the target and the failure domain that a scenario
/// changes.
const FAULT_INDEX: usize = 0;

/// A run of one scenario.
pub struct Run {
    /// Change or fault that happens during the run.
    pub scenario: Scenario,
    /// Time before the run, in which long flows are opened.
    pub settle: Duration,
    /// Length of each of the three phases of the run.
    pub phase: Duration,
    /// Amount of traffic.
    pub volume: Volume,
}

impl Run {
    /// Starts a deployment, runs the scenario on it and returns the measured values.
    ///
    /// # Errors
    ///
    /// Fails when the deployment cannot be started or controlled.
    pub async fn measure(
        &self,
        plan: Plan,
        launch: Launch,
        root: PathBuf,
    ) -> Result<Figures, Error> {
        let mut fleet = Fleet::start(plan, launch, root).await?;
        let traffic = Traffic::new(fleet.plan(), self.volume);
        let mut figures = Figures::new();
        if let Some(took) = traffic.reach_all_targets(&fleet).await? {
            figures.insert(Measure::SecondsToServe, took.as_secs_f64());
        }
        traffic.open_long_flows(self.settle).await;
        if self.scenario == Scenario::Calm
            && let Some((direct, through)) =
                probe::compare_latency(&fleet, self.volume.seed, COMPARE_DURATION).await
        {
            figures.insert(Measure::AddedDelay, through - direct);
        }
        let calls_before: Calls = http::get(fleet.plan().platform, "/calls").await?;
        let before = fleet.ledgers().await?;
        let started = Instant::now();
        let (injected, ()) =
            tokio::join!(self.inject(&mut fleet, &mut figures), traffic.run(self.phase * 3));
        injected?;
        let after = fleet.ledgers().await?;
        let calls_after: Calls = http::get(fleet.plan().platform, "/calls").await?;
        let calls = total_calls(calls_after) - total_calls(calls_before);
        figures.insert(Measure::PlatformCalls, calls / started.elapsed().as_secs_f64());
        let audit = Audit::new(&fleet.runs().await?, &traffic.not_run());
        figures.insert(Measure::Doubles, audit.doubles as f64);
        figures.insert(Measure::FalseNotRun, audit.false_not_run as f64);
        record_ledgers(&mut figures, fleet.plan(), &before, &after);
        record_service(&mut figures, &traffic);
        Ok(figures)
    }

    /// Injects the change or fault of the scenario after the first phase, and reverts
    /// it after the second.
    async fn inject(&self, fleet: &mut Fleet, figures: &mut Figures) -> Result<(), Error> {
        tokio::time::sleep(self.phase).await;
        let revert_at = Instant::now() + self.phase;
        let instance = fleet.plan().instances[FAULT_INDEX].clone();
        let target = fleet.plan().targets[FAULT_INDEX].clone();
        match self.scenario {
            Scenario::Calm => {}
            Scenario::InstanceStop => {
                fleet.signal(&instance.id, Signal::Terminate)?;
                let code = fleet.wait_exit(&instance.id, STOP_TIMEOUT).await?;
                figures.insert(Measure::ExitCode, code.map_or(-1.0, f64::from));
                restart_instance(fleet, &instance, revert_at).await?;
            }
            Scenario::InstanceKill => {
                fleet.signal(&instance.id, Signal::Kill)?;
                restart_instance(fleet, &instance, revert_at).await?;
            }
            Scenario::InstancePause => {
                fleet.signal(&instance.id, Signal::Stop)?;
                tokio::time::sleep_until(revert_at).await;
                fleet.signal(&instance.id, Signal::Continue)?;
            }
            Scenario::DomainOut => self.take_domain_out(fleet, None, revert_at, figures).await?,
            Scenario::DomainOutAndKill => {
                let other = fleet.plan().instances[FAULT_INDEX + 1].clone();
                fleet.signal(&other.id, Signal::Kill)?;
                self.take_domain_out(fleet, None, revert_at, figures).await?;
                fleet.start_instance(&other)?;
            }
            Scenario::DomainOutAndPause => {
                fleet.signal(&instance.id, Signal::Stop)?;
                self.take_domain_out(fleet, Some(&instance), revert_at, figures).await?;
            }
            Scenario::TargetLeaving => {
                let folder = fleet.folder();
                map_write_error(folder.put_target(&target, TargetState::Leaving))?;
                let start = clock::now_millis();
                tokio::time::sleep_until(revert_at).await;
                let ledger = find_ledger(fleet.ledgers().await?, &target.id);
                let last = ledger.map_or(0, |ledger| ledger.last_opening_millis);
                figures.insert(Measure::SecondsToLeave, seconds_since(start, last));
                map_write_error(fleet.folder().put_target(&target, TargetState::Serving))?;
            }
            Scenario::TargetCold => fleet.turn_cold(&target.id).await?,
            Scenario::TargetDown => {
                let down = Behaviour { down: true, ..Behaviour::default() };
                fleet.set_behaviour(&target.id, down).await?;
                tokio::time::sleep_until(revert_at).await;
                fleet.set_behaviour(&target.id, Behaviour::default()).await?;
                fleet.turn_cold(&target.id).await?;
            }
            Scenario::PlatformDown => {
                let down = Faults { down: true, ..Faults::default() };
                fleet.set_platform(&down).await?;
                tokio::time::sleep_until(revert_at).await;
                fleet.set_platform(&Faults::default()).await?;
            }
        }
        Ok(())
    }

    /// Takes the failure domain out, resumes `paused` if it is given, and puts the
    /// domain back in at `revert_at`.
    async fn take_domain_out(
        &self,
        fleet: &mut Fleet,
        paused: Option<&Instance>,
        revert_at: Instant,
        figures: &mut Figures,
    ) -> Result<(), Error> {
        let domain = fleet.plan().domains[FAULT_INDEX].clone();
        let revision = probe::platform_revision(fleet).await?;
        map_write_error(fleet.folder().put_domain(fleet.plan(), &domain, DomainState::Out))?;
        let (start, started) = (clock::now_millis(), Instant::now());
        if self.scenario == Scenario::DomainOut
            && let Some(took) = probe::wait_in_force(fleet, revision, started).await
        {
            figures.insert(Measure::SecondsInForce, took.as_secs_f64());
        }
        if let Some(instance) = paused {
            tokio::time::sleep_until(revert_at - RESUME_MARGIN).await;
            fleet.signal(&instance.id, Signal::Continue)?;
        }
        tokio::time::sleep_until(revert_at).await;
        let plan = fleet.plan();
        let mut last = 0;
        for ledger in fleet.ledgers().await? {
            if plan.targets_in(&domain.name).iter().any(|target| target.id == ledger.name) {
                last = last.max(ledger.last_packet_millis);
            }
        }
        figures.insert(Measure::SecondsToEmpty, seconds_since(start, last));
        map_write_error(fleet.folder().put_domain(plan, &domain, DomainState::In))
    }
}

/// Removes an instance that has ended from the list, and starts it again at `at`.
async fn restart_instance(
    fleet: &mut Fleet,
    instance: &Instance,
    at: Instant,
) -> Result<(), Error> {
    tokio::time::sleep(LIST_REMOVAL_DELAY).await;
    let remaining = fleet.plan().instances.iter().filter(|other| other.id != instance.id);
    map_write_error(fleet.folder().put_instances(remaining))?;
    tokio::time::sleep_until(at).await;
    fleet.start_instance(instance)?;
    map_write_error(fleet.folder().put_instances(&fleet.plan().instances))
}

/// Converts the error of writing a deployment's file.
fn map_write_error(result: std::io::Result<()>) -> Result<(), Error> {
    result.map_err(|error| Error::Io { what: "a deployment file cannot be written", error })
}

/// Returns the number of calls to the platform, of both kinds.
fn total_calls(calls: Calls) -> f64 {
    (calls.configuration + calls.instances) as f64
}

fn find_ledger(ledgers: Vec<Summary>, name: &CompactString) -> Option<Summary> {
    ledgers.into_iter().find(|ledger| ledger.name == *name)
}

/// Returns the seconds from `start` to `last`, both in milliseconds; 0 when `last`
/// is before `start`.
fn seconds_since(start: u64, last: u64) -> f64 {
    last.saturating_sub(start) as f64 / 1e3
}

/// Records the measures that come from the targets' ledgers.
fn record_ledgers(figures: &mut Figures, plan: &Plan, before: &[Summary], after: &[Summary]) {
    let wrong: u64 = after.iter().map(|ledger| ledger.wrong_service).sum();
    let falls: u64 = after.iter().map(|ledger| ledger.falls).sum();
    let cold = after.iter().map(|ledger| ledger.cold_load_max).fold(0.0, f64::max);
    figures.insert(Measure::WrongService, wrong as f64);
    figures.insert(Measure::Falls, falls as f64);
    figures.insert(Measure::ColdLoad, cold);
    let first = plan.targets_of(&plan.services[0].name);
    let mut runs = Vec::new();
    for (before, after) in before.iter().zip(after) {
        if first.iter().any(|target| target.id == after.name) {
            runs.push((after.runs - before.runs) as f64);
        }
    }
    let mean = runs.iter().sum::<f64>() / runs.len() as f64;
    if mean > 0.0 {
        figures.insert(Measure::Imbalance, runs.iter().copied().fold(0.0, f64::max) / mean);
    }
}

/// Records the measures that come from the callers' reports.
fn record_service(figures: &mut Figures, traffic: &Traffic) {
    let (mut broken, mut given_up) = (0.0, 0.0);
    let mut flows = 0.0;
    for (urgency, measure) in
        [(Urgency::Urgent, Measure::UrgentService), (Urgency::Ordinary, Measure::OrdinaryService)]
    {
        let (mut asked, mut in_time) = (0, 0);
        for line in traffic.lines() {
            if line.kind().urgency != urgency {
                continue;
            }
            let counts = line.report().counts;
            asked += counts.asked;
            in_time += counts.in_time;
            broken += counts.broken_flows as f64;
            given_up += counts.given_up_flows as f64;
            flows += line.opened_flows() as f64;
        }
        if asked > 0 {
            figures.insert(measure, in_time as f64 / asked as f64);
        }
    }
    if flows > 0.0 {
        figures.insert(Measure::BrokenFlows, broken / flows * 1e4);
        figures.insert(Measure::GivenUpFlows, given_up / flows * 1e4);
    }
}
