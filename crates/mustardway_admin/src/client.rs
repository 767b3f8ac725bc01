//! The API from the command line's side.

use std::net::SocketAddr;
use std::panic;

use compact_str::CompactString;
use displaydoc::Display;
use http_body_util::{BodyExt, Limited};
use mustardway_types::{address, flow, size, time};
use mustardway_view::model::View;
use serde::de::DeserializeOwned;
use volo_http::http::{Method, StatusCode, header};
use volo_http::response::Response;

use crate::response;
use crate::token::Token;

/// Greatest size of an answer: the targets of a whole organisation fit.
const ANSWER_MAX: size::Bytes = size::Bytes(64 << 20);
/// Longest time of one request.
const TIMEOUT: time::Span = time::Span::seconds(10);

/// Why a request gave nothing.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Error {
    /// the HTTP client does not start; it needs a name server in resolv.conf, though it never asks one
    Start,
    /// the administration API at {0} cannot be reached: is the instance running?
    Unreachable(SocketAddr),
    /// the administration API at {0} did not answer in time
    Timeout(SocketAddr),
    /// the administration API says: {error} (status {status})
    Refused {
        /// HTTP status.
        status: u16,
        /// What is wrong.
        error: CompactString,
    },
    /// the administration API answered what cannot be read: is it of the same version?
    Unreadable,
}

impl std::error::Error for Error {}

/// The API of one instance.
pub struct Client {
    address: SocketAddr,
    token: Option<Token>,
    http: volo_http::client::Client,
}

impl Client {
    /// A client; nothing is asked yet.
    ///
    /// # Errors
    /// Where the HTTP client does not start.
    pub fn new(address: SocketAddr, token: Option<Token>) -> Result<Self, Error> {
        // The builder reads resolv.conf and panics where it names no server.
        let http = panic::catch_unwind(|| volo_http::client::Client::builder().build());
        let http = http.map_err(|_| Error::Start)?.map_err(|_| Error::Start)?;
        Ok(Client { address, token, http })
    }

    /// Query: whether it takes packets.
    ///
    /// # Errors
    /// When there is no answer.
    pub async fn ready(&self) -> Result<response::Ready, Error> {
        self.query("/ready").await
    }

    /// Query: the instance at a glance.
    ///
    /// # Errors
    /// When there is no answer.
    pub async fn status(&self) -> Result<response::Status, Error> {
        self.query("/status").await
    }

    /// Query: the view in force.
    ///
    /// # Errors
    /// When there is no answer.
    pub async fn view(&self) -> Result<View, Error> {
        self.query("/view").await
    }

    /// Query: every target.
    ///
    /// # Errors
    /// When there is no answer.
    pub async fn targets(&self) -> Result<response::Targets, Error> {
        self.query("/targets").await
    }

    /// Query: flows.
    ///
    /// # Errors
    /// When there is no answer.
    pub async fn flows(&self) -> Result<response::Flows, Error> {
        self.query("/flows").await
    }

    /// Query: the other instances.
    ///
    /// # Errors
    /// When there is no answer.
    pub async fn peers(&self) -> Result<response::Peers, Error> {
        self.query("/peers").await
    }

    /// Query: the trail of changes.
    ///
    /// # Errors
    /// When there is no answer.
    pub async fn audit(&self) -> Result<response::Audit, Error> {
        self.query("/audit").await
    }

    /// Query: promises and answers, counted.
    ///
    /// # Errors
    /// When there is no answer.
    pub async fn promises(&self) -> Result<response::Promises, Error> {
        self.query("/promises").await
    }

    /// Query: why a flow goes where it goes.
    ///
    /// # Errors
    /// When there is no answer.
    pub async fn explain(
        &self,
        flow: flow::Id,
        address: address::Address,
    ) -> Result<response::Explanation, Error> {
        self.query(&format!("/explain?flow={flow}&address={address}")).await
    }

    /// Command: starts the planned stop.
    ///
    /// # Errors
    /// When there is no answer, or the instance refuses.
    pub async fn drain(&self) -> Result<response::Command, Error> {
        self.ask(Method::POST, "/drain").await
    }

    /// Command: takes back a drain.
    ///
    /// # Errors
    /// When there is no answer, or the instance refuses.
    pub async fn undrain(&self) -> Result<response::Command, Error> {
        self.ask(Method::POST, "/undrain").await
    }

    async fn query<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        self.ask(Method::GET, path).await
    }

    async fn ask<T: DeserializeOwned>(&self, method: Method, path: &str) -> Result<T, Error> {
        let exchange = self.exchange(method, path);
        match tokio::time::timeout(TIMEOUT.into(), exchange).await {
            Ok(answer) => answer,
            Err(_) => Err(Error::Timeout(self.address)),
        }
    }

    async fn exchange<T: DeserializeOwned>(&self, method: Method, path: &str) -> Result<T, Error> {
        let mut request = self.http.request(method, path.to_owned()).address(self.address);
        if let Some(token) = &self.token {
            request = request.header(header::AUTHORIZATION, token.header());
        }
        let response: Response =
            request.send().await.map_err(|_| Error::Unreachable(self.address))?;
        let status = response.status();
        let body = Limited::new(response.into_body(), ANSWER_MAX.0 as usize);
        let bytes = body.collect().await.map_err(|_| Error::Unreadable)?.to_bytes();
        // An instance that is not ready answers in the same shape with status 503.
        if let Ok(answer) = serde_json::from_slice(&bytes)
            && (status == StatusCode::OK || status == StatusCode::SERVICE_UNAVAILABLE)
        {
            return Ok(answer);
        }
        let failure: response::Failure =
            serde_json::from_slice(&bytes).map_err(|_| Error::Unreadable)?;
        Err(Error::Refused { status: status.as_u16(), error: failure.error })
    }
}
