//! Stand-in of a server in the form `echo`: flows over UDP, health checks over TCP, and its
//! entry in the store.

use std::collections::{BTreeMap, VecDeque};
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::network::Network;
use crate::packet::{self, ACK, FIN, Packet, RST, Random, SYN};
use crate::record::{Fact, Flow, Record};
use crate::store::Store;

pub const HEARTBEAT: Duration = Duration::from_millis(770);
const QUEUE: usize = 8;
const FLOWS_MAX: usize = 2_000;
/// Retransmissions after which a server gives up.
const RESENDS_MAX: u32 = 8;
/// How much longer a cold server works on a request.
const COLD_FACTOR: f64 = 1.6;
/// `WarmupOverage` and `WarmupSlack`.
const OVERAGE: (f64, f64) = (1.5, 5.0);

/// What a cold server bears: `WarmupPerS` requests a second, with the overage and the slack
/// of the rule on top. Further requests wait until it bears more.
#[derive(Debug)]
struct Bearing {
    tokens: f64,
    at: Instant,
}

impl Bearing {
    fn take(&mut self, per_s: f64, now: Instant) -> bool {
        let most = per_s * (OVERAGE.0 - 1.0) + OVERAGE.1;
        let more = (now - self.at).as_secs_f64() * per_s;
        self.tokens = (self.tokens + more).min(most);
        self.at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

#[derive(Debug, Clone)]
pub struct Description {
    pub id: String,
    pub service: String,
    pub zone: String,
    /// Number of the zone, and the zone of an instance or a client by its address.
    pub zone_number: usize,
    pub zone_of: fn(Ipv4Addr) -> usize,
    pub address: SocketAddrV4,
    pub client_port: u16,
    pub slots: usize,
    pub work: Duration,
    /// How long the server is cold after a start during traffic, and what it bears then.
    pub warmup: Duration,
    pub warmup_per_s: f64,
}

#[derive(Debug, Default)]
struct Shared {
    cold_until: Option<Instant>,
    draining: bool,
    gone: bool,
    written: String,
}

#[derive(Debug, Clone)]
pub struct Server {
    pub description: Description,
    born: u64,
    shared: Arc<Mutex<Shared>>,
    store: Store,
    record: Record,
    network: Network,
}

#[derive(Debug)]
struct Held {
    client_isn: u32,
    isn: u32,
    echo: u32,
    opened: bool,
    request: Option<u64>,
    answer: Option<Vec<u8>>,
    acked: bool,
    finished: bool,
    resend_at: Instant,
    resend_after: Duration,
    resends: u32,
    last: Instant,
    next_seq: u32,
    client_next: u32,
}

impl Server {
    /// Starts a server, cold or warm, which writes its entry at once.
    pub fn start(
        description: Description,
        cold: bool,
        store: &Store,
        record: &Record,
        network: &Network,
    ) -> Server {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        let server = Server {
            born,
            shared: Arc::default(),
            store: store.clone(),
            record: record.clone(),
            network: network.clone(),
            description,
        };
        if cold {
            let until = Instant::now() + server.description.warmup;
            server.shared.lock().unwrap().cold_until = Some(until);
        }
        let socket = UdpSocket::bind(server.description.address).expect("a server's address");
        let listener = TcpListener::bind(server.description.address).expect("a server's address");
        server.beat();
        let running = server.clone();
        std::thread::spawn(move || running.run(socket));
        let checked = server.clone();
        std::thread::spawn(move || checked.answer_checks(listener));
        server
    }

    /// The server becomes cold again, without a new start. Its next heartbeat tells so.
    pub fn become_cold(&self) {
        let until = Instant::now() + self.description.warmup;
        self.shared.lock().unwrap().cold_until = Some(until);
        self.record.add(Fact::Done(format!("{} is cold", self.description.id)));
    }

    /// The server writes that it leaves. Returns when the store has accepted that.
    pub fn drain(&self) -> Instant {
        self.shared.lock().unwrap().draining = true;
        self.beat()
    }

    /// Ends both threads and frees the address.
    fn end(&self) {
        self.shared.lock().unwrap().gone = true;
        let _ = TcpStream::connect(self.description.address);
    }

    /// The server leaves: it ends and its entry is removed.
    pub fn leave(&self) {
        self.end();
        self.store.write(&self.key(), None);
        self.record.add(Fact::Done(format!("{} has left", self.description.id)));
    }

    pub fn is_cold(&self, now: Instant) -> bool {
        self.shared.lock().unwrap().cold_until.is_some_and(|until| now < until)
    }

    fn key(&self) -> String {
        format!("servers/{}", self.description.id)
    }

    /// Writes the entry if more than its count changes.
    fn beat(&self) -> Instant {
        let mut shared = self.shared.lock().unwrap();
        let left = shared
            .cold_until
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(Instant::now()));
        let state = if shared.draining { "draining" } else { "ready" };
        let it = &self.description;
        let text = format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\"Slots\":{},\"State\":\"{state}\",\"WarmupLeftMs\":{},\"Seq\":1,\"born\":{}}}",
            it.service,
            it.address,
            it.zone,
            it.slots,
            left.as_millis(),
            self.born
        );
        if shared.gone || shared.written == text {
            return Instant::now();
        }
        shared.written.clone_from(&text);
        let (_, at) = self.store.write(&self.key(), Some(text));
        let what = format!("{} {state}, WarmupLeftMs {}", self.key(), left.as_millis());
        self.record.add_at(at, Fact::Acknowledged(what));
        at
    }

    fn answer_checks(&self, listener: TcpListener) {
        for mut stream in listener.incoming().flatten() {
            if self.shared.lock().unwrap().gone {
                return;
            }
            let server = self.clone();
            std::thread::spawn(move || {
                let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
                let mut part = [0; 1024];
                if !matches!(stream.read(&mut part), Ok(length) if length > 0) {
                    return;
                }
                let shared = server.shared.lock().unwrap();
                let status = if shared.draining { "503 -" } else { "200 OK" };
                let is_gone = shared.gone;
                drop(shared);
                if is_gone {
                    return;
                }
                let id = &server.description.id;
                let head = format!(
                    "HTTP/1.1 {status}\r\nX-Mustardway-Instance-Id: {id}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
                );
                let _ = stream.write_all(head.as_bytes());
            });
        }
    }

    fn run(&self, socket: UdpSocket) {
        socket.set_read_timeout(Some(Duration::from_millis(1))).unwrap();
        let digits = self.description.id.rsplit('-').next().unwrap_or_default();
        let key = u64::from_str_radix(digits, 16).unwrap_or(0);
        let mut random = Random(packet::hash(self.born, self.description.id.as_bytes()));
        let mut flows: BTreeMap<Flow, Held> = BTreeMap::new();
        let mut queue: VecDeque<Flow> = VecDeque::new();
        let mut working: Vec<(Instant, Flow)> = Vec::new();
        let mut next_beat = Instant::now() + HEARTBEAT;
        let mut bearing = Bearing { tokens: f64::MAX, at: Instant::now() };
        let mut buffer = [0; 2048];
        loop {
            let received = socket.recv_from(&mut buffer).ok();
            let received =
                received.filter(|(_, from)| !self.is_lost(from)).map(|(length, _)| length);
            let now = Instant::now();
            if self.shared.lock().unwrap().gone {
                return;
            }
            if now >= next_beat {
                next_beat = now + HEARTBEAT;
                self.beat();
            }
            if let Some(length) = received.filter(|length| *length >= 8) {
                let wanted = u64::from_be_bytes(buffer[..8].try_into().unwrap());
                let packet = Packet::decode(&buffer[8..length]);
                match packet {
                    Some(packet) if wanted == key || wanted == 0 => {
                        self.take(&socket, &packet, &mut flows, &mut queue, &mut random);
                    }
                    Some(_) => {}
                    None => self.wrong("a datagram that is no packet"),
                }
            }
            self.work(&mut flows, &mut queue, &mut working, &mut bearing, now);
            self.resend(&socket, &mut flows, now);
            flows.retain(|_, held| now - held.last < Duration::from_secs(15));
        }
    }

    /// Returns whether a packet from or to a peer in its zone is lost.
    fn is_lost(&self, peer: &SocketAddr) -> bool {
        let IpAddr::V4(address) = peer.ip() else { return false };
        let zone = (self.description.zone_of)(address);
        self.network.loses(self.description.zone_number, zone)
    }

    fn reset(&self, flow: Flow) {
        self.record.add(Fact::Reset { flow, server: self.description.id.clone() });
    }

    fn wrong(&self, what: &str) {
        self.record.add(Fact::Wrong(format!("{} got {what}", self.description.id)));
    }

    fn take(
        &self,
        socket: &UdpSocket,
        packet: &Packet,
        flows: &mut BTreeMap<Flow, Held>,
        queue: &mut VecDeque<Flow>,
        random: &mut Random,
    ) {
        if !packet.is_authentic() {
            return self.wrong("a packet that its sender did not write so");
        }
        let now = Instant::now();
        let flow: Flow = (packet.source, packet.destination);
        if packet.flags & SYN != 0 {
            if packet.flags & ACK != 0 {
                return self.wrong("a SYN+ACK");
            }
            let known = flows.get(&flow).is_some_and(|held| held.client_isn == packet.seq);
            if !known {
                if flows.len() >= FLOWS_MAX {
                    return;
                }
                let held = Held {
                    client_isn: packet.seq,
                    isn: random.next() as u32,
                    echo: packet.echo,
                    opened: false,
                    request: None,
                    answer: None,
                    acked: false,
                    finished: false,
                    resend_at: now + Duration::from_millis(200),
                    resend_after: Duration::from_millis(400),
                    resends: 0,
                    last: now,
                    next_seq: 0,
                    client_next: packet.seq.wrapping_add(1),
                };
                flows.insert(flow, held);
                let server = self.description.id.clone();
                self.record.add(Fact::Opened { flow, server });
            }
            let held = flows.get_mut(&flow).unwrap();
            held.echo = packet.echo;
            let (seq, ack) = (held.isn, held.client_next);
            self.send(socket, &flow, held.echo, SYN | ACK, seq, ack, Vec::new());
            return;
        }
        let Some(held) = flows.get_mut(&flow) else {
            if packet.flags & RST == 0 {
                self.reset(flow);
                self.send(socket, &flow, packet.echo, RST, packet.ack, 0, Vec::new());
            }
            return;
        };
        held.last = now;
        held.echo = packet.echo;
        if packet.flags & RST != 0 {
            flows.remove(&flow);
            return;
        }
        if !held.opened && packet.ack == held.isn.wrapping_add(1) {
            let server = self.description.id.clone();
            self.record.add(Fact::Open { flow, server });
            held.opened = true;
            held.next_seq = packet.ack;
        }
        if !held.opened {
            self.reset(flow);
            self.send(socket, &flow, packet.echo, RST, packet.ack, 0, Vec::new());
            return;
        }
        if held.answer.is_some() && packet.ack == held.next_seq {
            held.acked = true;
        }
        if !packet.data.is_empty() && packet.seq == held.client_next {
            held.client_next = packet.seq.wrapping_add(packet.data.len() as u32);
            let text = String::from_utf8_lossy(&packet.data).into_owned();
            let request = header(&text, "X-Mustardway-Request-Id").and_then(|id| id.parse().ok());
            let Some(request) = request else { return self.wrong("a request without an id") };
            held.request = Some(request);
            (held.answer, held.acked, held.resends) = (None, false, 0);
            (held.resend_at, held.resend_after) = (now, Duration::from_millis(200));
            if queue.len() >= QUEUE {
                let server = self.description.id.clone();
                self.record.add(Fact::Shed { request, server });
                held.answer = Some(self.answer(request, "503", "X-Mustardway-Not-Executed: 1\r\n"));
            } else {
                queue.push_back(flow);
            }
        }
        if packet.flags & FIN != 0 {
            held.finished = true;
            let ack = packet.seq.wrapping_add(packet.data.len() as u32).wrapping_add(1);
            let (echo, seq) = (held.echo, held.next_seq);
            self.send(socket, &flow, echo, ACK | FIN, seq, ack, Vec::new());
            return;
        }
        if !packet.data.is_empty() {
            let (echo, seq, ack) = (held.echo, held.next_seq, held.client_next);
            self.send(socket, &flow, echo, ACK, seq, ack, Vec::new());
        }
    }

    fn answer(&self, request: u64, status: &str, extra: &str) -> Vec<u8> {
        let body = format!("{request} by {}", self.description.id);
        format!(
            "HTTP/1.1 {status} -\r\nX-Mustardway-Server-Seal: {request}\r\n{extra}Content-Length: {}\r\n\r\n{body}",
            body.len()
        )
        .into_bytes()
    }

    /// A cold server works more slowly, as in the site files.
    fn work_time(&self, now: Instant) -> Duration {
        let work = self.description.work;
        if self.is_cold(now) { work.mul_f64(COLD_FACTOR) } else { work }
    }

    fn work(
        &self,
        flows: &mut BTreeMap<Flow, Held>,
        queue: &mut VecDeque<Flow>,
        working: &mut Vec<(Instant, Flow)>,
        bearing: &mut Bearing,
        now: Instant,
    ) {
        let mut done = Vec::new();
        working.retain(|(until, flow)| {
            if now >= *until {
                done.push(*flow);
            }
            now < *until
        });
        for flow in done {
            let Some(held) = flows.get_mut(&flow) else { continue };
            let Some(request) = held.request else { continue };
            held.answer = Some(self.answer(request, "200", ""));
            held.last = now;
        }
        let per_s = self.description.warmup_per_s;
        let is_limited = per_s > 0.0 && self.is_cold(now);
        while working.len() < self.description.slots {
            if queue.is_empty() || is_limited && !bearing.take(per_s, now) {
                break;
            }
            let Some(flow) = queue.pop_front() else { break };
            let Some(request) = flows.get(&flow).and_then(|held| held.request) else { continue };
            let (server, service) = (self.description.id.clone(), self.description.service.clone());
            self.record.add(Fact::Ran { request, server, service });
            working.push((now + self.work_time(now), flow));
        }
    }

    fn resend(&self, socket: &UdpSocket, flows: &mut BTreeMap<Flow, Held>, now: Instant) {
        for (flow, held) in flows.iter_mut() {
            if !held.opened && held.resends < RESENDS_MAX && now >= held.resend_at {
                held.resends += 1;
                held.resend_at = now + held.resend_after;
                held.resend_after = (held.resend_after * 2).min(Duration::from_millis(1_600));
                let (seq, ack) = (held.isn, held.client_next);
                self.send(socket, flow, held.echo, SYN | ACK, seq, ack, Vec::new());
            }
            let Some(answer) = &held.answer else { continue };
            if held.acked || held.finished || now < held.resend_at || held.resends > RESENDS_MAX {
                continue;
            }
            let is_first = held.resends == 0;
            let seq = match is_first {
                true => held.next_seq,
                false => held.next_seq.wrapping_sub(answer.len() as u32),
            };
            if is_first {
                held.next_seq = held.next_seq.wrapping_add(answer.len() as u32);
            }
            held.resends += 1;
            held.resend_at = now + held.resend_after;
            held.resend_after = (held.resend_after * 2).min(Duration::from_millis(1_600));
            let data = answer.clone();
            self.send(socket, flow, held.echo, ACK, seq, held.client_next, data);
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn send(
        &self,
        socket: &UdpSocket,
        flow: &Flow,
        echo: u32,
        flags: u8,
        seq: u32,
        ack: u32,
        data: Vec<u8>,
    ) {
        let packet = Packet {
            source: flow.1,
            destination: flow.0,
            flags,
            echo,
            seq,
            ack,
            data,
            ..Packet::default()
        };
        let client = SocketAddrV4::new(flow.0.0.into(), self.description.client_port);
        if self.is_lost(&client.into()) {
            return;
        }
        let _ = socket.send_to(&packet.encode(), client);
    }
}

pub fn header(text: &str, name: &str) -> Option<String> {
    let line = text.lines().find(|line| line.starts_with(name))?;
    Some(line[name.len()..].trim_start_matches(':').trim().to_string())
}
