//! A client of the administration API, for the command line.

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

/// Largest accepted response body: the targets of a whole organisation fit.
const RESPONSE_BYTES_MAX: size::Bytes = size::Bytes(64 << 20);
/// Timeout of one request, from connecting to the end of the response body.
const REQUEST_TIMEOUT: time::Span = time::Span::seconds(10);

/// Reasons why a request returned no result.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Error {
    /// the HTTP client did not start: resolv.conf must name a name server, though it is never queried
    Start,
    /// the administration API at {0} cannot be reached: is the instance running?
    Unreachable(SocketAddr),
    /// the administration API at {0} did not answer in time
    Timeout(SocketAddr),
    /// the administration API refused the request: {error} (status {status})
    Refused {
        /// HTTP status code of the response.
        status: u16,
        /// Error text from the response body.
        error: CompactString,
    },
    /// the response of the administration API cannot be parsed: is it of the same version?
    Unreadable,
}

impl std::error::Error for Error {}

/// Client of the administration API of one instance.
pub struct Client {
    address: SocketAddr,
    token: Option<Token>,
    http: volo_http::client::Client,
}

impl Client {
    /// Creates a client without connecting to the instance.
    ///
    /// # Errors
    /// Fails if the HTTP client cannot be built.
    pub fn new(address: SocketAddr, token: Option<Token>) -> Result<Self, Error> {
        // The builder reads resolv.conf and panics if that names no name server.
        let http = panic::catch_unwind(|| volo_http::client::Client::builder().build());
        let http = http.map_err(|_| Error::Start)?.map_err(|_| Error::Start)?;
        Ok(Client { address, token, http })
    }

    /// Queries whether the instance is ready to take packets.
    ///
    /// # Errors
    /// Fails if the instance does not answer or refuses the query.
    pub async fn ready(&self) -> Result<response::Ready, Error> {
        self.query("/ready").await
    }

    /// Queries the state and totals of the instance.
    ///
    /// # Errors
    /// Fails if the instance does not answer or refuses the query.
    pub async fn status(&self) -> Result<response::Status, Error> {
        self.query("/status").await
    }

    /// Queries the view in force.
    ///
    /// # Errors
    /// Fails if the instance does not answer or refuses the query.
    pub async fn view(&self) -> Result<View, Error> {
        self.query("/view").await
    }

    /// Queries every target as the instance sees it.
    ///
    /// # Errors
    /// Fails if the instance does not answer or refuses the query.
    pub async fn targets(&self) -> Result<response::Targets, Error> {
        self.query("/targets").await
    }

    /// Queries the flows that the instance owns.
    ///
    /// # Errors
    /// Fails if the instance does not answer or refuses the query.
    pub async fn flows(&self) -> Result<response::Flows, Error> {
        self.query("/flows").await
    }

    /// Queries the other instances as this one sees them.
    ///
    /// # Errors
    /// Fails if the instance does not answer or refuses the query.
    pub async fn peers(&self) -> Result<response::Peers, Error> {
        self.query("/peers").await
    }

    /// Queries the audit trail.
    ///
    /// # Errors
    /// Fails if the instance does not answer or refuses the query.
    pub async fn audit(&self) -> Result<response::Audit, Error> {
        self.query("/audit").await
    }

    /// Queries the counts of promises and answers.
    ///
    /// # Errors
    /// Fails if the instance does not answer or refuses the query.
    pub async fn promises(&self) -> Result<response::Promises, Error> {
        self.query("/promises").await
    }

    /// Queries which target the next packet of a flow would go to, and why.
    ///
    /// # Errors
    /// Fails if the instance does not answer or refuses the query.
    pub async fn explain(
        &self,
        flow: flow::Id,
        address: address::Address,
    ) -> Result<response::Explanation, Error> {
        self.query(&format!("/explain?flow={flow}&address={address}")).await
    }

    /// Commands the instance to drain: it hands its targets over and reports not ready.
    ///
    /// # Errors
    /// Fails if the instance does not answer or refuses the command.
    pub async fn drain(&self) -> Result<response::Command, Error> {
        self.request(Method::POST, "/drain").await
    }

    /// Commands the instance to cancel a drain.
    ///
    /// # Errors
    /// Fails if the instance does not answer or refuses the command.
    pub async fn undrain(&self) -> Result<response::Command, Error> {
        self.request(Method::POST, "/undrain").await
    }

    async fn query<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        self.request(Method::GET, path).await
    }

    async fn request<T: DeserializeOwned>(&self, method: Method, path: &str) -> Result<T, Error> {
        let response = self.send(method, path);
        match tokio::time::timeout(REQUEST_TIMEOUT.into(), response).await {
            Ok(result) => result,
            Err(_) => Err(Error::Timeout(self.address)),
        }
    }

    async fn send<T: DeserializeOwned>(&self, method: Method, path: &str) -> Result<T, Error> {
        let mut request = self.http.request(method, path.to_owned()).address(self.address);
        if let Some(token) = &self.token {
            request = request.header(header::AUTHORIZATION, token.header());
        }
        let response: Response =
            request.send().await.map_err(|_| Error::Unreachable(self.address))?;
        let status = response.status();
        let body = Limited::new(response.into_body(), RESPONSE_BYTES_MAX.0 as usize);
        let bytes = body.collect().await.map_err(|_| Error::Unreadable)?.to_bytes();
        // `/ready` answers with status 503 and the usual body if the instance is not ready.
        if let Ok(body) = serde_json::from_slice(&bytes)
            && (status == StatusCode::OK || status == StatusCode::SERVICE_UNAVAILABLE)
        {
            return Ok(body);
        }
        let failure: response::Failure =
            serde_json::from_slice(&bytes).map_err(|_| Error::Unreadable)?;
        Err(Error::Refused { status: status.as_u16(), error: failure.error })
    }
}
