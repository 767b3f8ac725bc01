//! Calls to targets. Each target has one cached set of clients, kept while the target is known.

use std::collections::HashMap;
use std::error::Error as _;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use mustardway_types::packet::Header;
use mustardway_types::time::Span;
use mustardway_types::{answer, target};
use mustardway_wire::{convert, health, packet};
use parking_lot::RwLock;
use volo::net::Address;
use volo_grpc::Status;
use volo_grpc::client::CallOpt;

/// Longest wait for a connection to a target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for the response to a health check.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// The outcome of a call to a target.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// The target answered.
    Done(Bytes),
    /// The target answered that it did not run the request.
    Refused,
    /// No byte of the request was sent.
    NotSent,
    /// The connection broke, or the target failed, after the request was sent.
    Lost,
    /// The reply belongs to another flow, request or part.
    Mismatched,
    /// The deadline passed after the request was sent.
    Overrun,
}

/// The outcome of a health check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// The target answered that it serves.
    Serving,
    /// The target answered otherwise, or refused the connection.
    Failing,
    /// The target did not answer in time.
    Silent,
}

/// The clients of one target.
#[derive(Clone)]
struct Client {
    endpoint: SocketAddr,
    front: packet::FrontClient,
    health: health::HealthClient,
}

/// The clients of all targets that this instance calls.
#[derive(Default)]
pub struct Pool {
    clients: RwLock<HashMap<target::Id, Client>>,
}

impl Pool {
    /// Sends a request to a target and returns the outcome.
    ///
    /// Dropping the future cancels the call at the target.
    pub async fn send(
        &self,
        target: &target::Id,
        endpoint: SocketAddr,
        header: &Header,
        payload: Bytes,
        timeout: Span,
    ) -> Outcome {
        let client = self.client(target, endpoint);
        let packet = packet::Packet { header: Some(convert::encode_header(header)), payload };
        let timeout = Duration::from(timeout);
        let mut options = CallOpt::new();
        options.config.set_rpc_timeout(Some(timeout));
        let call = client.front.with_callopt(options).send(packet);
        match tokio::time::timeout(timeout, call).await {
            Ok(Ok(reply)) => interpret_reply(header, reply.into_inner()),
            Ok(Err(status)) => interpret_failure(&status),
            Err(_) => Outcome::Overrun,
        }
    }

    /// Runs a health check of the target.
    pub async fn check_health(&self, target: &target::Id, endpoint: SocketAddr) -> Health {
        let client = self.client(target, endpoint);
        let request = health::HealthCheckRequest::default();
        let call = client.health.check(request);
        match tokio::time::timeout(HEALTH_CHECK_TIMEOUT, call).await {
            Ok(Ok(response)) => match response.into_inner().status {
                health::health_check_response::ServingStatus::SERVING => Health::Serving,
                _ => Health::Failing,
            },
            Ok(Err(status)) if is_timeout(&status) => Health::Silent,
            Ok(Err(_)) => Health::Failing,
            Err(_) => Health::Silent,
        }
    }

    /// Drops the clients of targets for which `keep` returns false.
    pub fn retain(&self, keep: impl Fn(&target::Id) -> bool) {
        self.clients.write().retain(|target, _| keep(target));
    }

    /// Returns the clients of `target`, created anew if its endpoint has changed.
    fn client(&self, target: &target::Id, endpoint: SocketAddr) -> Client {
        let known = self.clients.read().get(target).cloned();
        if let Some(client) = known.filter(|client| client.endpoint == endpoint) {
            return client;
        }
        let client = connect(endpoint);
        self.clients.write().insert(target.clone(), client.clone());
        client
    }
}

/// Creates clients that connect to `endpoint` when they are first used.
fn connect(endpoint: SocketAddr) -> Client {
    let front = packet::FrontClientBuilder::new("front")
        .address(Address::from(endpoint))
        .connect_timeout(CONNECT_TIMEOUT)
        .build();
    let health = health::HealthClientBuilder::new("health")
        .address(Address::from(endpoint))
        .connect_timeout(CONNECT_TIMEOUT)
        .build();
    Client { endpoint, front, health }
}

/// Converts the reply of a target to the request of `header` to an outcome.
fn interpret_reply(header: &Header, reply: packet::Reply) -> Outcome {
    let is_own =
        (reply.flow, reply.request, reply.part) == (header.flow.0, header.request.0, header.part);
    if !is_own {
        return Outcome::Mismatched;
    }
    match convert::decode_kind(reply.answer) {
        answer::Kind::Done => Outcome::Done(reply.payload),
        answer::Kind::Unknown => Outcome::Lost,
        _ => Outcome::Refused,
    }
}

/// Returns whether a call failed because a connection could not be established in time.
fn is_timeout(status: &Status) -> bool {
    if status.code() == volo_grpc::Code::DeadlineExceeded {
        return true;
    }
    let mut cause = status.source();
    while let Some(error) = cause {
        let kind = error.downcast_ref::<std::io::Error>().map(std::io::Error::kind);
        if kind == Some(std::io::ErrorKind::TimedOut) {
            return true;
        }
        cause = error.source();
    }
    false
}

/// Converts the status of a failed call to an outcome. Only a failure to connect proves that
/// nothing was sent.
fn interpret_failure(status: &Status) -> Outcome {
    if status.code() == volo_grpc::Code::DeadlineExceeded {
        return Outcome::Overrun;
    }
    let mut cause = status.source();
    while let Some(error) = cause {
        let client_error = error.downcast_ref::<hyper_util::client::legacy::Error>();
        if client_error.is_some_and(hyper_util::client::legacy::Error::is_connect) {
            return Outcome::NotSent;
        }
        cause = error.source();
    }
    Outcome::Lost
}
