//! Paths and methods.

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

/// Flows that are shown one by one, at most.
const FLOWS_SHOWN_MAX: usize = 1_000;

/// What one path answers.
type Answer = fn(&dyn Handler) -> Response;

/// Arguments of `/explain`.
#[derive(Debug, Deserialize)]
struct Ask {
    flow: CompactString,
    address: CompactString,
}

/// Every path.
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
        .route("/drain", command(handler, |handler| outcome(handler.drain())))
        .route("/undrain", command(handler, |handler| outcome(handler.undrain())))
        .fallback(|| async { failure(&Error::NotFound) })
}

fn query(handler: &Arc<dyn Handler>, answer: Answer) -> MethodRouter {
    let handler = Arc::clone(handler);
    closed(get(move || async move { answer(&*handler) }))
}

fn command(handler: &Arc<dyn Handler>, answer: Answer) -> MethodRouter {
    let handler = Arc::clone(handler);
    closed(post(move || async move { answer(&*handler) }))
}

fn explain(handler: &Arc<dyn Handler>) -> MethodRouter {
    let handler = Arc::clone(handler);
    closed(get(move |ask: Option<Query<Ask>>| async move { explanation(&*handler, ask) }))
}

/// Refuses every other method.
fn closed(methods: MethodRouter) -> MethodRouter {
    methods.fallback(|| async { failure(&Error::Method) })
}

fn ready(handler: &dyn Handler) -> Response {
    let ready = handler.ready();
    let status = if ready.ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    reply(status, &ready)
}

fn view(handler: &dyn Handler) -> Response {
    match handler.view() {
        Some(view) => json(&*view),
        None => failure(&Error::NoView),
    }
}

fn explanation(handler: &dyn Handler, ask: Option<Query<Ask>>) -> Response {
    let Some(Query(ask)) = ask else {
        let text = "ask as /explain?flow=HEX&address=IP:PORT";
        return failure(&Error::Malformed(text.into()));
    };
    match parse(&ask) {
        Ok((flow, address)) => json(&handler.explain(flow, address)),
        Err(error) => failure(&error),
    }
}

fn parse(ask: &Ask) -> Result<(flow::Id, address::Address), Error> {
    let malformed = |error| Error::Malformed(format_compact!("{error}"));
    let flow = ask.flow.parse().map_err(malformed)?;
    let address = ask.address.parse().map_err(malformed)?;
    Ok((flow, address))
}

fn outcome(outcome: Result<response::Command, Error>) -> Response {
    match outcome {
        Ok(command) => json(&command),
        Err(error) => failure(&error),
    }
}

fn json(value: &impl Serialize) -> Response {
    reply(StatusCode::OK, value)
}

/// An error as JSON with its status.
pub(crate) fn failure(error: &Error) -> Response {
    reply(error.status(), &response::Failure { error: format_compact!("{error}") })
}

fn reply(status: StatusCode, value: &impl Serialize) -> Response {
    let Ok(json) = serde_json::to_vec(value) else {
        return Response::builder()
            .status(Error::Internal.status())
            .body(Body::empty())
            .unwrap_or_default();
    };
    let mut response = Response::new(Body::from(json));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}
