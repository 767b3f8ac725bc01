//! Planned and unplanned change of a target's owner.
//!
//! In a planned change, the earlier owner closes its gate and hands its state
//! over. Its running requests end there, and their outcomes are sent
//! afterwards. The next owner serves at once, at the same slow-start level, and
//! counts the requests that still run at the earlier owner against the slots.
//!
//! In an unplanned change, the next owner collects the announcements of the
//! ingresses for a while. It then treats the target as cold and holds it at
//! half of its slots, because the earlier owner may still be sending requests.

use mustardway_types::{answer, flow, instance, request, time};

use crate::codec::{
    decode_key, decode_placement, decode_requests, encode_placement, encode_request, time_ago,
    time_ahead,
};
use crate::dedup::Entry;
use crate::finish::Step;
use crate::gate::Gate;
use crate::job::{Job, State};
use crate::key::Key;
use crate::message::{self, Announcement, Error, Handover, Summary};
use crate::ownership::{self, Ownership};
use crate::slow_start::SlowStart;

/// Time after the end of the rebuild during which announcements are still accepted.
pub const LATE_ANNOUNCEMENT_TIME: time::Span = time::Span::seconds(5);

/// A request that an earlier owner still runs.
#[derive(Debug)]
pub(crate) struct RemoteRun {
    /// Instance that runs the request.
    pub(crate) at: instance::Id,
    /// Deadline, after which the request no longer counts.
    pub(crate) until: time::Instant,
}

/// Progress of a handover that comes in parts.
#[derive(Debug, Default)]
pub(crate) struct Reassembly {
    /// Instance that sends the handover.
    from: Option<instance::Id>,
    /// Index of the part that is expected next.
    next: u32,
}

/// Outcomes of requests that ended after the gate was closed.
#[derive(Debug, Default)]
pub(crate) struct LateOutcomes {
    /// Number of running requests that ended.
    ended: u32,
    /// Ids of the flows that were closed.
    closed: Vec<u64>,
    /// Outcomes of the requests that must run at most once.
    requests: Vec<message::Request>,
}

impl LateOutcomes {
    /// Adds the outcome of a job.
    pub(crate) fn add(&mut self, job: &Job, entry: &Entry) {
        self.ended += u32::from(matches!(job.state, State::Running { .. }));
        if job.closing && matches!(entry, Entry::Done(_)) {
            self.closed.push(job.key.flow.0);
        }
        if job.repeat == request::Repeat::Once {
            self.requests.push(encode_request(job.key, entry, time::Instant::default()));
        }
    }
}

impl Gate {
    /// Moves the gate from `Pending` to `Serving` if the rebuild time has ended.
    pub(crate) fn finish_rebuild_if_due(&mut self, now: time::Instant) {
        let Ownership::Pending { until } = self.ownership else { return };
        if now < until {
            return;
        }
        self.ownership = Ownership::Serving { since: now, inherited: false };
        self.announcements_until = Some(now + LATE_ANNOUNCEMENT_TIME);
        self.slow_start = SlowStart::new(now, &self.limits);
        self.slow_start.halve_for_warm_up(now, &self.limits);
        self.dedup.mark_incomplete(now);
    }

    /// Reopens a closed gate as pending, for example after the instance that served since then
    /// was lost.
    pub fn take_over(&mut self, now: time::Instant) {
        if !matches!(self.ownership, Ownership::Closed { .. }) {
            return;
        }
        self.ownership = Ownership::pending(now);
        self.pending_since = now;
        self.dedup.mark_incomplete(now);
        self.flows.clear();
        self.placements.clear_all();
        self.late_outcomes = LateOutcomes::default();
        self.reassembly = Reassembly::default();
    }

    /// Closes the gate and returns its state for another instance. Waiting requests are
    /// redirected to that instance; running requests end here. A gate that does not serve yet
    /// hands over what it has collected without a summary, so that the next owner collects
    /// announcements itself.
    pub fn hand_over(
        &mut self,
        now: time::Instant,
        to: instance::Id,
        steps: &mut Vec<Step>,
    ) -> Handover {
        for waiter in self.queue.clear() {
            self.jobs.remove(waiter.ticket);
            steps.push(Step::Redirect(waiter.ticket, Some(to.clone())));
        }
        for (_, job) in self.jobs.running_jobs() {
            self.flows.touch(now, job.key.flow, true);
        }
        let served = matches!(self.ownership, Ownership::Serving { .. });
        self.ownership = Ownership::Closed { to: Some(to) };
        self.late_outcomes = LateOutcomes::default();
        Handover {
            parts: 1,
            flows: self.flow_records(now),
            placements: self.placement_records(now),
            requests: self.request_records(now),
            summary: served.then(|| self.summary(now)),
            ..self.new_message()
        }
    }

    /// Returns the outcomes since the gate was closed or since the last call, for the instance
    /// that serves now.
    pub fn take_late_outcomes(&mut self) -> Option<Handover> {
        let late = std::mem::take(&mut self.late_outcomes);
        if late.ended == 0 && late.requests.is_empty() {
            return None;
        }
        let LateOutcomes { ended, closed, requests } = late;
        Some(Handover { ended, closed, requests, ..self.new_message() })
    }

    /// Applies one part of the state of an earlier owner, and returns whether the whole state has
    /// arrived. The gate then starts to serve if the earlier owner served. If this gate served
    /// already, both states are merged and the stricter value of each wins.
    pub fn receive_handover(
        &mut self,
        now: time::Instant,
        message: &Handover,
        steps: &mut Vec<Step>,
    ) -> Result<bool, Error> {
        if message.target != self.target.as_str() {
            return Err(Error::Target);
        }
        let from: instance::Id = message.from.parse().map_err(|_| Error::Instance)?;
        let requests = decode_requests(now, &message.requests)?;
        if message.parts > 0 {
            self.take_over(now);
        }
        if let Ownership::Pending { .. } = self.ownership {
            let latest = self.pending_since + ownership::PENDING_TIME_MAX;
            let until = latest.min(now + ownership::REBUILD_TIME);
            self.ownership = Ownership::Pending { until };
        }
        let in_order = message.parts > 0 && self.reassembly.accept(&from, message.part);
        self.receive_flows_and_placements(now, message);
        let late = message.parts == 0;
        for (key, entry) in requests {
            self.receive_request(now, &from, late, key, entry);
            self.redirect_if_run_elsewhere(key, steps);
        }
        self.receive_late_outcomes(now, &from, message);
        let last = in_order && message.part + 1 == message.parts;
        if let (true, Some(summary)) = (last, &message.summary) {
            self.receive_summary(now, summary)?;
        }
        Ok(last)
    }

    /// Applies what an ingress knows after an earlier owner was lost.
    pub fn receive_announcement(
        &mut self,
        now: time::Instant,
        message: &Announcement,
        steps: &mut Vec<Step>,
    ) -> Result<(), Error> {
        if message.target != self.target.as_str() {
            return Err(Error::Target);
        }
        self.finish_rebuild_if_due(now);
        let pending = matches!(self.ownership, Ownership::Pending { .. });
        if !pending && self.announcements_until.is_none_or(|until| until < now) {
            return Err(Error::Late);
        }
        if !self.domain_out {
            for id in &message.flows {
                self.flows.restore(flow::Id(*id), time::Instant::default(), now, true);
            }
        }
        for request in &message.requests {
            self.receive_announced_request(now, decode_key(request), steps);
        }
        Ok(())
    }

    fn receive_announced_request(&mut self, now: time::Instant, key: Key, steps: &mut Vec<Step>) {
        let Some(ticket) = self.jobs.ticket(key) else {
            self.dedup.record(now, key, Entry::Unknown);
            return;
        };
        let Some(State::Queued(entry)) = self.jobs.get(ticket).map(|job| job.state) else { return };
        self.queue.remove(entry);
        self.jobs.remove(ticket);
        self.dedup.record(now, key, Entry::Unknown);
        self.counters.answer(answer::Reason::Forgotten);
        steps.push(Step::Answer(ticket, answer::Answer::new(answer::Reason::Forgotten)));
    }

    fn receive_flows_and_placements(&mut self, now: time::Instant, message: &Handover) {
        for record in &message.flows {
            if self.domain_out {
                continue;
            }
            let opened = time_ago(now, record.opened);
            let opened = if record.whole { opened } else { time::Instant::default() };
            self.flows.restore(
                flow::Id(record.flow),
                opened,
                time_ago(now, record.used),
                record.ran,
            );
        }
        for record in &message.placements {
            let id = flow::Id(record.flow);
            if self.flows.get(id).is_some() {
                continue;
            }
            match decode_placement(record) {
                Some(placement) => self.placements.merge(now, id, placement),
                None => self.dedup.forget_flow(now, id),
            }
        }
    }

    fn receive_request(
        &mut self,
        now: time::Instant,
        from: &instance::Id,
        late: bool,
        key: Key,
        entry: Entry,
    ) {
        if matches!(&entry, Entry::RunsElsewhere { at, .. } if *at == self.instance) {
            return;
        }
        if matches!(entry, Entry::NotRun { .. }) && self.jobs.ticket(key).is_some() {
            return;
        }
        let awaited = matches!(
            self.dedup.get(now, key),
            Some(Entry::RunsElsewhere { at, .. }) if at == *from
        );
        if late && awaited {
            self.dedup.remove(key);
        }
        self.dedup.record(now, key, entry);
    }

    /// Takes a waiting request out of the queue if another owner has run it. Its ingress asks
    /// again here and gets the known outcome.
    fn redirect_if_run_elsewhere(&mut self, key: Key, steps: &mut Vec<Step>) {
        let Some(ticket) = self.jobs.ticket(key) else { return };
        let Some(State::Queued(entry)) = self.jobs.get(ticket).map(|job| job.state) else { return };
        if self.dedup.has_no_known_run(key) {
            return;
        }
        self.queue.remove(entry);
        self.jobs.remove(ticket);
        steps.push(Step::Redirect(ticket, Some(self.instance.clone())));
    }

    fn receive_late_outcomes(
        &mut self,
        now: time::Instant,
        from: &instance::Id,
        message: &Handover,
    ) {
        for id in &message.closed {
            self.flows.close(flow::Id(*id));
        }
        let mut ended = message.ended;
        self.remote_runs.retain(|run| {
            let over = ended > 0 && run.at == *from;
            ended -= u32::from(over);
            !over && run.until > now
        });
    }

    fn receive_summary(&mut self, now: time::Instant, summary: &Summary) -> Result<(), Error> {
        for running in &summary.running {
            let at: instance::Id = running.at.parse().map_err(|_| Error::Instance)?;
            if at == self.instance {
                continue;
            }
            for left in &running.left {
                self.remote_runs.push(RemoteRun { at: at.clone(), until: time_ahead(now, *left) });
            }
        }
        self.remote_runs.sort_by_key(|run| std::cmp::Reverse(run.until));
        self.remote_runs.truncate(self.limits.slots as usize);
        self.dedup.merge_filter(now, &summary.filter);
        let complete = time_ago(now, summary.complete);
        if let Ownership::Serving { .. } = self.ownership {
            self.dedup.mark_incomplete(complete);
            self.slow_start.lower_to(now, &self.limits, summary.level);
            return Ok(());
        }
        self.dedup.set_complete_since(complete);
        let Summary { level, service, baseline, .. } = *summary;
        self.slow_start = SlowStart::restore(now, &self.limits, level, service, baseline);
        let reduced = time::Span(summary.reduced).min(self.limits.warm_up);
        self.slow_start.halve_until(now + reduced);
        self.unhealthy = summary.unhealthy;
        self.ownership = Ownership::Serving { since: now, inherited: true };
        Ok(())
    }

    fn new_message(&self) -> Handover {
        Handover {
            target: self.target.to_string(),
            from: self.instance.to_string(),
            ..Handover::default()
        }
    }

    fn flow_records(&self, now: time::Instant) -> Vec<message::Flow> {
        let mut records = Vec::with_capacity(self.flows.len());
        for (id, flow) in self.flows.sorted() {
            records.push(message::Flow {
                flow: id.0,
                opened: now.since(flow.opened()).0,
                used: now.since(flow.used()).0,
                ran: flow.may_have_run(),
                whole: flow.has_full_history(),
            });
        }
        records
    }

    fn placement_records(&self, now: time::Instant) -> Vec<message::Placement> {
        let mut records = Vec::with_capacity(self.placements.len());
        for (id, placement) in self.placements.sorted(now) {
            records.push(encode_placement(id, placement));
        }
        records
    }

    fn request_records(&self, now: time::Instant) -> Vec<message::Request> {
        let mut records = Vec::with_capacity(self.dedup.len());
        for (key, entry) in self.dedup.sorted(now) {
            records.push(encode_request(key, &entry, now));
        }
        for (_, job) in self.jobs.running_jobs() {
            if job.repeat != request::Repeat::Once {
                continue;
            }
            let entry = Entry::RunsElsewhere { at: self.instance.clone(), until: job.deadline };
            records.push(encode_request(job.key, &entry, now));
        }
        records
    }

    fn summary(&self, now: time::Instant) -> Summary {
        let reduced = self.slow_start.halved_until().map_or(0, |until| until.since(now).0);
        Summary {
            complete: now.since(self.dedup.complete_since()).0,
            level: self.slow_start.level(),
            service: self.slow_start.service_time(),
            baseline: self.slow_start.baseline(),
            reduced,
            running: self.running_records(now),
            filter: self.dedup.filter_words(),
            unhealthy: self.unhealthy,
        }
    }

    fn running_records(&self, now: time::Instant) -> Vec<message::Running> {
        let mut own = Vec::new();
        for (_, job) in self.jobs.running_jobs() {
            own.push(job.deadline.since(now).0);
        }
        let mut records = vec![message::Running { at: self.instance.to_string(), left: own }];
        for run in &self.remote_runs {
            let left = vec![run.until.since(now).0];
            records.push(message::Running { at: run.at.to_string(), left });
        }
        records
    }
}

impl Reassembly {
    /// Records a part and returns whether it and all parts before it came in order.
    fn accept(&mut self, from: &instance::Id, part: u32) -> bool {
        if part == 0 {
            *self = Reassembly { from: Some(from.clone()), next: 1 };
            return true;
        }
        if self.from.as_ref() != Some(from) || self.next != part {
            *self = Reassembly::default();
            return false;
        }
        self.next += 1;
        true
    }
}
