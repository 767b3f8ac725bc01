//! Targets: they answer packets, bear a bounded load and keep a ledger.
//!
//! A target implements the packet service that callers use at an instance and
//! the standard health service. It runs as many requests at once as it has
//! slots and queues the rest. Cold, it bears less: the bound grows evenly from
//! its cold slots to its slots over the warm-up; what it does with more is set
//! by [`behaviour::Overload`]. It answers packets only of flows that were opened at
//! it, as a connection lives at one end; falling over loses all of them.
//!
//! Modules:
//! - [`behaviour`]: what operators and failure tests switch.
//! - [`capacity`]: how much load it bears at a time.
//! - [`core`]: admission, running and falling over.
//! - [`group`]: targets of one process and their control endpoint.
//! - [`ledger`]: what it received and ran.

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

/// What a target is.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name, given with each reply.
    pub name: CompactString,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Service addresses that it serves; none means any.
    pub addresses: Vec<address::Address>,
    /// Requests that run at one time.
    pub slots: u32,
    /// Requests that it bears when cold.
    pub cold_slots: u32,
    /// Time from cold to warm.
    pub warm_up: Duration,
    /// Work on a request that does not wish otherwise.
    pub service_time: Duration,
    /// Behaviour at the start.
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

/// A running target; it closes when dropped.
#[derive(Debug)]
pub struct Server {
    core: Arc<core::Core>,
    listener: listener::Switch,
}

impl Server {
    /// Starts a target, cold.
    ///
    /// # Errors
    ///
    /// Returns the error of the bind.
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

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Name, given with each reply.
    pub fn name(&self) -> &CompactString {
        &self.core.settings().name
    }

    /// What it received and ran.
    pub fn ledger(&self) -> ledger::Summary {
        self.core.summary()
    }

    /// Every run, in order of its start.
    pub fn runs(&self) -> Vec<ledger::Run> {
        self.core.runs()
    }

    /// Sets its behaviour.
    pub fn set_behaviour(&self, behaviour: behaviour::Behaviour) {
        self.listener.set(!behaviour.down);
        self.core.set_behaviour(behaviour);
    }

    /// Its behaviour.
    pub fn behaviour(&self) -> behaviour::Behaviour {
        self.core.behaviour()
    }

    /// When it was last cold.
    pub fn cold_since(&self) -> Instant {
        self.core.cold_since()
    }

    /// Turns it cold without warning.
    pub fn reset_warm_up(&self) {
        self.core.reset_warm_up();
    }
}
