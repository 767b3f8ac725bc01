//! A listening socket that consecutive HTTP servers share.

use std::future::pending;
use std::io;
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use volo::net::MakeIncoming;
use volo::net::conn::Conn;
use volo::net::incoming::Incoming;

/// Accepts connections until `stopped` is cancelled. The socket closes when every
/// clone has dropped it.
#[derive(Debug, Clone)]
pub(crate) struct Listener {
    socket: Option<Arc<TcpListener>>,
    stopped: CancellationToken,
}

impl Listener {
    pub(crate) fn new(socket: TcpListener, stopped: CancellationToken) -> Self {
        Listener { socket: Some(Arc::new(socket)), stopped }
    }
}

impl MakeIncoming for Listener {
    type Incoming = Listener;

    async fn make_incoming(self) -> io::Result<Listener> {
        Ok(self)
    }
}

impl Incoming for Listener {
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        let Some(socket) = &self.socket else {
            return pending().await;
        };
        tokio::select! {
            accepted = socket.accept() => Ok(Some(Conn::from(accepted?.0))),
            () = self.stopped.cancelled() => {
                self.socket = None;
                pending().await
            }
        }
    }
}
