//! The state machine of one packet at its ingress.
//!
//! [`Attempt::start`] returns the first step. After a [`Step::Ask`], pass the
//! reply to [`Attempt::reply`]. After a [`Step::Pause`], call [`Attempt::resume`].
//! A [`Step::Answer`] ends the attempt. The rules are:
//!
//! - A flow in the cache goes to its target, and the ingress tells the owner that
//!   the flow is established there.
//! - A new flow goes to its first candidate. It goes to the second only if the
//!   first one's owner replies that the request was not run.
//! - An unreachable owner is no reason to skip a candidate: an earlier packet of the
//!   flow may have left state there.
//! - Before the first candidate of a new view is asked, the owner of the previous
//!   view's first candidate is asked to reserve the flow for it. Packets that
//!   arrive at instances with different views thus end on one target.
//! - A retry of a request that may not be repeated first searches for its flow at
//!   every owner of the service. The ingress itself never answers such a retry
//!   with "not run".

use mustardway_types::answer::{Answer, Reason};
use mustardway_types::packet::Header;
use mustardway_types::request::Repeat;
use mustardway_types::time::{Instant, Span};
use mustardway_types::{instance, target};

use crate::budget::Budget;
use crate::snapshot::{Pool, Snapshot};
use crate::step::{Ask, Mode, Reply, Step};

/// Maximum number of candidates that a new flow is offered to.
const CANDIDATES_MAX: usize = 2;
/// Maximum number of asks for one packet.
const ASKS_MAX: u32 = 40;
/// Maximum number of redirects in a row for one target. After these the ingress
/// waits.
const REDIRECTS_MAX: u32 = 3;
/// Time before an unreachable owner is asked again.
const UNREACHABLE_PAUSE: Span = Span::millis(100);
/// Time before an instance that does not know the target's new owner is asked
/// again.
const UNKNOWN_OWNER_PAUSE: Span = Span::millis(50);
/// Maximum total time that one packet waits for changes of owners.
const TOTAL_PAUSE_MAX: Span = Span::millis(3_500);
/// Default time after which a refused caller should come back.
const DEFAULT_COME_BACK: Span = Span::seconds(1);
/// Time after which a caller should come back to an address that has just changed
/// its service.
const QUARANTINE_COME_BACK: Span = Span::seconds(5);

/// The routing of one packet from its arrival to its answer.
#[derive(Debug)]
pub struct Attempt {
    header: Header,
    deadline: Instant,
    /// Targets whose owners are asked, in order, each with the kind of ask.
    visits: Vec<(target::Id, Mode)>,
    /// Index of the current visit.
    cursor: usize,
    /// Instance that the last ask was sent to.
    asked: Option<instance::Id>,
    /// Owners that have searched all their targets for the flow without success.
    searched: Vec<instance::Id>,
    /// Owner of the current target according to the last reply.
    redirect: Option<instance::Id>,
    /// Number of redirects for the current target.
    redirects: u32,
    /// Number of asks so far.
    asks: u32,
    /// Total time of all pauses.
    paused: Span,
    /// Whether a visit was skipped because the owner was unreachable or unknown.
    has_unreachable_owner: bool,
    /// Whether the packet was sent again after an owner was lost.
    is_retried: bool,
    /// Whether an owner was lost that may have run the request.
    may_have_run: bool,
    /// Whether no request of the flow can have run before, as far as the replies
    /// show.
    not_run_before: bool,
    /// Whether the flow may have ended with a failure domain that is out of service.
    ended_with_domain: bool,
    /// Refusal with the shortest time to come back.
    refusal: Option<Answer>,
    /// Targets that refused the new flow.
    refused_by: Vec<target::Id>,
}

impl Attempt {
    /// Starts the attempt for a packet and returns its first step. `cached` is the
    /// flow's target in the ingress's cache.
    pub fn start(
        header: Header,
        deadline: Instant,
        cached: Option<target::Id>,
        snapshot: &Snapshot,
        now: Instant,
    ) -> (Self, Step) {
        let mut attempt = Attempt {
            header,
            deadline,
            visits: Vec::new(),
            cursor: 0,
            asked: None,
            searched: Vec::new(),
            redirect: None,
            redirects: 0,
            asks: 0,
            paused: Span::ZERO,
            has_unreachable_owner: false,
            is_retried: false,
            may_have_run: false,
            not_run_before: true,
            ended_with_domain: false,
            refusal: None,
            refused_by: Vec::new(),
        };
        let step = match attempt.plan(cached, snapshot, now) {
            Ok(()) => attempt.next_ask(snapshot),
            Err(answer) => attempt.answer_locally(answer),
        };
        (attempt, step)
    }

    /// Takes the reply to the last ask and returns the next step.
    pub fn reply(
        &mut self,
        reply: Reply,
        snapshot: &Snapshot,
        budget: &mut Budget,
        now: Instant,
    ) -> Step {
        let step = self.step_after(reply, snapshot, budget, now);
        self.without_false_not_run(step)
    }

    /// Returns the step after a reply.
    fn step_after(
        &mut self,
        reply: Reply,
        snapshot: &Snapshot,
        budget: &mut Budget,
        now: Instant,
    ) -> Step {
        if self.asks >= ASKS_MAX {
            return self.refuse(Reason::Moving);
        }
        match reply {
            Reply::Answer(answer) => self.take_answer(answer, snapshot),
            Reply::TryNext { answer, not_run_before } => {
                self.take_refusal(answer, not_run_before, snapshot)
            }
            Reply::Reserved { not_run_before } => {
                self.not_run_before &= not_run_before;
                self.advance(snapshot)
            }
            Reply::Moved(target) => self.follow(target, snapshot),
            Reply::UnknownFlow { is_complete } => {
                if is_complete {
                    self.searched.extend(self.asked.clone());
                }
                self.advance(snapshot)
            }
            Reply::NotOwner(Some(owner)) if self.redirects < REDIRECTS_MAX => {
                self.redirects += 1;
                self.redirect = Some(owner);
                self.next_ask(snapshot)
            }
            Reply::NotOwner(_) => self.pause(UNKNOWN_OWNER_PAUSE, Reason::Moving, now),
            Reply::Wait(span) => self.pause(span, Reason::Moving, now),
            Reply::NotSent => self.take_not_sent(snapshot, now),
            Reply::Lost => self.take_lost_owner(budget, now),
        }
    }

    /// Resumes the attempt after a pause with the current snapshot.
    pub fn resume(&mut self, snapshot: &Snapshot) -> Step {
        self.redirects = 0;
        self.redirect = None;
        let step = self.next_ask(snapshot);
        self.without_false_not_run(step)
    }

    /// Replaces an answer that says "not run" if an owner was lost that may have run
    /// the request.
    fn without_false_not_run(&self, step: Step) -> Step {
        match step {
            Step::Answer(answer) if self.may_have_run && answer.kind().says_not_run() => {
                Step::Answer(Answer::new(Reason::OwnerLost))
            }
            step => step,
        }
    }

    /// Returns the remaining targets whose owners are asked, in order, each with the
    /// kind of ask.
    pub fn visits(&self) -> &[(target::Id, Mode)] {
        &self.visits[self.cursor.min(self.visits.len())..]
    }

    /// Returns the targets that refused the new flow.
    pub fn refused_by(&self) -> &[target::Id] {
        &self.refused_by
    }

    /// Plans the visits of the attempt.
    ///
    /// # Errors
    /// The answer to the caller if there is no owner to ask.
    fn plan(
        &mut self,
        cached: Option<target::Id>,
        snapshot: &Snapshot,
        now: Instant,
    ) -> Result<(), Answer> {
        if self.deadline <= now {
            return Err(Answer::come_back(Reason::Expired, DEFAULT_COME_BACK));
        }
        if snapshot.plan.is_none() {
            return Err(Answer::come_back(Reason::NoView, DEFAULT_COME_BACK));
        }
        if let Some(target) = cached {
            return self.plan_established(target, snapshot);
        }
        let is_uncertain = snapshot.has_unreachable_target(&self.header.address);
        self.not_run_before = self.header.attempt == 1 || !is_uncertain;
        let is_retry = self.header.repeat == Repeat::Once && self.header.attempt > 1;
        if !self.header.opening || is_retry {
            self.plan_search(snapshot)?;
        }
        if self.header.opening {
            self.plan_opening(snapshot)?;
        }
        Ok(())
    }

    /// Plans a visit to the known target of the flow.
    fn plan_established(&mut self, id: target::Id, snapshot: &Snapshot) -> Result<(), Answer> {
        let target = snapshot.target(&id).ok_or(Answer::new(Reason::TargetGone))?;
        if snapshot.is_out(&target.domain) {
            return Err(Answer::new(Reason::DomainOut));
        }
        self.visits.push((id, Mode::Established));
        Ok(())
    }

    /// Plans a search for the flow at all targets of the services of its address.
    fn plan_search(&mut self, snapshot: &Snapshot) -> Result<(), Answer> {
        let pools = search_pools(&self.header, snapshot);
        if pools.is_empty() {
            return Err(Answer::new(Reason::NoService));
        }
        for pool in pools {
            let ranked = pool.rank(self.header.flow);
            let was_out = |target: &&&target::Id| {
                let target = snapshot.target(target);
                target.is_some_and(|target| snapshot.recently_out.contains(&target.domain))
            };
            self.ended_with_domain |= ranked.iter().take(CANDIDATES_MAX).any(|t| was_out(&t));
            for target in ranked {
                let known = self.visits.iter().any(|(visit, _)| visit == target);
                let is_out = snapshot.target(target).is_none_or(|t| snapshot.is_out(&t.domain));
                if known || is_out {
                    continue;
                }
                self.visits.push((target.clone(), Mode::Find));
            }
        }
        Ok(())
    }

    /// Plans the placement of a new flow.
    fn plan_opening(&mut self, snapshot: &Snapshot) -> Result<(), Answer> {
        let address = &self.header.address;
        let pool = snapshot.plan.as_ref().and_then(|plan| plan.pool(address));
        let pool = pool.ok_or(Answer::new(Reason::NoService))?;
        if snapshot.quarantined.contains(address) {
            return Err(Answer::come_back(Reason::Quarantined, QUARANTINE_COME_BACK));
        }
        let candidates = pool.candidates(self.header.flow, CANDIDATES_MAX);
        let Some(first) = candidates.first() else {
            return Err(Answer::come_back(Reason::NoTarget, DEFAULT_COME_BACK));
        };
        if let Some(previous) = self.previous_first_candidate(snapshot)
            && previous != **first
        {
            self.visits.push((previous, Mode::Reserve { elsewhere: (*first).clone() }));
        }
        for target in &candidates[..candidates.len() - 1] {
            self.visits.push(((*target).clone(), Mode::Open));
        }
        let last = candidates[candidates.len() - 1];
        self.visits.push((last.clone(), Mode::OpenLast));
        Ok(())
    }

    /// Returns the flow's first candidate in the previous view, if flows may still
    /// go to it.
    fn previous_first_candidate(&self, snapshot: &Snapshot) -> Option<target::Id> {
        let pool = snapshot.previous.as_ref()?.pool(&self.header.address)?;
        let candidates = pool.candidates(self.header.flow, 1);
        let first = (*candidates.first()?).clone();
        let target = snapshot.target(&first)?;
        (!snapshot.is_out(&target.domain)).then_some(first)
    }

    /// Returns the ask of the current visit, or the final answer if no visit is
    /// left.
    fn next_ask(&mut self, snapshot: &Snapshot) -> Step {
        while let Some((target, mode)) = self.visits.get(self.cursor) {
            let owner = match &self.redirect {
                Some(owner) => Some(owner.clone()),
                None => snapshot.owner(target).map(|owner| owner.id.clone()),
            };
            let Some(owner) = owner else {
                self.has_unreachable_owner = true;
                self.cursor += 1;
                continue;
            };
            if *mode == Mode::Find && self.searched.contains(&owner) {
                self.cursor += 1;
                self.redirect = None;
                continue;
            }
            self.asks += 1;
            self.asked = Some(owner.clone());
            let (target, mode) = (target.clone(), mode.clone());
            let not_run_before =
                self.not_run_before && (self.header.attempt == 1 || !self.has_unreachable_owner);
            return Step::Ask(Ask { owner, target, mode, not_run_before });
        }
        self.final_answer()
    }

    /// Moves on to the next visit.
    fn advance(&mut self, snapshot: &Snapshot) -> Step {
        self.cursor += 1;
        self.redirect = None;
        self.redirects = 0;
        self.next_ask(snapshot)
    }

    /// Returns the answer after the last visit.
    fn final_answer(&self) -> Step {
        if let Some(refusal) = self.refusal {
            return if self.not_run_before {
                Step::Answer(refusal)
            } else {
                self.answer_locally(refusal)
            };
        }
        if self.has_unreachable_owner {
            return self.refuse(Reason::NoOwner);
        }
        // A flow is placed on one of its first candidates. If no owner knows it and
        // such a candidate's failure domain is or was out of service, the flow ended
        // with that domain.
        let ended_with_domain = self.ended_with_domain;
        let reason = if ended_with_domain { Reason::DomainOut } else { Reason::FlowUnknown };
        self.answer_locally(Answer::new(reason))
    }

    /// Returns an answer that the ingress itself has produced.
    ///
    /// For a retry of a request that may not be repeated, such an answer cannot say
    /// "not run", because an earlier attempt may have run.
    fn answer_locally(&self, answer: Answer) -> Step {
        let is_retry = self.header.repeat == Repeat::Once && self.header.attempt > 1;
        if is_retry && answer.kind().says_not_run() {
            return Step::Answer(Answer::new(Reason::Forgotten));
        }
        Step::Answer(answer)
    }

    /// Refuses the request with the default time to come back.
    fn refuse(&self, reason: Reason) -> Step {
        self.answer_locally(Answer::come_back(reason, DEFAULT_COME_BACK))
    }

    /// Takes an answer as final, unless a search has reached a failure domain that
    /// is out of service: the flow may be placed on another target.
    fn take_answer(&mut self, answer: Answer, snapshot: &Snapshot) -> Step {
        let is_find = matches!(self.visits.get(self.cursor), Some((_, Mode::Find)));
        if is_find && answer.reason == Reason::DomainOut {
            self.ended_with_domain = true;
            return self.advance(snapshot);
        }
        Step::Answer(answer)
    }

    /// Records a refusal and moves on to the next visit.
    fn take_refusal(&mut self, answer: Answer, not_run_before: bool, snapshot: &Snapshot) -> Step {
        let soonest =
            |known: Answer| if known.come_back <= answer.come_back { known } else { answer };
        self.refusal = Some(self.refusal.map_or(answer, soonest));
        self.not_run_before &= not_run_before;
        if let Some((target, _)) = self.visits.get(self.cursor) {
            self.refused_by.push(target.clone());
        }
        self.advance(snapshot)
    }

    /// Follows a flow that is placed on another target.
    fn follow(&mut self, target: target::Id, snapshot: &Snapshot) -> Step {
        self.cursor += 1;
        self.redirect = None;
        self.redirects = 0;
        let Some(found) = snapshot.target(&target) else {
            return self.answer_locally(Answer::new(Reason::TargetGone));
        };
        if snapshot.is_out(&found.domain) {
            return self.answer_locally(Answer::new(Reason::DomainOut));
        }
        let next = self.visits.get(self.cursor);
        let is_next = next.is_some_and(|(visit, mode)| *visit == target && mode.opens());
        if !is_next {
            self.visits.insert(self.cursor, (target, Mode::Established));
        }
        self.next_ask(snapshot)
    }

    /// Continues a search without an owner that was not reached, or waits to ask
    /// the owner again.
    fn take_not_sent(&mut self, snapshot: &Snapshot, now: Instant) -> Step {
        let is_find = matches!(self.visits.get(self.cursor), Some((_, Mode::Find)));
        if is_find {
            self.has_unreachable_owner = true;
            return self.advance(snapshot);
        }
        self.pause(UNREACHABLE_PAUSE, Reason::NoOwner, now)
    }

    /// Repeats an idempotent request once, if the retry budget permits it.
    fn take_lost_owner(&mut self, budget: &mut Budget, now: Instant) -> Step {
        self.may_have_run = true;
        let may_repeat = self.header.repeat == Repeat::Idempotent;
        if !may_repeat || self.is_retried || !budget.spend() {
            return Step::Answer(Answer::new(Reason::OwnerLost));
        }
        self.is_retried = true;
        self.pause(UNREACHABLE_PAUSE, Reason::NoOwner, now)
    }

    /// Pauses the attempt, or refuses the request if the pause would exceed the
    /// deadline or [`TOTAL_PAUSE_MAX`].
    fn pause(&mut self, span: Span, reason: Reason, now: Instant) -> Step {
        let paused = self.paused + span;
        if paused > TOTAL_PAUSE_MAX || now + span >= self.deadline {
            return self.refuse(reason);
        }
        self.paused = paused;
        Step::Pause(span)
    }
}

/// Returns the pools of all services that the address has or had.
fn search_pools<'a>(header: &Header, snapshot: &'a Snapshot) -> Vec<&'a Pool> {
    let mut pools = Vec::new();
    for plan in [&snapshot.plan, &snapshot.previous].into_iter().flatten() {
        pools.extend(plan.pool(&header.address));
        let earlier = snapshot.earlier_services.get(&header.address);
        let earlier = earlier.into_iter().flatten();
        pools.extend(earlier.filter_map(|service| plan.pools.get(service)));
    }
    pools
}
