//! The fabric: hands every packet to any instance.
//!
//! Which instance gets a packet is drawn at random from a fixed seed. A packet
//! that an instance's machine refuses at once (no connection) goes to another,
//! since no byte of it was delivered. Packets can be duplicated and held back,
//! and instances cut off.

use std::net::SocketAddr;
use std::time::Duration;

use displaydoc::Display;
use mustardway_wire::packet::{FrontClient, FrontClientBuilder, Packet, Reply};
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use volo::net::Address;
use volo_grpc::{Code, Request, Status};

use crate::deadline;

/// Longest time that a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Instances that are tried with one packet, at most.
const TRIES_MAX: usize = 4;

/// What the fabric does to packets.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Weather {
    /// Share of packets that arrive twice, 0 to 1.
    pub duplicated: f64,
    /// Share of packets that are held back, 0 to 1.
    pub delayed: f64,
    /// Longest time that a packet is held back.
    pub delay_max: Duration,
    /// Share of packets that are lost, 0 to 1.
    pub lost: f64,
}

/// Whether packets reach an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    /// They do.
    Up,
    /// The fabric knows that they do not, and sends none.
    Out,
    /// They vanish.
    Lost,
}

/// Why a packet brought no reply.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Error {
    /// no instance accepts connections
    Refused,
    /// no reply in time
    Timeout,
    /// the connection broke
    Broken,
    /// the instance failed the call
    Failed,
}

impl std::error::Error for Error {}

/// Sprays packets over instances.
pub struct Fabric {
    inner: Mutex<Inner>,
}

struct Inner {
    instances: Vec<Instance>,
    random: Pcg64,
    weather: Weather,
}

#[derive(Clone)]
struct Instance {
    address: SocketAddr,
    client: FrontClient,
    link: Link,
}

/// Where one packet goes and how.
struct Passage {
    instance: Instance,
    delay: Option<Duration>,
    is_lost: bool,
    is_doubled: bool,
}

impl Fabric {
    /// A fabric before `instances`.
    pub fn new(seed: u64, instances: &[SocketAddr]) -> Fabric {
        let random = Pcg64::seed_from_u64(seed);
        let instances = instances.iter().copied().map(Instance::new).collect();
        Fabric { inner: Mutex::new(Inner { instances, random, weather: Weather::default() }) }
    }

    /// Sets what it does to packets.
    pub fn set_weather(&self, weather: Weather) {
        self.inner.lock().weather = weather;
    }

    /// Sets whether packets reach `address`.
    pub fn set_link(&self, address: SocketAddr, link: Link) {
        for instance in &mut self.inner.lock().instances {
            if instance.address == address {
                instance.link = link;
            }
        }
    }

    /// Adds an instance, or takes it anew.
    pub fn add(&self, address: SocketAddr) {
        let mut inner = self.inner.lock();
        inner.instances.retain(|instance| instance.address != address);
        inner.instances.push(Instance::new(address));
    }

    /// Hands `packet` to an instance and waits for its reply.
    ///
    /// # Errors
    ///
    /// Fails when no reply comes within `left`.
    pub async fn send(&self, packet: &Packet, left: Duration) -> Result<Reply, Error> {
        match tokio::time::timeout(left, self.pass(packet, left)).await {
            Ok(result) => result,
            Err(_) => Err(Error::Timeout),
        }
    }

    async fn pass(&self, packet: &Packet, left: Duration) -> Result<Reply, Error> {
        let mut tried = Vec::new();
        for _ in 0..TRIES_MAX {
            let Some(passage) = self.draw(&tried) else { return Err(Error::Refused) };
            tried.push(passage.instance.address);
            if let Some(delay) = passage.delay {
                tokio::time::sleep(delay).await;
            }
            if passage.is_lost || passage.instance.link == Link::Lost {
                std::future::pending::<()>().await;
            }
            if passage.is_doubled {
                self.double(packet.clone(), left);
            }
            match passage.instance.call(packet.clone(), left).await {
                Err(Error::Refused) => {}
                result => return result,
            }
        }
        Err(Error::Refused)
    }

    /// Sends `packet` a second time; its reply is dropped.
    fn double(&self, packet: Packet, left: Duration) {
        let Some(passage) = self.draw(&[]) else { return };
        tokio::spawn(async move {
            let call = passage.instance.call(packet, left);
            let _ = tokio::time::timeout(left, call).await;
        });
    }

    /// Draws an instance that was not tried.
    fn draw(&self, tried: &[SocketAddr]) -> Option<Passage> {
        let mut inner = self.inner.lock();
        let Inner { instances, random, weather } = &mut *inner;
        let fits =
            |instance: &&Instance| instance.link != Link::Out && !tried.contains(&instance.address);
        let count = instances.iter().filter(fits).count();
        if count == 0 {
            return None;
        }
        let index = random.random_range(0..count);
        let instance = instances.iter().filter(fits).nth(index)?.clone();
        let is_delayed = random.random::<f64>() < weather.delayed;
        let delay = is_delayed.then(|| weather.delay_max.mul_f64(random.random()));
        let is_lost = random.random::<f64>() < weather.lost;
        let is_doubled = random.random::<f64>() < weather.duplicated;
        Some(Passage { instance, delay, is_lost, is_doubled })
    }
}

impl Instance {
    fn new(address: SocketAddr) -> Instance {
        Instance { address, client: client(address), link: Link::Up }
    }

    async fn call(&self, packet: Packet, left: Duration) -> Result<Reply, Error> {
        let mut request = Request::new(packet);
        deadline::write(request.metadata_mut(), left);
        match self.client.send(request).await {
            Ok(response) => Ok(response.into_inner()),
            Err(status) => Err(error(&status)),
        }
    }
}

/// A client for the packet service at `address`.
pub fn client(address: SocketAddr) -> FrontClient {
    FrontClientBuilder::new("mustardway")
        .connect_timeout(CONNECT_TIMEOUT)
        .address(Address::from(address))
        .build()
}

/// What a failed call says about its packet.
fn error(status: &Status) -> Error {
    match status.code() {
        Code::DeadlineExceeded | Code::Cancelled => Error::Timeout,
        Code::Unknown if status.message().contains("(Connect)") => Error::Refused,
        Code::Unknown => Error::Broken,
        _ => Error::Failed,
    }
}
