//! One scenario with one seed.

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

/// Longest wait for the end of a stopped instance.
const STOP_MAX: Duration = Duration::from_secs(30);

/// Time that the platform takes to drop an ended instance from its list.
const LIST_LAG: Duration = Duration::from_secs(1);

/// Length of the comparison with direct calls.
const COMPARE_TIME: Duration = Duration::from_secs(3);

/// Time that a woken instance has before its failure domain is back.
const AWAKE_TIME: Duration = Duration::from_secs(1);

/// Index of the instance, the target and the failure domain that are hit.
const HIT: usize = 0;

/// One run.
pub struct Run {
    /// What happens.
    pub scenario: Scenario,
    /// Time before it in which long flows are opened.
    pub settle: Duration,
    /// Length of each of its three parts.
    pub part: Duration,
    /// How much traffic.
    pub volume: Volume,
}

impl Run {
    /// Runs it on a new deployment.
    ///
    /// # Errors
    ///
    /// Fails when the deployment does not come up or go on.
    pub async fn measure(
        &self,
        plan: Plan,
        launch: Launch,
        root: PathBuf,
    ) -> Result<Figures, Error> {
        let mut fleet = Fleet::start(plan, launch, root).await?;
        let traffic = Traffic::new(fleet.plan(), self.volume);
        let mut figures = Figures::new();
        if let Some(took) = traffic.reach_all(&fleet).await? {
            figures.insert(Measure::SecondsToServe, took.as_secs_f64());
        }
        traffic.settle(self.settle).await;
        if self.scenario == Scenario::Calm
            && let Some((direct, through)) =
                probe::compare(&fleet, self.volume.seed, COMPARE_TIME).await
        {
            figures.insert(Measure::AddedDelay, through - direct);
        }
        let calls_before: Calls = http::get(fleet.plan().platform, "/calls").await?;
        let before = fleet.ledgers().await?;
        let started = Instant::now();
        let (acted, ()) =
            tokio::join!(self.act(&mut fleet, &mut figures), traffic.run(self.part * 3));
        acted?;
        let after = fleet.ledgers().await?;
        let calls_after: Calls = http::get(fleet.plan().platform, "/calls").await?;
        let calls = total(calls_after) - total(calls_before);
        figures.insert(Measure::PlatformCalls, calls / started.elapsed().as_secs_f64());
        let audit = Audit::new(&fleet.runs().await?, &traffic.not_run());
        figures.insert(Measure::Doubles, audit.doubles as f64);
        figures.insert(Measure::FalseNotRun, audit.false_not_run as f64);
        enter_ledgers(&mut figures, fleet.plan(), &before, &after);
        enter_service(&mut figures, &traffic);
        Ok(figures)
    }

    /// Does what the scenario says, and undoes it.
    async fn act(&self, fleet: &mut Fleet, figures: &mut Figures) -> Result<(), Error> {
        tokio::time::sleep(self.part).await;
        let undo_at = Instant::now() + self.part;
        let instance = fleet.plan().instances[HIT].clone();
        let target = fleet.plan().targets[HIT].clone();
        match self.scenario {
            Scenario::Calm => {}
            Scenario::InstanceStop => {
                fleet.signal(&instance.id, Signal::Terminate)?;
                let code = fleet.wait_end(&instance.id, STOP_MAX).await?;
                figures.insert(Measure::ExitCode, code.map_or(-1.0, f64::from));
                bring_back(fleet, &instance, undo_at).await?;
            }
            Scenario::InstanceKill => {
                fleet.signal(&instance.id, Signal::Kill)?;
                bring_back(fleet, &instance, undo_at).await?;
            }
            Scenario::InstancePause => {
                fleet.signal(&instance.id, Signal::Stop)?;
                tokio::time::sleep_until(undo_at).await;
                fleet.signal(&instance.id, Signal::Continue)?;
            }
            Scenario::DomainOut => self.take_domain_out(fleet, None, undo_at, figures).await?,
            Scenario::DomainOutAndKill => {
                let other = fleet.plan().instances[HIT + 1].clone();
                fleet.signal(&other.id, Signal::Kill)?;
                self.take_domain_out(fleet, None, undo_at, figures).await?;
                fleet.start_instance(&other)?;
            }
            Scenario::DomainOutAndPause => {
                fleet.signal(&instance.id, Signal::Stop)?;
                self.take_domain_out(fleet, Some(&instance), undo_at, figures).await?;
            }
            Scenario::TargetLeaving => {
                let folder = fleet.folder();
                put(folder.put_target(&target, TargetState::Leaving))?;
                let start = clock::now_millis();
                tokio::time::sleep_until(undo_at).await;
                let ledger = find(fleet.ledgers().await?, &target.id);
                let last = ledger.map_or(0, |ledger| ledger.last_opening_millis);
                figures.insert(Measure::SecondsToLeave, seconds_since(start, last));
                put(fleet.folder().put_target(&target, TargetState::Serving))?;
            }
            Scenario::TargetCold => fleet.turn_cold(&target.id).await?,
            Scenario::TargetDown => {
                let down = Behaviour { down: true, ..Behaviour::default() };
                fleet.set_behaviour(&target.id, down).await?;
                tokio::time::sleep_until(undo_at).await;
                fleet.set_behaviour(&target.id, Behaviour::default()).await?;
                fleet.turn_cold(&target.id).await?;
            }
            Scenario::PlatformDown => {
                let down = Faults { down: true, ..Faults::default() };
                fleet.set_platform(&down).await?;
                tokio::time::sleep_until(undo_at).await;
                fleet.set_platform(&Faults::default()).await?;
            }
        }
        Ok(())
    }

    /// Takes a failure domain out and back in.
    /// Takes the failure domain out, wakes `paused` where it is given, and
    /// brings the domain back at `undo_at`.
    async fn take_domain_out(
        &self,
        fleet: &mut Fleet,
        paused: Option<&Instance>,
        undo_at: Instant,
        figures: &mut Figures,
    ) -> Result<(), Error> {
        let domain = fleet.plan().domains[HIT].clone();
        let revision = probe::revision(fleet).await?;
        put(fleet.folder().put_domain(fleet.plan(), &domain, DomainState::Out))?;
        let (start, started) = (clock::now_millis(), Instant::now());
        if self.scenario == Scenario::DomainOut
            && let Some(took) = probe::in_force(fleet, revision, started).await
        {
            figures.insert(Measure::SecondsInForce, took.as_secs_f64());
        }
        if let Some(instance) = paused {
            tokio::time::sleep_until(undo_at - AWAKE_TIME).await;
            fleet.signal(&instance.id, Signal::Continue)?;
        }
        tokio::time::sleep_until(undo_at).await;
        let plan = fleet.plan();
        let mut last = 0;
        for ledger in fleet.ledgers().await? {
            if plan.targets_in(&domain.name).iter().any(|target| target.id == ledger.name) {
                last = last.max(ledger.last_packet_millis);
            }
        }
        figures.insert(Measure::SecondsToEmpty, seconds_since(start, last));
        put(fleet.folder().put_domain(plan, &domain, DomainState::In))
    }
}

/// Takes an instance that has ended off the list, and starts it at `at`.
async fn bring_back(fleet: &mut Fleet, instance: &Instance, at: Instant) -> Result<(), Error> {
    tokio::time::sleep(LIST_LAG).await;
    let left = fleet.plan().instances.iter().filter(|other| other.id != instance.id);
    put(fleet.folder().put_instances(left))?;
    tokio::time::sleep_until(at).await;
    fleet.start_instance(instance)?;
    put(fleet.folder().put_instances(&fleet.plan().instances))
}

/// Wraps the error of writing a configuration file.
fn put(result: std::io::Result<()>) -> Result<(), Error> {
    result.map_err(|error| Error::System { what: "a file cannot be written", error })
}

fn total(calls: Calls) -> f64 {
    (calls.configuration + calls.instances) as f64
}

fn find(ledgers: Vec<Summary>, name: &CompactString) -> Option<Summary> {
    ledgers.into_iter().find(|ledger| ledger.name == *name)
}

/// Seconds from `start` to `last`, both in milliseconds; 0 when that is before.
fn seconds_since(start: u64, last: u64) -> f64 {
    last.saturating_sub(start) as f64 / 1e3
}

fn enter_ledgers(figures: &mut Figures, plan: &Plan, before: &[Summary], after: &[Summary]) {
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

fn enter_service(figures: &mut Figures, traffic: &Traffic) {
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
