//! Checks before routing: the token and the size of the request body.

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

/// Largest accepted request body. No path needs a body.
const REQUEST_BODY_BYTES_MAX: u64 = 4 << 10;
/// Paths that need no token.
const UNAUTHENTICATED_PATHS: [&str; 2] = ["/live", "/ready"];

/// Service that checks each request and then passes it to the router.
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
    /// Returns an error if the token is missing or wrong, or the body is too large.
    fn check(&self, request: &Request) -> Result<(), Error> {
        if !UNAUTHENTICATED_PATHS.contains(&request.uri().path())
            && !self.is_authorized(request.headers())
        {
            return Err(Error::Unauthorized);
        }
        let Some(length) = request.headers().get(header::CONTENT_LENGTH) else {
            // No path reads a body, so one without a content length needs no bound.
            return Ok(());
        };
        let length: Option<u64> = length.to_str().ok().and_then(|text| text.parse().ok());
        match length {
            Some(length) if length <= REQUEST_BODY_BYTES_MAX => Ok(()),
            _ => Err(Error::TooLarge),
        }
    }

    /// Returns whether the headers bear the token. Without a configured token, all do.
    fn is_authorized(&self, headers: &HeaderMap) -> bool {
        let Some(token) = &self.token else {
            return true;
        };
        let header = headers.get(header::AUTHORIZATION);
        header.is_some_and(|header| token.admits(header.as_bytes()))
    }
}
