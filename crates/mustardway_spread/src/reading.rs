//! Reads of the platform: decides when this instance reads, and handles the
//! answers.
//!
//! A reader keeps one long poll open. Any other instance, joining or not, reads
//! only if no instance has announced a recent confirmation. Such reads are
//! spread over a time that grows with the fleet, since the first that succeeds
//! makes the others unnecessary. Failed reads back off, so that a platform that
//! is down is not overloaded with reads.
//!
//! One reader of the fleet, the verifier, renews its long poll every few seconds. It
//! notices a revision that the silent open reads of all readers would miss.

use mustardway_types::revision;
use mustardway_types::time::{Instant, Span};
use rand::RngExt;
use rand_pcg::Pcg32;

use crate::action::Action;
use crate::platform::{Answer, Content, Failure};
use crate::replica::Replica;
use crate::report;
use crate::set::{Files, Set};
use crate::settings::{Settings, VERIFIER_GRACE, VERIFIER_WAIT, WAIT_GRACE};

/// Shortest time between two reads by one instance.
const INTERVAL: Span = Span::millis(100);

/// State of the platform reads of one instance.
#[derive(Debug)]
pub(crate) struct Reading {
    reader: bool,
    verifier: bool,
    open_read: Option<Read>,
    /// Earliest time of the next read.
    next_read: Instant,
    /// Random position of this instance in the time over which reads are spread,
    /// from 0 to below 1.
    spread_position: f64,
    backoff: Span,
    /// Whether the latest read was answered.
    last_succeeded: bool,
    /// Whether any read was answered or has failed.
    completed: bool,
    failure_reported: bool,
    stale_reported: bool,
    conflict_reported: Option<revision::Digest>,
}

/// A read that has not been answered yet.
#[derive(Debug, Clone, Copy)]
struct Read {
    since: Instant,
    wait: Span,
    /// Time after which the read counts as timed out.
    timeout: Span,
}

impl Reading {
    /// Creates the read state of an instance that joins `now`.
    pub(crate) fn new(settings: &Settings, rng: &mut Pcg32, now: Instant) -> Self {
        let jitter = Span(rng.random_range(0..=settings.join_jitter.0));
        Reading {
            reader: false,
            verifier: false,
            open_read: None,
            next_read: now + jitter,
            spread_position: rng.random(),
            backoff: settings.backoff.0,
            last_succeeded: false,
            completed: false,
            failure_reported: false,
            stale_reported: false,
            conflict_reported: None,
        }
    }

    /// Returns whether any read was answered or has failed.
    pub(crate) fn has_completed_read(&self) -> bool {
        self.completed
    }

    /// Returns whether this instance is a reader.
    pub(crate) fn is_reader(&self) -> bool {
        self.reader
    }

    /// Returns the backoff after a failed read, with a random reduction of up to
    /// half, and doubles the backoff for the next failure.
    fn next_pause(&mut self, shortest: Span, longest: Span, rng: &mut Pcg32) -> Span {
        let pause = self.backoff.clamp(shortest, longest);
        self.backoff = Span(longest.0.min(pause.0 * 2));
        Span(rng.random_range(pause.0 / 2..=pause.0))
    }

    /// Sets whether this instance is a reader. A new reader reads soon.
    pub(crate) fn set_reader(&mut self, reader: bool, now: Instant) {
        if reader && !self.reader && self.completed {
            self.next_read = self.next_read.min(now + INTERVAL);
        }
        self.reader = reader;
    }

    /// Sets whether this instance is the verifier.
    pub(crate) fn set_verifier(&mut self, verifier: bool) {
        self.verifier = verifier;
    }
}

impl Replica {
    /// Starts a read if one is due and none is open. An open read is timed out if it
    /// is overdue; an open long poll after a successful read confirms the revision
    /// in force.
    pub(crate) fn start_read(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if let Some(read) = self.reading.open_read {
            if now.since(read.since) >= read.timeout {
                self.handle_overdue_read(read, now, actions);
            } else if self.reading.last_succeeded && read.wait > Span::ZERO {
                self.record_confirmation(now);
            }
            return;
        }
        let joining = !self.ready && !self.reading.completed && !self.is_confirmed(now);
        let unconfirmed = self.age(now) >= self.fallback_age(now);
        if now < self.reading.next_read || !(self.reading.reader || joining || unconfirmed) {
            return;
        }
        let (wait, grace) = match self.reading.reader && self.reading.last_succeeded {
            true if self.reading.verifier => (VERIFIER_WAIT, VERIFIER_GRACE),
            true => (self.settings.long_poll_wait, WAIT_GRACE),
            false => (Span::ZERO, self.settings.long_poll_wait + WAIT_GRACE),
        };
        self.reading.open_read = Some(Read { since: now, wait, timeout: wait + grace });
        self.counts.reads += 1;
        let after = self.in_force.number.max(self.adoption.greatest_seen());
        actions.push(Action::Read { after, wait });
    }

    /// Times out an open read. An overdue long poll may have been lost while new reads
    /// are answered, so the next read follows at once.
    fn handle_overdue_read(&mut self, read: Read, now: Instant, actions: &mut Vec<Action>) {
        self.handle_read_result(Err(Failure::Timeout), now, actions);
        if read.wait > Span::ZERO {
            self.reading.next_read = now;
        }
    }

    /// Handles the result of the open read.
    pub(crate) fn handle_read_result(
        &mut self,
        answer: Result<Answer, Failure>,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        self.reading.open_read = None;
        self.reading.completed = true;
        self.reading.last_succeeded = answer.is_ok();
        match answer {
            Ok(answer) => self.handle_answer(answer, now, actions),
            Err(failure) => self.handle_failure(failure, now, actions),
        }
    }

    /// Returns whether the platform has recently confirmed to any instance that the
    /// revision in force here is the latest.
    pub(crate) fn is_confirmed(&self, now: Instant) -> bool {
        self.in_force.number.0 > 0 && self.age(now) < self.settings.confirmation_max_age
    }

    /// Returns the time over which instances that are no readers spread their
    /// reads. An isolated instance ignores the size of the fleet.
    fn fallback_window(&self, now: Instant) -> Span {
        let jitter = self.settings.confirmation_jitter;
        let has_peers =
            self.last_heard.is_some_and(|heard| now.since(heard) < self.settings.isolation_timeout);
        if !has_peers {
            return jitter;
        }
        let share = self.live as u64 * 1_000_000 / self.settings.fallback_rate.0.max(1);
        jitter.max(Span(share))
    }

    /// Returns the age of the last confirmation from which this instance reads
    /// although it is no reader.
    fn fallback_age(&self, now: Instant) -> Span {
        let offset = self.fallback_window(now).0 as f64 * self.reading.spread_position;
        self.settings.confirmation_max_age + Span(offset as u64)
    }

    fn handle_failure(&mut self, failure: Failure, now: Instant, actions: &mut Vec<Action>) {
        self.counts.failures += 1;
        let (shortest, longest) = if self.reading.reader {
            (self.settings.backoff.0, self.settings.reader_backoff)
        } else {
            (self.fallback_window(now), self.settings.backoff.1.max(self.fallback_window(now)))
        };
        let pause = self.reading.next_pause(shortest, longest, &mut self.rng);
        self.reading.next_read = now + pause;
        if self.reading.failure_reported {
            return;
        }
        self.reading.failure_reported = true;
        actions.push(Action::Report(report::Kind::PlatformFailed { failure }));
    }

    fn handle_answer(&mut self, answer: Answer, now: Instant, actions: &mut Vec<Action>) {
        self.reading.next_read = now + INTERVAL;
        self.reading.backoff = self.settings.backoff.0;
        self.reading.spread_position = self.rng.random();
        if self.reading.failure_reported {
            self.reading.failure_reported = false;
            actions.push(Action::Report(report::Kind::PlatformRecovered));
        }
        self.record_confirmation(now);
        let stale = answer.number < self.in_force.number;
        if stale {
            self.report_stale(answer.number, actions);
            return;
        }
        self.reading.stale_reported = false;
        let Content::Whole(files) = answer.content else { return };
        self.handle_files(answer.number, files, actions);
    }

    fn handle_files(&mut self, number: revision::Number, files: Files, actions: &mut Vec<Action>) {
        let digest = self.digester.digest(&files);
        if number == self.in_force.number {
            self.report_platform_conflict(digest, actions);
            return;
        }
        let set = Set { number, digest, files };
        if set.bytes() as u64 > self.settings.set_max.0 {
            self.refuse_large(number, digest, actions);
            return;
        }
        self.propose(set, actions);
    }

    fn report_stale(&mut self, number: revision::Number, actions: &mut Vec<Action>) {
        self.counts.stale += 1;
        if self.reading.stale_reported {
            return;
        }
        self.reading.stale_reported = true;
        actions.push(Action::Report(report::Kind::PlatformStale { number }));
    }

    fn report_platform_conflict(&mut self, digest: revision::Digest, actions: &mut Vec<Action>) {
        if digest == self.in_force.digest {
            return;
        }
        self.counts.conflicts += 1;
        if self.reading.conflict_reported == Some(digest) {
            return;
        }
        self.reading.conflict_reported = Some(digest);
        let number = self.in_force.number;
        actions.push(Action::Report(report::Kind::PlatformConflict { number }));
    }
}
