//! TCP listener that can be closed and reopened while its server runs.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::watch;
use volo::net::conn::Conn;
use volo::net::{MakeIncoming, incoming};

/// Delay before a failed bind or accept is retried.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections while its [`Switch`] is open.
#[derive(Debug)]
pub struct Listener {
    address: SocketAddr,
    socket: Option<TcpListener>,
    open: watch::Receiver<bool>,
}

/// Opens and closes a [`Listener`]; dropping the switch closes the listener permanently.
#[derive(Debug)]
pub struct Switch {
    address: SocketAddr,
    open: watch::Sender<bool>,
}

/// Listens on `address`; port 0 selects a free port.
///
/// # Errors
///
/// Returns an error when `address` cannot be bound.
pub async fn listen(address: SocketAddr) -> io::Result<(Listener, Switch)> {
    let socket = TcpListener::bind(address).await?;
    let address = socket.local_addr()?;
    let (sender, receiver) = watch::channel(true);
    let listener = Listener { address, socket: Some(socket), open: receiver };
    Ok((listener, Switch { address, open: sender }))
}

impl Switch {
    /// Returns the address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Opens or closes the listener.
    pub fn set(&self, open: bool) {
        self.open.send_replace(open);
    }

    /// Returns whether the listener is open.
    pub fn is_open(&self) -> bool {
        *self.open.borrow()
    }
}

impl MakeIncoming for Listener {
    type Incoming = Listener;

    async fn make_incoming(self) -> io::Result<Listener> {
        Ok(self)
    }
}

impl incoming::Incoming for Listener {
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        loop {
            if !*self.open.borrow_and_update() {
                self.socket = None;
                self.wait_for_switch().await;
                continue;
            }
            let Some(socket) = &self.socket else {
                self.rebind().await;
                continue;
            };
            tokio::select! {
                accepted = socket.accept() => match accepted {
                    Ok((stream, _)) => return Ok(Some(Conn::from(stream))),
                    Err(_) => tokio::time::sleep(RETRY_DELAY).await,
                },
                changed = self.open.changed() => {
                    if changed.is_err() {
                        self.socket = None;
                        std::future::pending::<()>().await;
                    }
                }
            }
        }
    }
}

impl Listener {
    /// Waits until the switch is set; waits forever when the switch was dropped.
    async fn wait_for_switch(&mut self) {
        if self.open.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Binds the address again, or waits [`RETRY_DELAY`] when the bind fails.
    async fn rebind(&mut self) {
        match TcpListener::bind(self.address).await {
            Ok(socket) => self.socket = Some(socket),
            Err(_) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}
