//! Contested flows: flows whose opening packet was sent to several targets.
//!
//! Each of these targets may answer. The caller acknowledges the first answer, which
//! opens the flow, but it sends the token of the answer that it received last, which may
//! come seconds later. An instance that did not see the flow open would follow that token
//! to a target that does not hold the flow and resets it.
//!
//! The caller's first packet shows the holder, since no other answer can have come before
//! it. The instance that gets it tells its peers, and forwards it once they know. The
//! instance that sent the copy tells of the copy if it does not get the first packet
//! itself. An instance that has just started asks its peers.

pub mod message;
mod unconfirmed;

use std::collections::VecDeque;

use mustardway_types::instance;
use mustardway_types::time::{Instant, Span};
use rustc_hash::FxHashMap;

use crate::contested::message::{Entry, Holders};
use crate::contested::unconfirmed::Unconfirmed;
use crate::packet::{Flow, Packet};
use crate::table::SENT_MAX_BYTES;
use crate::token::Token;

/// Time for which the holder of a flow is known: as long as a flow may last.
const RETENTION: Span = Span::seconds(60);
/// Maximum number of contested flows that are known.
const CONTESTS_MAX: usize = 1_024;
/// Bytes per second that announcements to all peers together may take: half of what an
/// instance may send for control.
const ANNOUNCED_BYTES_PER_SECOND: u64 = 14 * 1_024;
/// Maximum number of flows in one announcement.
const ANNOUNCED_MAX: usize = 32;
/// Time for which announcements may be sent ahead of that rate.
const ANNOUNCED_BURST: Span = Span::seconds(1);
/// Maximum number of peers that are asked after a start.
const REQUESTS_MAX: usize = 4;
/// Number of peers that are asked at once after a start.
const REQUESTS_AT_ONCE: usize = 2;
/// Time between two of the requests that follow.
const REQUEST_INTERVAL: Span = Span::millis(100);
/// Time after which peers are asked again if none has answered.
const REQUEST_TIMEOUT: Span = Span::millis(500);
/// Time after a start or a pause within which the answers of the peers are awaited.
const CATCH_UP_TIME_MAX: Span = Span::millis(300);
/// Age up to which a contested flow is told to an instance that has become known: the time
/// until all instances know of one that has started.
const TOLD_TO_STARTED_AGE_MAX: Span = Span::seconds(5);

/// A contested flow.
#[derive(Debug, Clone, Copy)]
struct Contest {
    /// Sequence number of the opening packet.
    opening: u32,
    /// Time at which the flow opened or, until that is known, the copy was sent.
    since: Instant,
    /// Token of the target that holds the flow, once it is known.
    holder: Option<Token>,
    /// Whether this instance saw what it tells of the flow.
    is_own: bool,
}

/// The contested flows that one instance knows.
#[derive(Debug, Default)]
pub struct Registry {
    contests: FxHashMap<Flow, Contest>,
    /// Flows whose holders the peers have not been told.
    unannounced: VecDeque<Flow>,
    /// Flows of whose copies the peers have not been told.
    unannounced_copies: VecDeque<Flow>,
    unconfirmed: Unconfirmed,
    /// Time at which the announcements so far are in line with the permitted rate.
    announced_until: Instant,
    /// Time since which this instance has heard all announcements.
    listening_since: Option<Instant>,
    /// Peers that were asked for the flows from before that.
    asked: Vec<instance::Id>,
    /// Number of answers to the requests.
    answers: usize,
    next_request: Instant,
    /// Time until which the answers to the first requests are awaited.
    catch_up_ends: Instant,
    /// Whether a peer that knew all contested flows has answered.
    is_complete: bool,
}

impl Registry {
    /// Returns the token of the target that holds the flow of a packet, if it is a known
    /// contested flow.
    pub fn holder(&self, packet: &Packet) -> Option<Token> {
        let contest = self.contests.get(&packet.flow())?;
        let sent = packet.sequence.wrapping_sub(contest.opening);
        contest.holder.filter(|_| sent < SENT_MAX_BYTES)
    }

    /// Returns the token of the target that holds a contested flow, if it is known.
    pub fn holder_of(&self, flow: &Flow) -> Option<Token> {
        self.contests.get(flow)?.holder
    }

    /// Returns the sequence number of the opening packet of a contested flow.
    pub fn opening_of(&self, flow: &Flow) -> Option<u32> {
        self.contests.get(flow).map(|contest| contest.opening)
    }

    /// Records that this instance sent a copy of the opening packet of a flow to another
    /// target than the one that may have got the packet before.
    pub fn record_copy(&mut self, flow: Flow, opening: u32, now: Instant) {
        let contest = Contest { opening, since: now, holder: None, is_own: true };
        if self.insert(flow, contest) && self.unannounced_copies.len() < CONTESTS_MAX {
            self.unannounced_copies.push_back(flow);
        }
    }

    /// Records that this instance saw a contested flow open, to tell the peers. Returns
    /// whether that was not known.
    pub fn record(&mut self, flow: Flow, token: Token, opening: u32, now: Instant) -> bool {
        let contest = Contest { opening, since: now, holder: Some(token), is_own: true };
        let is_new = self.insert(flow, contest);
        if is_new && self.unannounced.len() < CONTESTS_MAX {
            self.unannounced.push_back(flow);
            self.unconfirmed.restart(flow, now);
        }
        is_new
    }

    /// Forgets a flow whose addresses are used by a new one.
    pub fn forget(&mut self, flow: &Flow) {
        self.contests.remove(flow);
    }

    /// Records what a peer has told, and returns the holders that were not known.
    pub fn merge(&mut self, told: &Holders, now: Instant) -> Vec<Entry> {
        let mut new = Vec::new();
        for (entry, is_held) in told.all() {
            let age = Span::millis(u64::from(entry.age_millis));
            let holder = is_held.then_some(Token(entry.token));
            let contest =
                Contest { opening: entry.opening, since: now - age, holder, is_own: false };
            if age < RETENTION && self.insert(entry.flow(), contest) && is_held {
                self.unconfirmed.remove(&entry.flow(), now);
                new.push(*entry);
            }
        }
        new
    }

    /// Adds a contested flow or its holder. Returns whether that was news.
    fn insert(&mut self, flow: Flow, contest: Contest) -> bool {
        if let Some(known) = self.contests.get(&flow) {
            let is_same = known.opening == contest.opening;
            // Only the first answer opens a flow.
            let is_news = is_same && known.holder.is_none() && contest.holder.is_some();
            if !is_news && (is_same || known.since > contest.since) {
                return false;
            }
        }
        if self.contests.len() >= CONTESTS_MAX {
            let oldest = self.contests.iter().min_by_key(|(flow, it)| (it.since, **flow));
            if let Some(oldest) = oldest.map(|(flow, _)| *flow) {
                self.contests.remove(&oldest);
            }
        }
        self.contests.insert(flow, contest);
        true
    }

    /// Lets the packets of a flow wait until a peer has told its holder, unless they have
    /// waited for that before.
    pub fn await_holder(&mut self, flow: Flow, now: Instant) {
        self.unconfirmed.add(flow, now);
    }

    /// Returns whether packets of a flow have to wait until its holder is agreed.
    pub fn is_waiting(&self, flow: &Flow, now: Instant) -> bool {
        self.unconfirmed.contains(flow, now)
    }

    /// Returns whether the packets of a flow have waited lately and need not wait any more.
    pub fn has_waited(&self, flow: &Flow, now: Instant) -> bool {
        self.unconfirmed.has_ended(flow, now)
    }

    /// Records that a peer has confirmed an announcement.
    pub fn confirm(&mut self, from: &instance::Id, number: u64) {
        self.unconfirmed.confirm(from, number);
    }

    /// Waits only for the confirmations of peers that are live.
    pub fn retain_peers(&mut self, live: &[instance::Id]) {
        self.unconfirmed.retain_peers(live);
    }

    /// Returns whether packets of a flow need not wait any more since the last call.
    pub fn take_ended_waits(&mut self, now: Instant) -> bool {
        self.unconfirmed.take_ended(now)
    }

    /// Returns whether peers are to be told about holders now.
    pub fn is_announcement_due(&self, now: Instant) -> bool {
        !self.unannounced.is_empty() && self.may_announce(now)
    }

    /// Returns whether peers are to be told about copies now.
    pub fn are_copies_due(&self, now: Instant) -> bool {
        !self.unannounced_copies.is_empty() && self.may_announce(now)
    }

    fn may_announce(&self, now: Instant) -> bool {
        self.announced_until <= now + ANNOUNCED_BURST
    }

    /// Takes the next announcement of holders, which is sent to the peers `near` and to `far`
    /// others. Those in `near` confirm it.
    pub fn take_announcement(
        &mut self,
        near: &[instance::Id],
        far: usize,
        now: Instant,
    ) -> Holders {
        let count = self.unannounced.len().min(ANNOUNCED_MAX);
        let flows: Vec<Flow> = self.unannounced.drain(..count).collect();
        let number = self.unconfirmed.announce(&flows, near);
        let holders = Holders { number, ..self.encode(&flows, now) };
        self.count_announced(&holders, near.len() + far, now);
        holders
    }

    /// Takes the next announcement of copies whose flows are not known to be open, which is
    /// sent to `peers` peers.
    pub fn take_copies(&mut self, peers: usize, now: Instant) -> Holders {
        let count = self.unannounced_copies.len().min(ANNOUNCED_MAX);
        let mut flows: Vec<Flow> = self.unannounced_copies.drain(..count).collect();
        flows.retain(|flow| self.contests.get(flow).is_some_and(|it| it.holder.is_none()));
        let holders = self.encode(&flows, now);
        self.count_announced(&holders, peers, now);
        holders
    }

    fn count_announced(&mut self, holders: &Holders, peers: usize, now: Instant) {
        let bytes = (Entry::BYTES_MAX * holders.all().count() * peers) as u64;
        let time = Span(bytes * 1_000_000 / ANNOUNCED_BYTES_PER_SECOND);
        self.announced_until = self.announced_until.max(now) + time;
    }

    /// Returns what this instance has seen lately, for one that has just become known.
    pub fn recent(&self, now: Instant) -> Holders {
        let recent = self.contests.iter().filter(|(_, contest)| {
            contest.is_own && now.since(contest.since) < TOLD_TO_STARTED_AGE_MAX
        });
        let mut flows: Vec<Flow> = recent.map(|(flow, _)| *flow).collect();
        flows.sort_unstable();
        self.encode(&flows, now)
    }

    /// Returns the answer to the request of a peer that has started.
    pub fn answer(&self, now: Instant) -> Holders {
        let has_heard_all = self.listening_since.is_some_and(|at| now.since(at) >= RETENTION);
        let flows: Vec<Flow> = self.contests.keys().copied().collect();
        let is_complete = self.is_complete || has_heard_all;
        Holders { is_complete, ..self.encode(&flows, now) }
    }

    fn encode(&self, flows: &[Flow], now: Instant) -> Holders {
        let mut holders = Holders::default();
        for flow in flows {
            let Some(contest) = self.contests.get(flow) else { continue };
            let token = contest.holder.unwrap_or_default();
            let entry = Entry::new(*flow, token, contest.opening, now.since(contest.since));
            match contest.holder {
                Some(_) => holders.entries.push(entry),
                None => holders.copies.push(entry),
            }
        }
        holders
    }

    /// Records the answer to a request, whose sender may have known all contested flows.
    pub fn record_answer(&mut self, is_complete: bool) {
        self.answers += 1;
        self.is_complete |= is_complete;
    }

    /// Returns whether peers were asked after a start or a pause and may still tell the
    /// holders of flows that opened before.
    pub fn is_catching_up(&self, now: Instant) -> bool {
        let is_answered = self.is_complete || self.answers >= self.asked.len();
        !is_answered && now < self.catch_up_ends
    }

    /// Returns whether a peer is to be asked now for the flows that opened before this
    /// instance started.
    pub fn is_request_due(&mut self, now: Instant) -> bool {
        let listening_since = *self.listening_since.get_or_insert(now);
        let is_over = self.is_complete || now.since(listening_since) >= RETENTION;
        if is_over || now < self.next_request {
            return false;
        }
        if self.asked.len() >= REQUESTS_MAX && self.answers == 0 {
            self.asked.clear();
        }
        self.asked.len() < REQUESTS_MAX
    }

    /// Returns the peers to ask next, the first ones of `peers` that have not been asked.
    pub fn take_requests(&mut self, peers: &[instance::Id], now: Instant) -> Vec<instance::Id> {
        let is_first = self.catch_up_ends == Instant::default();
        let count = if self.asked.is_empty() { REQUESTS_AT_ONCE } else { 1 };
        let remaining = peers.iter().filter(|id| !self.asked.contains(id));
        let chosen: Vec<_> = remaining.take(count).cloned().collect();
        if chosen.is_empty() && self.asked.is_empty() {
            return chosen;
        }
        if chosen.is_empty() && self.answers == 0 {
            self.asked.clear();
        }
        if is_first {
            self.catch_up_ends = now + CATCH_UP_TIME_MAX;
        }
        self.asked.extend(chosen.iter().cloned());
        let is_last = chosen.is_empty() || self.asked.len() >= REQUESTS_MAX;
        self.next_request = now + if is_last { REQUEST_TIMEOUT } else { REQUEST_INTERVAL };
        chosen
    }

    /// Asks the peers once more, since this instance may have missed announcements.
    pub fn ask_again(&mut self, now: Instant) {
        self.listening_since = Some(now);
        self.asked.clear();
        self.answers = 0;
        self.next_request = now;
        self.catch_up_ends = Instant::default();
        self.is_complete = false;
    }

    /// Removes flows that have ended by now.
    pub fn remove_expired(&mut self, now: Instant) {
        self.contests.retain(|_, contest| now.since(contest.since) < RETENTION);
    }

    /// Returns the number of contested flows.
    pub fn len(&self) -> usize {
        self.contests.len()
    }

    /// Returns whether no contested flow is known.
    pub fn is_empty(&self) -> bool {
        self.contests.is_empty()
    }
}
