//! Requests from callers to targets and back.

use mustardway_flow::front::{self, Verdict};
use mustardway_flow::packet::Packet;
use mustardway_flow::token::Token;
use mustardway_mirror::publication::Repeat;
use mustardway_types::time::Span;
use rand::RngExt;

use super::{Event, Reply, World, route_address};
use crate::caller::{COPIES, Flow, OPENING_MAX, RETRIES, RETRY_AFTER, Request, Stage};
use crate::router;
use crate::target::{Admission, Stage as AtTarget};

/// Bytes of a request.
const REQUEST: u16 = 600;
/// Bytes of a part of an answer.
const PART: u32 = 2_400;
/// Bytes of an opening or acknowledging packet in a datagram.
const HEAD: usize = 68;
/// Time between two parts of an answer.
const PART_GAP: Span = Span(300);
/// Packets that the network loses.
const LOSS: f64 = 0.000_5;
/// By how much a cold target works slower.
const COLD: f64 = 1.6;

impl World {
    /// Sends the next request of a kind, and plans the one after it.
    pub(super) fn ask(&mut self, domain: usize, class: usize) {
        if self.now >= self.traffic + self.day.length {
            return;
        }
        let share =
            self.site.instances[domain] as f64 / self.site.instances.iter().sum::<usize>() as f64;
        let rate = self.site.classes[class].rate * self.day.load * share;
        let gap = Span((self.exponential() / rate * 1e6) as u64);
        self.queue.add(self.now + gap, Event::Ask { domain, class });
        let request = self.requests.len();
        let asked = self.now;
        self.requests.push(Request { class, domain, asked, tries: 0, runs: 0, is_over: false });
        let limit = self.site.classes[class].limit;
        self.queue.add(self.now + limit, Event::GiveUp { request });
        self.send_request(request);
    }

    fn exponential(&mut self) -> f64 {
        -self.rng.random::<f64>().max(f64::MIN_POSITIVE).ln()
    }

    /// Sends a request on an idle flow, or opens one.
    pub(super) fn send_request(&mut self, request: usize) {
        if self.requests[request].is_over {
            return;
        }
        let (class, domain) = (self.requests[request].class, self.requests[request].domain);
        self.requests[request].tries += 1;
        let idle = self.idle.entry((domain, class)).or_default();
        if let Some(flow) = idle.pop() {
            self.flows[flow as usize].request = Some(request);
            self.flows[flow as usize].restart_interval();
            self.send_bytes(flow);
            return;
        }
        let number = self.flows.len() as u32;
        let flow = Flow::new(number, domain, class, route_address(class), request, self.now);
        self.by_caller.insert(flow.address, number);
        self.flows.push(flow);
        self.send_opening(number);
    }

    fn send_opening(&mut self, flow: u32) {
        let opened = self.flows[flow as usize].opened;
        let packet = self.flows[flow as usize].opening();
        self.send_packet(flow, packet);
        let copies = self.flows[flow as usize].copies as usize;
        let next = COPIES.get(copies).copied().unwrap_or(OPENING_MAX);
        let generation = self.flows[flow as usize].generation;
        self.queue.add(opened + next, Event::Timer { flow, generation });
    }

    /// Sends the bytes of a flow's request, and plans to send them again.
    fn send_bytes(&mut self, flow: u32) {
        let own = &mut self.flows[flow as usize];
        let packet = own.packet(own.sent, REQUEST, false);
        let interval = own.next_interval();
        let generation = own.generation;
        self.send_packet(flow, packet);
        self.queue.add(self.now + interval, Event::Timer { flow, generation });
    }

    fn send_packet(&mut self, flow: u32, packet: Packet) {
        let own = &self.flows[flow as usize];
        let host = router::route(&self.seats, own.domain, own.address, own.route);
        let Some(host) = host else { return };
        if self.rng.random_bool(LOSS) {
            return;
        }
        let at = self.now + self.site.to_callers;
        self.queue.add(at, Event::ToHost { host, flow, packet, is_held: false });
    }

    pub(super) fn timer(&mut self, flow: u32, generation: u32) {
        let own = &mut self.flows[flow as usize];
        if own.generation != generation || own.request.is_none() {
            return;
        }
        match own.stage {
            Stage::Closed => {}
            Stage::Open if own.is_confirmed => {}
            Stage::Open => self.send_bytes(flow),
            Stage::Opening if own.copies as usize >= COPIES.len() => self.fail(flow, false),
            Stage::Opening => {
                own.copies += 1;
                self.send_opening(flow);
            }
        }
    }

    /// A caller's packet has reached an instance.
    pub(super) fn packet_to_host(&mut self, host: usize, flow: u32, packet: Packet, is_held: bool) {
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
        let verdict = front.packet(&packet, now, &mut actions);
        match verdict {
            Verdict::Forward { key, token, .. } => {
                self.forward(host, key as usize - 1, flow, Packet { token, ..packet });
            }
            Verdict::Reset(_) => self.reset(host, flow),
            Verdict::Drop(_) => {}
        }
        self.act(host, actions);
    }

    fn forward(&mut self, host: usize, target: usize, flow: u32, packet: Packet) {
        let (from, to) = (self.hosts[host].domain, self.servers[target].domain);
        let bytes = HEAD + usize::from(packet.length);
        let leaves = self.hosts[host].link.send(bytes, self.now);
        if packet.flags.opens {
            self.report.placed += 1;
            self.report.across += u32::from(from != to);
        }
        if self.network.barrier(from, to).is_some() {
            return;
        }
        let at = leaves + self.network.delay(from, to);
        self.queue.add(at, Event::ToTarget { host, target, flow, packet });
    }

    /// An instance resets a flow.
    pub(super) fn reset(&mut self, host: usize, flow: u32) {
        let leaves = self.hosts[host].link.send(HEAD, self.now);
        let at = leaves + self.site.to_callers;
        self.queue.add(at, Event::ToCaller { flow, reply: Reply::Reset { host: Some(host) } });
    }

    pub(super) fn packet_to_target(
        &mut self,
        host: usize,
        target: usize,
        flow: u32,
        packet: Packet,
    ) {
        let server = &mut self.servers[target];
        if !server.alive {
            if !server.is_dark {
                self.answer_caller(flow, Reply::Reset { host: None });
            }
            return;
        }
        let life = server.life;
        if packet.flags.opens {
            server.flows.entry(flow).or_default();
            self.judge_opening(host, target);
            self.answer_caller(flow, Reply::Opened { target, life });
            return;
        }
        let Some(held) = self.servers[target].flows.get(&flow).copied() else {
            self.answer_caller(flow, Reply::Reset { host: None });
            return;
        };
        // Bytes that acknowledge another target are of no use to this one.
        let is_own = self.flows[flow as usize].target == Some((target, life));
        let Some(request) = self.flows[flow as usize].request.filter(|_| is_own) else { return };
        if packet.length == 0 {
            return;
        }
        match held.request {
            Some((known, AtTarget::Answered)) if known == request => {
                self.answer_caller(flow, Reply::Answered { request, closes: false });
            }
            Some((known, _)) if known == request => self.answer_caller(flow, Reply::Confirmed),
            _ => self.admit(target, flow, request),
        }
    }

    fn admit(&mut self, target: usize, flow: u32, request: usize) {
        let mute = self.servers[target].mute;
        if mute > 0.0 && self.rng.random_bool(mute) {
            return;
        }
        let service = &self.site.services[self.servers[target].service];
        let (slots, queue) = (service.slots, service.queue);
        match self.servers[target].admit(flow, request, slots, queue) {
            Admission::Runs => self.work(target, flow, request),
            Admission::Waits => {}
            Admission::TurnsAway => self.answer_caller(flow, Reply::TurnedAway { request }),
        }
    }

    fn work(&mut self, target: usize, flow: u32, request: usize) {
        self.judge_run(request, target);
        let class = self.requests[request].class;
        // Half of the work is the same each time, the rest varies.
        let varied = 0.5 + 0.5 * self.exponential().min(6.0);
        let server = &self.servers[target];
        let cold = if self.now < server.cold_until { COLD } else { 1.0 };
        let micros = self.site.classes[class].work.0 as f64 * varied * server.slowness * cold;
        let (at, life) = (self.now + Span(micros as u64), server.life);
        self.queue.add(at, Event::Done { target, life, flow, request });
    }

    pub(super) fn done(&mut self, target: usize, life: u32, flow: u32, request: usize) {
        let server = &mut self.servers[target];
        if !server.alive || server.life != life {
            return;
        }
        server.running -= 1;
        let closes = server.leaving.is_some();
        if let Some(held) = server.flows.get_mut(&flow) {
            held.request = Some((request, AtTarget::Answered));
        }
        let next = server.queue.pop_front();
        self.answer_caller(flow, Reply::Answered { request, closes });
        let Some((flow, request)) = next else { return };
        let server = &mut self.servers[target];
        server.running += 1;
        if let Some(held) = server.flows.get_mut(&flow) {
            held.request = Some((request, AtTarget::Running));
        }
        self.work(target, flow, request);
    }

    fn answer_caller(&mut self, flow: u32, reply: Reply) {
        if self.rng.random_bool(LOSS) {
            return;
        }
        let at = self.now + self.site.to_callers;
        self.queue.add(at, Event::ToCaller { flow, reply });
    }

    /// A caller has received something.
    pub(super) fn reply(&mut self, flow: u32, reply: Reply) {
        if self.flows[flow as usize].stage == Stage::Closed {
            return;
        }
        match reply {
            Reply::Opened { target, life } => self.opened(flow, target, life),
            Reply::Confirmed => self.flows[flow as usize].is_confirmed = true,
            Reply::Answered { request, closes } => self.answered(flow, request, closes),
            Reply::TurnedAway { request } => {
                if self.flows[flow as usize].request == Some(request) {
                    self.flows[flow as usize].received += PART;
                    self.acknowledge(flow, 0);
                    self.fail(flow, true);
                }
            }
            Reply::Reset { host } => {
                if let Some(host) = host {
                    self.judge_reset(host, flow);
                }
                self.fail(flow, false);
            }
        }
    }

    fn opened(&mut self, flow: u32, target: usize, life: u32) {
        let token = Token::of(&self.servers[target].id);
        let own = &mut self.flows[flow as usize];
        // The token is the last one received, whichever target opened the flow.
        own.token = token;
        if own.stage != Stage::Opening {
            return;
        }
        own.stage = Stage::Open;
        own.target = Some((target, life));
        own.sent = own.sent.wrapping_add(1);
        own.received = own.received.wrapping_add(1);
        own.restart_interval();
        self.acknowledge(flow, 0);
        self.send_bytes(flow);
    }

    /// Acknowledges what was received, `parts` times over.
    fn acknowledge(&mut self, flow: u32, parts: u32) {
        for part in 0..=parts {
            let own = &mut self.flows[flow as usize];
            own.received = own.received.wrapping_add(if part > 0 { PART } else { 0 });
            let packet = own.packet(own.sent, 0, false);
            let host = router::route(&self.seats, own.domain, own.address, own.route);
            let Some(host) = host else { continue };
            let at = self.now + self.site.to_callers + Span(PART_GAP.0 * u64::from(part));
            self.queue.add(at, Event::ToHost { host, flow, packet, is_held: false });
        }
    }

    fn answered(&mut self, flow: u32, request: usize, closes: bool) {
        let own = &mut self.flows[flow as usize];
        if own.request != Some(request) {
            return;
        }
        own.request = None;
        own.generation += 1;
        own.sent = own.sent.wrapping_add(u32::from(REQUEST));
        own.received = own.received.wrapping_add(PART);
        let class = &self.site.classes[own.class];
        let parts = class.parts - 1;
        let stays = class.is_long && !closes;
        let key = (own.domain, own.class);
        self.acknowledge(flow, parts);
        let took = Span(PART_GAP.0 * u64::from(parts));
        self.count(request, Some(self.now + took));
        if stays {
            self.idle.entry(key).or_default().push(flow);
        } else {
            self.close(flow);
        }
    }

    /// Ends a flow in good order.
    fn close(&mut self, flow: u32) {
        let own = &mut self.flows[flow as usize];
        let packet = own.packet(own.sent, 0, true);
        own.stage = Stage::Closed;
        let target = own.target;
        self.send_packet(flow, packet);
        if let Some((target, life)) = target
            && self.servers[target].life == life
        {
            self.servers[target].flows.remove(&flow);
        }
    }

    /// The flow has failed its request; the caller may try again.
    fn fail(&mut self, flow: u32, has_not_run: bool) {
        let own = &mut self.flows[flow as usize];
        let never_opened = own.stage == Stage::Opening;
        own.stage = Stage::Closed;
        let key = (own.domain, own.class);
        let request = own.request.take();
        if let Some(idle) = self.idle.get_mut(&key) {
            idle.retain(|other| *other != flow);
        }
        let Some(request) = request else { return };
        let class = &self.site.classes[self.requests[request].class];
        let may_repeat = class.repeat == Repeat::Free || never_opened || has_not_run;
        if may_repeat && self.requests[request].tries <= RETRIES {
            self.queue.add(self.now + RETRY_AFTER, Event::Retry { request });
        } else {
            self.count(request, None);
        }
    }

    /// The time of a request is over.
    pub(super) fn give_up(&mut self, request: usize) {
        if self.requests[request].is_over {
            return;
        }
        self.count(request, None);
        let flow = self.flows.iter().rposition(|flow| flow.request == Some(request));
        if let Some(flow) = flow {
            self.flows[flow].request = None;
            self.close(flow as u32);
        }
    }
}
