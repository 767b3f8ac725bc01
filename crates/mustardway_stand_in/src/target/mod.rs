//! Targets that answer packets with bounded capacity and keep a ledger.
//!
//! A target implements the packet service that callers use at an instance and
//! the standard gRPC health service. It runs as many requests concurrently as it
//! has slots and queues the rest. A cold target has less capacity: the capacity
//! grows linearly from the cold slots to the slots over the warm-up.
//! [`behaviour::Overload`] sets the reaction to more load. A target answers only
//! packets of flows that were opened at it, since a connection lives at one end;
//! a crash loses all of its flows.
//!
//! Modules:
//! - [`behaviour`]: behaviour that operators and failure tests set.
//! - [`capacity`]: capacity during warm-up.
//! - [`core`]: admission control, load accounting and simulated crashes.
//! - [`group`]: the targets of one process and their control endpoint.
//! - [`ledger`]: packets received and requests run.

pub mod behaviour;
pub mod capacity;
pub mod core;
mod front;
pub mod group;
pub mod ledger;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use mustardway_types::address;
use mustardway_wire::health::HealthServer;
use mustardway_wire::packet::FrontServer;
use tokio::time::Instant;
use volo_grpc::server::ServiceBuilder;

use crate::listener;

/// Settings of a target.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name, sent with each reply.
    pub name: CompactString,
    /// Address that the target listens on.
    pub listen: SocketAddr,
    /// Service addresses that the target serves; empty means any.
    pub addresses: Vec<address::Address>,
    /// Maximum number of requests that run concurrently.
    pub slots: u32,
    /// Capacity when cold, in concurrent requests.
    pub cold_slots: u32,
    /// Duration of the warm-up.
    pub warm_up: Duration,
    /// Time to work on a request that demands no time of its own.
    pub service_time: Duration,
    /// Initial behaviour.
    pub behaviour: behaviour::Behaviour,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            name: "target".into(),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            addresses: Vec::new(),
            slots: 2,
            cold_slots: 1,
            warm_up: Duration::from_secs(5),
            service_time: Duration::from_millis(20),
            behaviour: behaviour::Behaviour::default(),
        }
    }
}

/// A running target; dropping it closes its listener.
#[derive(Debug)]
pub struct Server {
    core: Arc<core::Core>,
    listener: listener::Switch,
}

impl Server {
    /// Starts a cold target.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub async fn start(settings: Settings) -> io::Result<Server> {
        let (incoming, switch) = listener::listen(settings.listen).await?;
        let core = Arc::new(core::Core::new(settings));
        let front = front::Service::new(Arc::clone(&core));
        let server = volo_grpc::server::Server::new()
            .add_service(ServiceBuilder::new(FrontServer::new(front.clone())).build())
            .add_service(ServiceBuilder::new(HealthServer::new(front)).build());
        tokio::spawn(async move {
            let _ = server.run_with_shutdown(incoming, std::future::pending()).await;
        });
        Ok(Server { core, listener: switch })
    }

    /// Returns the address that the target listens on.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Returns the name, which is sent with each reply.
    pub fn name(&self) -> &CompactString {
        &self.core.settings().name
    }

    /// Returns the totals of packets and runs.
    pub fn ledger(&self) -> ledger::Summary {
        self.core.summary()
    }

    /// Returns every run in start order.
    pub fn runs(&self) -> Vec<ledger::Run> {
        self.core.runs()
    }

    /// Sets the behaviour.
    pub fn set_behaviour(&self, behaviour: behaviour::Behaviour) {
        self.listener.set(!behaviour.down);
        self.core.set_behaviour(behaviour);
    }

    /// Returns the behaviour.
    pub fn behaviour(&self) -> behaviour::Behaviour {
        self.core.behaviour()
    }

    /// Returns the start of the last warm-up.
    pub fn cold_since(&self) -> Instant {
        self.core.cold_since()
    }

    /// Restarts the warm-up: the target is cold from now on.
    pub fn reset_warm_up(&self) {
        self.core.reset_warm_up();
    }
}
