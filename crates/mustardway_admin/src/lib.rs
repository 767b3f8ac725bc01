//! The administration API: HTTP with JSON on an address of its own.
//!
//! | method | path | kind | answer |
//! | --- | --- | --- | --- |
//! | GET | `/live` | query, open | [`shape::Live`] |
//! | GET | `/ready` | query, open | [`shape::Ready`], status 200 or 503 |
//! | GET | `/status` | query | [`shape::Status`] |
//! | GET | `/view` | query | the view in force; 503 before the first |
//! | GET | `/targets` | query | [`shape::Targets`] |
//! | GET | `/flows` | query | [`shape::Flows`] |
//! | GET | `/peers` | query | [`shape::Peers`] |
//! | GET | `/audit` | query | [`shape::Audit`] |
//! | GET | `/promises` | query | [`shape::Promises`] |
//! | GET | `/explain?flow=HEX&address=IP:PORT` | query | [`shape::Explanation`] |
//! | POST | `/drain` | command | [`shape::Command`] |
//! | POST | `/undrain` | command | [`shape::Command`] |
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
//! - [`shape`]: the answers.
//! - [`table`]: text tables.
//!
//! The [`token`] is that of the settings.

pub mod client;
pub mod error;
mod guard;
pub mod handler;
mod listener;
pub mod report;
mod routes;
pub mod server;
pub mod shape;
pub mod table;

pub use mustardway_settings::token;
