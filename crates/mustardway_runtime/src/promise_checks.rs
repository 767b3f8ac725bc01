//! What this instance can decide by itself about the promises, case by case.

use mustardway_routing::snapshot::Snapshot;
use mustardway_telemetry::promise::{Promise, Verdict};
use mustardway_types::answer::Reason;
use mustardway_types::packet::Header;
use mustardway_types::request::Repeat;
use mustardway_view::model::Target;

use crate::ingress::Served;
use crate::node::Node;
use crate::upstream;

/// Judges a packet that has got its answer at its ingress; `is_established`
/// where the ingress knew the flow's target before.
pub fn record_answer(node: &Node, header: &Header, is_established: bool, served: &Served) {
    if is_established {
        node.promises.add(Promise::FlowSurvives, flow_verdict(served));
    }
    if header.repeat == Repeat::Once {
        node.promises.add(Promise::AtMostOnce, once_verdict(served));
    }
}

/// An established flow was served on, was given up with its failure domain, or broke.
fn flow_verdict(served: &Served) -> Verdict {
    match served {
        Served::Done { .. } => Verdict::Kept,
        Served::Answer(answer) => match answer.reason {
            Reason::FlowUnknown | Reason::TargetGone => Verdict::Violated,
            Reason::DomainOut | Reason::CutShort => Verdict::Kept,
            _ => Verdict::Unknown,
        },
    }
}

/// Whether an ingress can tell how often a once-only request ran.
fn once_verdict(served: &Served) -> Verdict {
    match served {
        Served::Done { .. } => Verdict::Kept,
        Served::Answer(answer) if answer.kind().says_not_run() => Verdict::Kept,
        Served::Answer(_) => Verdict::Unknown,
    }
}

/// Judges whether a packet that is about to go to `target` is meant for its
/// service; false where it must not go.
pub fn check_service(node: &Node, snapshot: &Snapshot, header: &Header, target: &Target) -> bool {
    let current = snapshot.plan.as_ref().and_then(|plan| plan.view.addresses.get(&header.address));
    let earlier = snapshot.earlier_services.get(&header.address);
    let is_right = current == Some(&target.service)
        || earlier.is_some_and(|services| services.contains(&target.service));
    if is_right {
        node.promises.add(Promise::RightService, Verdict::Kept);
    }
    is_right
}

/// Judges the reply of a target.
pub fn record_reply(node: &Node, outcome: &upstream::Outcome) {
    let verdict = match outcome {
        upstream::Outcome::Done(_) => Verdict::Kept,
        upstream::Outcome::Mismatched => Verdict::Violated,
        upstream::Outcome::Lost | upstream::Outcome::Overrun => Verdict::Unknown,
        upstream::Outcome::Refused | upstream::Outcome::NotSent => return,
    };
    node.promises.add(Promise::WholeAnswer, verdict);
}

/// Judges a planned stop.
pub fn record_stop(node: &Node, handed_over: bool, in_flight_ended: bool) {
    let is_kept = handed_over && in_flight_ended;
    let verdict = if is_kept { Verdict::Kept } else { Verdict::Violated };
    node.promises.add(Promise::GracefulStop, verdict);
}
