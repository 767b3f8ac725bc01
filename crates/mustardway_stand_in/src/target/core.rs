//! Admission control, load accounting and simulated crashes of a target.
//!
//! One lock guards the ledger and the load. No other lock is taken and nothing
//! is awaited while it is held.

use std::time::Duration;

use mustardway_types::packet::Header;
use parking_lot::Mutex;
use tokio::sync::{Semaphore, watch};
use tokio::time::Instant;

use super::Settings;
use super::behaviour::{Behaviour, Overload};
use super::capacity::Ramp;
use super::ledger::{Ledger, Run, Summary};

/// Duration of overload after which a cold target crashes.
const CRASH_DELAY: Duration = Duration::from_millis(200);

/// Time that a crashed target stays unavailable.
const CRASH_DURATION: Duration = Duration::from_secs(1);

/// State of one target.
#[derive(Debug)]
pub struct Core {
    settings: Settings,
    slots: Semaphore,
    inner: Mutex<Inner>,
    crashes: watch::Sender<u64>,
}

#[derive(Debug)]
struct Inner {
    ledger: Ledger,
    behaviour: Behaviour,
    in_flight: u32,
    cold_since: Instant,
    overloaded_since: Option<Instant>,
    crashed_until: Option<Instant>,
}

/// Reason why a target does not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Rejection {
    /// The target refuses the request without running it.
    Refused,
    /// The target does not know the flow and does not run the request.
    UnknownFlow,
    /// The target is down or has crashed.
    Unavailable,
}

impl Core {
    /// Creates a cold target.
    pub(super) fn new(settings: Settings) -> Core {
        let slots = Semaphore::new(settings.slots as usize);
        let mut ledger = Ledger::default();
        ledger.summary.name = settings.name.clone();
        let inner = Mutex::new(Inner {
            ledger,
            behaviour: settings.behaviour,
            in_flight: 0,
            cold_since: Instant::now(),
            overloaded_since: None,
            crashed_until: None,
        });
        Core { settings, slots, inner, crashes: watch::Sender::new(0) }
    }

    pub(super) fn settings(&self) -> &Settings {
        &self.settings
    }

    pub(super) fn slots(&self) -> &Semaphore {
        &self.slots
    }

    /// Returns a receiver that is notified of every crash.
    pub(super) fn watch_crashes(&self) -> watch::Receiver<u64> {
        self.crashes.subscribe()
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

    /// Restarts the warm-up: the target is cold from now on.
    pub(super) fn reset_warm_up(&self) {
        let mut inner = self.inner.lock();
        inner.cold_since = Instant::now();
        inner.overloaded_since = None;
    }

    /// Returns whether the target is neither down nor crashed.
    pub(super) fn is_up(&self) -> bool {
        let inner = self.inner.lock();
        !inner.behaviour.down && !inner.is_crashed(Instant::now())
    }

    /// Records a packet and adds it to the load, or returns why it is rejected.
    pub(super) fn admit(&self, header: &Header) -> Result<(), Rejection> {
        let addresses = &self.settings.addresses;
        let is_own_service = addresses.is_empty() || addresses.contains(&header.address);
        let now = Instant::now();
        let mut inner = self.inner.lock();
        inner.ledger.record_packet(header, is_own_service);
        if inner.behaviour.down || inner.is_crashed(now) {
            return Err(Rejection::Unavailable);
        }
        if !inner.ledger.knows_flow(header) {
            inner.ledger.summary.unknown_flows += 1;
            return Err(Rejection::UnknownFlow);
        }
        let refuses_opening = inner.behaviour.draining && header.opening;
        if inner.behaviour.shedding || refuses_opening {
            inner.ledger.summary.refused += 1;
            return Err(Rejection::Refused);
        }
        let is_overloaded = self.add_load(&mut inner, now);
        if !is_overloaded {
            return Ok(());
        }
        let is_crash_due = inner.overloaded_since.is_some_and(|since| now - since >= CRASH_DELAY);
        match inner.behaviour.over {
            Overload::Fall if is_crash_due => {
                inner.in_flight -= 1;
                inner.crash(now);
                drop(inner);
                self.crashes.send_modify(|count| *count += 1);
                Err(Rejection::Unavailable)
            }
            Overload::Shed => {
                inner.in_flight -= 1;
                inner.ledger.summary.refused += 1;
                Err(Rejection::Refused)
            }
            Overload::Fall | Overload::Queue => Ok(()),
        }
    }

    /// Adds one request to the load; returns whether the load exceeds the capacity.
    fn add_load(&self, inner: &mut Inner, now: Instant) -> bool {
        let ramp = self.ramp();
        let since = now - inner.cold_since;
        let capacity = ramp.capacity_at(since);
        inner.in_flight += 1;
        let load = inner.in_flight;
        let summary = &mut inner.ledger.summary;
        summary.in_flight_max = summary.in_flight_max.max(load);
        if !ramp.is_warm(since) {
            let load_ratio = f64::from(load) / f64::from(capacity.max(1));
            summary.cold_load_max = summary.cold_load_max.max(load_ratio);
        }
        if load <= capacity {
            inner.overloaded_since = None;
            return false;
        }
        summary.overloads += 1;
        if !ramp.is_warm(since) {
            summary.cold_overloads += 1;
            inner.overloaded_since.get_or_insert(now);
        }
        true
    }

    /// Removes one call from the load.
    pub(super) fn release(&self, outcome: Outcome) {
        let mut inner = self.inner.lock();
        inner.in_flight -= 1;
        let capacity = self.ramp().capacity_at(inner.cold_since.elapsed());
        if inner.in_flight <= capacity {
            inner.overloaded_since = None;
        }
        match outcome {
            Outcome::Done => {}
            Outcome::Cancelled => inner.ledger.summary.cancelled += 1,
            Outcome::Expired => inner.ledger.summary.expired += 1,
        }
    }

    /// Records the start of a run and returns its index.
    pub(super) fn record_start(&self, header: &Header) -> usize {
        self.inner.lock().ledger.record_start(header)
    }

    /// Records the end of a run.
    pub(super) fn record_end(&self, index: usize, header: &Header) {
        self.inner.lock().ledger.record_end(index, header);
    }

    fn ramp(&self) -> Ramp {
        let Settings { slots, cold_slots, warm_up, .. } = self.settings;
        Ramp { cold_slots, slots, warm_up }
    }
}

impl Inner {
    fn is_crashed(&self, now: Instant) -> bool {
        self.crashed_until.is_some_and(|until| now < until)
    }

    /// Makes the target unavailable for [`CRASH_DURATION`]; it restarts cold and without flows.
    fn crash(&mut self, now: Instant) {
        let restart = now + CRASH_DURATION;
        self.ledger.summary.falls += 1;
        self.ledger.clear_flows();
        self.crashed_until = Some(restart);
        self.cold_since = restart;
        self.overloaded_since = None;
    }
}

/// Outcome of an admitted call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The call was answered.
    Done,
    /// The client dropped the call.
    Cancelled,
    /// The deadline passed in the queue.
    Expired,
}
