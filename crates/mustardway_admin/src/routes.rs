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

use crate::desk::Desk;
use crate::error::Error;
use crate::shape;

/// Flows that are shown one by one, at most.
const FLOWS_SHOWN_MAX: usize = 1_000;

/// What one path answers.
type Answer = fn(&dyn Desk) -> Response;

/// Arguments of `/explain`.
#[derive(Debug, Deserialize)]
struct Ask {
    flow: CompactString,
    address: CompactString,
}

/// Every path.
pub(crate) fn router(desk: &Arc<dyn Desk>) -> Router {
    Router::new()
        .route("/live", query(desk, |desk| json(&desk.live())))
        .route("/ready", query(desk, ready))
        .route("/status", query(desk, |desk| json(&desk.status())))
        .route("/view", query(desk, view))
        .route("/targets", query(desk, |desk| json(&desk.targets())))
        .route("/flows", query(desk, |desk| json(&desk.flows(FLOWS_SHOWN_MAX))))
        .route("/peers", query(desk, |desk| json(&desk.peers())))
        .route("/audit", query(desk, |desk| json(&desk.audit())))
        .route("/promises", query(desk, |desk| json(&desk.promises())))
        .route("/explain", explain(desk))
        .route("/drain", command(desk, |desk| outcome(desk.drain())))
        .route("/undrain", command(desk, |desk| outcome(desk.undrain())))
        .fallback(|| async { failure(&Error::NotFound) })
}

fn query(desk: &Arc<dyn Desk>, answer: Answer) -> MethodRouter {
    let desk = Arc::clone(desk);
    closed(get(move || async move { answer(&*desk) }))
}

fn command(desk: &Arc<dyn Desk>, answer: Answer) -> MethodRouter {
    let desk = Arc::clone(desk);
    closed(post(move || async move { answer(&*desk) }))
}

fn explain(desk: &Arc<dyn Desk>) -> MethodRouter {
    let desk = Arc::clone(desk);
    closed(get(move |ask: Option<Query<Ask>>| async move { explanation(&*desk, ask) }))
}

/// Refuses every other method.
fn closed(methods: MethodRouter) -> MethodRouter {
    methods.fallback(|| async { failure(&Error::Method) })
}

fn ready(desk: &dyn Desk) -> Response {
    let ready = desk.ready();
    let status = if ready.ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    reply(status, &ready)
}

fn view(desk: &dyn Desk) -> Response {
    match desk.view() {
        Some(view) => json(&*view),
        None => failure(&Error::NoView),
    }
}

fn explanation(desk: &dyn Desk, ask: Option<Query<Ask>>) -> Response {
    let Some(Query(ask)) = ask else {
        let text = "ask as /explain?flow=HEX&address=IP:PORT";
        return failure(&Error::Malformed(text.into()));
    };
    match parse(&ask) {
        Ok((flow, address)) => json(&desk.explain(flow, address)),
        Err(error) => failure(&error),
    }
}

fn parse(ask: &Ask) -> Result<(flow::Id, address::Address), Error> {
    let malformed = |error| Error::Malformed(format_compact!("{error}"));
    let flow = ask.flow.parse().map_err(malformed)?;
    let address = ask.address.parse().map_err(malformed)?;
    Ok((flow, address))
}

fn outcome(outcome: Result<shape::Command, Error>) -> Response {
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
    reply(error.status(), &shape::Failure { error: format_compact!("{error}") })
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
