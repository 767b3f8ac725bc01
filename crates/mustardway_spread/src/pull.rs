//! Pulls of a greater revision from a peer, and answers to the pulls of peers.

use mustardway_types::instance;
use mustardway_types::revision;
use mustardway_types::time::Instant;
use rand::RngExt;

use crate::action::Action;
use crate::delta;
use crate::message::{Body, Message, Part, Pull};
use crate::replica::{ExcludedSource, Replica};
use crate::report;
use crate::set::Set;
use crate::transfer::{Label, Transfer};

impl Replica {
    /// Returns the greatest revision of any peer that is greater than the one in
    /// force and was not refused.
    pub(crate) fn greatest_offered(&self) -> Option<revision::Number> {
        let mut best = None;
        for source in self.sources.values() {
            let refused = self.adoption.has_refused(source.number, source.digest);
            if refused || source.number <= self.in_force.number {
                continue;
            }
            best = best.max(Some(source.number));
        }
        best
    }

    /// Starts a pull from a random peer that has the greatest revision, unless a
    /// transfer is under way or that revision already awaits its verdict.
    pub(crate) fn start_pull(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.transfer.is_some() {
            return;
        }
        let Some(best) = self.greatest_offered() else { return };
        if best <= self.adoption.greatest_waiting() {
            return;
        }
        let mut holders = Vec::new();
        for (id, source) in &self.sources {
            let refused = self.adoption.has_refused(source.number, source.digest);
            if refused || source.number != best {
                continue;
            }
            holders.push(id.clone());
        }
        if let Some(excluded) =
            self.excluded_source.as_ref().filter(|excluded| now < excluded.until)
        {
            holders.retain(|id| *id != excluded.id);
        }
        if holders.is_empty() {
            return;
        }
        let from = holders.swap_remove(self.rng.random_range(0..holders.len()));
        let pull = Pull {
            base_number: self.in_force.number.0,
            base_digest: self.in_force.digest.0,
            whole: self.request_whole,
        };
        self.counts.pulls += 1;
        self.transfer = Some(Transfer::new(from.clone(), now));
        actions.push(Action::Send { to: from, message: Message::from(Body::Pull(pull)) });
    }

    /// Abandons a transfer that has stalled, and excludes its sender for a while.
    pub(crate) fn expire_transfer(&mut self, now: Instant) {
        let timeout = self.settings.pull_timeout;
        let Some(transfer) =
            self.transfer.take_if(|transfer| now.since(transfer.last_progress) >= timeout)
        else {
            return;
        };
        self.counts.timeouts += 1;
        self.excluded_source = Some(ExcludedSource { id: transfer.from, until: now + timeout });
    }

    /// Sends the revision in force to a peer that has a smaller one.
    pub(crate) fn send_revision(
        &mut self,
        to: &instance::Id,
        pull: &Pull,
        actions: &mut Vec<Action>,
    ) {
        if self.in_force.number.0 <= pull.base_number {
            return;
        }
        let bytes = self.history.encode(&self.in_force, pull);
        let size = self.settings.part_max.0 as usize;
        let parts = bytes.len().div_ceil(size).max(1);
        for index in 0..parts {
            let end = bytes.len().min((index + 1) * size);
            let part = Part {
                number: self.in_force.number.0,
                digest: self.in_force.digest.0,
                index: index as u32,
                parts: parts as u32,
                bytes: bytes.slice(index * size..end),
            };
            actions.push(Action::Send { to: to.clone(), message: Message::from(Body::Part(part)) });
        }
    }

    /// Handles one part of the transfer under way.
    pub(crate) fn handle_part(
        &mut self,
        from: &instance::Id,
        part: &Part,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let size = self.settings.part_max.0;
        let parts_max = 2 * self.settings.set_max.0.div_ceil(size);
        let fits = part.bytes.len() as u64 <= size && u64::from(part.parts) <= parts_max;
        if !fits || part.index >= part.parts {
            self.counts.malformed += 1;
            return;
        }
        let Some(transfer) = &mut self.transfer else { return };
        let number = revision::Number(part.number);
        if transfer.from != *from || number <= self.in_force.number {
            return;
        }
        let whole = transfer.add_part(part, now);
        self.remember_source(from, number, revision::Digest(part.digest));
        if !whole {
            return;
        }
        let Some(transfer) = self.transfer.take() else { return };
        let Some(label) = transfer.label else { return };
        self.finish_transfer(transfer, label, now, actions);
    }

    fn finish_transfer(
        &mut self,
        transfer: Transfer,
        label: Label,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let from = transfer.from.clone();
        let number = label.number;
        let files = delta::apply(&self.in_force, transfer.join());
        let files = files.ok().filter(|files| self.digester.digest(files) == label.digest);
        let Some(files) = files else {
            self.counts.mismatches += 1;
            self.request_whole = true;
            let until = now + self.settings.pull_timeout;
            self.excluded_source = Some(ExcludedSource { id: from.clone(), until });
            actions.push(Action::Report(report::Kind::DigestMismatch { from, number }));
            return;
        };
        self.request_whole = false;
        let set = Set { number, digest: label.digest, files };
        if set.bytes() as u64 > self.settings.set_max.0 {
            self.refuse_large(number, label.digest, actions);
            return;
        }
        self.propose(set, actions);
    }

    /// Refuses a revision that is larger than allowed, and reports it once.
    pub(crate) fn refuse_large(
        &mut self,
        number: revision::Number,
        digest: revision::Digest,
        actions: &mut Vec<Action>,
    ) {
        if self.adoption.has_refused(number, digest) {
            return;
        }
        self.counts.too_large += 1;
        self.adoption.refuse(number, digest);
        actions.push(Action::Report(report::Kind::TooLarge { number }));
    }
}
