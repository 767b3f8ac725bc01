//! End of requests: outcomes, cancellation and expiry, and the steps that
//! follow.

use bytes::Bytes;
use mustardway_types::{answer, instance, request, time};

use crate::admit::Refusal;
use crate::dedup::Entry;
use crate::flow_table;
use crate::gate::Gate;
use crate::job::{Job, State};
use crate::ownership::Ownership;
use crate::placement::Placement;
use crate::ticket;

/// An action that the runtime must take.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Send the request to the target now.
    Start(ticket::Id),
    /// End the ticket and all tickets that joined it with this answer. With
    /// [`answer::Reason::Answered`] the answer is the reply of the target.
    Answer(ticket::Id, answer::Answer),
    /// End the ticket and all tickets that joined it. The request has not run and its flow is not
    /// open here; the rules of [`crate::Admission::TryNext`] apply to each ticket.
    TryNext(ticket::Id, Refusal),
    /// End the ticket and all tickets that joined it. The request has not run; another instance
    /// decides on it, named if it is known.
    Redirect(ticket::Id, Option<instance::Id>),
    /// Cancel the call to the target and report its outcome as usual.
    Abort(ticket::Id),
}

/// Result of a call to the target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// How the call ended.
    pub ending: Ending,
    /// Duration of the call.
    pub took: time::Span,
}

/// How a call to the target ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending {
    /// The target answered.
    Done(Bytes),
    /// The target refused the request without running it.
    Shed,
    /// The target could not be reached, and no byte of the request was sent.
    Unsent,
    /// The target was lost after a part of the request was sent.
    Lost,
    /// The deadline passed.
    Overrun,
    /// The call was cancelled.
    Aborted,
}

/// An event about the target other than an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// A connection to the target was made again after a loss.
    Reconnected,
    /// The health endpoint of the target reports "not serving" or does not answer.
    HealthFailed,
    /// The health endpoint of the target reports "serving".
    HealthOk,
}

impl Gate {
    /// Ends a running request with the outcome of its call.
    pub fn finish(
        &mut self,
        now: time::Instant,
        ticket: ticket::Id,
        outcome: Outcome,
        steps: &mut Vec<Step>,
    ) {
        let Some(job) = self.jobs.get(ticket) else { return };
        let State::Running { domain_out } = job.state else { return };
        let Some(job) = self.jobs.remove(ticket) else { return };
        self.update_slow_start(now, &job, &outcome);
        let reason = answer_reason(&outcome.ending, domain_out);
        let ran_elsewhere = self.ran_elsewhere(&job);
        let step = if ran_elsewhere && reason.kind().says_not_run() {
            Step::Answer(ticket, self.final_answer(now, answer::Reason::Forgotten))
        } else if reason.kind().says_not_run() {
            self.record_unrun(now, ticket, &job, reason)
        } else {
            self.record_run(now, ticket, &job, reason, outcome.ending)
        };
        steps.push(step);
        self.start_next(now, steps);
    }

    /// Cancels a request on behalf of its caller. A request that duplicates have joined goes on.
    pub fn cancel(&mut self, now: time::Instant, ticket: ticket::Id, steps: &mut Vec<Step>) {
        let Some(job) = self.jobs.get_mut(ticket) else { return };
        if job.joined > 0 {
            return;
        }
        match job.state {
            State::Running { .. } => steps.push(Step::Abort(ticket)),
            State::Queued(waiter) => {
                self.queue.remove(waiter);
                self.finish_unrun(now, ticket, answer::Reason::Cancelled, steps);
                self.start_next(now, steps);
            }
        }
    }

    /// Does all work that is due: ends the rebuild, drops idle flows and expired records, expires
    /// queued requests and starts new ones.
    pub fn tick(&mut self, now: time::Instant, steps: &mut Vec<Step>) {
        self.finish_rebuild_if_due(now);
        self.counters.idle += self.flows.sweep(now) as u64;
        while let Some(flow) = self.placements.expire(now) {
            self.dedup.forget_flow(now, flow);
        }
        self.dedup.expire(now);
        self.remote_runs.retain(|run| run.until > now);
        self.start_next(now, steps);
    }

    /// Takes the failure domain of the target out of service: running requests are aborted,
    /// queued ones answered, and nothing starts any more.
    pub fn set_domain_out(&mut self, now: time::Instant, steps: &mut Vec<Step>) {
        self.domain_out = true;
        for waiter in self.queue.clear() {
            self.finish_unrun(now, waiter.ticket, answer::Reason::DomainOut, steps);
        }
        for ticket in self.jobs.mark_domain_out() {
            steps.push(Step::Abort(ticket));
        }
        self.flows.clear();
        self.dedup.mark_incomplete(now);
    }

    /// Brings the failure domain of the target back. The target counts as cold.
    pub fn set_domain_in(&mut self, now: time::Instant) {
        if !self.domain_out {
            return;
        }
        self.domain_out = false;
        self.slow_start.reset_to_cold(now, &self.limits);
    }

    /// Ends the queued requests that can no longer start in time, and starts those that may
    /// start.
    pub(crate) fn start_next(&mut self, now: time::Instant, steps: &mut Vec<Step>) {
        while let Some(waiter) = self.queue.pop_expired(now) {
            self.finish_unrun(now, waiter.ticket, answer::Reason::Expired, steps);
        }
        if !matches!(self.ownership, Ownership::Serving { .. }) {
            return;
        }
        while let Some(ticket) = self.pop_startable(now) {
            self.jobs.start(ticket);
            self.counters.started += 1;
            steps.push(Step::Start(ticket));
        }
    }

    fn pop_startable(&mut self, now: time::Instant) -> Option<ticket::Id> {
        if self.queue.urgent() > 0 && self.can_start(now, request::Urgency::Urgent) {
            return self.queue.pop_urgent().map(|waiter| waiter.ticket);
        }
        if self.queue.ordinary() > 0 && self.can_start(now, request::Urgency::Ordinary) {
            return self.queue.pop_ordinary().map(|waiter| waiter.ticket);
        }
        None
    }

    /// Ends a request that left the queue without running.
    pub(crate) fn finish_unrun(
        &mut self,
        now: time::Instant,
        ticket: ticket::Id,
        reason: answer::Reason,
        steps: &mut Vec<Step>,
    ) {
        let Some(job) = self.jobs.remove(ticket) else { return };
        steps.push(self.record_unrun(now, ticket, &job, reason));
    }

    /// Records that a request has not run and returns its last step. The flow that the request
    /// would have opened is closed again; if the ingress may still open the flow on another
    /// target, the refusal is recorded.
    fn record_unrun(
        &mut self,
        now: time::Instant,
        ticket: ticket::Id,
        job: &Job,
        reason: answer::Reason,
    ) -> Step {
        let answer = self.final_answer(now, reason);
        let fresh = self.flows.get(job.key.flow).is_some_and(flow_table::Flow::has_full_history);
        let closed = self.is_sole_opener(job) && self.flows.close(job.key.flow);
        if closed && allows_next_target(reason) {
            let fresh = fresh && self.dedup.is_fresh_flow(now, job.key.flow);
            let refusal = Refusal { answer, fresh };
            let placement =
                Placement::Refused { refusal, for_balance: false, unreported: 1 + job.joined };
            self.placements.set(now, job.key.flow, placement);
            return Step::TryNext(ticket, refusal);
        }
        if let (Ownership::Closed { to }, true) = (&self.ownership, self.is_redirected(job, reason))
        {
            let to = to.clone();
            self.record_outcome(now, job, Entry::NotRun { attempt: 0 });
            return Step::Redirect(ticket, to);
        }
        self.record_outcome(now, job, Entry::NotRun { attempt: job.attempt });
        Step::Answer(ticket, answer)
    }

    /// Records the outcome of a request that may have run and returns its last step.
    fn record_run(
        &mut self,
        now: time::Instant,
        ticket: ticket::Id,
        job: &Job,
        reason: answer::Reason,
        ending: Ending,
    ) -> Step {
        let entry = match ending {
            Ending::Done(reply) => Entry::Done(reply),
            _ => Entry::Unknown,
        };
        self.record_outcome(now, job, entry);
        if reason == answer::Reason::Answered && job.closing {
            self.counters.closed += u64::from(self.flows.close(job.key.flow));
        }
        self.flows.touch(now, job.key.flow, true);
        Step::Answer(ticket, self.final_answer(now, reason))
    }

    /// Returns whether the next owner decides on a job that has not run here.
    fn is_redirected(&self, job: &Job, reason: answer::Reason) -> bool {
        let closed = matches!(self.ownership, Ownership::Closed { .. });
        closed && job.opening && allows_next_target(reason)
    }

    /// Returns whether this gate serves, the job opens its flow, and no other request of the flow
    /// runs, waits or may have run.
    fn is_sole_opener(&self, job: &Job) -> bool {
        let serving = matches!(self.ownership, Ownership::Serving { .. });
        let ran = self.flows.get(job.key.flow).is_some_and(flow_table::Flow::may_have_run);
        serving && job.opening && !ran && !self.jobs.has_flow(job.key.flow)
    }

    /// Returns whether another owner is known to have run the same request.
    fn ran_elsewhere(&self, job: &Job) -> bool {
        job.repeat == request::Repeat::Once && !self.dedup.has_no_known_run(job.key)
    }

    fn record_outcome(&mut self, now: time::Instant, job: &Job, entry: Entry) {
        if matches!(self.ownership, Ownership::Closed { .. }) {
            self.late_outcomes.add(job, &entry);
        }
        if job.repeat == request::Repeat::Once {
            self.dedup.record(now, job.key, entry);
        }
    }

    /// Updates the slow start of the target with the outcome of a call.
    fn update_slow_start(&mut self, now: time::Instant, job: &Job, outcome: &Outcome) {
        let limits = &self.limits;
        match outcome.ending {
            Ending::Done(_) if now <= job.deadline => {
                self.slow_start.record_success(now, limits, outcome.took);
            }
            Ending::Done(_) | Ending::Overrun => {
                self.slow_start.record_overrun(now, limits, outcome.took);
            }
            Ending::Shed => self.slow_start.record_shed(now, limits),
            Ending::Unsent | Ending::Lost => self.slow_start.reset_to_cold(now, limits),
            Ending::Aborted => {}
        }
    }

    fn final_answer(&mut self, now: time::Instant, reason: answer::Reason) -> answer::Answer {
        self.counters.answer(reason);
        if reason.kind().has_come_back() {
            return self.refusal_answer(now, reason);
        }
        answer::Answer::new(reason)
    }
}

/// Returns the answer reason for the end of a call.
fn answer_reason(ending: &Ending, domain_out: bool) -> answer::Reason {
    match ending {
        Ending::Done(_) => answer::Reason::Answered,
        Ending::Shed | Ending::Unsent if domain_out => answer::Reason::DomainOut,
        Ending::Shed => answer::Reason::Shed,
        Ending::Unsent => answer::Reason::NoTarget,
        _ if domain_out => answer::Reason::CutShort,
        Ending::Lost => answer::Reason::TargetLost,
        Ending::Overrun | Ending::Aborted => answer::Reason::Overrun,
    }
}

/// Returns whether the ingress may open the flow on another target after a refusal with this
/// reason.
fn allows_next_target(reason: answer::Reason) -> bool {
    matches!(reason, answer::Reason::Full | answer::Reason::Shed | answer::Reason::NoTarget)
}
