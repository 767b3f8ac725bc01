//! The platform: publishes configuration files and the list of instances.
//!
//! `GET /configuration?after=N&wait=MILLIS` answers at once when the revision
//! is above `after`, else it waits; `GET /instances` lists the instances.
//! `GET /calls` counts what was read. At its control address `POST /switch`
//! makes it fail in the ways of [`fault::Faults`], for failure tests only.
//!
//! Modules:
//! - [`folder`]: publishes a folder and follows its changes.
//! - [`message`]: the JSON shapes.
//! - [`state`]: what is published.
//! - [`fault`]: ways to fail.

pub mod fault;
pub mod folder;
pub mod message;
mod serve;
pub mod state;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::listener;

pub use state::State;

/// A running platform.
#[derive(Debug)]
pub struct Server {
    state: Arc<State>,
    listener: Arc<listener::Switch>,
}

impl Server {
    /// Starts a platform on `address`, with nothing published.
    ///
    /// # Errors
    ///
    /// Returns the error of the bind.
    pub async fn start(address: SocketAddr) -> io::Result<Server> {
        let (incoming, switch) = listener::listen(address).await?;
        let state = Arc::new(State::default());
        let server = Server { state: Arc::clone(&state), listener: Arc::new(switch) };
        let router = serve::router(state);
        tokio::spawn(async move {
            let _ = volo_http::server::Server::new(router).run(incoming).await;
        });
        Ok(server)
    }

    /// Opens a control address; it closes when the switch is dropped.
    ///
    /// # Errors
    ///
    /// Returns the error of the bind.
    pub async fn open_control(&self, address: SocketAddr) -> io::Result<listener::Switch> {
        let (incoming, switch) = listener::listen(address).await?;
        let router = serve::control(Arc::clone(&self.state), Arc::clone(&self.listener));
        tokio::spawn(async move {
            let _ = volo_http::server::Server::new(router).run(incoming).await;
        });
        Ok(switch)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// What it publishes.
    pub fn state(&self) -> &Arc<State> {
        &self.state
    }

    /// Makes it fail, or work again.
    pub fn set_faults(&self, faults: fault::Faults) {
        self.listener.set(!faults.down);
        self.state.set_faults(faults);
    }
}
