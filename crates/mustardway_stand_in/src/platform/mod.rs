//! Platform that publishes configuration files and the instance list.
//!
//! `GET /configuration?after=N&wait=MILLIS` is a long poll: it answers at once
//! when the revision is above `after`, and otherwise waits for a later one.
//! `GET /instances` lists the instances and `GET /calls` returns the number of
//! reads. At the control address, `POST /switch` injects [`fault::Faults`]; it
//! serves failure tests only.
//!
//! Modules:
//! - [`folder`]: publishes a folder of configuration files and follows its changes.
//! - [`message`]: queries and JSON answers.
//! - [`state`]: published configuration, instance list and injected faults.
//! - [`fault`]: faults that failure tests inject.

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
    /// Starts a platform on `address` that publishes nothing yet.
    ///
    /// # Errors
    ///
    /// Returns an error when `address` cannot be bound.
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

    /// Opens a control address; dropping the returned switch closes it.
    ///
    /// # Errors
    ///
    /// Returns an error when `address` cannot be bound.
    pub async fn open_control(&self, address: SocketAddr) -> io::Result<listener::Switch> {
        let (incoming, switch) = listener::listen(address).await?;
        let router = serve::control(Arc::clone(&self.state), Arc::clone(&self.listener));
        tokio::spawn(async move {
            let _ = volo_http::server::Server::new(router).run(incoming).await;
        });
        Ok(switch)
    }

    /// Returns the address that the platform listens on.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Returns the published state.
    pub fn state(&self) -> &Arc<State> {
        &self.state
    }

    /// Sets the injected faults; the default removes all faults.
    pub fn set_faults(&self, faults: fault::Faults) {
        self.listener.set(!faults.down);
        self.state.set_faults(faults);
    }
}
