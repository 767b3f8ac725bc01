//! The state machine of one packet at its ingress.
//!
//! [`Attempt::start`] gives the first step; after each [`Step::Ask`] the reply
//! goes into [`Attempt::reply`], after each [`Step::Pause`] comes
//! [`Attempt::resume`], until a step answers. The rules:
//!
//! - A flow in the cache goes to its target, and the ingress vouches for it.
//! - A new flow goes to its first candidate, and to the second only when the
//!   first one's owner said that the request was not run.
//! - A candidate is never passed over because its owner is out of reach: it
//!   could hold what an earlier packet of the flow left there.
//! - Before a new view's first candidate is asked, the earlier view's first
//!   candidate is told to send the flow there, so that packets that meet
//!   instances with different views end on one target.
//! - A retry of a request that may not be repeated first looks for its flow at
//!   every owner of the service, and no answer of the ingress's own making says
//!   of it "not run".

use mustardway_types::answer::{Answer, Reason};
use mustardway_types::packet::Header;
use mustardway_types::request::Repeat;
use mustardway_types::time::{Instant, Span};
use mustardway_types::{instance, target};

use crate::budget::Budget;
use crate::snapshot::{Pool, Snapshot};
use crate::step::{Ask, Mode, Reply, Step};

/// Candidates that a new flow may be offered to.
const CANDIDATES: usize = 2;
/// Asks before a packet is given up on.
const ASKS_MAX: u32 = 40;
/// Redirections by one target's owners before the ingress waits.
const REDIRECTS_MAX: u32 = 3;
/// Wait before an owner that could not be reached is asked again.
const UNREACHED_PAUSE: Span = Span::millis(100);
/// Wait before an owner that does not know its successor is asked again.
const UNSETTLED_PAUSE: Span = Span::millis(50);
/// Longest that one packet waits in all for owners to change.
const PAUSES_MAX: Span = Span::millis(3_500);
/// Time to come back where nothing better is known.
const COME_BACK: Span = Span::seconds(1);
/// Time to come back for an address that has just changed its service.
const COME_BACK_QUARANTINED: Span = Span::seconds(5);

/// One packet on its way.
#[derive(Debug)]
pub struct Attempt {
    header: Header,
    deadline: Instant,
    visits: Vec<(target::Id, Mode)>,
    cursor: usize,
    asked: Option<instance::Id>,
    searched: Vec<instance::Id>,
    redirect: Option<instance::Id>,
    redirects: u32,
    asks: u32,
    paused: Span,
    unreached: bool,
    retried: bool,
    may_have_run: bool,
    whole: bool,
    ended_with_domain: bool,
    refusal: Option<Answer>,
    refused_by: Vec<target::Id>,
}

impl Attempt {
    /// Starts on a packet; `cached` is the target that the ingress remembers.
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
            unreached: false,
            retried: false,
            may_have_run: false,
            whole: true,
            ended_with_domain: false,
            refusal: None,
            refused_by: Vec::new(),
        };
        let step = match attempt.plan(cached, snapshot, now) {
            Ok(()) => attempt.next(snapshot),
            Err(answer) => attempt.give(answer),
        };
        (attempt, step)
    }

    /// Takes the reply to the last ask.
    pub fn reply(
        &mut self,
        reply: Reply,
        snapshot: &Snapshot,
        budget: &mut Budget,
        now: Instant,
    ) -> Step {
        let step = self.judge(reply, snapshot, budget, now);
        self.truthful(step)
    }

    /// The step after a reply.
    fn judge(
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
            Reply::Answer(answer) => self.answered(answer, snapshot),
            Reply::TryNext { answer, whole } => self.refused(answer, whole, snapshot),
            Reply::Reserved { whole } => {
                self.whole &= whole;
                self.advance(snapshot)
            }
            Reply::Moved(target) => self.moved(target, snapshot),
            Reply::UnknownFlow { whole } => {
                if whole {
                    self.searched.extend(self.asked.clone());
                }
                self.advance(snapshot)
            }
            Reply::NotOwner(Some(owner)) if self.redirects < REDIRECTS_MAX => {
                self.redirects += 1;
                self.redirect = Some(owner);
                self.next(snapshot)
            }
            Reply::NotOwner(_) => self.pause(UNSETTLED_PAUSE, Reason::Moving, now),
            Reply::Wait(span) => self.pause(span, Reason::Moving, now),
            Reply::NotSent => self.not_sent(snapshot, now),
            Reply::Lost => self.lost(budget, now),
        }
    }

    /// Goes on after a pause, with what is known by then.
    pub fn resume(&mut self, snapshot: &Snapshot) -> Step {
        self.redirects = 0;
        self.redirect = None;
        let step = self.next(snapshot);
        self.truthful(step)
    }

    /// A step that does not say "not run" once an owner was lost that may have
    /// run the request.
    fn truthful(&self, step: Step) -> Step {
        match step {
            Step::Answer(answer) if self.may_have_run && answer.kind().says_not_run() => {
                Step::Answer(Answer::new(Reason::OwnerLost))
            }
            step => step,
        }
    }

    /// Targets still to ask, first first, each with what is asked of its owner.
    pub fn visits(&self) -> &[(target::Id, Mode)] {
        &self.visits[self.cursor.min(self.visits.len())..]
    }

    /// Targets that refused to take the new flow.
    pub fn refused_by(&self) -> &[target::Id] {
        &self.refused_by
    }

    /// Lists whom to ask.
    fn plan(
        &mut self,
        cached: Option<target::Id>,
        snapshot: &Snapshot,
        now: Instant,
    ) -> Result<(), Answer> {
        if self.deadline <= now {
            return Err(Answer::come_back(Reason::Expired, COME_BACK));
        }
        if snapshot.plan.is_none() {
            return Err(Answer::come_back(Reason::NoView, COME_BACK));
        }
        if let Some(target) = cached {
            return self.plan_established(target, snapshot);
        }
        let is_doubted = snapshot.has_unreachable_target(&self.header.address);
        self.whole = self.header.attempt == 1 || !is_doubted;
        let is_retry = self.header.repeat == Repeat::Once && self.header.attempt > 1;
        if !self.header.opening || is_retry {
            self.plan_search(snapshot)?;
        }
        if self.header.opening {
            self.plan_opening(snapshot)?;
        }
        Ok(())
    }

    /// A flow whose target is known.
    fn plan_established(&mut self, id: target::Id, snapshot: &Snapshot) -> Result<(), Answer> {
        let target = snapshot.target(&id).ok_or(Answer::new(Reason::TargetGone))?;
        if snapshot.is_out(&target.domain) {
            return Err(Answer::new(Reason::DomainOut));
        }
        self.visits.push((id, Mode::Established));
        Ok(())
    }

    /// A flow that may live on any target of its address's services.
    fn plan_search(&mut self, snapshot: &Snapshot) -> Result<(), Answer> {
        let pools = searched_pools(&self.header, snapshot);
        if pools.is_empty() {
            return Err(Answer::new(Reason::NoService));
        }
        for pool in pools {
            let ranked = pool.rank(self.header.flow);
            let was_out = |target: &&&target::Id| {
                let target = snapshot.target(target);
                target.is_some_and(|target| snapshot.recently_out.contains(&target.domain))
            };
            self.ended_with_domain |= ranked.iter().take(CANDIDATES).any(|t| was_out(&t));
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

    /// A flow that is to be placed.
    fn plan_opening(&mut self, snapshot: &Snapshot) -> Result<(), Answer> {
        let address = &self.header.address;
        let pool = snapshot.plan.as_ref().and_then(|plan| plan.pool(address));
        let pool = pool.ok_or(Answer::new(Reason::NoService))?;
        if snapshot.quarantined.contains(address) {
            return Err(Answer::come_back(Reason::Quarantined, COME_BACK_QUARANTINED));
        }
        let candidates = pool.candidates(self.header.flow, CANDIDATES);
        let Some(first) = candidates.first() else {
            return Err(Answer::come_back(Reason::NoTarget, COME_BACK));
        };
        if let Some(earlier) = self.earlier_first(snapshot)
            && earlier != **first
        {
            self.visits.push((earlier, Mode::Reserve { elsewhere: (*first).clone() }));
        }
        for target in &candidates[..candidates.len() - 1] {
            self.visits.push(((*target).clone(), Mode::Open));
        }
        let last = candidates[candidates.len() - 1];
        self.visits.push((last.clone(), Mode::OpenLast));
        Ok(())
    }

    /// First candidate under the earlier view, where flows may still go to it.
    fn earlier_first(&self, snapshot: &Snapshot) -> Option<target::Id> {
        let pool = snapshot.previous.as_ref()?.pool(&self.header.address)?;
        let candidates = pool.candidates(self.header.flow, 1);
        let first = (*candidates.first()?).clone();
        let target = snapshot.target(&first)?;
        (!snapshot.is_out(&target.domain)).then_some(first)
    }

    /// The next ask, or the answer where nobody is left to ask.
    fn next(&mut self, snapshot: &Snapshot) -> Step {
        while let Some((target, mode)) = self.visits.get(self.cursor) {
            let owner = match &self.redirect {
                Some(owner) => Some(owner.clone()),
                None => snapshot.owner(target).map(|owner| owner.id.clone()),
            };
            let Some(owner) = owner else {
                self.unreached = true;
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
            let whole = self.whole && (self.header.attempt == 1 || !self.unreached);
            return Step::Ask(Ask { owner, target, mode, whole });
        }
        self.exhausted()
    }

    /// Asks the next one.
    fn advance(&mut self, snapshot: &Snapshot) -> Step {
        self.cursor += 1;
        self.redirect = None;
        self.redirects = 0;
        self.next(snapshot)
    }

    /// The answer where nobody is left to ask.
    fn exhausted(&self) -> Step {
        if let Some(refusal) = self.refusal {
            return if self.whole { Step::Answer(refusal) } else { self.give(refusal) };
        }
        if self.unreached {
            return self.refuse(Reason::NoOwner);
        }
        // A flow goes to one of its first candidates, so one that nobody knows
        // ended with the failure domain of such a candidate.
        let ended_with_domain = self.ended_with_domain;
        let reason = if ended_with_domain { Reason::DomainOut } else { Reason::FlowUnknown };
        self.give(Answer::new(reason))
    }

    /// An answer of the ingress's own making. It cannot say of a retry that the
    /// request was not run: an earlier attempt may have been.
    fn give(&self, answer: Answer) -> Step {
        let is_retry = self.header.repeat == Repeat::Once && self.header.attempt > 1;
        if is_retry && answer.kind().says_not_run() {
            return Step::Answer(Answer::new(Reason::Forgotten));
        }
        Step::Answer(answer)
    }

    /// A refusal with the usual time to come back.
    fn refuse(&self, reason: Reason) -> Step {
        self.give(Answer::come_back(reason, COME_BACK))
    }

    /// An answer stands, but for a search that meets an owner whose failure
    /// domain is out: the flow may live elsewhere.
    fn answered(&mut self, answer: Answer, snapshot: &Snapshot) -> Step {
        let is_find = matches!(self.visits.get(self.cursor), Some((_, Mode::Find)));
        if is_find && answer.reason == Reason::DomainOut {
            self.ended_with_domain = true;
            return self.advance(snapshot);
        }
        Step::Answer(answer)
    }

    fn refused(&mut self, answer: Answer, whole: bool, snapshot: &Snapshot) -> Step {
        let soonest =
            |known: Answer| if known.come_back <= answer.come_back { known } else { answer };
        self.refusal = Some(self.refusal.map_or(answer, soonest));
        self.whole &= whole;
        if let Some((target, _)) = self.visits.get(self.cursor) {
            self.refused_by.push(target.clone());
        }
        self.advance(snapshot)
    }

    fn moved(&mut self, target: target::Id, snapshot: &Snapshot) -> Step {
        self.cursor += 1;
        self.redirect = None;
        self.redirects = 0;
        let Some(found) = snapshot.target(&target) else {
            return self.give(Answer::new(Reason::TargetGone));
        };
        if snapshot.is_out(&found.domain) {
            return self.give(Answer::new(Reason::DomainOut));
        }
        let next = self.visits.get(self.cursor);
        let is_next = next.is_some_and(|(visit, mode)| *visit == target && mode.opens());
        if !is_next {
            self.visits.insert(self.cursor, (target, Mode::Established));
        }
        self.next(snapshot)
    }

    fn not_sent(&mut self, snapshot: &Snapshot, now: Instant) -> Step {
        let is_find = matches!(self.visits.get(self.cursor), Some((_, Mode::Find)));
        if is_find {
            self.unreached = true;
            return self.advance(snapshot);
        }
        self.pause(UNREACHED_PAUSE, Reason::NoOwner, now)
    }

    fn lost(&mut self, budget: &mut Budget, now: Instant) -> Step {
        self.may_have_run = true;
        let may_repeat = self.header.repeat == Repeat::Idempotent;
        if !may_repeat || self.retried || !budget.spend() {
            return Step::Answer(Answer::new(Reason::OwnerLost));
        }
        self.retried = true;
        self.pause(UNREACHED_PAUSE, Reason::NoOwner, now)
    }

    /// Waits if the deadline and the bound on waiting leave room for it.
    fn pause(&mut self, span: Span, reason: Reason, now: Instant) -> Step {
        let paused = self.paused + span;
        if paused > PAUSES_MAX || now + span >= self.deadline {
            return self.refuse(reason);
        }
        self.paused = paused;
        Step::Pause(span)
    }
}

/// Pools of all services that the address has or had.
fn searched_pools<'a>(header: &Header, snapshot: &'a Snapshot) -> Vec<&'a Pool> {
    let mut pools = Vec::new();
    for plan in [&snapshot.plan, &snapshot.previous].into_iter().flatten() {
        pools.extend(plan.pool(&header.address));
        let earlier = snapshot.earlier_services.get(&header.address);
        let earlier = earlier.into_iter().flatten();
        pools.extend(earlier.filter_map(|service| plan.pools.get(service)));
    }
    pools
}
