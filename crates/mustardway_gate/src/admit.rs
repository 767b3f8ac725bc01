//! Admission control: the requests that an ingress makes to a gate, and the
//! gate's answers.

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

/// Number of mean service times before its deadline by which a request should start.
const START_MARGIN_SERVICE_TIMES: u64 = 3;

/// The start margin takes at most the time to the deadline divided by this.
const START_MARGIN_DIVISOR: u64 = 2;

/// A new flow is refused for balance if the load exceeds the mean load by this factor.
const BALANCE_LOAD_FACTOR: f64 = 1.03;

/// Number of open flows below which a target never refuses a flow for balance.
const BALANCE_MIN_FLOWS: usize = 4;

/// A request by an ingress to admit one packet.
#[derive(Debug, Clone)]
pub struct Ask {
    /// Header of the packet.
    pub header: packet::Header,
    /// Time by which the answer is due, on this instance's clock.
    pub deadline: time::Instant,
    /// What the gate may do with the packet's flow.
    pub mode: Mode,
    /// Ticket that identifies this admission.
    pub ticket: ticket::Id,
}

/// What a gate may do with the flow of a packet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Mode {
    /// The gate may open a new flow on this target.
    Open {
        /// Whether the ingress has another target for the flow.
        candidate: Candidate,
        /// False if the owner of an earlier candidate said, in its [`Refusal`] or its
        /// [`Admission::Reserved`], that requests of the flow may have run before; true
        /// otherwise.
        fresh: bool,
    },
    /// The flow must already be known here.
    Established,
    /// An unknown flow is recorded as placed on another target before it is opened there.
    Reserve {
        /// Target on which the flow is about to be opened.
        elsewhere: target::Id,
    },
}

/// Rank of this target among the candidates that the ingress has for a new flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Candidate {
    /// The ingress has another candidate, so the flow may be refused for balance.
    First,
    /// The ingress has no other candidate.
    Last,
}

/// Refusal to open a flow on this target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Answer for the caller if the ingress has no next target.
    pub answer: answer::Answer,
    /// Whether no request of the flow can have run before. If one can, a retry of a request that
    /// must run at most once must not be answered with "not run" but with
    /// [`answer::Reason::Forgotten`].
    pub fresh: bool,
}

/// A gate's decision on an [`Ask`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// Send the request to the target now.
    Run,
    /// The request waits; a [`Step`] for the ticket follows.
    Queued,
    /// The request is answered and the ticket ends.
    Answer(answer::Answer),
    /// The flow is not opened here and the ticket ends. The ingress may open the flow on its next
    /// target, and reports the result with [`Gate::record_placement`] or
    /// [`Gate::record_no_placement`]. If there is no next target, the refusal's answer goes to
    /// the caller.
    TryNext(Refusal),
    /// The request ran before with this reply, and the ticket ends.
    Replay(Bytes),
    /// The request is a duplicate and gets the outcome of the given ticket; its own ticket ends.
    Join(ticket::Id),
    /// The flow is open on the given target, and the ticket ends.
    Moved(target::Id),
    /// The flow is not known here and is now recorded as placed on the target of
    /// [`Mode::Reserve`]; the ticket ends.
    Reserved {
        /// Whether no request of the flow can have run before.
        fresh: bool,
    },
    /// The flow is not known here, and the ticket ends.
    UnknownFlow,
    /// Another instance decides, named if it is known; the ticket ends.
    NotOwner(Option<instance::Id>),
    /// The ingress should ask again after this time; the ticket ends.
    Wait(time::Span),
}

/// State of a packet's flow at this gate.
enum FlowState {
    /// The flow is open here.
    Known,
    /// The flow is not open here and may be opened.
    New,
}

impl Gate {
    /// Decides on a packet and counts the decision.
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
        let retry = once && ask.header.attempt > 1;
        match self.resolve_flow(now, ask, retry) {
            Ok(flow_state) => self.start_or_queue(now, ask, &flow_state, steps),
            Err(admission) => admission,
        }
    }

    /// Joins a duplicate to the running or waiting request with the same key, if there is one.
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

    /// Returns the state of the packet's flow, or the final decision if the packet must not go on
    /// here.
    fn resolve_flow(
        &mut self,
        now: time::Instant,
        ask: &Ask,
        retry: bool,
    ) -> Result<FlowState, Admission> {
        let (id, key) = (ask.header.flow, Key::of(&ask.header));
        if let Some(flow) = self.flows.get(id) {
            let opened = flow.opened();
            let certain =
                self.dedup.is_certainly_not_run(key) || self.dedup.is_new_on_flow(key, opened);
            return if retry && !certain { Err(forgotten_answer()) } else { Ok(FlowState::Known) };
        }
        if let Some(admission) = self.apply_placement(now, ask) {
            return Err(admission);
        }
        if let Some(admission) = self.reject_uncertain_retry(now, ask, retry) {
            return Err(admission);
        }
        match &ask.mode {
            Mode::Established => Err(self.reject_unknown_flow(now, key, retry)),
            Mode::Reserve { elsewhere } => {
                self.placements.set(now, id, Placement::Placed(elsewhere.clone()));
                Err(Admission::Reserved { fresh: self.dedup.is_fresh_flow(now, id) })
            }
            Mode::Open { candidate, .. } => self.check_opening(now, ask, *candidate),
        }
    }

    /// Rejects a retry on an unknown flow that may be open on another target. The next candidate
    /// may know the flow; without a next candidate the outcome of the request is unknown.
    fn reject_uncertain_retry(
        &mut self,
        now: time::Instant,
        ask: &Ask,
        retry: bool,
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
        retry.then(forgotten_answer)
    }

    /// Returns the decision that follows from the recorded placement of a flow.
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

    /// Returns the decision on a packet that requires a known flow when the flow is not known
    /// here.
    fn reject_unknown_flow(&self, now: time::Instant, key: Key, retry: bool) -> Admission {
        if self.domain_out && retry && !self.is_certainly_new(now, key) {
            return forgotten_answer();
        }
        if self.domain_out {
            return Admission::Answer(answer::Answer::new(answer::Reason::DomainOut));
        }
        if retry && self.dedup.is_forgotten(key) {
            return forgotten_answer();
        }
        Admission::UnknownFlow
    }

    /// Checks whether a new flow may be opened here, and records a refusal.
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

    /// Refuses the opening packet of a flow and records the refusal.
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

    /// Returns whether a retry on a flow that is not known here has certainly not run before.
    fn is_certainly_new(&self, now: time::Instant, key: Key) -> bool {
        self.dedup.is_certainly_not_run(key) || self.dedup.is_new_on_unknown_flow(now, key)
    }

    /// Starts a request, or queues it if it can still be answered in time.
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

    /// Queues a request, or returns the reason why it cannot wait.
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

    /// Evicts an ordinary request from the full queue to make room for an urgent one.
    fn evict_for(&mut self, now: time::Instant, waiter: &Waiter, steps: &mut Vec<Step>) -> bool {
        if waiter.ordinary {
            return false;
        }
        let Some(evicted) = self.queue.evict() else { return false };
        self.counters.evicted += 1;
        self.finish_unrun(now, evicted.ticket, answer::Reason::Full, steps);
        true
    }

    /// Returns the latest start at which a request can still be answered in time.
    fn latest_start(&self, now: time::Instant, deadline: time::Instant) -> time::Instant {
        let margin = time::Span(self.service_time().0.saturating_mul(START_MARGIN_SERVICE_TIMES));
        let share = time::Span(deadline.since(now).0 / START_MARGIN_DIVISOR);
        deadline - margin.min(share)
    }

    /// Returns the expected time until a waiting request starts.
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

/// Returns whether the ingress has no other target for a new flow.
fn is_last(mode: &Mode) -> bool {
    matches!(mode, Mode::Open { candidate: Candidate::Last, .. })
}

/// Returns whether a new flow may be opened and no earlier candidate reported that its requests
/// may have run before.
fn is_fresh(mode: &Mode) -> bool {
    matches!(mode, Mode::Open { fresh: true, .. })
}

/// Returns whether an earlier candidate reported that requests of a new flow may have run before.
fn is_not_fresh(mode: &Mode) -> bool {
    matches!(mode, Mode::Open { fresh: false, .. })
}

fn forgotten_answer() -> Admission {
    Admission::Answer(answer::Answer::new(answer::Reason::Forgotten))
}
