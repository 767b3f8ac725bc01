//! HTTP routes of the platform.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;
use volo::net::Address;
use volo_http::http::StatusCode;

use volo_http::response::Response;
use volo_http::server::IntoResponse;
use volo_http::server::extract::{Json, Query};
use volo_http::server::route::{Router, get};

use super::fault::Faults;
use super::message;
use super::state::State;
use crate::listener;

/// Maximum time that a long poll waits for a later revision.
const WAIT_MAX: Duration = Duration::from_secs(60);

/// Time that a call from a cut-off reader is held without an answer.
const CUT_DELAY: Duration = Duration::from_secs(3600);

/// Creates the routes for readers.
pub(super) fn router(state: Arc<State>) -> Router {
    let (watched, listed, counted) = (Arc::clone(&state), Arc::clone(&state), state);
    Router::new()
        .route(
            "/configuration",
            get(async move |Query(query): Query<message::Query>, reader: Address| {
                configuration(&watched, &query, &reader).await
            }),
        )
        .route("/instances", get(async move |reader: Address| instances(&listed, &reader).await))
        .route("/calls", get(async move || Json(counted.calls())))
}

/// Creates the control route for failure tests; its address stays up while the
/// reader address is down.
pub(super) fn control(state: Arc<State>, listener: Arc<listener::Switch>) -> Router {
    let shown = Arc::clone(&state);
    Router::new().route(
        "/switch",
        get(async move || Json(shown.faults())).post(async move |Json(faults): Json<Faults>| {
            listener.set(!faults.down);
            state.set_faults(faults);
            Json(state.faults())
        }),
    )
}

async fn configuration(state: &State, query: &message::Query, reader: &Address) -> Response {
    state.count_configuration();
    if let Some(response) = inject_faults(state, reader).await {
        return response;
    }
    let deadline = Instant::now() + Duration::from_millis(query.wait).min(WAIT_MAX);
    let mut changed = state.watch();
    loop {
        let configuration = state.configuration(query.after);
        if configuration.files.is_some() {
            return answer(state, &configuration);
        }
        if tokio::time::timeout_at(deadline, changed.changed()).await.is_err() {
            return answer(state, &configuration);
        }
    }
}

async fn instances(state: &State, reader: &Address) -> Response {
    state.count_instances();
    if let Some(response) = inject_faults(state, reader).await {
        return response;
    }
    answer(state, &state.instances())
}

/// Applies the injected delays; returns an error response when the platform is down.
async fn inject_faults(state: &State, reader: &Address) -> Option<Response> {
    if ip(reader).is_some_and(|ip| state.is_cut(ip)) {
        tokio::time::sleep(CUT_DELAY).await;
    }
    let faults = state.faults();
    if faults.down {
        return Some((StatusCode::SERVICE_UNAVAILABLE, "down").into_response());
    }
    if faults.slow_millis > 0 {
        tokio::time::sleep(Duration::from_millis(faults.slow_millis)).await;
    }
    None
}

/// Returns `value` as JSON, or the injected malformed body.
fn answer<T: Serialize>(state: &State, value: &T) -> Response {
    match state.faults().nonsense {
        Some(malformed) => malformed.body().into_response(),
        None => Json(value).into_response(),
    }
}

fn ip(reader: &Address) -> Option<IpAddr> {
    match reader {
        Address::Ip(address) => Some(address.ip()),
        _ => None,
    }
}
