//! Admission, running and falling over.
//!
//! One lock guards the ledger and the load; nothing else is locked while it is
//! held, and nothing is awaited.

use std::time::Duration;

use mustardway_types::packet::Header;
use parking_lot::Mutex;
use tokio::sync::{Semaphore, watch};
use tokio::time::Instant;

use super::Settings;
use super::bearing::Ramp;
use super::behaviour::{Behaviour, Over};
use super::ledger::{Ledger, Run, Summary};

/// How long a cold target bears too much before it falls over.
const FALL_AFTER: Duration = Duration::from_millis(200);

/// How long a fallen target stays away.
const FALL_TIME: Duration = Duration::from_secs(1);

/// State of one target.
#[derive(Debug)]
pub struct Core {
    settings: Settings,
    slots: Semaphore,
    inner: Mutex<Inner>,
    falls: watch::Sender<u64>,
}

#[derive(Debug)]
struct Inner {
    ledger: Ledger,
    behaviour: Behaviour,
    in_flight: u32,
    cold_since: Instant,
    over_since: Option<Instant>,
    fallen_until: Option<Instant>,
}

/// Why a target does not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Denial {
    /// It refuses, and has not run it.
    Refused,
    /// It does not know the flow, and has not run it.
    UnknownFlow,
    /// It is away.
    Away,
}

impl Core {
    /// A cold target.
    pub(super) fn new(settings: Settings) -> Core {
        let slots = Semaphore::new(settings.slots as usize);
        let mut ledger = Ledger::default();
        ledger.summary.name = settings.name.clone();
        let inner = Mutex::new(Inner {
            ledger,
            behaviour: settings.behaviour,
            in_flight: 0,
            cold_since: Instant::now(),
            over_since: None,
            fallen_until: None,
        });
        Core { settings, slots, inner, falls: watch::Sender::new(0) }
    }

    pub(super) fn settings(&self) -> &Settings {
        &self.settings
    }

    pub(super) fn slots(&self) -> &Semaphore {
        &self.slots
    }

    /// Follows the times that it falls over.
    pub(super) fn watch_falls(&self) -> watch::Receiver<u64> {
        self.falls.subscribe()
    }

    pub(super) fn summary(&self) -> Summary {
        self.inner.lock().ledger.summary()
    }

    pub(super) fn runs(&self) -> Vec<Run> {
        self.inner.lock().ledger.runs.clone()
    }

    pub(super) fn behaviour(&self) -> Behaviour {
        self.inner.lock().behaviour
    }

    pub(super) fn set_behaviour(&self, behaviour: Behaviour) {
        self.inner.lock().behaviour = behaviour;
    }

    pub(super) fn cold_since(&self) -> Instant {
        self.inner.lock().cold_since
    }

    /// Turns it cold without warning.
    pub(super) fn turn_cold(&self) {
        let mut inner = self.inner.lock();
        inner.cold_since = Instant::now();
        inner.over_since = None;
    }

    /// Whether it is up.
    pub(super) fn is_up(&self) -> bool {
        let inner = self.inner.lock();
        !inner.behaviour.down && !inner.is_fallen(Instant::now())
    }

    /// Enters a packet and takes it into the load, or says why not.
    pub(super) fn admit(&self, header: &Header) -> Result<(), Denial> {
        let addresses = &self.settings.addresses;
        let is_own = addresses.is_empty() || addresses.contains(&header.address);
        let now = Instant::now();
        let mut inner = self.inner.lock();
        inner.ledger.receive(header, is_own);
        if inner.behaviour.down || inner.is_fallen(now) {
            return Err(Denial::Away);
        }
        if !inner.ledger.knows(header) {
            inner.ledger.summary.unknown_flows += 1;
            return Err(Denial::UnknownFlow);
        }
        let closed_to_it = inner.behaviour.draining && header.opening;
        if inner.behaviour.shedding || closed_to_it {
            inner.ledger.summary.refused += 1;
            return Err(Denial::Refused);
        }
        let over = self.weigh(&mut inner, now);
        if !over {
            return Ok(());
        }
        let falls = inner.over_since.is_some_and(|since| now - since >= FALL_AFTER);
        match inner.behaviour.over {
            Over::Fall if falls => {
                inner.in_flight -= 1;
                inner.fall(now);
                drop(inner);
                self.falls.send_modify(|count| *count += 1);
                Err(Denial::Away)
            }
            Over::Shed => {
                inner.in_flight -= 1;
                inner.ledger.summary.refused += 1;
                Err(Denial::Refused)
            }
            Over::Fall | Over::Queue => Ok(()),
        }
    }

    /// Adds one to the load; whether that is more than it bears.
    fn weigh(&self, inner: &mut Inner, now: Instant) -> bool {
        let ramp = self.ramp();
        let since = now - inner.cold_since;
        let bears = ramp.bears(since);
        inner.in_flight += 1;
        let load = inner.in_flight;
        let summary = &mut inner.ledger.summary;
        summary.in_flight_max = summary.in_flight_max.max(load);
        if !ramp.is_warm(since) {
            let share = f64::from(load) / f64::from(bears.max(1));
            summary.cold_load_max = summary.cold_load_max.max(share);
        }
        if load <= bears {
            inner.over_since = None;
            return false;
        }
        summary.overloads += 1;
        if !ramp.is_warm(since) {
            summary.cold_overloads += 1;
            inner.over_since.get_or_insert(now);
        }
        true
    }

    /// Gives the load of one call back.
    pub(super) fn release(&self, outcome: Outcome) {
        let mut inner = self.inner.lock();
        inner.in_flight -= 1;
        let bears = self.ramp().bears(inner.cold_since.elapsed());
        if inner.in_flight <= bears {
            inner.over_since = None;
        }
        match outcome {
            Outcome::Done => {}
            Outcome::Cancelled => inner.ledger.summary.cancelled += 1,
            Outcome::Expired => inner.ledger.summary.expired += 1,
        }
    }

    /// Enters the begin of a run; returns its index.
    pub(super) fn begin(&self, header: &Header) -> usize {
        self.inner.lock().ledger.begin(header)
    }

    /// Enters the end of a run.
    pub(super) fn end(&self, index: usize, header: &Header) {
        self.inner.lock().ledger.end(index, header);
    }

    fn ramp(&self) -> Ramp {
        let Settings { slots, cold_slots, warm_up, .. } = self.settings;
        Ramp { cold_slots, slots, warm_up }
    }
}

impl Inner {
    fn is_fallen(&self, now: Instant) -> bool {
        self.fallen_until.is_some_and(|until| now < until)
    }

    /// Goes away for a while and comes back cold.
    fn fall(&mut self, now: Instant) {
        let back = now + FALL_TIME;
        self.ledger.summary.falls += 1;
        self.ledger.lose_flows();
        self.fallen_until = Some(back);
        self.cold_since = back;
        self.over_since = None;
    }
}

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Outcome {
    /// It was answered.
    Done,
    /// The other side dropped it.
    Cancelled,
    /// Its deadline passed in the queue.
    Expired,
}
