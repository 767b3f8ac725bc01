//! Starts and stops the HTTP server of the API.
//!
//! The HTTP library shuts a server down at the first signal that would end the process.
//! Queries must be answered throughout a planned stop, so after each such signal another
//! server is started on the same socket, until [`Server::stop`].

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use displaydoc::Display;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio_util::sync::CancellationToken;

use crate::guard::Guard;
use crate::handler::Handler;
use crate::listener::Listener;
use crate::routes;
use crate::token::Token;

/// Settings of the API.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Address to listen on. Port 0 takes any free port.
    pub listen: SocketAddr,
    /// Token that a request must bear. `None` is allowed on loopback only.
    pub token: Option<Token>,
}

/// Reasons why the API did not start.
#[derive(Debug, Display)]
pub enum Error {
    /// {0} is not a loopback address: the administration API needs a token to listen there
    TokenNeeded(SocketAddr),
    /// the administration API cannot listen on {address}: {error}
    Listen {
        /// Address that was to be listened on.
        address: SocketAddr,
        /// Error of the system call.
        error: io::Error,
    },
    /// signal handlers cannot be installed: {0}
    Signals(io::Error),
}

impl std::error::Error for Error {}

/// A running server of the API.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stopped: CancellationToken,
}

impl Server {
    /// Starts the server.
    ///
    /// # Errors
    /// Fails if there is no token and the address is not loopback, if the address cannot
    /// be listened on, or if signal handlers cannot be installed.
    pub async fn start(settings: Settings, handler: Arc<dyn Handler>) -> Result<Self, Error> {
        let listen = settings.listen;
        if settings.token.is_none() && !listen.ip().is_loopback() {
            return Err(Error::TokenNeeded(listen));
        }
        let failed = |error| Error::Listen { address: listen, error };
        let socket = TcpListener::bind(listen).await.map_err(failed)?;
        let address = socket.local_addr().map_err(failed)?;
        let stopped = CancellationToken::new();
        let listener = Listener::new(socket, stopped.clone());
        let signals = Signals::new().map_err(Error::Signals)?;
        tokio::spawn(supervise(listener, settings.token, handler, signals, stopped.clone()));
        Ok(Server { address, stopped })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections. Responses in progress are completed.
    pub fn stop(&self) {
        self.stopped.cancel();
    }
}

/// The signals at which the HTTP library shuts a server down.
struct Signals {
    interrupt: Signal,
    hangup: Signal,
    terminate: Signal,
}

impl Signals {
    fn new() -> io::Result<Self> {
        Ok(Signals {
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
            terminate: signal(SignalKind::terminate())?,
        })
    }

    /// Waits for the next of the signals.
    async fn next(&mut self) {
        tokio::select! {
            _ = self.interrupt.recv() => {}
            _ = self.hangup.recv() => {}
            _ = self.terminate.recv() => {}
        }
    }
}

/// Serves on the socket until `stopped` is cancelled. After each signal it starts another
/// server, since the HTTP library shuts the previous one down.
async fn supervise(
    listener: Listener,
    token: Option<Token>,
    handler: Arc<dyn Handler>,
    mut signals: Signals,
    stopped: CancellationToken,
) {
    while !stopped.is_cancelled() {
        let guard = Guard { token: token.clone(), router: routes::router(&handler) };
        let server = volo_http::server::Server::new(guard).http1_only();
        tokio::spawn(server.run(listener.clone()));
        tokio::select! {
            () = signals.next() => {}
            () = stopped.cancelled() => {}
        }
    }
}
