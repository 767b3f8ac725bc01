//! The targets of one process and their HTTP control endpoint.
//!
//! `GET /ledger` returns the totals of each target and `GET /runs` every run.
//! `POST /behaviour` sets the [`Behaviour`] of a target, and `POST /cold`
//! restarts the warm-up of a target.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use volo_http::http::StatusCode;
use volo_http::server::extract::Json;
use volo_http::server::route::{Router, get, post};

use super::behaviour::Behaviour;
use super::ledger::{Run, Summary};
use super::{Server, Settings};
use crate::listener;

/// Answer of `GET /ledger`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Ledgers {
    /// Totals of each target.
    pub targets: Vec<Summary>,
}

/// Answer of `GET /runs`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Runs {
    /// Every run of every target.
    pub runs: Vec<Run>,
}

/// Body of `POST /behaviour`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Change {
    /// Name of the target.
    pub target: CompactString,
    /// New behaviour of the target.
    pub behaviour: Behaviour,
}

/// Body of `POST /cold`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Cold {
    /// Name of the target.
    pub target: CompactString,
}

/// The targets of one process with their control endpoint.
#[derive(Debug)]
pub struct Group {
    servers: Arc<Vec<Server>>,
    control: listener::Switch,
}

impl Group {
    /// Starts the targets and the control endpoint.
    ///
    /// # Errors
    ///
    /// Returns an error when an address cannot be bound.
    pub async fn start(targets: Vec<Settings>, control: SocketAddr) -> io::Result<Group> {
        let mut servers = Vec::with_capacity(targets.len());
        for settings in targets {
            servers.push(Server::start(settings).await?);
        }
        let servers = Arc::new(servers);
        let (incoming, switch) = listener::listen(control).await?;
        let router = router(&servers);
        tokio::spawn(async move {
            let _ = volo_http::server::Server::new(router).run(incoming).await;
        });
        Ok(Group { servers, control: switch })
    }

    /// Returns the address of the control endpoint.
    pub fn control(&self) -> SocketAddr {
        self.control.address()
    }

    /// Returns the targets.
    pub fn servers(&self) -> &[Server] {
        &self.servers
    }
}

fn router(servers: &Arc<Vec<Server>>) -> Router {
    let (read, listed, changed, reset) =
        (Arc::clone(servers), Arc::clone(servers), Arc::clone(servers), Arc::clone(servers));
    Router::new()
        .route("/ledger", get(async move || Json(ledgers(&read))))
        .route("/runs", get(async move || Json(runs(&listed))))
        .route(
            "/behaviour",
            post(async move |Json(change): Json<Change>| {
                let server = find(&changed, &change.target)?;
                server.set_behaviour(change.behaviour);
                Ok::<_, StatusCode>(StatusCode::OK)
            }),
        )
        .route(
            "/cold",
            post(async move |Json(cold): Json<Cold>| {
                find(&reset, &cold.target)?.reset_warm_up();
                Ok::<_, StatusCode>(StatusCode::OK)
            }),
        )
}

fn find<'a>(servers: &'a [Server], name: &str) -> Result<&'a Server, StatusCode> {
    servers.iter().find(|server| server.name() == name).ok_or(StatusCode::NOT_FOUND)
}

fn ledgers(servers: &[Server]) -> Ledgers {
    Ledgers { targets: servers.iter().map(Server::ledger).collect() }
}

fn runs(servers: &[Server]) -> Runs {
    Runs { runs: servers.iter().flat_map(Server::runs).collect() }
}
