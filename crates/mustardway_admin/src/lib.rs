//! The administration API: JSON over HTTP, on a listening address of its own.
//!
//! | method | path | kind | answer |
//! | --- | --- | --- | --- |
//! | GET | `/live` | query, no token | [`response::Live`] |
//! | GET | `/ready` | query, no token | [`response::Ready`], status 200 or 503 |
//! | GET | `/status` | query | [`response::Status`] |
//! | GET | `/view` | query | the view in force, or status 503 before the first |
//! | GET | `/targets` | query | [`response::Targets`] |
//! | GET | `/flows` | query | [`response::Flows`] |
//! | GET | `/peers` | query | [`response::Peers`] |
//! | GET | `/audit` | query | [`response::Audit`] |
//! | GET | `/promises` | query | [`response::Promises`] |
//! | GET | `/explain?flow=HEX&address=IP:PORT` | query | [`response::Explanation`] |
//! | POST | `/drain` | command | [`response::Command`] |
//! | POST | `/undrain` | command | [`response::Command`] |
//!
//! Commands act on this instance alone. Every error response has an HTTP error status
//! and the body `{"error": "text"}`. If a token is configured, all paths but `/live` and
//! `/ready` require the header `Authorization: Bearer TOKEN`; without a token the API
//! listens on loopback only.
//!
//! Modules:
//! - [`client`]: the client that the command line uses.
//! - [`error`]: the errors with which the API refuses a request.
//! - [`handler`]: the interface to the instance.
//! - [`report`]: renders responses as tables or JSON text.
//! - [`response`]: the response bodies.
//! - [`server`]: starts and stops the HTTP server.
//! - [`table`]: text tables.
//!
//! The module [`token`] is re-exported from the settings.

pub mod client;
pub mod error;
mod guard;
pub mod handler;
mod listener;
pub mod report;
pub mod response;
mod routes;
pub mod server;
pub mod table;

pub use mustardway_settings::token;
