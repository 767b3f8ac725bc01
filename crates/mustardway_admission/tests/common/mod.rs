//! Loads of a service for tests.

#![allow(dead_code)]

use std::net::{Ipv4Addr, SocketAddrV4};

use mustardway_admission::service::{Load, Route};
use mustardway_load::key;
use mustardway_types::time::{Instant, Span};

/// Time between two updates.
pub const TICK: Span = Span::millis(50);
pub const START: Instant = Instant(1_000_000);
/// Time of a request at a target without a queue.
pub const SERVICE_TIME: Span = Span::millis(50);

pub fn key(number: u8) -> key::Route {
    key::Route::of(SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, number), 443))
}

/// Returns a route whose flows have one request each.
pub fn route(number: u8, urgency: u32, offered: f64) -> Route {
    let aim = Span::millis(250);
    let opening = offered;
    Route { route: key(number), urgency, offered, opening, service_time: SERVICE_TIME, aim }
}

/// Returns the load of a service that serves as much as its slots allow.
pub fn load(slots: f64, routes: &[Route]) -> Load {
    let offered: f64 = routes.iter().map(|route| route.offered).sum();
    let per_second = 1.0 / SERVICE_TIME.as_seconds();
    let (wanted, served) = (offered * per_second, offered.min(slots) * per_second);
    Load { slots, routes: routes.to_vec(), wanted, served }
}
