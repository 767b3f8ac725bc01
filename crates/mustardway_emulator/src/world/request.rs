//! The path of requests from callers through instances to targets, and of the answers
//! back.

use mustardway_flow::front::{self, Verdict};
use mustardway_flow::packet::Packet;
use mustardway_flow::token::Token;
use mustardway_mirror::publication::Repeat;
use mustardway_types::time::Span;
use rand::RngExt;

use super::{Event, Reply, World, route_address};
use crate::caller::{COPY_DELAYS, Flow, OPENING_TIMEOUT, RETRIES_MAX, Request, Stage};
use crate::router;
use crate::target::{Admission, Stage as TargetStage};
use crate::variant::Variant;

/// Size of a request.
const REQUEST_BYTES: u16 = 600;
/// Size of the answer with which a target rejects a request.
const REJECTION_BYTES: u32 = 120;
/// Size of a datagram with a packet that carries no data.
const HEADER_BYTES: usize = 68;
/// Time between the acknowledgements of two parts of an answer.
const PART_GAP: Span = Span(300);
/// Probability that the network loses a caller's packet or a target's reply.
/// Acknowledgements of answers and resets by instances are not lost, except in
/// disruptions that say so.
const PACKET_LOSS: f64 = 0.000_5;
/// Time after which a target repeats its answer to an opening packet. It doubles with
/// each repeat, three times at most.
const ANSWER_REPEAT: Span = Span::millis(200);
const ANSWER_DOUBLINGS: u32 = 3;
/// Maximum number of repeats of an answer to an opening packet.
const ANSWER_REPEATS_MAX: u32 = 8;
/// Factor on the service time of a cold target.
const COLD_SLOWDOWN: f64 = 1.6;

impl World {
    /// Sends the next request of a class and schedules the one after it. The times
    /// between requests are exponentially distributed.
    pub(super) fn start_request(&mut self, domain: usize, class: usize) {
        if self.now >= self.traffic_start + self.scenario.duration {
            return;
        }
        let rate = self.arrival_rate(domain, class);
        let gap = Span((self.exponential() / rate * 1e6) as u64);
        self.queue.add(self.now + gap, Event::NewRequest { domain, class });
        let request = self.requests.len();
        let asked = self.now;
        self.requests.push(Request {
            class,
            domain,
            asked,
            tries: 0,
            flow: None,
            runs: 0,
            is_finished: false,
        });
        let limit = self.site.classes[class].limit;
        self.queue.add(self.now + limit, Event::RequestExpired { request });
        self.send_request(request);
    }

    /// Draws from the exponential distribution with mean 1.
    fn exponential(&mut self) -> f64 {
        -self.rng.random::<f64>().max(f64::MIN_POSITIVE).ln()
    }

    /// Sends a request on an idle flow, or opens a new flow for it.
    pub(super) fn send_request(&mut self, request: usize) {
        if self.requests[request].is_finished {
            return;
        }
        let (class, domain) = (self.requests[request].class, self.requests[request].domain);
        self.requests[request].tries += 1;
        let idle = self.idle.entry((domain, class)).or_default();
        if let Some(flow) = idle.pop() {
            self.requests[request].flow = Some(flow);
            self.flows[flow as usize].request = Some(request);
            self.flows[flow as usize].reset_retransmission();
            self.send_bytes(flow);
            return;
        }
        let number = self.flows.len() as u32;
        self.requests[request].flow = Some(number);
        let flow = Flow::new(number, domain, class, route_address(class), request, self.now);
        self.by_caller.insert(flow.address, number);
        self.flows.push(flow);
        self.send_opening(number);
    }

    /// Sends the opening packet or a copy of it, and schedules the next copy or the
    /// timeout.
    fn send_opening(&mut self, flow: u32) {
        let opened = self.flows[flow as usize].opened;
        let packet = self.flows[flow as usize].opening_packet();
        self.send_packet(flow, packet);
        let copies = self.flows[flow as usize].copies as usize;
        let next = COPY_DELAYS.get(copies).copied().unwrap_or(OPENING_TIMEOUT);
        let generation = self.flows[flow as usize].generation;
        self.queue.add(opened + next, Event::FlowTimer { flow, generation });
    }

    /// Sends the bytes of a flow's request and schedules their retransmission.
    fn send_bytes(&mut self, flow: u32) {
        let flow_state = &mut self.flows[flow as usize];
        let packet = flow_state.packet(flow_state.sent, REQUEST_BYTES, false);
        let interval = flow_state.next_retransmission();
        let generation = flow_state.generation;
        self.send_packet(flow, packet);
        self.queue.add(self.now + interval, Event::FlowTimer { flow, generation });
    }

    /// Sends a caller's packet to the instance that the routers choose.
    fn send_packet(&mut self, flow: u32, packet: Packet) {
        let flow_state = &self.flows[flow as usize];
        let host =
            router::route(&self.upstreams, flow_state.domain, flow_state.address, flow_state.route);
        let Some(host) = host else { return };
        if self.strain.drops(flow, self.now) || self.rng.random_bool(PACKET_LOSS) {
            return;
        }
        let at = self.now + self.site.caller_delay;
        self.queue.add(at, Event::ToHost { host, flow, packet, is_held: false });
    }

    /// Handles the timer of a flow: sends a copy of the opening packet or retransmits
    /// the request's bytes, and fails the flow if its opening has timed out.
    pub(super) fn flow_timer(&mut self, flow: u32, generation: u32) {
        let flow_state = &mut self.flows[flow as usize];
        if flow_state.generation != generation || flow_state.request.is_none() {
            return;
        }
        match flow_state.stage {
            Stage::Closed => {}
            Stage::Open if flow_state.is_confirmed => {}
            Stage::Open => self.send_bytes(flow),
            Stage::Opening if flow_state.copies as usize >= COPY_DELAYS.len() => {
                self.fail_flow(flow, false);
            }
            Stage::Opening => {
                flow_state.copies += 1;
                self.send_opening(flow);
            }
        }
    }

    /// Handles a caller's packet at an instance. `is_held` says that the packet arrived
    /// while the instance was paused.
    pub(super) fn packet_at_host(&mut self, host: usize, flow: u32, packet: Packet, is_held: bool) {
        if !self.hosts[host].alive {
            return;
        }
        let frozen_until = self.hosts[host].frozen_until;
        if self.now < frozen_until {
            self.queue.add(frozen_until, Event::ToHost { host, flow, packet, is_held: true });
            return;
        }
        let mut actions = Vec::new();
        let (front, now) = (&mut self.hosts[host].front, self.now);
        front.handle(
            now,
            if is_held { front::Event::Paused } else { front::Event::BacklogCleared },
            &mut actions,
        );
        if self.variant == Variant::Omniscient {
            self.update_costs(host);
        }
        let verdict = self.hosts[host].front.packet(&packet, now, &mut actions);
        match verdict {
            Verdict::Forward { key, token, .. } => {
                self.forward(host, key as usize - 1, flow, Packet { token, ..packet });
            }
            Verdict::Reset(_) => self.send_reset(host, flow),
            Verdict::Drop(_) => {}
            Verdict::Hold => self.hosts[host].held.push((flow, packet)),
        }
        self.apply_front_actions(host, actions);
    }

    /// Forwards a packet from an instance to a target. A partition drops it.
    fn forward(&mut self, host: usize, target: usize, flow: u32, packet: Packet) {
        let (from, to) = (self.hosts[host].domain, self.servers[target].domain);
        let bytes = HEADER_BYTES + usize::from(packet.length);
        let sent_at = self.hosts[host].outbound.send(bytes, self.now);
        if packet.flags.opens {
            self.report.placed += 1;
            self.report.cross_domain += u32::from(from != to);
        }
        self.report.forwarded_bytes += bytes as u64;
        self.report.cross_domain_bytes += if from == to { 0 } else { bytes as u64 };
        if self.network.partition(from, to).is_some() || self.is_lost(from, to) {
            return;
        }
        let at = sent_at + self.network.delay(from, to);
        self.queue.add(at, Event::ToTarget { host, target, flow, packet });
    }

    /// Sends a reset from an instance to the caller of a flow.
    pub(super) fn send_reset(&mut self, host: usize, flow: u32) {
        let sent_at = self.hosts[host].outbound.send(HEADER_BYTES, self.now);
        let at = sent_at + self.site.caller_delay;
        self.queue.add(at, Event::ToCaller { flow, reply: Reply::Reset { host: Some(host) } });
    }

    /// Handles a forwarded packet at a target.
    pub(super) fn packet_at_target(
        &mut self,
        host: usize,
        target: usize,
        flow: u32,
        packet: Packet,
    ) {
        let server = &mut self.servers[target];
        if !server.alive {
            if !server.is_silent {
                self.answer_caller(flow, Reply::Reset { host: None });
            }
            return;
        }
        let incarnation = server.incarnation;
        if packet.flags.opens {
            server.flows.entry(flow).or_default();
            self.check_opening(host, target);
            self.answer_opening(target, incarnation, flow, packet.token, 0);
            return;
        }
        let Some(flow_state) = self.servers[target].flows.get(&flow).copied() else {
            self.answer_caller(flow, Reply::Reset { host: None });
            return;
        };
        // The data continues a flow that another target or incarnation accepted.
        let is_own = self.flows[flow as usize].target == Some((target, incarnation));
        if !is_own {
            self.check_foreign_reset(host, target, flow);
            self.answer_caller(flow, Reply::Reset { host: None });
            return;
        }
        if let Some(flow_state) = self.servers[target].flows.get_mut(&flow) {
            flow_state.is_open = true;
        }
        let Some(request) = self.flows[flow as usize].request else { return };
        if packet.length == 0 {
            return;
        }
        match flow_state.request {
            Some((latest, TargetStage::Answered)) if latest == request => {
                self.answer_caller(flow, Reply::Answered { request, closes: false });
            }
            Some((latest, _)) if latest == request => self.answer_caller(flow, Reply::Confirmed),
            _ => self.admit_request(target, flow, request),
        }
    }

    /// Returns whether a packet between two failure domains is lost.
    fn is_lost(&mut self, first: usize, second: usize) -> bool {
        let loss = self.network.loss(first, second);
        loss.is_some_and(|share| self.rng.random_bool(share))
    }

    /// Answers an opening packet for the first time or once more.
    fn answer_opening(
        &mut self,
        target: usize,
        incarnation: u32,
        flow: u32,
        token: Token,
        repeats: u32,
    ) {
        if self.network.is_lossy() || self.strain.is_used || repeats > 0 {
            let delay = Span(ANSWER_REPEAT.0 << repeats.min(ANSWER_DOUBLINGS));
            let repeats = repeats + 1;
            let event = Event::RepeatAnswer { target, incarnation, flow, token, repeats };
            self.queue.add(self.now + delay, event);
        }
        if !self.is_lost(self.servers[target].domain, self.flows[flow as usize].domain) {
            self.answer_caller(flow, Reply::Opened { target, incarnation, token });
        }
    }

    /// Repeats the answer to an opening packet whose flow is not open at the target.
    pub(super) fn repeat_answer(
        &mut self,
        target: usize,
        incarnation: u32,
        flow: u32,
        token: Token,
        repeats: u32,
    ) {
        let server = &self.servers[target];
        let is_waiting = server.flows.get(&flow).is_some_and(|flow_state| !flow_state.is_open);
        let is_running = server.alive && server.incarnation == incarnation;
        if is_running && is_waiting && repeats <= ANSWER_REPEATS_MAX {
            self.answer_opening(target, incarnation, flow, token, repeats);
        }
    }

    /// Runs, queues or rejects a request at a target, unless the target leaves it
    /// unanswered.
    fn admit_request(&mut self, target: usize, flow: u32, request: usize) {
        let unanswered_share = self.servers[target].unanswered_share;
        if unanswered_share > 0.0 && self.rng.random_bool(unanswered_share) {
            return;
        }
        let service = &self.site.services[self.servers[target].service];
        let (slots, queue) = (service.slots, service.queue);
        match self.servers[target].admit(flow, request, slots, queue) {
            Admission::Run => self.run_request(target, flow, request),
            Admission::Queue => {}
            Admission::Reject => self.answer_caller(flow, Reply::Rejected { request }),
        }
    }

    /// Starts a request at a target and schedules its end.
    fn run_request(&mut self, target: usize, flow: u32, request: usize) {
        self.check_run(request, target);
        let class = self.requests[request].class;
        // Half of the service time is constant, the other half varies.
        let varied = 0.5 + 0.5 * self.exponential().min(6.0);
        let server = &self.servers[target];
        let slowdown = if self.now < server.cold_until { COLD_SLOWDOWN } else { 1.0 };
        let service_time = self.site.classes[class].service_time.0 as f64;
        let time = Span((service_time * varied * server.slowdown * slowdown / server.speed) as u64);
        let busy = self.report.busy.entry((server.service, target)).or_default();
        *busy = *busy + time;
        let (at, incarnation) = (self.now + time, server.incarnation);
        self.queue.add(at, Event::RequestDone { target, incarnation, flow, request });
    }

    /// Answers a finished request and starts the next queued one.
    pub(super) fn request_done(
        &mut self,
        target: usize,
        incarnation: u32,
        flow: u32,
        request: usize,
    ) {
        let server = &mut self.servers[target];
        if !server.alive || server.incarnation != incarnation {
            return;
        }
        server.running -= 1;
        let closes = server.leaving_since.is_some();
        if let Some(flow_state) = server.flows.get_mut(&flow) {
            flow_state.request = Some((request, TargetStage::Answered));
        }
        let next = server.queue.pop_front();
        self.answer_caller(flow, Reply::Answered { request, closes });
        let Some((flow, request)) = next else { return };
        let server = &mut self.servers[target];
        server.running += 1;
        if let Some(flow_state) = server.flows.get_mut(&flow) {
            flow_state.request = Some((request, TargetStage::Running));
        }
        self.run_request(target, flow, request);
    }

    /// Sends a reply to the caller of a flow, unless the network loses it.
    fn answer_caller(&mut self, flow: u32, reply: Reply) {
        if self.rng.random_bool(PACKET_LOSS) {
            return;
        }
        let at = self.now + self.site.caller_delay;
        self.queue.add(at, Event::ToCaller { flow, reply });
    }

    /// Handles a reply at the caller of a flow.
    pub(super) fn receive_reply(&mut self, flow: u32, reply: Reply) {
        if self.flows[flow as usize].stage == Stage::Closed {
            return;
        }
        match reply {
            Reply::Opened { target, incarnation, token } => {
                self.flow_opened(flow, target, incarnation, token);
            }
            Reply::Confirmed => self.flows[flow as usize].is_confirmed = true,
            Reply::Answered { request, closes } => self.request_answered(flow, request, closes),
            Reply::Rejected { request } => {
                if self.flows[flow as usize].request == Some(request) {
                    let received = &mut self.flows[flow as usize].received;
                    *received = received.wrapping_add(REJECTION_BYTES);
                    self.acknowledge(flow, 0);
                    if self.site.closes_rejected {
                        self.close_flow(flow);
                    }
                    self.fail_flow(flow, true);
                }
            }
            Reply::Reset { host } => {
                if let Some(host) = host {
                    self.check_reset(host, flow);
                }
                self.fail_flow(flow, false);
            }
        }
    }

    /// Handles the acceptance of a flow by a target.
    fn flow_opened(&mut self, flow: u32, target: usize, incarnation: u32, token: Token) {
        let flow_state = &mut self.flows[flow as usize];
        // A caller keeps the token that it received last, even if another target
        // accepted the flow first.
        flow_state.token = token;
        if flow_state.stage != Stage::Opening {
            return;
        }
        flow_state.stage = Stage::Open;
        flow_state.target = Some((target, incarnation));
        flow_state.sent = flow_state.sent.wrapping_add(1);
        flow_state.received = flow_state.received.wrapping_add(1);
        flow_state.reset_retransmission();
        self.acknowledge(flow, 0);
        self.send_bytes(flow);
    }

    /// Acknowledges the data received so far and `parts` further parts of an answer.
    fn acknowledge(&mut self, flow: u32, parts: u32) {
        for part in 0..=parts {
            let flow_state = &mut self.flows[flow as usize];
            let part_bytes = self.site.classes[flow_state.class].part_bytes;
            flow_state.received =
                flow_state.received.wrapping_add(if part > 0 { part_bytes } else { 0 });
            let packet = flow_state.packet(flow_state.sent, 0, false);
            let host = router::route(
                &self.upstreams,
                flow_state.domain,
                flow_state.address,
                flow_state.route,
            );
            let Some(host) = host else { continue };
            if self.strain.drops(flow, self.now) {
                continue;
            }
            let at = self.now + self.site.caller_delay + Span(PART_GAP.0 * u64::from(part));
            self.queue.add(at, Event::ToHost { host, flow, packet, is_held: false });
        }
    }

    /// Handles the answer to a flow's request. The flow becomes idle or is closed.
    fn request_answered(&mut self, flow: u32, request: usize, closes: bool) {
        let flow_state = &mut self.flows[flow as usize];
        if flow_state.request != Some(request) {
            return;
        }
        flow_state.request = None;
        flow_state.generation += 1;
        flow_state.sent = flow_state.sent.wrapping_add(u32::from(REQUEST_BYTES));
        let class = &self.site.classes[flow_state.class];
        flow_state.received = flow_state.received.wrapping_add(class.part_bytes);
        let parts = class.parts - 1;
        let is_kept = class.is_persistent && !closes;
        let key = (flow_state.domain, flow_state.class);
        self.acknowledge(flow, parts);
        let took = Span(PART_GAP.0 * u64::from(parts));
        self.record_outcome(request, Some(self.now + took));
        if is_kept {
            self.idle.entry(key).or_default().push(flow);
        } else {
            self.close_flow(flow);
        }
    }

    /// Closes a flow gracefully.
    fn close_flow(&mut self, flow: u32) {
        let flow_state = &mut self.flows[flow as usize];
        let packet = flow_state.packet(flow_state.sent, 0, true);
        flow_state.stage = Stage::Closed;
        let target = flow_state.target;
        self.send_packet(flow, packet);
        if let Some((target, incarnation)) = target
            && self.servers[target].incarnation == incarnation
        {
            self.servers[target].flows.remove(&flow);
        }
    }

    /// Closes a flow that failed. Its request is retried if it is safe to repeat or has
    /// not run, and retries are left.
    fn fail_flow(&mut self, flow: u32, has_not_run: bool) {
        let flow_state = &mut self.flows[flow as usize];
        let never_opened = flow_state.stage == Stage::Opening;
        flow_state.stage = Stage::Closed;
        let key = (flow_state.domain, flow_state.class);
        let request = flow_state.request.take();
        if let Some(idle) = self.idle.get_mut(&key) {
            idle.retain(|other| *other != flow);
        }
        let Some(request) = request else { return };
        let class = &self.site.classes[self.requests[request].class];
        let may_repeat = class.repeat == Repeat::Free || never_opened || has_not_run;
        if may_repeat && self.requests[request].tries <= RETRIES_MAX {
            self.queue.add(self.now + self.site.retry_delay, Event::Retry { request });
        } else {
            self.record_outcome(request, None);
        }
    }

    /// Fails a request whose timeout has passed, and closes its flow.
    pub(super) fn expire_request(&mut self, request: usize) {
        if self.requests[request].is_finished {
            return;
        }
        self.record_outcome(request, None);
        let Some(flow) = self.requests[request].flow else { return };
        if self.flows[flow as usize].request == Some(request) {
            self.flows[flow as usize].request = None;
            self.close_flow(flow);
        }
    }
}
