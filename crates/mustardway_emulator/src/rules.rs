//! Rules, judged from what callers and targets see.

use compact_str::format_compact;
use mustardway_mirror::publication::Repeat;
use mustardway_types::time::{Instant, Span};

use crate::report::{Broken, Counts, Rule, WINDOW};
use crate::world::{World, route_address};

/// Time after an impairment in which what it harmed is not judged.
const TOUCH: Span = Span::seconds(4);
/// Time after which no new flow may reach a target that leaves.
const LEAVING_MAX: Span = Span::seconds(3);
/// Time after which no new flow may reach an evacuated failure domain.
const EVACUATED_MAX: Span = Span::seconds(5);
/// Time after which a configuration is in force.
const CONFIGURED_MAX: Span = Span::seconds(3);
/// What a cold target may get more than its rate.
const COLD_OVER: f64 = 1.5;
/// And this many on top.
const COLD_SLACK: f64 = 5.0;

impl World {
    pub(crate) fn break_rule(&mut self, rule: Rule, what: compact_str::CompactString) {
        let at = self.now.since(self.traffic);
        self.report.broken.push(Broken { rule, at, what });
    }

    /// An instance has reset a flow.
    pub(crate) fn judge_reset(&mut self, host: usize, flow: u32) {
        let Some((target, life)) = self.flows[flow as usize].target else { return };
        let since = self.now - TOUCH;
        let server = &self.servers[target];
        let is_whole = server.mute == 0.0 && server.changed < since;
        let lives = server.alive && server.life == life && is_whole;
        let own = &self.hosts[host];
        let is_harmed = self.network.was_harmed(own.domain, server.domain, since);
        let is_known = self.is_routed(self.flows[flow as usize].route);
        if !lives || is_harmed || own.changed >= since || !is_known {
            return;
        }
        let what = format_compact!("by {} a flow at {}", own.id, server.id);
        self.break_rule(Rule::FalseReset, what);
    }

    /// A target works on a request.
    pub(crate) fn judge_run(&mut self, request: usize, target: usize) {
        self.requests[request].runs += 1;
        let key = (self.servers[target].service, target);
        *self.report.work.entry(key).or_default() += 1;
        let class = &self.site.classes[self.requests[request].class];
        let (is_once, service) = (class.repeat == Repeat::Once, class.service);
        if is_once && self.requests[request].runs > 1 {
            let what = format_compact!("request {request}");
            self.break_rule(Rule::RanTwice, what);
        }
        if self.servers[target].service != service {
            let what = format_compact!("request {request} at {}", self.servers[target].id);
            self.break_rule(Rule::WrongService, what);
        }
    }

    /// An opening packet has reached a target from an instance.
    pub(crate) fn judge_opening(&mut self, host: usize, target: usize) {
        let now = self.now;
        let is_known = self.hosts[host].changed + TOUCH < now && self.is_stable();
        let is_cut = self.was_cut_from_platform(self.hosts[host].domain, now - TOUCH);
        let server = &self.servers[target];
        let (id, domain) = (server.id.clone(), server.domain);
        let left = server.leaving.is_some_and(|at| now.since(at) > LEAVING_MAX);
        if is_known && !is_cut && left {
            self.break_rule(Rule::Leaving, format_compact!("{id} by {}", self.hosts[host].id));
        }
        let out = self.evacuated.get(&domain).is_some_and(|at| now.since(*at) > EVACUATED_MAX);
        if is_known && !is_cut && out {
            self.break_rule(Rule::Evacuated, format_compact!("{id} by {}", self.hosts[host].id));
        }
        self.judge_cold(target);
    }

    fn judge_cold(&mut self, target: usize) {
        let now = self.now;
        let server = &mut self.servers[target];
        let Some(rate) = self.site.services[server.service].cold_rate else { return };
        if now >= server.cold_until {
            return;
        }
        server.arrivals.push_back(now);
        while server.arrivals.front().is_some_and(|at| now.since(*at) >= Span::seconds(1)) {
            server.arrivals.pop_front();
        }
        let most = f64::from(rate) * COLD_OVER + COLD_SLACK;
        let (count, id) = (server.arrivals.len(), server.id.clone());
        if count as f64 > most {
            self.break_rule(Rule::Cold, format_compact!("{count} in a second at {id}"));
        }
    }

    /// How instances that are in touch would handle new flows for the routes that
    /// were last added or removed.
    pub(crate) fn judge_routes(&mut self) {
        let (count, since) = self.further;
        if self.now < since + CONFIGURED_MAX || !self.is_stable() {
            return;
        }
        let first = self.site.classes.len();
        let (last, next) = (route_address(first + count.max(1) - 1), route_address(first + count));
        for host in 0..self.hosts.len() {
            let own = &self.hosts[host];
            let calm = own.runs(self.now) && own.changed + TOUCH < self.now;
            if !calm || self.was_cut_from_platform(own.domain, self.now - TOUCH) {
                continue;
            }
            let directory = own.front.directory();
            let lacks = count > 0 && directory.route(last).is_none();
            if lacks || directory.route(next).is_some() {
                let what = format_compact!("by {}", own.id);
                self.break_rule(Rule::Outdated, what);
            }
        }
    }

    /// Whether the platform has answered everybody for a while.
    fn is_stable(&self) -> bool {
        self.now >= self.platform_harmed + TOUCH
    }

    /// Counts what became of a request.
    pub(crate) fn count(&mut self, request: usize, answered: Option<Instant>) {
        let request = &mut self.requests[request];
        if request.is_over {
            return;
        }
        request.is_over = true;
        let class = &self.site.classes[request.class];
        let window = request.asked.since(self.traffic).0 / WINDOW.0;
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
        self.report.times.push(u32::try_from(took.as_millis()).unwrap_or(u32::MAX));
    }
}
