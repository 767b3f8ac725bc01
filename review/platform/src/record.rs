//! What clients, servers and the platform saw, for `record.txt` and the checks.

use std::sync::{Arc, Mutex};
use std::time::Instant;

use crate::packet::Ipv4Addr2;

/// Both ends of a flow: the client's and the route's.
pub type Flow = ((Ipv4Addr2, u16), (Ipv4Addr2, u16));

#[derive(Debug, Clone)]
pub enum Fact {
    /// The operator or a server wrote to the store, which acknowledged it.
    Acknowledged(String),
    /// Something was done to the system or to a server.
    Done(String),
    /// A client sent the first opening packet of a request, through an instance.
    Sent { request: u64, flow: Flow, instance: usize },
    /// A server took an opening packet.
    Opened { flow: Flow, server: String },
    /// A server has the end of the handshake: the flow is open.
    Open { flow: Flow, server: String },
    /// A server resets a flow that it does not hold.
    Reset { flow: Flow, server: String },
    /// A server began to work on a request.
    Ran { request: u64, server: String, service: String },
    /// A server turned a request away and said that it did not run.
    Shed { request: u64, server: String },
    /// How a request ended at the client.
    Ended { request: u64, how: &'static str },
    /// A packet that no rule allows.
    Wrong(String),
}

#[derive(Debug, Clone)]
pub struct Record {
    pub start: Instant,
    facts: Arc<Mutex<Vec<(Instant, Fact)>>>,
}

impl Record {
    pub fn new() -> Self {
        Record { start: Instant::now(), facts: Arc::default() }
    }

    pub fn add(&self, fact: Fact) {
        self.add_at(Instant::now(), fact);
    }

    pub fn add_at(&self, at: Instant, fact: Fact) {
        self.facts.lock().unwrap().push((at, fact));
    }

    /// Returns the facts with their times in seconds from the start.
    pub fn facts(&self) -> Vec<(f64, Fact)> {
        let facts = self.facts.lock().unwrap();
        let mut facts: Vec<_> =
            facts.iter().map(|(at, fact)| (self.seconds(*at), fact.clone())).collect();
        facts.sort_by(|first, second| first.0.total_cmp(&second.0));
        facts
    }

    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }
}

pub fn show(flow: &Flow) -> String {
    let end = |end: &(Ipv4Addr2, u16)| crate::packet::socket(*end).to_string();
    format!("{}>{}", end(&flow.0), end(&flow.1))
}
