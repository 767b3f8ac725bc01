//! When this instance reads the platform, and what it makes of the answer.
//!
//! A reader keeps one waiting call open. Any other instance reads only when no
//! instance has told of a recent confirmation, be it joining or not.
//! Those reads are spread over a time that grows with the fleet, since the
//! first that succeeds spares the others theirs, and failed ones back off, so
//! that a platform that is down is not stormed.

use mustardway_types::revision;
use mustardway_types::time::{Instant, Span};
use rand::RngExt;
use rand_pcg::Pcg32;

use crate::action::Action;
use crate::platform::{Answer, Content, Failure};
use crate::replica::Replica;
use crate::report;
use crate::set::{Files, Set};
use crate::settings::Settings;

/// Shortest time between two reads of one instance.
const INTERVAL: Span = Span::millis(100);

/// Reads of the platform by one instance.
#[derive(Debug)]
pub(crate) struct Reading {
    reader: bool,
    open: Option<Read>,
    /// When the next read may start.
    next: Instant,
    /// Place of this instance in the time over which reads are spread, below 1.
    place: f64,
    backoff: Span,
    /// The latest read was answered.
    answered: bool,
    /// A read was answered or has failed.
    settled: bool,
    failed_told: bool,
    stale_told: bool,
    conflict_told: Option<revision::Digest>,
}

/// A read that has not been answered.
#[derive(Debug, Clone, Copy)]
struct Read {
    since: Instant,
    wait: bool,
}

impl Reading {
    /// Reads of an instance that joins `now`.
    pub(crate) fn new(settings: &Settings, rng: &mut Pcg32, now: Instant) -> Self {
        let jitter = Span(rng.random_range(0..=settings.join_jitter.0));
        Reading {
            reader: false,
            open: None,
            next: now + jitter,
            place: rng.random(),
            backoff: settings.backoff.0,
            answered: false,
            settled: false,
            failed_told: false,
            stale_told: false,
            conflict_told: None,
        }
    }

    /// Whether a read was answered or has failed.
    pub(crate) fn has_settled(&self) -> bool {
        self.settled
    }

    /// Whether this instance is a reader.
    pub(crate) fn is_reader(&self) -> bool {
        self.reader
    }

    /// Pause after a failed read; the next one is twice as long.
    fn pause(&mut self, shortest: Span, longest: Span, rng: &mut Pcg32) -> Span {
        let pause = self.backoff.clamp(shortest, longest);
        self.backoff = Span(longest.0.min(pause.0 * 2));
        Span(rng.random_range(pause.0 / 2..=pause.0))
    }

    /// Makes this instance a reader or another one.
    pub(crate) fn set_reader(&mut self, reader: bool, now: Instant) {
        if reader && !self.reader && self.settled {
            self.next = self.next.min(now + INTERVAL);
        }
        self.reader = reader;
    }
}

impl Replica {
    /// Reads the platform where it is due.
    pub(crate) fn start_read(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let longest = self.settings.wait + crate::settings::WAIT_GRACE;
        if let Some(read) = self.reading.open {
            if now.since(read.since) >= longest {
                self.take_platform(Err(Failure::Timeout), now, actions);
            } else if self.reading.answered && read.wait {
                self.confirm(now);
            }
            return;
        }
        let joining = !self.ready && !self.reading.settled && !self.is_confirmed(now);
        let unconfirmed = self.age(now) >= self.patience(now);
        if now < self.reading.next || !(self.reading.reader || joining || unconfirmed) {
            return;
        }
        let wait = self.reading.reader && self.reading.answered;
        self.reading.open = Some(Read { since: now, wait });
        self.counts.reads += 1;
        let after = self.in_force.number.max(self.adoption.seen());
        actions.push(Action::Read { after, wait });
    }

    /// Takes the answer to the open read.
    pub(crate) fn take_platform(
        &mut self,
        answer: Result<Answer, Failure>,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        self.reading.open = None;
        self.reading.settled = true;
        self.reading.answered = answer.is_ok();
        match answer {
            Ok(answer) => self.take_answer(answer, now, actions),
            Err(failure) => self.take_failure(failure, now, actions),
        }
    }

    /// Whether the platform has lately told some instance that nothing is newer
    /// than the revision in force here.
    pub(crate) fn is_confirmed(&self, now: Instant) -> bool {
        self.in_force.number.0 > 0 && self.age(now) < self.settings.confirm
    }

    /// Time over which the reads of all that are no readers are spread.
    fn window(&self, now: Instant) -> Span {
        let jitter = self.settings.confirm_jitter;
        let hears = self.heard.is_some_and(|heard| now.since(heard) < self.settings.cut_off);
        if !hears {
            return jitter;
        }
        let share = self.live as u64 * 1_000_000 / self.settings.fallback_rate.0.max(1);
        jitter.max(Span(share))
    }

    /// Age of the last confirmation beyond which this instance reads too.
    fn patience(&self, now: Instant) -> Span {
        let place = self.window(now).0 as f64 * self.reading.place;
        self.settings.confirm + Span(place as u64)
    }

    fn take_failure(&mut self, failure: Failure, now: Instant, actions: &mut Vec<Action>) {
        self.counts.failures += 1;
        let (shortest, longest) = if self.reading.reader {
            (self.settings.backoff.0, self.settings.reader_backoff)
        } else {
            (self.window(now), self.settings.backoff.1.max(self.window(now)))
        };
        let pause = self.reading.pause(shortest, longest, &mut self.rng);
        self.reading.next = now + pause;
        if self.reading.failed_told {
            return;
        }
        self.reading.failed_told = true;
        actions.push(Action::Report(report::Kind::PlatformFailed { failure }));
    }

    fn take_answer(&mut self, answer: Answer, now: Instant, actions: &mut Vec<Action>) {
        self.reading.next = now + INTERVAL;
        self.reading.backoff = self.settings.backoff.0;
        self.reading.place = self.rng.random();
        if self.reading.failed_told {
            self.reading.failed_told = false;
            actions.push(Action::Report(report::Kind::PlatformBack));
        }
        self.confirm(now);
        let stale = answer.number < self.in_force.number;
        if stale {
            self.tell_stale(answer.number, actions);
            return;
        }
        self.reading.stale_told = false;
        let Content::Whole(files) = answer.content else { return };
        self.take_files(answer.number, files, actions);
    }

    fn take_files(&mut self, number: revision::Number, files: Files, actions: &mut Vec<Action>) {
        let digest = self.digester.digest(&files);
        if number == self.in_force.number {
            self.tell_platform_conflict(digest, actions);
            return;
        }
        let set = Set { number, digest, files };
        if set.bytes() as u64 > self.settings.set_max.0 {
            self.refuse_large(number, digest, actions);
            return;
        }
        self.consider(set, actions);
    }

    fn tell_stale(&mut self, number: revision::Number, actions: &mut Vec<Action>) {
        self.counts.stale += 1;
        if self.reading.stale_told {
            return;
        }
        self.reading.stale_told = true;
        actions.push(Action::Report(report::Kind::PlatformStale { number }));
    }

    fn tell_platform_conflict(&mut self, digest: revision::Digest, actions: &mut Vec<Action>) {
        if digest == self.in_force.digest {
            return;
        }
        self.counts.conflicts += 1;
        if self.reading.conflict_told == Some(digest) {
            return;
        }
        self.reading.conflict_told = Some(digest);
        let number = self.in_force.number;
        actions.push(Action::Report(report::Kind::PlatformConflict { number }));
    }
}
