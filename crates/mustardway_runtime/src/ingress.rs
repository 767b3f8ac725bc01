//! The ingress role: routes a packet from its arrival at this instance to its answer.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use mustardway_gate::Key;
use mustardway_peer::link::Peer;
use mustardway_peer::send::Priority;
use mustardway_peer::transmission;
use mustardway_routing::attempt::Attempt;
use mustardway_routing::step::{self, Mode, Reply, Step};
use mustardway_types::answer::{Answer, Reason};
use mustardway_types::packet::Header;
use mustardway_types::request::Repeat;
use mustardway_types::target;
use mustardway_types::time::{Instant, Span};

use crate::message::{self, Cancel, Elsewhere, HeaderMessage, Kind, Outcome, mode};
use crate::node::Node;
use crate::owner;
use crate::promise_checks;
use crate::relay::Resolution;

/// Time between two checks whether a fenced instance is unfenced.
const FENCE_POLL_INTERVAL: Span = Span::millis(50);
/// Longest time for which a packet waits until its instance is unfenced.
const FENCE_WAIT_MAX: Span = Span::seconds(2);
/// Time after which the caller of a fenced instance may retry.
const FENCE_COME_BACK: Span = Span::millis(500);

/// How a packet ended.
#[derive(Debug)]
pub enum Served {
    /// The target answered.
    Done {
        /// Target that ran the request.
        target: target::Id,
        /// Payload of the answer.
        payload: Bytes,
    },
    /// The packet was answered without a reply of a target.
    Answer(Answer),
}

/// Serves one packet and counts its answer. Dropping the future cancels the packet.
pub async fn serve(node: &Arc<Node>, header: Header, payload: Bytes, deadline: Instant) -> Served {
    node.in_flight.fetch_add(1, Ordering::Relaxed);
    let _in_flight = InFlightGuard(Arc::clone(node));
    let is_retry = header.repeat == Repeat::Once && header.attempt > 1;
    let served = match wait_until_unfenced(node, deadline).await {
        Ok(()) => run_attempt(node, header, payload, deadline).await,
        // An earlier attempt may have run, so the answer must not claim the opposite.
        Err(_) if is_retry => Served::Answer(Answer::new(Reason::Forgotten)),
        Err(answer) => Served::Answer(answer),
    };
    node.count_answer(match &served {
        Served::Done { .. } => Reason::Answered,
        Served::Answer(answer) => answer.reason,
    });
    served
}

/// Counts a packet as in flight until the guard is dropped.
struct InFlightGuard(Arc<Node>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Waits until this instance is no longer fenced.
///
/// # Errors
/// Returns the answer for the caller if this instance is still fenced after [`FENCE_WAIT_MAX`] or
/// shortly before the deadline.
async fn wait_until_unfenced(node: &Node, deadline: Instant) -> Result<(), Answer> {
    let give_up = deadline.min(node.clock.now() + FENCE_WAIT_MAX);
    while node.is_fenced() {
        if node.clock.now() + FENCE_POLL_INTERVAL >= give_up {
            return Err(Answer::come_back(Reason::Woken, FENCE_COME_BACK));
        }
        tokio::time::sleep(FENCE_POLL_INTERVAL.into()).await;
    }
    Ok(())
}

/// Runs the routing steps of one packet until it has an answer, then updates the flow cache and
/// notifies the owners that refused the flow.
async fn run_attempt(
    node: &Arc<Node>,
    header: Header,
    payload: Bytes,
    deadline: Instant,
) -> Served {
    node.budget.lock().earn();
    let cached = node.cache(header.flow).lock().touch(header.flow);
    let is_established = cached.is_some();
    let snapshot = node.snapshot();
    let now = node.clock.now();
    let (mut attempt, mut step) = Attempt::start(header.clone(), deadline, cached, &snapshot, now);
    let served = loop {
        match step {
            Step::Answer(answer) => break Served::Answer(answer),
            Step::Pause(span) => {
                tokio::time::sleep(span.into()).await;
                step = attempt.resume(&node.snapshot());
            }
            Step::Ask(ask) => {
                let outcome = ask_owner(node, &header, &payload, deadline, &ask).await;
                let reply = match interpret(outcome) {
                    Ok(served) => break served,
                    Err(reply) => reply,
                };
                let now = node.clock.now();
                let mut budget = node.budget.lock();
                step = attempt.reply(reply, &node.snapshot(), &mut budget, now);
            }
        }
    };
    promise_checks::record_answer(node, &header, is_established, &served);
    update_cache(node, &header, &served);
    notify_refusing_owners(node, &header, &attempt, &served);
    served
}

/// Converts the result of an ask to the end of the packet, or to the reply from which the attempt
/// derives its next step.
fn interpret(outcome: AskResult) -> Result<Served, Reply> {
    let outcome = match outcome {
        AskResult::Outcome(outcome) => outcome,
        AskResult::NotSent => return Err(Reply::NotSent),
        AskResult::Lost => return Err(Reply::Lost),
        AskResult::Overrun => return Ok(Served::Answer(Answer::new(Reason::Overrun))),
    };
    match outcome {
        Outcome::Done(done) => match done.target.parse() {
            Ok(target) => Ok(Served::Done { target, payload: done.payload }),
            Err(_) => Err(Reply::Lost),
        },
        Outcome::Final(answer) => Err(Reply::Answer(answer.to_answer())),
        Outcome::Moved(target) => {
            let unreadable = Reply::UnknownFlow { is_complete: false };
            Err(target.parse().map_or(unreadable, Reply::Moved))
        }
        Outcome::UnknownFlow(is_complete) => Err(Reply::UnknownFlow { is_complete }),
        Outcome::NotOwner(owner) => Err(Reply::NotOwner(owner.parse().ok())),
        Outcome::Wait(micros) => Err(Reply::Wait(Span(micros))),
        Outcome::TryNext(refusal) => {
            let answer = refusal.answer.to_answer();
            Err(Reply::TryNext { answer, not_run_before: refusal.whole })
        }
        Outcome::Reserved(not_run_before) => Err(Reply::Reserved { not_run_before }),
    }
}

/// Updates the flow cache with the end of a packet.
fn update_cache(node: &Node, header: &Header, served: &Served) {
    let mut cache = node.cache(header.flow).lock();
    match served {
        Served::Done { .. } if header.closing => cache.remove(header.flow),
        Served::Done { target, .. } => cache.insert(header.flow, target.clone()),
        Served::Answer(answer) => match answer.reason {
            Reason::DomainOut | Reason::FlowUnknown | Reason::TargetGone => {
                cache.remove(header.flow);
            }
            _ => {}
        },
    }
}

/// Tells the owners that refused the new flow where it was placed.
fn notify_refusing_owners(node: &Arc<Node>, header: &Header, attempt: &Attempt, served: &Served) {
    let elsewhere = match served {
        Served::Done { target, .. } => target.to_string(),
        Served::Answer(answer) if answer.kind().says_not_run() => String::new(),
        Served::Answer(_) => return,
    };
    for target in attempt.refused_by() {
        let notice = Elsewhere {
            target: target.to_string(),
            flow: header.flow.0,
            elsewhere: elsewhere.clone(),
            request: header.request.0,
            part: header.part,
            attempt: header.attempt,
        };
        let snapshot = node.snapshot();
        let Some(owner) = snapshot.owner(target) else { continue };
        if owner.id == node.me {
            owner::record_elsewhere(node, &notice);
            continue;
        }
        let peer = Peer { id: owner.id.clone(), address: owner.peer };
        node.send_to(&peer, Priority::Bulk, Kind::Elsewhere, &notice);
    }
}

/// The result of an ask.
enum AskResult {
    Outcome(Outcome),
    NotSent,
    Lost,
    Overrun,
}

/// Asks the owner, which may be this instance, to run the request.
async fn ask_owner(
    node: &Arc<Node>,
    header: &Header,
    payload: &Bytes,
    deadline: Instant,
    ask: &step::Ask,
) -> AskResult {
    let remaining = deadline.since(node.clock.now());
    let mut message = message::Ask {
        id: node.relay.next_id(),
        header: Some(HeaderMessage::new(header)),
        payload: payload.clone(),
        remaining_micros: remaining.0,
        target: ask.target.to_string(),
        whole: ask.not_run_before,
        ..message::Ask::default()
    };
    (message.mode, message.elsewhere) = match &ask.mode {
        Mode::Open => (mode::OPEN, String::new()),
        Mode::OpenLast => (mode::OPEN_LAST, String::new()),
        Mode::Established => (mode::ESTABLISHED, String::new()),
        Mode::Find => (mode::FIND, String::new()),
        Mode::Reserve { elsewhere } => (mode::RESERVE, elsewhere.to_string()),
    };
    if ask.owner == node.me {
        return AskResult::Outcome(owner::serve(node, message, true).await);
    }
    if header.repeat == Repeat::Once {
        let now = node.clock.now();
        node.forwarded.lock().insert(ask.target.clone(), Key::of(header), now);
    }
    let call = ask_remote(node, message, ask);
    let limit = Duration::from(remaining);
    tokio::time::timeout(limit, call).await.unwrap_or(AskResult::Overrun)
}

/// Asks another instance and waits for its reply.
async fn ask_remote(node: &Arc<Node>, mut message: message::Ask, ask: &step::Ask) -> AskResult {
    let snapshot = node.snapshot();
    let Some(owner) = snapshot.live.get(&ask.owner) else { return AskResult::NotSent };
    let Some(mesh) = node.mesh.get() else { return AskResult::NotSent };
    message.reply_to = mesh.address().to_string();
    let peer = Peer { id: owner.id.clone(), address: owner.peer };
    let id = message.id;
    let mut reply = node.relay.register_ask(id, ask.owner.clone());
    let _guard = CancelOnDrop { node: Arc::clone(node), id, peer: peer.clone() };
    let Some(ticket) = node.send_tracked(&peer, Kind::Ask, &message) else {
        node.relay.forget_ask(id);
        return AskResult::NotSent;
    };
    node.relay.set_link(id, ticket.link());
    tokio::select! {
        biased;
        resolution = &mut reply => return interpret_resolution(&ask.target, node, resolution.ok()),
        settled = ticket.outcome() => {
            if settled == transmission::Outcome::NotSent {
                node.relay.forget_ask(id);
                return AskResult::NotSent;
            }
        }
    }
    interpret_resolution(&ask.target, node, reply.await.ok())
}

/// Converts the resolution of an ask and records the load that its owner reported.
fn interpret_resolution(
    target: &target::Id,
    node: &Node,
    resolution: Option<Resolution>,
) -> AskResult {
    match resolution {
        Some(Resolution::Outcome(outcome)) => {
            if let Outcome::Done(done) = &outcome {
                node.record_load(target, done.load);
            }
            AskResult::Outcome(outcome)
        }
        Some(Resolution::Lost) | None => AskResult::Lost,
    }
}

/// Cancels an ask at its owner if it is dropped before the ask is resolved.
struct CancelOnDrop {
    node: Arc<Node>,
    id: u64,
    peer: Peer,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if self.node.relay.forget_ask(self.id) {
            let cancel = Cancel { id: self.id };
            self.node.send_to(&self.peer, Priority::Bulk, Kind::Cancel, &cancel);
        }
    }
}
