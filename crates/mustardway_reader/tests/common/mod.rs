//! A fake platform: one socket that sends the same answer on every connection.
#![allow(dead_code, clippy::unwrap_used)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;

use mustardway_reader::client::{Client, Settings};
use mustardway_types::{rate, time};
use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// The answer to every request.
#[derive(Debug, Clone)]
pub enum Reply {
    /// Sends these bytes after this wait.
    Bytes(Vec<u8>, Duration),
    /// Sends the parts with this wait after each.
    Parts(Vec<Vec<u8>>, Duration),
    /// Never answers.
    Nothing,
}

/// A fake platform.
pub struct Server {
    pub address: SocketAddr,
    pub requests: Arc<AtomicU64>,
    pub lines: Arc<Mutex<Vec<String>>>,
}

impl Server {
    pub async fn start(reply: Reply) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::new(AtomicU64::default());
        let lines = Arc::new(Mutex::new(Vec::new()));
        let server = Server { address, requests: Arc::clone(&requests), lines: Arc::clone(&lines) };
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (reply, requests, lines) = (reply.clone(), requests.clone(), lines.clone());
                tokio::spawn(serve(stream, reply, requests, lines));
            }
        });
        server
    }

    /// Starts a platform that answers with `status` and `body` at once.
    pub async fn answering(status: &str, body: &[u8]) -> Server {
        Server::start(Reply::Bytes(response(status, body), Duration::ZERO)).await
    }

    pub fn requests(&self) -> u64 {
        self.requests.load(Relaxed)
    }
}

async fn serve(
    mut stream: TcpStream,
    reply: Reply,
    requests: Arc<AtomicU64>,
    lines: Arc<Mutex<Vec<String>>>,
) {
    let mut text = Vec::new();
    while !text.ends_with(b"\r\n\r\n") {
        let Ok(byte) = stream.read_u8().await else {
            return;
        };
        text.push(byte);
    }
    requests.fetch_add(1, Relaxed);
    let text = String::from_utf8_lossy(&text);
    lines.lock().push(text.lines().next().unwrap_or_default().to_owned());
    match reply {
        Reply::Bytes(bytes, wait) => {
            tokio::time::sleep(wait).await;
            let _ = stream.write_all(&bytes).await;
        }
        Reply::Parts(parts, wait) => {
            let mut due = tokio::time::Instant::now();
            for part in parts {
                let _ = stream.write_all(&part).await;
                due += wait;
                tokio::time::sleep_until(due).await;
            }
        }
        Reply::Nothing => std::future::pending().await,
    }
}

/// Returns an HTTP response that closes its connection.
pub fn response(status: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head =
        format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Returns an address on which nothing listens.
pub async fn closed_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap()
}

/// Returns a client whose rate limit does not delay the test.
pub fn client(addresses: Vec<SocketAddr>) -> Client {
    let mut settings = Settings::new(addresses, 16);
    settings.rate = rate::PerSecond(10_000);
    settings.burst = 1_000;
    Client::new(settings).unwrap()
}

/// Returns a client with a timeout that is short enough to expire within a test.
pub fn client_with_short_timeout(addresses: Vec<SocketAddr>) -> Client {
    let mut settings = Settings::new(addresses, 16);
    settings.timeout = time::Span::millis(200);
    Client::new(settings).unwrap()
}
