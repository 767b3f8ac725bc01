//! The administration API: HTTP with JSON on an address of its own.
//!
//! | method | path | kind | answer |
//! | --- | --- | --- | --- |
//! | GET | `/live` | query, open | [`response::Live`] |
//! | GET | `/ready` | query, open | [`response::Ready`], status 200 or 503 |
//! | GET | `/status` | query | [`response::Status`] |
//! | GET | `/view` | query | the view in force; 503 before the first |
//! | GET | `/targets` | query | [`response::Targets`] |
//! | GET | `/flows` | query | [`response::Flows`] |
//! | GET | `/peers` | query | [`response::Peers`] |
//! | GET | `/audit` | query | [`response::Audit`] |
//! | GET | `/promises` | query | [`response::Promises`] |
//! | GET | `/explain?flow=HEX&address=IP:PORT` | query | [`response::Explanation`] |
//! | POST | `/drain` | command | [`response::Command`] |
//! | POST | `/undrain` | command | [`response::Command`] |
//!
//! Commands concern this instance alone. Every error is `{"error": "text"}` with its
//! status. All but `/live` and `/ready` want `Authorization: Bearer TOKEN` where
//! a token is set; without one the API listens on loopback only.
//!
//! Modules:
//! - [`client`]: the API from the command line's side.
//! - [`handler`]: the border towards the instance.
//! - [`error`]: why a request was not answered.
//! - [`report`]: answers as tables or JSON text.
//! - [`server`]: the API itself.
//! - [`response`]: the answers.
//! - [`table`]: text tables.
//!
//! The [`token`] is that of the settings.

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
