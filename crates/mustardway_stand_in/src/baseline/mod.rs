//! Baseline for measurements: rendezvous hashing without owners.
//!
//! A baseline instance reads the configuration from the platform, ranks the
//! serving targets of a service by the hash of flow and target, and forwards each
//! packet to the first. It keeps no flow state, enforces no limits and stops
//! without draining.
//!
//! Modules:
//! - [`settings`]: addresses from the settings file.
//! - [`view`]: configuration in force.

mod front;
pub mod settings;
pub mod view;

use std::sync::Arc;
use std::time::Duration;

use mustardway_wire::packet::FrontServer;
use serde::Serialize;
use volo_grpc::server::ServiceBuilder;
use volo_http::http::StatusCode;
use volo_http::server::extract::Json;
use volo_http::server::route::{Router, get};

use crate::http;
use crate::listener;
use crate::platform::message::Configuration;

/// Maximum wait of one long poll, in milliseconds.
const WATCH_WAIT_MILLIS: u64 = 5_000;

/// Delay after a failed read of the configuration.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Answer of `GET /view`.
#[derive(Debug, Serialize)]
struct RevisionAnswer {
    revision: u64,
}

/// Runs a baseline instance; returns only on an error.
///
/// # Errors
///
/// Returns an error when an address cannot be bound.
pub async fn run(settings: &settings::Settings) -> std::io::Result<()> {
    let view = Arc::new(view::Active::default());
    let (front, _front_switch) = listener::listen(settings.front).await?;
    let (admin, _admin_switch) = listener::listen(settings.admin).await?;
    let service = front::Service::new(Arc::clone(&view));
    let server = volo_grpc::server::Server::new()
        .add_service(ServiceBuilder::new(FrontServer::new(service)).build());
    let router = router(&view);
    tokio::spawn(async move {
        let _ = server.run_with_shutdown(front, std::future::pending()).await;
    });
    tokio::spawn(async move {
        let _ = volo_http::server::Server::new(router).run(admin).await;
    });
    loop {
        let after = view.revision();
        let path = format!("/configuration?after={after}&wait={WATCH_WAIT_MILLIS}");
        match http::get::<Configuration>(settings.platform, &path).await {
            Ok(Configuration { revision, files: Some(files) }) => view.replace(revision, &files),
            Ok(_) => {}
            Err(_) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}

fn router(view: &Arc<view::Active>) -> Router {
    let (ready, shown) = (Arc::clone(view), Arc::clone(view));
    Router::new()
        .route(
            "/ready",
            get(async move || match ready.revision() {
                0 => StatusCode::SERVICE_UNAVAILABLE,
                _ => StatusCode::OK,
            }),
        )
        .route("/view", get(async move || Json(RevisionAnswer { revision: shown.revision() })))
}
