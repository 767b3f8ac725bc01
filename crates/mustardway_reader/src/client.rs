//! A client that reads the platform over HTTP.

use std::net::SocketAddr;
use std::panic;
use std::pin::pin;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use mustardway_types::{rate, revision, size, time};
use parking_lot::Mutex;
use tokio::time::timeout;
use volo_http::error::ClientError;
use volo_http::{http, hyper, response};

use crate::answer::{self, Answer, Instance};
use crate::counters::{Counters, Outcome};
use crate::failure::Failure;
use crate::platform::{Platform, Reply};
use crate::throttle::Throttle;

/// Default of [`Settings::answer_max`]. A configuration of 1 MiB fits into an answer of 1.25 MiB.
pub const ANSWER_MAX: size::Bytes = size::Bytes(5 << 18);
/// Default of [`Settings::timeout`].
pub const TIMEOUT_DEFAULT: time::Span = time::Span::seconds(1);
/// Default of [`Settings::rate`].
pub const RATE_DEFAULT: rate::PerSecond = rate::PerSecond(4);
/// Default of [`Settings::burst`].
pub const BURST_DEFAULT: u64 = 8;

/// Bandwidth of the narrowest link of an instance (10 Mbit/s).
const LINK_BYTES_PER_S: u64 = 1_250_000;

/// The addresses of the platform, and the limits on calls to it.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Addresses of the platform. Each call tries them in order, starting with the address that
    /// answered last.
    pub addresses: Vec<SocketAddr>,
    /// Longest time until the headers of an answer, in addition to the time for which the platform
    /// may hold the answer back, and longest time without a received byte of its body.
    pub timeout: time::Span,
    /// Greatest size of an answer.
    pub answer_max: size::Bytes,
    /// Greatest long-run rate of calls to all addresses together, including calls that fail.
    pub rate: rate::PerSecond,
    /// Greatest number of calls that may start at one time after a period without calls.
    pub burst: u64,
    /// Seed of the backoff jitter; it should differ between processes.
    pub seed: u64,
}

impl Settings {
    /// Returns settings with the default limits.
    pub fn new(addresses: Vec<SocketAddr>, seed: u64) -> Self {
        Settings {
            addresses,
            timeout: TIMEOUT_DEFAULT,
            answer_max: ANSWER_MAX,
            rate: RATE_DEFAULT,
            burst: BURST_DEFAULT,
            seed,
        }
    }

    /// Returns the time limit for the whole body of an answer: the largest one takes half of it on
    /// the narrowest link, which carries other traffic too.
    fn body_timeout(&self) -> Duration {
        Duration::from_millis(2 * 1_000 * self.answer_max.0 / LINK_BYTES_PER_S)
    }
}

/// Why a client could not be created.
#[derive(Debug, Display)]
pub enum Error {
    /// no platform address is given
    NoAddress,
    /// the HTTP client does not start: it needs a name server in resolv.conf, though it never queries one
    Start,
}

impl std::error::Error for Error {}

/// Reads the platform over HTTP.
pub struct Client {
    settings: Settings,
    http: volo_http::client::Client,
    /// Index of the address that answered last.
    preferred: AtomicUsize,
    throttle: Mutex<Throttle>,
    counters: Counters,
    start: Instant,
}

impl Client {
    /// Returns a client without calling the platform.
    ///
    /// # Errors
    /// `settings` has no address, or the HTTP client does not start.
    pub fn new(settings: Settings) -> Result<Self, Error> {
        if settings.addresses.is_empty() {
            return Err(Error::NoAddress);
        }
        let connect = settings.timeout.into();
        // The builder reads resolv.conf and panics if that names no server.
        let http = panic::catch_unwind(|| {
            let mut builder = volo_http::client::Client::builder();
            builder.set_connect_timeout(connect);
            builder.build()
        });
        let http = http.map_err(|_| Error::Start)?.map_err(|_| Error::Start)?;
        let throttle = Throttle::new(settings.rate, settings.burst, settings.seed);
        Ok(Client {
            settings,
            http,
            preferred: AtomicUsize::default(),
            throttle: Mutex::new(throttle),
            counters: Counters::default(),
            start: Instant::now(),
        })
    }

    /// Returns the number of calls by outcome.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    fn now(&self) -> time::Instant {
        time::Instant::default() + self.start.elapsed().into()
    }

    /// Calls one address after the other until `parse` accepts an answer, which each may hold back
    /// for `wait`. If none does, returns the last failure.
    async fn call<T>(
        &self,
        path: &str,
        wait: time::Span,
        parse: fn(&[u8]) -> Result<T, Failure>,
    ) -> Result<T, Failure> {
        let addresses = &self.settings.addresses;
        let first = self.preferred.load(Relaxed);
        let mut failure = Failure::Unreachable;
        for offset in 0..addresses.len() {
            let position = (first + offset) % addresses.len();
            let pause = self.throttle.lock().reserve(self.now());
            tokio::time::sleep(pause.into()).await;
            let answer = self.get(addresses[position], path, wait).await;
            match answer.and_then(|bytes| parse(&bytes)) {
                Ok(answer) => {
                    self.counters.add(Outcome::Answered);
                    self.preferred.store(position, Relaxed);
                    self.throttle.lock().succeeded();
                    return Ok(answer);
                }
                Err(error) => {
                    self.counters.add(error.into());
                    failure = error;
                }
            }
        }
        self.throttle.lock().failed(self.now());
        Err(failure)
    }

    async fn get(
        &self,
        address: SocketAddr,
        path: &str,
        wait: time::Span,
    ) -> Result<Bytes, Failure> {
        let request = self.http.get(path.to_owned()).address(address);
        let headers = timeout((self.settings.timeout + wait).into(), request.send()).await;
        let response: response::Response =
            headers.map_err(|_| Failure::Timeout)?.map_err(|error| classify(&error))?;
        if response.status() != http::StatusCode::OK {
            return Err(Failure::Status(response.status().as_u16()));
        }
        let body = timeout(self.settings.body_timeout(), self.receive_body(response)).await;
        body.map_err(|_| Failure::Timeout)?
    }

    async fn receive_body(&self, response: response::Response) -> Result<Bytes, Failure> {
        let limit = self.settings.answer_max.0 as usize;
        let mut body = pin!(Limited::new(response.into_body(), limit));
        let mut received = BytesMut::new();
        loop {
            let frame = timeout(self.settings.timeout.into(), body.frame()).await;
            let Some(frame) = frame.map_err(|_| Failure::Timeout)? else {
                return Ok(received.freeze());
            };
            let frame = frame.map_err(|error| {
                if error.is::<LengthLimitError>() { Failure::TooLarge } else { Failure::Malformed }
            })?;
            // Trailers are of no use here.
            let Ok(part) = frame.into_data() else { continue };
            received.extend_from_slice(&part);
        }
    }
}

/// Returns the failure behind an error of the HTTP client: bytes that are not HTTP are
/// [`Failure::Malformed`], everything else is [`Failure::Unreachable`].
fn classify(error: &ClientError) -> Failure {
    let mut cause = std::error::Error::source(error);
    while let Some(error) = cause {
        if error.downcast_ref::<hyper::Error>().is_some_and(hyper::Error::is_parse) {
            return Failure::Malformed;
        }
        cause = error.source();
    }
    Failure::Unreachable
}

impl Platform for Client {
    fn configuration(&self, after: revision::Number, wait: time::Span) -> Reply<'_, Answer> {
        let path = format!("/configuration?after={after}&wait={}", wait.as_millis());
        Box::pin(async move { self.call(&path, wait, answer::configuration).await })
    }

    fn instances(&self) -> Reply<'_, Vec<Instance>> {
        Box::pin(self.call("/instances", time::Span::ZERO, answer::instances))
    }
}
