//! A small deployment on loopback: instances as processes, started as the deploy file says.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs::File;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::client::{Clients, Routers};
use crate::network::Network;
use crate::packet::Random;
use crate::record::{Fact, Record};
use crate::server::{Description, Server};
use crate::store::Store;

pub const ZONES: [&str; 3] = ["rosario", "cordoba", "santa-fe"];

/// Answered requests below which a case says nothing.
const ANSWERS_MIN: usize = 500;

/// Processes that were started and not waited for, to end them if a case takes too long.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn forget(process: u32) {
    STARTED.lock().unwrap().retain(|started| *started != process);
}

/// Sends a signal to a process by the shell's own command.
fn send_signal(signal: &str, process: u32) {
    let _ = Command::new("sh").arg("-c").arg(format!("kill -{signal} {process}")).status();
}

/// Ends the processes that still run.
pub fn end_started() {
    for process in STARTED.lock().unwrap().iter() {
        send_signal("KILL", *process);
    }
}

/// A route of the configuration.
#[derive(Debug, Clone)]
pub struct Route {
    pub name: String,
    pub address: SocketAddrV4,
    pub kind: &'static str,
    pub service: String,
    pub timeout_ms: u64,
}

/// A configuration, as the operator writes it.
#[derive(Debug, Clone)]
pub struct Configuration {
    pub version: u64,
    pub routes: Vec<Route>,
    pub services: Vec<String>,
    pub warmup_s: f64,
    pub warmup_per_s: f64,
    pub idle_timeout_ms: u64,
}

impl Configuration {
    pub fn text(&self) -> String {
        let mut routes = Vec::new();
        for route in &self.routes {
            routes.push(format!(
                "{{\"Name\":\"{}\",\"Host\":\"{}\",\"Prefix\":\"/{}/\",\"Kind\":\"{}\",\"TimeoutMs\":{},\"TargetLatencyMs\":150,\"Priority\":1,\"Service\":\"{}\",\"MaxAttempts\":2}}",
                route.name, route.address.ip(), route.address.port(), route.kind,
                route.timeout_ms, route.service
            ));
        }
        let mut services = Vec::new();
        for name in &self.services {
            services.push(format!(
                "{{\"Name\":\"{name}\",\"HealthPath\":\"/health\",\"MaxConns\":2000,\"Protocol\":\"h1\",\"Tls\":false,\"WarmupS\":{:.1},\"WarmupPerS\":{:.1}}}",
                self.warmup_s, self.warmup_per_s
            ));
        }
        format!(
            "{{\"Version\":{},\"Routes\":[{}],\"Services\":[{}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":{}}}}}",
            self.version,
            routes.join(","),
            services.join(","),
            self.idle_timeout_ms
        )
    }
}

/// One machine of the system.
#[derive(Debug)]
pub struct Instance {
    pub name: String,
    settings: PathBuf,
    child: Option<Child>,
}

#[derive(Debug)]
pub struct Deployment {
    pub store: Store,
    pub record: Record,
    pub network: Network,
    pub routers: Routers,
    pub clients: Clients,
    pub instances: Vec<Instance>,
    root: PathBuf,
    folder: PathBuf,
    block: u8,
    port: u16,
    keeps_folder: bool,
}

impl Deployment {
    pub fn new() -> Deployment {
        let root = std::env::current_dir().expect("the repository's root");
        let record = Record::new();
        let mut random = Random(u64::from(std::process::id()) ^ unix_nanos());
        let (block, port) = free_block(&mut random);
        let folder = std::env::temp_dir().join(format!("review-{}-{block}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let routers = Routers::default();
        Deployment {
            store: Store::default(),
            clients: Clients::new(&routers, &record),
            record,
            network: Network::new(unix_nanos()),
            routers,
            instances: Vec::new(),
            root,
            folder,
            block,
            port,
            keeps_folder: std::env::var_os("KEEP").is_some(),
        }
    }

    fn address(&self, third: u8, fourth: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.block, third, fourth)
    }

    pub fn route_address(&self, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(self.address(100, 1), port)
    }

    /// Adds the machines of each zone. The first of each zone is a seed, three at most.
    pub fn add_instances(&mut self, per_zone: &[usize]) {
        let mut seeds = Vec::new();
        for zone in 0..per_zone.len().min(3) {
            seeds.push(format!("{}:{}", self.address(1 + zone as u8, 1), self.port + 2));
        }
        for (zone, count) in per_zone.iter().enumerate() {
            for number in 0..*count {
                self.add_instance(zone, number, &seeds);
            }
        }
    }

    fn add_instance(&mut self, zone: usize, number: usize, seeds: &[String]) {
        let index = self.instances.len();
        let address = self.address(1 + zone as u8, 1 + number as u8);
        let store = SocketAddrV4::new(self.address(9, 1 + index as u8), self.port + 4);
        self.store.listen(store, index);
        let name = format!("front-{}-{}", ZONES[zone], number + 1);
        let template = std::fs::read_to_string(self.root.join("deploy/settings.ini"))
            .expect("the settings template of the deploy file");
        let values = [
            ("NodeName", name.clone()),
            ("Zone", ZONES[zone].to_string()),
            ("Listen.DatagramAddr", format!("{address}:{}", self.port)),
            ("Listen.ReadyAddr", format!("{address}:{}", self.port + 1)),
            ("Listen.Control", format!("{address}:{}", self.port + 2)),
            ("Seeds", seeds.join(",")),
            ("platform.Address", store.to_string()),
            ("Bounds.GraceS", "6".to_string()),
            ("Ip", address.to_string()),
        ];
        let mut text = template;
        for (name, value) in values {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        let settings = self.folder.join(format!("{name}.ini"));
        std::fs::write(&settings, text).expect("a settings file");
        self.instances.push(Instance { name, settings, child: None });
        let packets = SocketAddrV4::new(address, self.port);
        let ready = SocketAddrV4::new(address, self.port + 1);
        self.routers.add(zone, packets, ready);
    }

    /// Starts the process of a machine, as `deploy/system.toml` says.
    pub fn start(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", instance.name)))
            .expect("a log file");
        let mut command = Command::new(Path::new("target/release/mustardway"));
        command.arg("front").current_dir(&self.root).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        command.env("MUSTARDWAY_SETTINGS", &instance.settings);
        command.stdin(Stdio::null()).stderr(log.try_clone().unwrap()).stdout(log);
        let child = command.spawn().unwrap_or_else(|error| {
            println!("cannot start target/release/mustardway: {error}");
            end_started();
            std::process::exit(2);
        });
        self.record.add(Fact::Done(format!("start {}", instance.name)));
        STARTED.lock().unwrap().push(child.id());
        instance.child = Some(child);
    }

    pub fn start_all(&mut self) {
        for index in 0..self.instances.len() {
            self.start(index);
        }
    }

    /// Sends a signal to the process of a machine.
    pub fn signal(&mut self, index: usize, signal: &str) {
        let instance = &self.instances[index];
        let Some(child) = &instance.child else { return };
        self.record.add(Fact::Done(format!("{signal} {}", instance.name)));
        send_signal(signal, child.id());
    }

    /// Waits until the process of a machine has ended, and kills it if it does not.
    pub fn await_end(&mut self, index: usize, limit: Duration) {
        let until = Instant::now() + limit;
        let Some(mut child) = self.instances[index].child.take() else { return };
        while Instant::now() < until {
            if matches!(child.try_wait(), Ok(Some(_))) {
                forget(child.id());
                return;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        let _ = child.kill();
        let _ = child.wait();
        forget(child.id());
    }

    /// Ends with exit code 2 if a process has ended by itself, or if not all are ready.
    pub fn expect_ready(&mut self, count: usize, limit: Duration) {
        let until = Instant::now() + limit;
        while self.routers.ready() < count {
            if Instant::now() > until {
                println!("could not run: {} of {count} instances are ready", self.routers.ready());
                for instance in &self.instances {
                    let log = self.folder.join(format!("{}.log", instance.name));
                    let text = std::fs::read_to_string(log).unwrap_or_default();
                    println!("{}: {}", instance.name, text.lines().last().unwrap_or("no log"));
                }
                self.stop();
                std::process::exit(2);
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Returns the names of instances whose processes have ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let mut ended = Vec::new();
        for instance in &mut self.instances {
            let Some(child) = &mut instance.child else { continue };
            if matches!(child.try_wait(), Ok(Some(_))) {
                ended.push(instance.name.clone());
            }
        }
        ended
    }

    #[allow(clippy::too_many_arguments)]
    pub fn server(
        &self,
        zone: usize,
        number: u8,
        id: &str,
        service: &str,
        cold: bool,
        warmup: (Duration, f64),
        slots: usize,
        work: Duration,
    ) -> Server {
        let description = Description {
            id: id.to_string(),
            service: service.to_string(),
            zone: ZONES[zone].to_string(),
            zone_number: zone,
            zone_of,
            address: SocketAddrV4::new(self.address(10 + zone as u8, number), self.port + 5),
            client_port: self.port,
            slots,
            work,
            warmup: warmup.0,
            warmup_per_s: warmup.1,
        };
        Server::start(description, cold, &self.store, &self.record, &self.network)
    }

    /// Starts `count` clients in each of the zones.
    pub fn start_clients(&self, zones: std::ops::Range<usize>, count: u8) {
        let share = 1.0 / (zones.len() as f64 * f64::from(count));
        for zone in zones {
            for number in 0..count {
                let address = self.address(20 + zone as u8, 1 + number);
                let seed = u64::from(number) * 31 + zone as u64 * 1_009 + unix_nanos();
                self.clients.start(zone, address, self.port, share, seed);
            }
        }
    }

    /// Writes an item as the operator does. Returns the time of the ack.
    pub fn operate(&self, key: &str, value: Option<String>, what: &str) -> Instant {
        let (_, at) = self.store.write(key, value);
        self.record.add_at(at, Fact::Acknowledged(format!("{key}: {what}")));
        at
    }

    /// Ends everything that was started.
    pub fn stop(&mut self) {
        self.clients.stop.store(true, std::sync::atomic::Ordering::Relaxed);
        for index in 0..self.instances.len() {
            if let Some(child) = &mut self.instances[index].child {
                let _ = child.kill();
                let _ = child.wait();
                forget(child.id());
            }
            self.instances[index].child = None;
        }
        if !self.keeps_folder {
            let _ = std::fs::remove_dir_all(&self.folder);
        } else {
            println!("kept {}", self.folder.display());
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Returns the exit code of a case: 2 if so few requests were answered that it says nothing.
pub fn exit_code(record: &Record, is_broken: bool) -> i32 {
    let is_answered = |fact: &(f64, Fact)| matches!(fact.1, Fact::Ended { how: "answered", .. });
    let answered = record.facts().iter().filter(|fact| is_answered(fact)).count();
    if answered < ANSWERS_MIN {
        println!("could not run: only {answered} requests were answered");
        return 2;
    }
    i32::from(is_broken)
}

/// Writes every fact, and how many requests ended how, to `record.txt` in `folder`.
pub fn write_record(record: &Record, folder: &str, head: &[String]) {
    let mut text = String::new();
    for line in head {
        let _ = writeln!(text, "{line}");
    }
    let mut ends: BTreeMap<&'static str, u32> = BTreeMap::new();
    let facts = record.facts();
    for (_, fact) in &facts {
        if let Fact::Ended { how, .. } = fact {
            *ends.entry(how).or_default() += 1;
        }
    }
    for (how, count) in ends {
        let _ = writeln!(text, "requests {how}: {count}");
    }
    for (at, fact) in &facts {
        let _ = match fact {
            Fact::Acknowledged(what) => writeln!(text, "{at:9.3} acknowledged {what}"),
            Fact::Done(what) => writeln!(text, "{at:9.3} done {what}"),
            Fact::Sent { request, flow, instance } => {
                let flow = crate::record::show(flow);
                writeln!(text, "{at:9.3} sent {request} {flow} through {instance}")
            }
            Fact::Opened { flow, server } => {
                writeln!(text, "{at:9.3} opened {} at {server}", crate::record::show(flow))
            }
            Fact::Open { flow, server } => {
                writeln!(
                    text,
                    "{at:9.3} handshake of {} ended at {server}",
                    crate::record::show(flow)
                )
            }
            Fact::Reset { flow, server } => {
                writeln!(
                    text,
                    "{at:9.3} reset {} by {server}, which does not hold it",
                    crate::record::show(flow)
                )
            }
            Fact::Ran { request, server, service } => {
                writeln!(text, "{at:9.3} ran {request} at {server} of {service}")
            }
            Fact::Shed { request, server } => {
                writeln!(text, "{at:9.3} turned away {request} at {server}")
            }
            Fact::Ended { request, how } => writeln!(text, "{at:9.3} ended {request} {how}"),
            Fact::Wrong(what) => writeln!(text, "{at:9.3} wrong {what}"),
        };
    }
    if std::fs::write(Path::new(folder).join("record.txt"), text).is_err() {
        println!("cannot write record.txt");
        end_started();
        std::process::exit(2);
    }
}

/// Returns the zone of an instance or a client.
fn zone_of(address: Ipv4Addr) -> usize {
    let third = usize::from(address.octets()[2]);
    if third >= 20 { third - 20 } else { third.saturating_sub(1) }
}

fn unix_nanos() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |now| now.as_nanos() as u64)
}

/// Returns a loopback block and ports that nobody uses.
fn free_block(random: &mut Random) -> (u8, u16) {
    for _ in 0..100 {
        let block = 20 + (random.next() % 200) as u8;
        let port = 21_000 + (random.next() % 900) as u16 * 10;
        let is_free = |third: u8, fourth: u8| {
            let address = Ipv4Addr::new(127, block, third, fourth);
            UdpSocket::bind((address, port)).is_ok()
                && (1..6).all(|more| TcpListener::bind((address, port + more)).is_ok())
        };
        let is_block_free = (0..8).all(|third| is_free(1 + third, 1)) && is_free(9, 1);
        if is_block_free && is_free(10, 1) && is_free(20, 1) {
            return (block, port);
        }
    }
    println!("could not run: no free addresses");
    std::process::exit(2);
}
