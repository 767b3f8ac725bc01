//! Stand-ins of the platform's routers and of clients, which open a flow for each request.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::packet::{self, ACK, FIN, Packet, RST, Random, SYN};
use crate::record::{Fact, Flow, Record};
use crate::server::header;

/// A node as the routers see it.
#[derive(Debug, Clone)]
pub struct Node {
    pub zone: usize,
    pub packets: SocketAddrV4,
    misses: u32,
    in_rotation: bool,
}

/// The routers: they ask each node twice a second whether it is ready, and hash flows over
/// the nodes in rotation of the client's zone.
#[derive(Debug, Clone, Default)]
pub struct Routers {
    nodes: Arc<Mutex<Vec<Node>>>,
}

impl Routers {
    pub fn add(&self, zone: usize, packets: SocketAddrV4, ready: SocketAddrV4) {
        let node = Node { zone, packets, misses: 2, in_rotation: false };
        self.nodes.lock().unwrap().push(node);
        let (index, routers) = (self.nodes.lock().unwrap().len() - 1, self.clone());
        std::thread::spawn(move || {
            loop {
                let asked = Instant::now();
                let ok = is_ready(ready);
                let mut nodes = routers.nodes.lock().unwrap();
                let node = &mut nodes[index];
                node.misses = if ok { 0 } else { node.misses + 1 };
                node.in_rotation = if ok { true } else { node.in_rotation && node.misses < 2 };
                drop(nodes);
                std::thread::sleep(Duration::from_millis(500).saturating_sub(asked.elapsed()));
            }
        });
    }

    pub fn ready(&self) -> usize {
        self.nodes.lock().unwrap().iter().filter(|node| node.in_rotation).count()
    }

    /// Returns the node that takes a client's packet.
    fn route(&self, zone: usize, flow: &Flow) -> (usize, SocketAddrV4) {
        let nodes = self.nodes.lock().unwrap();
        let of_zone = |zone: usize| nodes.iter().enumerate().filter(move |(_, it)| it.zone == zone);
        let all = of_zone(zone).count();
        let mut chosen: Vec<_> = of_zone(zone).filter(|(_, node)| node.in_rotation).collect();
        if chosen.is_empty() {
            chosen = nodes.iter().enumerate().filter(|(_, node)| node.in_rotation).collect();
        } else if chosen.len() * 2 < all {
            chosen = of_zone(zone).collect();
        }
        if chosen.is_empty() {
            chosen = of_zone(zone).collect();
        }
        let mut bytes = Vec::new();
        for end in [flow.0, flow.1] {
            bytes.extend(end.0);
            bytes.extend(end.1.to_be_bytes());
        }
        let best = chosen.into_iter().max_by_key(|(index, _)| packet::hash(*index as u64, &bytes));
        best.map(|(index, node)| (index, node.packets)).expect("a zone has nodes")
    }
}

fn is_ready(address: SocketAddrV4) -> bool {
    let limit = Duration::from_millis(400);
    let Ok(mut stream) = TcpStream::connect_timeout(&address.into(), limit) else { return false };
    let _ = stream.set_read_timeout(Some(limit));
    let ask = format!("GET /-/ready HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    if stream.write_all(ask.as_bytes()).is_err() {
        return false;
    }
    let mut part = [0; 256];
    let length = stream.read(&mut part).unwrap_or(0);
    String::from_utf8_lossy(&part[..length]).starts_with("HTTP/1.1 200")
}

/// What clients ask for: a route, and a time limit for each request. Either they open a flow
/// for each request, at a rate over all clients, or each client keeps some flows open for
/// many requests, with pauses between them.
#[derive(Debug, Clone)]
pub struct Use {
    pub route: SocketAddrV4,
    pub limit: Duration,
    pub habit: Habit,
}

#[derive(Debug, Clone, Copy)]
pub enum Habit {
    Fresh { per_s: f64 },
    Long { flows: usize, requests: u32, pause: Duration },
}

/// What a client sends on a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Part {
    Opening,
    Request,
    Acknowledgement,
    End,
}

/// Clients of all zones.
#[derive(Debug, Clone)]
pub struct Clients {
    pub uses: Arc<Mutex<Vec<Use>>>,
    pub stop: Arc<AtomicBool>,
    next_request: Arc<AtomicU64>,
    routers: Routers,
    record: Record,
}

#[derive(Debug)]
struct Attempt {
    request: u64,
    since: Instant,
    until: Instant,
    isn: u32,
    copies: u32,
    open: bool,
    echo: u32,
    server_next: u32,
    /// Sequence number of the request's first byte.
    seq: u32,
    /// The server has acknowledged the request.
    acked: bool,
    data: Vec<u8>,
    /// Requests that follow on the flow, and when the next one does.
    more: u32,
    pause: Duration,
    next_at: Option<Instant>,
    route: SocketAddrV4,
    resend_at: Instant,
    resend_after: Duration,
    done: bool,
    limit: Duration,
}

impl Clients {
    pub fn new(routers: &Routers, record: &Record) -> Self {
        Clients {
            uses: Arc::default(),
            stop: Arc::default(),
            next_request: Arc::new(AtomicU64::new(1)),
            routers: routers.clone(),
            record: record.clone(),
        }
    }

    /// Starts a client, which sends its share of the requests.
    pub fn start(&self, zone: usize, address: Ipv4Addr, port: u16, share: f64, seed: u64) {
        let clients = self.clone();
        let socket = UdpSocket::bind((address, port)).expect("a client's address");
        std::thread::spawn(move || clients.run(zone, address, socket, share, seed));
    }

    fn run(&self, zone: usize, address: Ipv4Addr, socket: UdpSocket, share: f64, seed: u64) {
        socket.set_read_timeout(Some(Duration::from_millis(1))).unwrap();
        let mut random = Random(seed);
        let mut attempts: BTreeMap<Flow, Attempt> = BTreeMap::new();
        let mut port = 40_001_u16;
        let mut next: BTreeMap<SocketAddrV4, Instant> = BTreeMap::new();
        let mut buffer = [0; 2048];
        loop {
            let now = Instant::now();
            if self.stop.load(Relaxed) && attempts.is_empty() {
                return;
            }
            let uses = match self.stop.load(Relaxed) {
                true => Vec::new(),
                false => self.uses.lock().unwrap().clone(),
            };
            for it in uses {
                let (more, pause) = match it.habit {
                    Habit::Fresh { per_s } => {
                        let due = *next.entry(it.route).or_insert(now);
                        if now < due || per_s <= 0.0 {
                            continue;
                        }
                        let mean = 1.0 / (per_s * share);
                        let pause = Duration::from_secs_f64(-mean * (1.0 - random.unit()).ln());
                        next.insert(it.route, due.max(now - Duration::from_millis(50)) + pause);
                        (0, Duration::ZERO)
                    }
                    Habit::Long { flows, requests, pause } => {
                        let open = attempts.values().filter(|flow| flow.route == it.route);
                        let due = *next.entry(it.route).or_insert(now);
                        if open.count() >= flows || now < due {
                            continue;
                        }
                        // The flows are opened over about four seconds.
                        let apart = Duration::from_secs_f64(8.0 * random.unit() / flows as f64);
                        next.insert(it.route, now + apart.max(Duration::from_millis(10)));
                        (requests.saturating_sub(1), pause)
                    }
                };
                port = if port > 60_000 { 40_001 } else { port + 1 };
                let flow: Flow = ((address.octets(), port), packet::end(it.route));
                let request = self.next_request.fetch_add(1, Relaxed);
                let isn = random.next() as u32;
                let attempt = Attempt {
                    request,
                    since: now,
                    until: now + it.limit,
                    isn,
                    copies: 0,
                    open: false,
                    echo: 0,
                    server_next: 0,
                    seq: isn.wrapping_add(1),
                    acked: false,
                    data: request_text(request),
                    more,
                    pause,
                    next_at: None,
                    route: it.route,
                    resend_at: now + Duration::from_millis(200),
                    resend_after: Duration::from_millis(400),
                    done: false,
                    limit: it.limit,
                };
                let instance = self.send(&socket, zone, &flow, &attempt, Part::Opening);
                self.record.add_at(now, Fact::Sent { request, flow, instance });
                attempts.insert(flow, attempt);
            }
            if let Ok((length, _)) = socket.recv_from(&mut buffer) {
                if let Some(packet) = Packet::decode(&buffer[..length]) {
                    self.take(&socket, zone, &packet, &mut attempts);
                } else {
                    self.record.add(Fact::Wrong("a client got bytes that are no packet".into()));
                }
            }
            self.resend(&socket, zone, &mut attempts);
        }
    }

    fn send(
        &self,
        socket: &UdpSocket,
        zone: usize,
        flow: &Flow,
        attempt: &Attempt,
        part: Part,
    ) -> usize {
        let end = attempt.seq.wrapping_add(attempt.data.len() as u32);
        let (flags, seq, ack, data) = match part {
            Part::Opening => (SYN, attempt.isn, attempt.copies, Vec::new()),
            Part::Request => (ACK, attempt.seq, attempt.server_next, attempt.data.clone()),
            Part::Acknowledgement => (ACK, end, attempt.server_next, Vec::new()),
            Part::End => (ACK | FIN, end, attempt.server_next, Vec::new()),
        };
        let packet = Packet {
            source: flow.0,
            destination: flow.1,
            flags,
            echo: attempt.echo,
            seq,
            ack,
            data,
            ..Packet::default()
        };
        let (instance, address) = self.routers.route(zone, flow);
        let _ = socket.send_to(&packet.encode(), address);
        instance
    }

    fn end(&self, attempt: &mut Attempt, how: &'static str) {
        if !attempt.done {
            attempt.done = true;
            self.record.add(Fact::Ended { request: attempt.request, how });
        }
    }

    fn take(
        &self,
        socket: &UdpSocket,
        zone: usize,
        packet: &Packet,
        attempts: &mut BTreeMap<Flow, Attempt>,
    ) {
        let flow: Flow = (packet.destination, packet.source);
        let Some(attempt) = attempts.get_mut(&flow) else { return };
        if packet.flags & RST != 0 && packet.sum == 0 {
            self.end(attempt, if attempt.open { "reset by the system" } else { "refused" });
            return;
        }
        if !packet.is_authentic() {
            let what = "a client got a packet that its sender did not write so";
            return self.record.add(Fact::Wrong(what.into()));
        }
        if packet.flags & RST != 0 {
            self.end(attempt, "reset by a server");
            return;
        }
        attempt.echo = packet.echo;
        if packet.flags & SYN != 0 {
            if !attempt.open && packet.ack == attempt.isn.wrapping_add(1) {
                attempt.open = true;
                attempt.server_next = packet.seq.wrapping_add(1);
                attempt.resend_at = Instant::now() + Duration::from_millis(200);
                attempt.resend_after = Duration::from_millis(400);
                self.send(socket, zone, &flow, attempt, Part::Request);
            }
            return;
        }
        let end = attempt.seq.wrapping_add(attempt.data.len() as u32);
        attempt.acked |= packet.flags & ACK != 0 && packet.ack == end;
        if attempt.done || packet.data.is_empty() || packet.seq != attempt.server_next {
            return;
        }
        attempt.server_next = packet.seq.wrapping_add(packet.data.len() as u32);
        let text = String::from_utf8_lossy(&packet.data).into_owned();
        let seal = header(&text, "X-Mustardway-Server-Seal").and_then(|seal| seal.parse().ok());
        if seal != Some(attempt.request) {
            let what = format!("request {} got another request's answer", attempt.request);
            self.record.add(Fact::Wrong(what));
        }
        let in_time = attempt.since.elapsed() <= attempt.limit;
        let how = match (text.starts_with("HTTP/1.1 200"), in_time) {
            (true, true) => "answered",
            (true, false) => "late",
            (false, _) => "turned away by a server",
        };
        if attempt.more == 0 || self.stop.load(Relaxed) {
            self.send(socket, zone, &flow, attempt, Part::End);
            return self.end(attempt, how);
        }
        self.send(socket, zone, &flow, attempt, Part::Acknowledgement);
        self.record.add(Fact::Ended { request: attempt.request, how });
        attempt.more -= 1;
        attempt.next_at = Some(Instant::now() + attempt.pause);
    }

    /// Sends the next request of a long flow.
    fn ask_again(&self, socket: &UdpSocket, zone: usize, flow: &Flow, attempt: &mut Attempt) {
        let now = Instant::now();
        attempt.next_at = None;
        attempt.seq = attempt.seq.wrapping_add(attempt.data.len() as u32);
        attempt.request = self.next_request.fetch_add(1, Relaxed);
        attempt.data = request_text(attempt.request);
        attempt.acked = false;
        (attempt.since, attempt.until) = (now, now + attempt.limit);
        attempt.resend_at = now + Duration::from_millis(200);
        attempt.resend_after = Duration::from_millis(400);
        let instance = self.send(socket, zone, flow, attempt, Part::Request);
        self.record.add_at(now, Fact::Sent { request: attempt.request, flow: *flow, instance });
    }

    fn resend(&self, socket: &UdpSocket, zone: usize, attempts: &mut BTreeMap<Flow, Attempt>) {
        let now = Instant::now();
        for (flow, attempt) in attempts.iter_mut() {
            if attempt.done {
                continue;
            }
            if let Some(at) = attempt.next_at {
                if self.stop.load(Relaxed) {
                    self.send(socket, zone, flow, attempt, Part::End);
                    attempt.done = true;
                    attempt.until = now;
                } else if now >= at {
                    self.ask_again(socket, zone, flow, attempt);
                }
                continue;
            }
            if !attempt.open && now - attempt.since >= Duration::from_millis(1_400) {
                self.end(attempt, "never opened");
            } else if now >= attempt.until {
                self.end(attempt, if attempt.open { "never answered" } else { "never opened" });
            } else if now >= attempt.resend_at && !attempt.acked {
                if attempt.open {
                    attempt.resend_at = now + attempt.resend_after;
                    attempt.resend_after =
                        (attempt.resend_after * 2).min(Duration::from_millis(1_600));
                    self.send(socket, zone, flow, attempt, Part::Request);
                } else if attempt.copies < 2 {
                    attempt.copies += 1;
                    attempt.resend_at = attempt.since + Duration::from_millis(600);
                    self.send(socket, zone, flow, attempt, Part::Opening);
                }
            }
        }
        attempts
            .retain(|_, attempt| !attempt.done || now < attempt.until + Duration::from_millis(500));
    }
}

fn request_text(request: u64) -> Vec<u8> {
    let line = "POST /r HTTP/1.1";
    format!("{line}\r\nX-Mustardway-Request-Id: {request}\r\nContent-Length: 0\r\n\r\n")
        .into_bytes()
}
