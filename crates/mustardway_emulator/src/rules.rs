//! Checks of the rules against what callers and targets observe, and the counts of
//! the requests by outcome.

use compact_str::format_compact;
use mustardway_flow::note::{Note, ResetReason};
use mustardway_mirror::publication::Repeat;
use mustardway_types::time::{Instant, Span};

use crate::report::{Counts, Refusal, Rule, Violation, WINDOW};
use crate::world::{World, route_address};

/// Grace period after a disruption. Rules are not checked for what it affected.
const IMPAIRMENT_GRACE: Span = Span::seconds(4);
/// Time after the start of an evacuation from which no new flow may reach the failure
/// domain.
const EVACUATED_MAX: Span = Span::seconds(5);
/// Factor on a cold target's rate up to which new flows are allowed.
const COLD_RATE_FACTOR: f64 = 1.5;
/// Number of new flows per second that a cold target may get in addition.
const COLD_BURST: f64 = 5.0;

impl World {
    /// Adds a violation of a rule to the report.
    pub(crate) fn record_violation(&mut self, rule: Rule, detail: compact_str::CompactString) {
        let at = self.now.since(self.traffic_start);
        self.report.violations.push(Violation { rule, at, detail });
    }

    /// Checks a reset by an instance: the flow's target must be gone, affected by a
    /// disruption or unreachable, or the route removed.
    pub(crate) fn check_reset(&mut self, host: usize, flow: u32) {
        let Some((target, incarnation)) = self.flows[flow as usize].target else { return };
        let since = self.now - IMPAIRMENT_GRACE;
        let server = &self.servers[target];
        let is_answering = server.unanswered_share == 0.0 && server.impaired_at < since;
        let is_healthy = server.alive && server.incarnation == incarnation && is_answering;
        let instance = &self.hosts[host];
        let was_cut = self.network.was_cut(instance.domain, server.domain, since);
        let is_routed = self.is_routed(self.flows[flow as usize].route);
        if !is_healthy || was_cut || instance.impaired_until >= since || !is_routed {
            return;
        }
        let caller = self.flows[flow as usize].address;
        let stage = self.stage_at(target, flow);
        let detail =
            format_compact!("by {} the flow of {caller} {stage} at {}", instance.id, server.id);
        self.record_violation(Rule::FalseReset, detail);
    }

    /// Checks a reset by a target that does not hold the flow: the target that holds it must
    /// be gone or affected by a disruption.
    pub(crate) fn check_foreign_reset(&mut self, host: usize, target: usize, flow: u32) {
        let Some((holder, incarnation)) = self.flows[flow as usize].target else { return };
        let since = self.now - IMPAIRMENT_GRACE;
        let server = &self.servers[holder];
        let is_healthy =
            server.alive && server.incarnation == incarnation && server.impaired_at < since;
        let instance = &self.hosts[host];
        let was_cut = self.network.was_cut(instance.domain, server.domain, since);
        if !is_healthy || was_cut || instance.frozen_until >= since {
            return;
        }
        let (caller, other) = (self.flows[flow as usize].address, &self.servers[target].id);
        let stage = self.stage_at(holder, flow);
        let detail = format_compact!("by {other} the flow of {caller} {stage} at {}", server.id);
        self.record_violation(Rule::FalseReset, detail);
    }

    /// Returns whether a target has the end of the handshake of a flow.
    fn stage_at(&self, target: usize, flow: u32) -> &'static str {
        let is_open = self.servers[target].flows.get(&flow).is_some_and(|it| it.is_open);
        if is_open { "open" } else { "opening" }
    }

    /// Checks a request that a target starts to run, and counts the run.
    pub(crate) fn check_run(&mut self, request: usize, target: usize) {
        self.requests[request].runs += 1;
        let key = (self.servers[target].service, target);
        *self.report.work.entry(key).or_default() += 1;
        let class = &self.site.classes[self.requests[request].class];
        let (runs_once, service) = (class.repeat == Repeat::Once, class.service);
        if runs_once && self.requests[request].runs > 1 {
            let detail = format_compact!("request {request}");
            self.record_violation(Rule::RanTwice, detail);
        }
        if self.servers[target].service != service {
            let detail = format_compact!("request {request} at {}", self.servers[target].id);
            self.record_violation(Rule::WrongService, detail);
        }
    }

    /// Checks an opening packet that an instance forwarded to a target.
    pub(crate) fn check_opening(&mut self, host: usize, target: usize) {
        let now = self.now;
        let is_informed = self.hosts[host].changed_at + IMPAIRMENT_GRACE < now && self.is_stable();
        let is_cut = self.was_cut_from_platform(self.hosts[host].domain, now - IMPAIRMENT_GRACE);
        let server = &self.servers[target];
        let (id, domain) = (server.id.clone(), server.domain);
        let leaving_time = self.site.leaving_time;
        let is_overdue = server.leaving_since.is_some_and(|at| now.since(at) > leaving_time);
        if is_informed && !is_cut && is_overdue {
            self.record_violation(
                Rule::Leaving,
                format_compact!("{id} by {}", self.hosts[host].id),
            );
        }
        let is_evacuated =
            self.evacuated.get(&domain).is_some_and(|at| now.since(*at) > EVACUATED_MAX);
        if is_informed && !is_cut && is_evacuated {
            self.record_violation(
                Rule::Evacuated,
                format_compact!("{id} by {}", self.hosts[host].id),
            );
        }
        self.check_cold_rate(target);
    }

    /// Counts an opening packet at a cold target and checks the rate.
    fn check_cold_rate(&mut self, target: usize) {
        let now = self.now;
        let server = &mut self.servers[target];
        let Some(rate) = self.site.services[server.service].cold_rate else { return };
        if now >= server.cold_until {
            return;
        }
        server.cold_arrivals.push_back(now);
        while server.cold_arrivals.front().is_some_and(|at| now.since(*at) >= Span::seconds(1)) {
            server.cold_arrivals.pop_front();
        }
        let allowed = f64::from(rate) * COLD_RATE_FACTOR + COLD_BURST;
        let (count, id) = (server.cold_arrivals.len(), server.id.clone());
        if count as f64 > allowed {
            self.record_violation(Rule::Cold, format_compact!("{count} in a second at {id}"));
        }
    }

    /// Checks that every unaffected instance has the last extra route that is
    /// published, and does not have the next one, which may have been removed.
    pub(crate) fn check_routes(&mut self) {
        let (count, since) = self.extra_routes;
        if self.now < since + self.site.in_force_time || !self.is_stable() {
            return;
        }
        let first = self.site.classes.len();
        let (last, next) = (route_address(first + count.max(1) - 1), route_address(first + count));
        for host in 0..self.hosts.len() {
            let instance = &self.hosts[host];
            let is_unimpaired =
                instance.runs(self.now) && instance.changed_at + IMPAIRMENT_GRACE < self.now;
            if !is_unimpaired
                || self.was_cut_from_platform(instance.domain, self.now - IMPAIRMENT_GRACE)
            {
                continue;
            }
            let directory = instance.front.directory();
            let is_missing = count > 0 && directory.route(last).is_none();
            if is_missing || directory.route(next).is_some() {
                let detail = format_compact!("by {}", instance.id);
                self.record_violation(Rule::Outdated, detail);
            }
        }
    }

    /// Records a new flow that an instance refused because its service is full.
    pub(crate) fn record_refusal(&mut self, note: &Note) {
        let Note::Reset { flow, reason, .. } = note else { return };
        if !matches!(reason, ResetReason::Overloaded | ResetReason::CallerShare) {
            return;
        }
        let mut classes = 0..self.site.classes.len();
        if let Some(class) = classes.find(|class| route_address(*class) == flow.route) {
            let at = self.now.since(self.traffic_start);
            self.report.refusals.push(Refusal { at, class });
        }
    }

    /// Returns whether the platform has answered all instances for the grace period.
    fn is_stable(&self) -> bool {
        self.now >= self.platform_impaired_until + IMPAIRMENT_GRACE
    }

    /// Records the outcome of a request: the time of its answer, or `None` if it
    /// failed. Later outcomes of the same request are ignored.
    pub(crate) fn record_outcome(&mut self, request: usize, answered: Option<Instant>) {
        let request = &mut self.requests[request];
        if request.is_finished {
            return;
        }
        request.is_finished = true;
        let class = &self.site.classes[request.class];
        let window = request.asked.since(self.traffic_start).0 / WINDOW.0;
        let counts: &mut Counts = self.report.windows.entry((window, request.class)).or_default();
        counts.asked += 1;
        let Some(at) = answered else {
            counts.failed += 1;
            return;
        };
        let took = at.since(request.asked);
        match took <= class.aim {
            true => counts.in_time += 1,
            false => counts.late += 1,
        }
        let millis = u32::try_from(took.as_millis()).unwrap_or(u32::MAX);
        self.report.latencies.push(millis);
        self.report.class_latencies.entry(request.class).or_default().push(millis);
    }
}
