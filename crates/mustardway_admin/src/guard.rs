//! What stands before every path: the token, and the bound on bodies.

use std::convert::Infallible;

use volo::Service;
use volo_http::context::ServerContext;
use volo_http::http::{HeaderMap, header};
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::route::Router;

use crate::error::Error;
use crate::routes;
use crate::token::Token;

/// Bytes of a request body, at most; no path needs one.
const BODY_BYTES_MAX: u64 = 4 << 10;
/// Paths that anyone may ask.
const OPEN: [&str; 2] = ["/live", "/ready"];

/// The paths behind their checks.
pub(crate) struct Guard {
    pub(crate) token: Option<Token>,
    pub(crate) router: Router,
}

impl Service<ServerContext, Request> for Guard {
    type Response = Response;
    type Error = Infallible;

    async fn call(
        &self,
        context: &mut ServerContext,
        request: Request,
    ) -> Result<Response, Infallible> {
        if let Err(error) = self.check(&request) {
            return Ok(routes::failure(&error));
        }
        self.router.call(context, request).await
    }
}

impl Guard {
    fn check(&self, request: &Request) -> Result<(), Error> {
        if !OPEN.contains(&request.uri().path()) && !self.admits(request.headers()) {
            return Err(Error::Unauthorized);
        }
        let Some(length) = request.headers().get(header::CONTENT_LENGTH) else {
            // A body without a length is never read.
            return Ok(());
        };
        let length: Option<u64> = length.to_str().ok().and_then(|text| text.parse().ok());
        match length {
            Some(length) if length <= BODY_BYTES_MAX => Ok(()),
            _ => Err(Error::TooLarge),
        }
    }

    fn admits(&self, headers: &HeaderMap) -> bool {
        let Some(token) = &self.token else {
            return true;
        };
        let header = headers.get(header::AUTHORIZATION);
        header.is_some_and(|header| token.admits(header.as_bytes()))
    }
}
