//! Routes of the API and the functions that write its responses.

use std::sync::Arc;

use compact_str::{CompactString, format_compact};
use mustardway_types::{address, flow};
use serde::{Deserialize, Serialize};
use volo_http::body::Body;
use volo_http::http::{HeaderValue, StatusCode, header};
use volo_http::response::Response;
use volo_http::server::extract::Query;
use volo_http::server::route::{MethodRouter, Router, get, post};

use crate::error::Error;
use crate::handler::Handler;
use crate::response;

/// Largest number of flows that `/flows` lists.
const FLOWS_SHOWN_MAX: usize = 1_000;

/// Writes the response of one path.
type RouteFn = fn(&dyn Handler) -> Response;

/// Query parameters of `/explain`.
#[derive(Debug, Deserialize)]
struct Parameters {
    flow: CompactString,
    address: CompactString,
}

/// Returns the router of all paths.
pub(crate) fn router(handler: &Arc<dyn Handler>) -> Router {
    Router::new()
        .route("/live", query(handler, |handler| json(&handler.live())))
        .route("/ready", query(handler, ready))
        .route("/status", query(handler, |handler| json(&handler.status())))
        .route("/view", query(handler, view))
        .route("/targets", query(handler, |handler| json(&handler.targets())))
        .route("/flows", query(handler, |handler| json(&handler.flows(FLOWS_SHOWN_MAX))))
        .route("/peers", query(handler, |handler| json(&handler.peers())))
        .route("/audit", query(handler, |handler| json(&handler.audit())))
        .route("/promises", query(handler, |handler| json(&handler.promises())))
        .route("/explain", explain(handler))
        .route("/drain", command(handler, |handler| command_response(handler.drain())))
        .route("/undrain", command(handler, |handler| command_response(handler.undrain())))
        .fallback(|| async { failure(&Error::NotFound) })
}

/// Routes GET requests to `respond`.
fn query(handler: &Arc<dyn Handler>, respond: RouteFn) -> MethodRouter {
    let handler = Arc::clone(handler);
    refuse_other_methods(get(move || async move { respond(&*handler) }))
}

/// Routes POST requests to `respond`.
fn command(handler: &Arc<dyn Handler>, respond: RouteFn) -> MethodRouter {
    let handler = Arc::clone(handler);
    refuse_other_methods(post(move || async move { respond(&*handler) }))
}

fn explain(handler: &Arc<dyn Handler>) -> MethodRouter {
    let handler = Arc::clone(handler);
    refuse_other_methods(get(move |parameters: Option<Query<Parameters>>| async move {
        explanation(&*handler, parameters)
    }))
}

/// Answers every method without a handler of its own with [`Error::Method`].
fn refuse_other_methods(methods: MethodRouter) -> MethodRouter {
    methods.fallback(|| async { failure(&Error::Method) })
}

fn ready(handler: &dyn Handler) -> Response {
    let ready = handler.ready();
    let status = if ready.ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    json_response(status, &ready)
}

fn view(handler: &dyn Handler) -> Response {
    match handler.view() {
        Some(view) => json(&*view),
        None => failure(&Error::NoView),
    }
}

fn explanation(handler: &dyn Handler, parameters: Option<Query<Parameters>>) -> Response {
    let Some(Query(parameters)) = parameters else {
        let text = "ask as /explain?flow=HEX&address=IP:PORT";
        return failure(&Error::Malformed(text.into()));
    };
    match parse(&parameters) {
        Ok((flow, address)) => json(&handler.explain(flow, address)),
        Err(error) => failure(&error),
    }
}

/// Parses the flow id and the address of the service.
fn parse(parameters: &Parameters) -> Result<(flow::Id, address::Address), Error> {
    let malformed = |error| Error::Malformed(format_compact!("{error}"));
    let flow = parameters.flow.parse().map_err(malformed)?;
    let address = parameters.address.parse().map_err(malformed)?;
    Ok((flow, address))
}

/// Returns the response to a command.
fn command_response(result: Result<response::Command, Error>) -> Response {
    match result {
        Ok(command) => json(&command),
        Err(error) => failure(&error),
    }
}

/// Returns a response with status 200 and `value` as JSON.
fn json(value: &impl Serialize) -> Response {
    json_response(StatusCode::OK, value)
}

/// Returns an error response: the status of the error, and its text as JSON.
pub(crate) fn failure(error: &Error) -> Response {
    json_response(error.status(), &response::Failure { error: format_compact!("{error}") })
}

/// Returns a response with `value` as JSON. If `value` cannot be serialised, the
/// response has the status of [`Error::Internal`] and no body.
fn json_response(status: StatusCode, value: &impl Serialize) -> Response {
    let Ok(json) = serde_json::to_vec(value) else {
        return Response::builder()
            .status(Error::Internal.status())
            .body(Body::empty())
            .unwrap_or_default();
    };
    let mut response = Response::new(Body::from(json));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}
