//! A platform in a few lines: one socket that answers every connection alike.
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

/// What is answered to every request.
#[derive(Debug, Clone)]
pub enum Reply {
    /// These bytes after this wait.
    Bytes(Vec<u8>, Duration),
    /// Nothing, ever.
    Nothing,
}

/// A platform of a test.
pub struct Fake {
    pub address: SocketAddr,
    pub requests: Arc<AtomicU64>,
    pub lines: Arc<Mutex<Vec<String>>>,
}

impl Fake {
    pub async fn start(reply: Reply) -> Fake {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::new(AtomicU64::default());
        let lines = Arc::new(Mutex::new(Vec::new()));
        let fake = Fake { address, requests: Arc::clone(&requests), lines: Arc::clone(&lines) };
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (reply, requests, lines) = (reply.clone(), requests.clone(), lines.clone());
                tokio::spawn(serve(stream, reply, requests, lines));
            }
        });
        fake
    }

    /// A platform that answers with `status` and `body` at once.
    pub async fn answering(status: &str, body: &[u8]) -> Fake {
        Fake::start(Reply::Bytes(response(status, body), Duration::ZERO)).await
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
        Reply::Nothing => std::future::pending().await,
    }
}

/// An HTTP response that closes its connection.
pub fn response(status: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head =
        format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// An address where nobody listens.
pub async fn closed() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap()
}

/// A client that is not held up by its throttle.
pub fn client(addresses: Vec<SocketAddr>) -> Client {
    let mut settings = Settings::new(addresses, 16);
    settings.rate = rate::PerSecond(10_000);
    settings.burst = 1_000;
    Client::new(settings).unwrap()
}

/// A client with a time limit short enough to see its end.
pub fn impatient(addresses: Vec<SocketAddr>) -> Client {
    let mut settings = Settings::new(addresses, 16);
    settings.timeout = time::Span::millis(200);
    Client::new(settings).unwrap()
}
