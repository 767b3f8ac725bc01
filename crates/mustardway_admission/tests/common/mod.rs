//! Loads of a service for tests.

#![allow(dead_code)]

use std::net::{Ipv4Addr, SocketAddrV4};

use mustardway_admission::service::{Load, Route};
use mustardway_load::key;
use mustardway_types::time::{Instant, Span};

/// Time between two estimates.
pub const INTERVAL: Span = Span::millis(500);
pub const START: Instant = Instant(1_000_000);

pub fn key(number: u8) -> key::Route {
    key::Route::of(SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, number), 443))
}

/// Returns a route whose flows have one request each, of which a share is rejected.
pub fn route(number: u8, urgency: u32, offered: f64, rejected_share: f64) -> Route {
    Route {
        route: key(number),
        urgency,
        offered,
        opening: offered,
        served: offered * (1.0 - rejected_share),
        rejected_share,
        late_share: 0.0,
    }
}

pub fn load(slots: f64, routes: &[Route]) -> Load {
    Load { slots, routes: routes.to_vec() }
}
