//! The owner role: has the gates of this instance admit asks, and runs the requests at targets.

use std::sync::Arc;
use std::time::Duration;

use mustardway_gate::gate::Gate;
use mustardway_gate::query::Explanation;
use mustardway_gate::{
    Admission, Ask, Candidate, Ending, Key, Mode, Outcome as RunOutcome, Ownership, ownership,
    ticket,
};
use mustardway_peer::link::Peer;
use mustardway_routing::live::Instance;
use mustardway_routing::snapshot::Snapshot;
use mustardway_types::answer::{Answer, Reason};
use mustardway_types::packet::Header;
use mustardway_types::request::Repeat;
use mustardway_types::target;
use mustardway_types::time::{Instant, Span};
use mustardway_view::model::Target;
use parking_lot::Mutex;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

use crate::handover;
use crate::message::{self, Elsewhere, Final, Kind, Outcome, Witness, mode};
use crate::node::{self, Node};
use crate::promise_checks;
use crate::ticket_table::{End, Job};
use crate::upstream;

/// Time that an ingress waits before it asks again when the gate or the view is not here yet.
const NOT_READY_WAIT: Span = Span::millis(100);
/// Time after which the caller may retry when ingress and owner have different views in force.
const VIEW_MISMATCH_WAIT: Span = Span::seconds(1);
/// Longest wait for the acknowledgement of one witness.
const WITNESS_TIMEOUT: Duration = Duration::from_millis(250);
/// Number of instances asked to be the witness before the request is refused.
const WITNESS_ATTEMPTS_MAX: usize = 2;

/// Serves an ask and returns its outcome. `is_local` tells whether this instance is also the
/// ingress. Dropping the future cancels the request.
pub async fn serve(node: &Arc<Node>, ask: message::Ask, is_local: bool) -> Outcome {
    let Some(header) = ask.header.as_ref().and_then(message::HeaderMessage::to_header) else {
        return Outcome::Final(Final::new(Answer::new(Reason::Malformed)));
    };
    let Ok(target) = ask.target.parse::<target::Id>() else {
        return Outcome::Final(Final::new(Answer::new(Reason::Malformed)));
    };
    let gate = match find_gate(node, &header, &target, ask.mode) {
        Ok(gate) => gate,
        Err(outcome) => return outcome,
    };
    let mode = match ask.mode {
        mode::OPEN => Mode::Open { candidate: Candidate::First, fresh: ask.whole },
        mode::OPEN_LAST => Mode::Open { candidate: Candidate::Last, fresh: ask.whole },
        mode::RESERVE => match ask.elsewhere.parse() {
            Ok(elsewhere) => Mode::Reserve { elsewhere },
            Err(_) => return Outcome::Final(Final::new(Answer::new(Reason::Malformed))),
        },
        _ => Mode::Established,
    };
    let deadline = node.clock.now() + Span(ask.remaining_micros);
    let asked = Ask { header: header.clone(), deadline, mode, ticket: node.tickets.next_id() };
    let job = Job { gate, target: target.clone(), header, payload: ask.payload, is_local };
    let outcome = admit(node, job, &asked).await;
    match outcome {
        Outcome::UnknownFlow(_) if ask.mode == mode::FIND => find_flow(node, &asked.header),
        outcome => outcome,
    }
}

/// Returns the gate of target `id`, or the outcome of the ask if this instance cannot decide it.
fn find_gate(
    node: &Node,
    header: &Header,
    id: &target::Id,
    mode: u32,
) -> Result<Arc<Mutex<Gate>>, Outcome> {
    if node.is_fenced() {
        return Err(Outcome::NotOwner(String::new()));
    }
    let snapshot = node.snapshot();
    let target = snapshot.target(id).ok_or(Outcome::Wait(NOT_READY_WAIT.0))?;
    if !serves_address(&snapshot, header, target, mode) {
        let answer = Answer::come_back(Reason::Quarantined, VIEW_MISMATCH_WAIT);
        return Err(Outcome::Final(Final::new(answer)));
    }
    if snapshot.is_out(&target.domain) {
        return Err(Outcome::Final(Final::new(Answer::new(Reason::DomainOut))));
    }
    let owner = snapshot.owner(id);
    let Some(gate) = node.gate(id) else {
        return Err(match owner {
            Some(owner) if owner.id != node.me => Outcome::NotOwner(owner.id.to_string()),
            _ => Outcome::Wait(NOT_READY_WAIT.0),
        });
    };
    if awaits_handover(&gate, node.clock.now()) {
        let earlier = snapshot.ranked_owners(id).into_iter().find(|owner| owner.id != node.me);
        let name = |owner: &Instance| owner.id.to_string();
        return Err(Outcome::NotOwner(earlier.map_or_else(String::new, name)));
    }
    Ok(gate)
}

/// Returns whether the gate waits for the handover of a previous owner that may still serve.
fn awaits_handover(gate: &Mutex<Gate>, now: Instant) -> bool {
    match gate.lock().ownership() {
        Ownership::Pending { until } => until.since(now) > ownership::REBUILD_TIME,
        _ => false,
    }
}

/// Returns whether a packet to the address in `header` may go to `target`.
///
/// After an address has moved to another service, its established flows still reach the targets of
/// the earlier service. New flows do not.
fn serves_address(snapshot: &Snapshot, header: &Header, target: &Target, mode: u32) -> bool {
    let Some(plan) = &snapshot.plan else { return false };
    if plan.view.addresses.get(&header.address) == Some(&target.service) {
        return true;
    }
    let opens = mode == mode::OPEN || mode == mode::OPEN_LAST || mode == mode::RESERVE;
    let earlier = snapshot.earlier_services.get(&header.address);
    !opens && earlier.is_some_and(|services| services.contains(&target.service))
}

/// Has the gate admit an ask, and waits for the end of its ticket.
async fn admit(node: &Arc<Node>, job: Job, asked: &Ask) -> Outcome {
    let (gate, target) = (Arc::clone(&job.gate), job.target.clone());
    let ticket = asked.ticket;
    let receiver = node.tickets.register(ticket, job);
    let mut guard =
        CancelOnDrop { node: Arc::clone(node), gate: Arc::clone(&gate), ticket, armed: true };
    let mut steps = Vec::new();
    let (admission, joined) = {
        let mut gate = gate.lock();
        let now = node.clock.now();
        let admission = gate.admit(now, asked, &mut steps);
        let joined = match &admission {
            Admission::Join(ticket) => node.tickets.join(*ticket),
            _ => None,
        };
        (admission, joined)
    };
    node.dispatch(steps, None);
    if admission == Admission::Run {
        start(node, ticket);
    }
    if matches!(admission, Admission::Run | Admission::Queued) {
        let ended = receiver.await;
        guard.armed = false;
        return with_load(node, &gate, ended_outcome(&target, ended.ok()));
    }
    guard.armed = false;
    node.tickets.forget(ticket);
    match admission {
        Admission::Join(_) => await_copy(node, &target, joined, asked.deadline).await,
        Admission::Answer(answer) => Outcome::Final(Final::new(answer)),
        Admission::TryNext(refusal) => node::to_outcome(&target, End::TryNext(refusal)),
        Admission::Reserved { fresh } => Outcome::Reserved(fresh),
        Admission::Replay(payload) => node::to_outcome(&target, End::Done(payload)),
        Admission::Moved(elsewhere) => Outcome::Moved(elsewhere.to_string()),
        Admission::NotOwner(owner) => node::to_outcome(&target, End::Redirect(owner)),
        Admission::Wait(span) => Outcome::Wait(span.0.max(1)),
        Admission::UnknownFlow | Admission::Run | Admission::Queued => Outcome::UnknownFlow(false),
    }
}

/// Waits for the end of another copy of the same request, whose ticket is already running.
async fn await_copy(
    node: &Node,
    target: &target::Id,
    joined: Option<oneshot::Receiver<End>>,
    deadline: Instant,
) -> Outcome {
    let Some(receiver) = joined else { return ended_outcome(target, None) };
    let limit = deadline.since(node.clock.now());
    match tokio::time::timeout(limit.into(), receiver).await {
        Ok(ended) => ended_outcome(target, ended.ok()),
        Err(_) => Outcome::Final(Final::new(Answer::new(Reason::Overrun))),
    }
}

/// Converts the end of a ticket to an outcome. Without an end, it is unknown whether the request
/// ran.
fn ended_outcome(target: &target::Id, end: Option<End>) -> Outcome {
    node::to_outcome(target, end.unwrap_or(End::Answer(Answer::new(Reason::TargetLost))))
}

/// Adds the load of the target to its answer, and records the load on this instance.
fn with_load(node: &Node, gate: &Mutex<Gate>, outcome: Outcome) -> Outcome {
    let Outcome::Done(mut done) = outcome else { return outcome };
    let gate = gate.lock();
    done.load = gate.load_fraction(node.clock.now());
    node.record_load(gate.target(), done.load);
    Outcome::Done(done)
}

/// Cancels a ticket at its gate if it is dropped while armed.
struct CancelOnDrop {
    node: Arc<Node>,
    gate: Arc<Mutex<Gate>>,
    ticket: ticket::Id,
    armed: bool,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        let mut steps = Vec::new();
        self.gate.lock().cancel(self.node.clock.now(), self.ticket, &mut steps);
        self.node.dispatch(steps, None);
    }
}

/// Searches all gates of this instance for the flow of `header`.
fn find_flow(node: &Node, header: &Header) -> Outcome {
    let now = node.clock.now();
    let gates: Vec<Arc<Mutex<Gate>>> = node.gates.read().values().cloned().collect();
    let mut is_complete = true;
    for gate in gates {
        let gate = gate.lock();
        if !matches!(gate.ownership(), Ownership::Serving { .. }) {
            is_complete = false;
            continue;
        }
        match gate.explain(now, header.flow) {
            Explanation::Open { .. } => return Outcome::Moved(gate.target().to_string()),
            Explanation::Placed(target) => return Outcome::Moved(target.to_string()),
            Explanation::Refused | Explanation::Unknown => {}
        }
    }
    Outcome::UnknownFlow(is_complete)
}

/// Records at the gate that refused a flow on which target the flow was placed, or that no target
/// accepted it.
pub fn record_elsewhere(node: &Node, notice: &Elsewhere) {
    let Ok(target) = notice.target.parse::<target::Id>() else { return };
    let Some(gate) = node.gate(&target) else { return };
    let now = node.clock.now();
    let flow = mustardway_types::flow::Id(notice.flow);
    match notice.elsewhere.parse() {
        Ok(elsewhere) => gate.lock().record_placement(now, flow, elsewhere),
        Err(_) => {
            let request = mustardway_types::request::Id(notice.request);
            let key = Key { flow, request, part: notice.part };
            gate.lock().record_no_placement(now, key, notice.attempt);
        }
    }
}

/// Starts a task that runs the job of `ticket`.
pub fn start(node: &Arc<Node>, ticket: ticket::Id) {
    let Some((job, abort)) = node.tickets.start(ticket) else { return };
    tokio::spawn(run(Arc::clone(node), ticket, job, abort));
}

/// Sends a request to its target and reports to the gate how it ended. If the gate was handed over
/// meanwhile, the outcome goes on to the next owner.
async fn run(node: Arc<Node>, ticket: ticket::Id, job: Job, abort: CancellationToken) {
    let started = node.clock.now();
    let ending = tokio::select! {
        biased;
        () = abort.cancelled() => Ending::Aborted,
        ending = call_target(&node, ticket, &job) => ending,
    };
    let now = node.clock.now();
    let reply = match &ending {
        Ending::Done(reply) => Some(reply.clone()),
        _ => None,
    };
    let mut steps = Vec::new();
    let outcome = RunOutcome { ending, took: now.since(started) };
    let late = {
        let mut gate = job.gate.lock();
        gate.finish(now, ticket, outcome, &mut steps);
        handover::take_late_handover(&mut gate)
    };
    node.dispatch(steps, reply.as_ref());
    if let Some((to, late)) = late {
        handover::send(&node, &to, late);
    }
}

/// Calls the target, unless the request must not run: it has no witness, its target or failure
/// domain is gone, its deadline has passed, or this instance is fenced.
async fn call_target(node: &Arc<Node>, ticket: ticket::Id, job: &Job) -> Ending {
    if job.is_local && job.header.repeat == Repeat::Once && !obtain_witness(node, job).await {
        return Ending::Unsent;
    }
    let snapshot = node.snapshot();
    let Some(target) = snapshot.target(&job.target) else { return Ending::Unsent };
    let deadline = job.gate.lock().deadline(ticket);
    let now = node.clock.now();
    let remaining = deadline.map_or(Span::ZERO, |deadline| deadline.since(now));
    if node.is_fenced() || snapshot.is_out(&target.domain) || remaining == Span::ZERO {
        return Ending::Unsent;
    }
    if !promise_checks::check_service(node, &snapshot, &job.header, target) {
        return Ending::Unsent;
    }
    let payload = job.payload.clone();
    let (id, endpoint) = (&job.target, target.endpoint);
    let outcome = node.upstream.send(id, endpoint, &job.header, payload, remaining).await;
    promise_checks::record_reply(node, &outcome);
    match outcome {
        upstream::Outcome::Done(payload) => Ending::Done(payload),
        upstream::Outcome::Refused => Ending::Shed,
        upstream::Outcome::NotSent => Ending::Unsent,
        upstream::Outcome::Lost | upstream::Outcome::Mismatched => Ending::Lost,
        upstream::Outcome::Overrun => Ending::Overrun,
    }
}

/// Returns whether another instance remembers the request, so that the loss of this owner does not
/// lose the knowledge that the request may have run. An instance without peers needs no witness.
async fn obtain_witness(node: &Arc<Node>, job: &Job) -> bool {
    let snapshot = node.snapshot();
    let others = choose_witnesses(&snapshot, job);
    if others.is_empty() {
        return true;
    }
    for peer in others {
        if ask_witness(node, job, &peer).await {
            return true;
        }
    }
    false
}

/// Returns the instances to ask to be the witness: the next owners by rank, then any others.
fn choose_witnesses(snapshot: &Snapshot, job: &Job) -> Vec<Peer> {
    let ranked = snapshot.ranked_owners(&job.target).into_iter();
    let rest = snapshot.live.domains().flat_map(|(_, instances)| instances);
    let mut peers: Vec<Peer> = Vec::with_capacity(WITNESS_ATTEMPTS_MAX);
    for instance in ranked.chain(rest) {
        if peers.len() == WITNESS_ATTEMPTS_MAX {
            break;
        }
        let known = peers.iter().any(|peer| peer.id == instance.id);
        if known || instance.id == snapshot.me {
            continue;
        }
        peers.push(Peer { id: instance.id.clone(), address: instance.peer });
    }
    peers
}

/// Asks `peer` to remember the request. Returns whether it acknowledged in time.
async fn ask_witness(node: &Arc<Node>, job: &Job, peer: &Peer) -> bool {
    let Some(mesh) = node.mesh.get() else { return false };
    let id = node.relay.next_id();
    let message = Witness {
        id,
        target: job.target.to_string(),
        flow: job.header.flow.0,
        request: job.header.request.0,
        part: job.header.part,
        reply_to: mesh.address().to_string(),
    };
    let receiver = node.relay.register_witness(id);
    let sent = node.send_tracked(peer, Kind::Witness, &message).is_some();
    let acknowledged =
        sent && matches!(tokio::time::timeout(WITNESS_TIMEOUT, receiver).await, Ok(Ok(())));
    node.relay.forget_witness(id);
    acknowledged
}
