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
const ATTEMPTS_MAX: usize = 4;

/// What the fabric does to packets.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Impairment {
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
    Down,
    /// They vanish.
    Blackholed,
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
    impairment: Impairment,
}

#[derive(Clone)]
struct Instance {
    address: SocketAddr,
    client: FrontClient,
    link: Link,
}

/// Where one packet goes and how.
struct Delivery {
    instance: Instance,
    delay: Option<Duration>,
    is_lost: bool,
    is_duplicated: bool,
}

impl Fabric {
    /// A fabric before `instances`.
    pub fn new(seed: u64, instances: &[SocketAddr]) -> Fabric {
        let random = Pcg64::seed_from_u64(seed);
        let instances = instances.iter().copied().map(Instance::new).collect();
        Fabric { inner: Mutex::new(Inner { instances, random, impairment: Impairment::default() }) }
    }

    /// Sets what it does to packets.
    pub fn set_impairment(&self, impairment: Impairment) {
        self.inner.lock().impairment = impairment;
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
        match tokio::time::timeout(left, self.deliver(packet, left)).await {
            Ok(result) => result,
            Err(_) => Err(Error::Timeout),
        }
    }

    async fn deliver(&self, packet: &Packet, left: Duration) -> Result<Reply, Error> {
        let mut tried = Vec::new();
        for _ in 0..ATTEMPTS_MAX {
            let Some(delivery) = self.pick_delivery(&tried) else { return Err(Error::Refused) };
            tried.push(delivery.instance.address);
            if let Some(delay) = delivery.delay {
                tokio::time::sleep(delay).await;
            }
            if delivery.is_lost || delivery.instance.link == Link::Blackholed {
                std::future::pending::<()>().await;
            }
            if delivery.is_duplicated {
                self.send_duplicate(packet.clone(), left);
            }
            match delivery.instance.call(packet.clone(), left).await {
                Err(Error::Refused) => {}
                result => return result,
            }
        }
        Err(Error::Refused)
    }

    /// Sends `packet` a second time; its reply is dropped.
    fn send_duplicate(&self, packet: Packet, left: Duration) {
        let Some(delivery) = self.pick_delivery(&[]) else { return };
        tokio::spawn(async move {
            let call = delivery.instance.call(packet, left);
            let _ = tokio::time::timeout(left, call).await;
        });
    }

    /// Draws an instance that was not tried.
    fn pick_delivery(&self, tried: &[SocketAddr]) -> Option<Delivery> {
        let mut inner = self.inner.lock();
        let Inner { instances, random, impairment } = &mut *inner;
        let is_eligible = |instance: &&Instance| {
            instance.link != Link::Down && !tried.contains(&instance.address)
        };
        let count = instances.iter().filter(is_eligible).count();
        if count == 0 {
            return None;
        }
        let index = random.random_range(0..count);
        let instance = instances.iter().filter(is_eligible).nth(index)?.clone();
        let is_delayed = random.random::<f64>() < impairment.delayed;
        let delay = is_delayed.then(|| impairment.delay_max.mul_f64(random.random()));
        let is_lost = random.random::<f64>() < impairment.lost;
        let is_duplicated = random.random::<f64>() < impairment.duplicated;
        Some(Delivery { instance, delay, is_lost, is_duplicated })
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
            Err(status) => Err(error_of_status(&status)),
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
fn error_of_status(status: &Status) -> Error {
    match status.code() {
        Code::DeadlineExceeded | Code::Cancelled => Error::Timeout,
        Code::Unknown if status.message().contains("(Connect)") => Error::Refused,
        Code::Unknown => Error::Broken,
        _ => Error::Failed,
    }
}
