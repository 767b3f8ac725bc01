//! Network fabric that sends each packet to an arbitrary instance.
//!
//! The instance is drawn at random from a fixed seed. When the connection to
//! an instance is refused, the packet goes to another instance, since no byte
//! of it was delivered. Packets can be duplicated, delayed and lost, and
//! instances can be cut off.

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

/// Timeout of opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of instances that one packet is sent to.
const ATTEMPTS_MAX: usize = 4;

/// Network impairment that the fabric applies to packets.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Impairment {
    /// Probability that a packet is duplicated, 0 to 1.
    pub duplicated: f64,
    /// Probability that a packet is delayed, 0 to 1.
    pub delayed: f64,
    /// Upper bound of the delay.
    pub delay_max: Duration,
    /// Probability that a packet is lost, 0 to 1.
    pub lost: f64,
}

/// State of the link to an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    /// Packets reach the instance.
    Up,
    /// The fabric knows that the link is down and sends no packets to the instance.
    Down,
    /// Packets to the instance are dropped silently.
    Blackholed,
}

/// Reason why a packet got no reply.
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

/// Distributes packets over instances at random.
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

/// Destination and impairment drawn for one packet.
struct Delivery {
    instance: Instance,
    delay: Option<Duration>,
    is_lost: bool,
    is_duplicated: bool,
}

impl Fabric {
    /// Creates a fabric in front of `instances`.
    pub fn new(seed: u64, instances: &[SocketAddr]) -> Fabric {
        let random = Pcg64::seed_from_u64(seed);
        let instances = instances.iter().copied().map(Instance::new).collect();
        Fabric { inner: Mutex::new(Inner { instances, random, impairment: Impairment::default() }) }
    }

    /// Sets the impairment of packets.
    pub fn set_impairment(&self, impairment: Impairment) {
        self.inner.lock().impairment = impairment;
    }

    /// Sets the link to the instance at `address`.
    pub fn set_link(&self, address: SocketAddr, link: Link) {
        for instance in &mut self.inner.lock().instances {
            if instance.address == address {
                instance.link = link;
            }
        }
    }

    /// Adds an instance; an instance with the same address is replaced and its link is up again.
    pub fn add(&self, address: SocketAddr) {
        let mut inner = self.inner.lock();
        inner.instances.retain(|instance| instance.address != address);
        inner.instances.push(Instance::new(address));
    }

    /// Sends `packet` to an instance and waits for the reply.
    ///
    /// # Errors
    ///
    /// Returns an error when no reply arrives within `left`.
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

    /// Sends a duplicate of `packet` in the background and drops the reply.
    fn send_duplicate(&self, packet: Packet, left: Duration) {
        let Some(delivery) = self.pick_delivery(&[]) else { return };
        tokio::spawn(async move {
            let call = delivery.instance.call(packet, left);
            let _ = tokio::time::timeout(left, call).await;
        });
    }

    /// Draws an instance outside `tried`, and the impairment of the packet.
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

/// Creates a client for the packet service at `address`.
pub fn client(address: SocketAddr) -> FrontClient {
    FrontClientBuilder::new("mustardway")
        .connect_timeout(CONNECT_TIMEOUT)
        .address(Address::from(address))
        .build()
}

/// Maps the status of a failed call to the error of its packet.
fn error_of_status(status: &Status) -> Error {
    match status.code() {
        Code::DeadlineExceeded | Code::Cancelled => Error::Timeout,
        Code::Unknown if status.message().contains("(Connect)") => Error::Refused,
        Code::Unknown => Error::Broken,
        _ => Error::Failed,
    }
}
