//! What a gate is asked and how it answers.

use bytes::Bytes;
use mustardway_types::{answer, instance, packet, request, target, time};

use crate::dedup::Entry;
use crate::finish::Step;
use crate::gate::Gate;
use crate::job::{Job, State};
use crate::key::Key;
use crate::ownership::Ownership;
use crate::placement::Placement;
use crate::queue::{self, Waiter};
use crate::ticket;

/// A request should start this many mean service times before its deadline.
const START_MARGIN_SERVICE_TIMES: u64 = 3;

/// The part of a request's whole time that the start margin takes at most.
const START_MARGIN_DIVISOR: u64 = 2;

/// A new flow is refused for balance where the load is this many times the mean.
const BALANCE_LOAD_FACTOR: f64 = 1.03;

/// A target with fewer flows than this is never refused for balance.
const BALANCE_MIN_FLOWS: usize = 4;

/// A packet that an ingress asks to be admitted.
#[derive(Debug, Clone)]
pub struct Ask {
    /// Its header.
    pub header: packet::Header,
    /// When its answer is due, on this instance's clock.
    pub deadline: time::Instant,
    /// What may be done with its flow.
    pub mode: Mode,
    /// Id of this admission.
    pub ticket: ticket::Id,
}

/// What may be done with the flow of a packet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Mode {
    /// A new flow may be placed here.
    Open {
        /// Whether the ingress has another target for it.
        candidate: Candidate,
        /// False where the owner of an earlier target said in its [`Refusal`] or its
        /// [`Admission::Reserved`] that the flow may have had requests before; else true.
        fresh: bool,
    },
    /// The flow must be known here.
    Established,
    /// An unknown flow is marked as placed on another target, before it is opened there.
    Reserve {
        /// That target.
        elsewhere: target::Id,
    },
}

/// Whether the ingress has another target for a new flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Candidate {
    /// It has: the flow may be refused for the sake of balance.
    First,
    /// It has none.
    Last,
}

/// Why a flow is not opened here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// The answer, where there is no next target.
    pub answer: answer::Answer,
    /// Whether no request of the flow can have run before. Where it can, "not run" is no
    /// answer to a repeated request that may not be repeated; [`answer::Reason::Forgotten`] is.
    pub fresh: bool,
}

/// How a gate answers an ask.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// Send it to the target now.
    Run,
    /// A [`Step`] for the ticket follows.
    Queued,
    /// It is answered; the ticket is over.
    Answer(answer::Answer),
    /// Its flow is not opened here; the ticket is over. The ingress may open it at its next
    /// target, and reports by [`Gate::record_placement`] or [`Gate::record_no_placement`]. With no
    /// next target this is the answer.
    TryNext(Refusal),
    /// It ran before, with this reply; the ticket is over.
    Replay(Bytes),
    /// It gets the outcome of this ticket; its own ticket is over.
    Join(ticket::Id),
    /// Its flow is on this target; the ticket is over.
    Moved(target::Id),
    /// Its flow is not known here and is now marked as placed on the target of
    /// [`Mode::Reserve`]; the ticket is over.
    Reserved {
        /// Whether no request of the flow can have run before.
        fresh: bool,
    },
    /// Its flow is not known here; the ticket is over.
    UnknownFlow,
    /// This instance may judge it, if any is known; the ticket is over.
    NotOwner(Option<instance::Id>),
    /// Ask again after this time; the ticket is over.
    Wait(time::Span),
}

/// Where the flow of a packet stands.
enum FlowState {
    /// It is open here.
    Known,
    /// It may be opened here.
    New,
}

impl Gate {
    /// Judges a packet.
    pub fn admit(&mut self, now: time::Instant, ask: &Ask, steps: &mut Vec<Step>) -> Admission {
        self.finish_rebuild_if_due(now);
        let admission = self.decide(now, ask, steps);
        self.count(&admission);
        admission
    }

    fn decide(&mut self, now: time::Instant, ask: &Ask, steps: &mut Vec<Step>) -> Admission {
        let key = Key::of(&ask.header);
        let once = ask.header.repeat == request::Repeat::Once;
        if let Some(admission) = self.join_duplicate(now, key, ask) {
            return admission;
        }
        let entry = if once { self.dedup.get(now, key) } else { None };
        match &entry {
            Some(Entry::Done(reply)) => return Admission::Replay(reply.clone()),
            Some(Entry::Unknown) => return forgotten_answer(),
            Some(Entry::RunsElsewhere { at, .. }) => return Admission::NotOwner(Some(at.clone())),
            Some(Entry::NotRun { attempt }) if ask.header.attempt <= *attempt => {
                return Admission::Answer(self.refusal_answer(now, answer::Reason::TooLate));
            }
            Some(Entry::NotRun { .. }) | None => {}
        }
        match &self.ownership {
            Ownership::Pending { until } => return Admission::Wait(until.since(now)),
            Ownership::Closed { to } => return Admission::NotOwner(to.clone()),
            Ownership::Serving { .. } => {}
        }
        let repeated = once && ask.header.attempt > 1;
        match self.resolve_flow(now, ask, repeated) {
            Ok(flow_state) => self.start_or_queue(now, ask, &flow_state, steps),
            Err(admission) => admission,
        }
    }

    /// Lets a duplicate of a request that runs or waits join it.
    fn join_duplicate(&mut self, now: time::Instant, key: Key, ask: &Ask) -> Option<Admission> {
        let ticket = self.jobs.ticket(key)?;
        let latest_start = self.latest_start(now, ask.deadline);
        let job = self.jobs.get_mut(ticket)?;
        job.joined += 1;
        job.attempt = job.attempt.max(ask.header.attempt);
        if ask.deadline <= job.deadline {
            return Some(Admission::Join(ticket));
        }
        if let State::Queued(waiter) = job.state {
            let later = Waiter { latest_start: latest_start.max(waiter.latest_start), ..waiter };
            job.deadline = ask.deadline;
            job.state = State::Queued(later);
            self.queue.remove(waiter);
            self.queue.insert(later);
        }
        Some(Admission::Join(ticket))
    }

    /// Finds where the flow of a packet stands; an answer where it may not go on here.
    fn resolve_flow(
        &mut self,
        now: time::Instant,
        ask: &Ask,
        repeated: bool,
    ) -> Result<FlowState, Admission> {
        let (id, key) = (ask.header.flow, Key::of(&ask.header));
        if let Some(flow) = self.flows.get(id) {
            let opened = flow.opened();
            let certain =
                self.dedup.is_certainly_not_run(key) || self.dedup.is_new_on_flow(key, opened);
            return if repeated && !certain {
                Err(forgotten_answer())
            } else {
                Ok(FlowState::Known)
            };
        }
        if let Some(admission) = self.apply_placement(now, ask) {
            return Err(admission);
        }
        if let Some(admission) = self.reject_uncertain_retry(now, ask, repeated) {
            return Err(admission);
        }
        match &ask.mode {
            Mode::Established => Err(self.reject_unknown_flow(now, key, repeated)),
            Mode::Reserve { elsewhere } => {
                self.placements.set(now, id, Placement::Placed(elsewhere.clone()));
                Err(Admission::Reserved { fresh: self.dedup.is_fresh_flow(now, id) })
            }
            Mode::Open { candidate, .. } => self.check_opening(now, ask, *candidate),
        }
    }

    /// What to say of a repeated packet of an unknown flow that may be open elsewhere: its
    /// next target may know it, and where there is none its outcome is unknown.
    fn reject_uncertain_retry(
        &mut self,
        now: time::Instant,
        ask: &Ask,
        repeated: bool,
    ) -> Option<Admission> {
        if ask.header.attempt <= 1 || ask.mode == Mode::Established {
            return None;
        }
        let key = Key::of(&ask.header);
        let certain = !is_not_fresh(&ask.mode) && self.is_certainly_new(now, key);
        if certain {
            return None;
        }
        if matches!(ask.mode, Mode::Open { candidate: Candidate::First, .. }) {
            let refusal = self.refuse_opening(now, ask, answer::Reason::Full, true);
            return Some(Admission::TryNext(refusal));
        }
        repeated.then(forgotten_answer)
    }

    /// What the marker of a flow says.
    fn apply_placement(&mut self, now: time::Instant, ask: &Ask) -> Option<Admission> {
        let id = ask.header.flow;
        let admission = match self.placements.get(now, id)? {
            Placement::Placed(target) => Admission::Moved(target.clone()),
            Placement::Refused { for_balance: true, .. } if is_last(&ask.mode) => return None,
            Placement::Refused { refusal, .. } => Admission::TryNext(*refusal),
        };
        self.placements.add_unreported(now, id);
        Some(admission)
    }

    /// What to say of a flow that is not known here.
    fn reject_unknown_flow(&self, now: time::Instant, key: Key, repeated: bool) -> Admission {
        if self.domain_out && repeated && !self.is_certainly_new(now, key) {
            return forgotten_answer();
        }
        if self.domain_out {
            return Admission::Answer(answer::Answer::new(answer::Reason::DomainOut));
        }
        if repeated && self.dedup.is_forgotten(key) {
            return forgotten_answer();
        }
        Admission::UnknownFlow
    }

    /// Whether a new flow may be placed here; a refusal is remembered.
    fn check_opening(
        &mut self,
        now: time::Instant,
        ask: &Ask,
        candidate: Candidate,
    ) -> Result<FlowState, Admission> {
        let (reason, for_balance) = if self.domain_out || self.unhealthy {
            (answer::Reason::NoTarget, false)
        } else if self.leaving {
            (answer::Reason::Leaving, false)
        } else if self.flows.len() >= self.limits.connections as usize {
            (answer::Reason::Full, false)
        } else if candidate == Candidate::First && self.is_above_mean(now) {
            (answer::Reason::Full, true)
        } else {
            return Ok(FlowState::New);
        };
        Err(Admission::TryNext(self.refuse_opening(now, ask, reason, for_balance)))
    }

    fn is_above_mean(&self, now: time::Instant) -> bool {
        let Some(mean) = self.mean_load else { return false };
        self.flows.len() >= BALANCE_MIN_FLOWS
            && self.load_fraction(now) > mean * BALANCE_LOAD_FACTOR
    }

    /// Refuses the opening packet of a flow and remembers it.
    fn refuse_opening(
        &mut self,
        now: time::Instant,
        ask: &Ask,
        reason: answer::Reason,
        for_balance: bool,
    ) -> Refusal {
        let flow = ask.header.flow;
        let fresh =
            is_fresh(&ask.mode) && self.dedup.is_new_on_unknown_flow(now, Key::of(&ask.header));
        let refusal = Refusal { answer: self.refusal_answer(now, reason), fresh };
        self.placements.set(now, flow, Placement::Refused { refusal, for_balance, unreported: 1 });
        refusal
    }

    /// Whether a repeated request on a flow that is not known here has certainly not run.
    fn is_certainly_new(&self, now: time::Instant, key: Key) -> bool {
        self.dedup.is_certainly_not_run(key) || self.dedup.is_new_on_unknown_flow(now, key)
    }

    /// Starts a request, or lets it wait if it can still be answered in time.
    fn start_or_queue(
        &mut self,
        now: time::Instant,
        ask: &Ask,
        flow_state: &FlowState,
        steps: &mut Vec<Step>,
    ) -> Admission {
        let refused = if ask.deadline <= now {
            Some(answer::Reason::TooLate)
        } else if self.can_start(now, ask.header.urgency) {
            let job = Job::new(&ask.header, ask.deadline, State::Running { domain_out: false });
            self.jobs.insert(ask.ticket, job);
            None
        } else {
            self.enqueue(now, ask, steps).err()
        };
        if let Some(reason) = refused {
            return self.refuse(now, ask, flow_state, reason);
        }
        self.dedup.remove(Key::of(&ask.header));
        self.record_flow(now, ask, flow_state);
        match self.jobs.get(ask.ticket).map(|job| job.state) {
            Some(State::Running { .. }) => Admission::Run,
            _ => Admission::Queued,
        }
    }

    fn record_flow(&mut self, now: time::Instant, ask: &Ask, flow_state: &FlowState) {
        if let FlowState::Known = flow_state {
            self.flows.touch(now, ask.header.flow, false);
            return;
        }
        self.counters.opened += 1;
        self.placements.clear(ask.header.flow);
        let fresh = is_fresh(&ask.mode) && !self.dedup.is_forgotten_flow(ask.header.flow);
        self.flows.open(now, ask.header.flow, fresh);
    }

    fn refuse(
        &mut self,
        now: time::Instant,
        ask: &Ask,
        flow_state: &FlowState,
        reason: answer::Reason,
    ) -> Admission {
        if matches!(flow_state, FlowState::New) {
            return Admission::TryNext(self.refuse_opening(now, ask, reason, false));
        }
        if ask.header.repeat == request::Repeat::Once {
            self.dedup.record(
                now,
                Key::of(&ask.header),
                Entry::NotRun { attempt: ask.header.attempt },
            );
        }
        Admission::Answer(self.refusal_answer(now, reason))
    }

    /// Lets a request wait; a reason where it can not.
    fn enqueue(
        &mut self,
        now: time::Instant,
        ask: &Ask,
        steps: &mut Vec<Step>,
    ) -> Result<(), answer::Reason> {
        let latest_start = self.latest_start(now, ask.deadline);
        let waiter = Waiter::new(ask.header.urgency, latest_start, ask.ticket);
        if now + self.expected_wait(now, &waiter) > latest_start {
            return Err(answer::Reason::TooLate);
        }
        let ordinary_limit = queue::ordinary_limit(self.limits.queue) as usize;
        if waiter.ordinary && self.queue.ordinary() >= ordinary_limit {
            return Err(answer::Reason::Full);
        }
        if self.queue.len() >= self.limits.queue as usize && !self.evict_for(now, &waiter, steps) {
            return Err(answer::Reason::Full);
        }
        self.queue.insert(waiter);
        self.jobs.insert(ask.ticket, Job::new(&ask.header, ask.deadline, State::Queued(waiter)));
        Ok(())
    }

    /// Makes room in the queue for an urgent request.
    fn evict_for(&mut self, now: time::Instant, waiter: &Waiter, steps: &mut Vec<Step>) -> bool {
        if waiter.ordinary {
            return false;
        }
        let Some(evicted) = self.queue.evict() else { return false };
        self.counters.evicted += 1;
        self.finish_unrun(now, evicted.ticket, answer::Reason::Full, steps);
        true
    }

    /// Latest useful start of a request.
    fn latest_start(&self, now: time::Instant, deadline: time::Instant) -> time::Instant {
        let margin = time::Span(self.service_time().0.saturating_mul(START_MARGIN_SERVICE_TIMES));
        let share = time::Span(deadline.since(now).0 / START_MARGIN_DIVISOR);
        deadline - margin.min(share)
    }

    /// Time until a request at this place would start.
    fn expected_wait(&self, now: time::Instant, waiter: &Waiter) -> time::Span {
        let turn = self.queue.ahead(waiter) as u64 + 1;
        let slots = u64::from(self.slow_start.allowed(now, &self.limits));
        time::Span(self.service_time().0.saturating_mul(turn) / slots)
    }

    fn count(&mut self, admission: &Admission) {
        match admission {
            Admission::Run => self.counters.run += 1,
            Admission::Queued => self.counters.queued += 1,
            Admission::Answer(answer) => self.counters.answer(answer.reason),
            Admission::TryNext(refusal) => self.counters.answer(refusal.answer.reason),
            Admission::Replay(_) => self.counters.replayed += 1,
            Admission::Join(_) => self.counters.joined += 1,
            Admission::Moved(_) | Admission::Reserved { .. } => self.counters.moved += 1,
            Admission::UnknownFlow => self.counters.unknown_flow += 1,
            Admission::NotOwner(_) => self.counters.not_owner += 1,
            Admission::Wait(_) => self.counters.wait += 1,
        }
    }
}

/// Whether the ingress has no other target for a new flow.
fn is_last(mode: &Mode) -> bool {
    matches!(mode, Mode::Open { candidate: Candidate::Last, .. })
}

/// Whether no earlier target says that a new flow may have had requests before.
fn is_fresh(mode: &Mode) -> bool {
    matches!(mode, Mode::Open { fresh: true, .. })
}

/// Whether an earlier target says that a new flow may have had requests before.
fn is_not_fresh(mode: &Mode) -> bool {
    matches!(mode, Mode::Open { fresh: false, .. })
}

fn forgotten_answer() -> Admission {
    Admission::Answer(answer::Answer::new(answer::Reason::Forgotten))
}
