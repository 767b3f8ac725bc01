//! The API itself.
//!
//! The HTTP library ends a server at the first signal that would end the process.
//! Queries are to be answered throughout a planned stop, so another run takes over
//! the socket at each such signal, until [`Server::stop`].

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

/// Where to listen, and who may ask.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Where to listen; port 0 takes any free one.
    pub listen: SocketAddr,
    /// What a request must bear; none only on loopback.
    pub token: Option<Token>,
}

/// Why the API did not start.
#[derive(Debug, Display)]
pub enum Error {
    /// {0} is not loopback: the administration API there needs a token
    TokenNeeded(SocketAddr),
    /// the administration API cannot listen on {address}: {error}
    Listen {
        /// Where.
        address: SocketAddr,
        /// Why not.
        error: io::Error,
    },
    /// signals cannot be watched: {0}
    Signals(io::Error),
}

impl std::error::Error for Error {}

/// An API that is being served.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stopped: CancellationToken,
}

impl Server {
    /// Starts to serve.
    ///
    /// # Errors
    /// Without a token beyond loopback, or where the address is not to be had.
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

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts no more connections. Answers under way are finished.
    pub fn stop(&self) {
        self.stopped.cancel();
    }
}

/// The signals at which the HTTP library ends a run.
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

    async fn any(&mut self) {
        tokio::select! {
            _ = self.interrupt.recv() => {}
            _ = self.hangup.recv() => {}
            _ = self.terminate.recv() => {}
        }
    }
}

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
            () = signals.any() => {}
            () = stopped.cancelled() => {}
        }
    }
}
