//! Records for each promise whether it was kept, as far as this instance can tell by itself.

use mustardway_routing::snapshot::Snapshot;
use mustardway_telemetry::promise::{Promise, Verdict};
use mustardway_types::answer::Reason;
use mustardway_types::packet::Header;
use mustardway_types::request::Repeat;
use mustardway_view::model::Target;

use crate::ingress::Served;
use crate::node::Node;
use crate::upstream;

/// Records the promises about the answer to a packet at its ingress. `is_established` tells whether
/// the ingress already knew the target of the flow.
pub fn record_answer(node: &Node, header: &Header, is_established: bool, served: &Served) {
    if is_established {
        node.promises.add(Promise::FlowSurvives, flow_verdict(served));
    }
    if header.repeat == Repeat::Once {
        node.promises.add(Promise::AtMostOnce, once_verdict(served));
    }
}

/// Returns whether an established flow survived. A flow that ended because its failure domain was
/// taken out does not violate the promise.
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

/// Returns whether a once-only request ran at most once, as far as its ingress can tell.
fn once_verdict(served: &Served) -> Verdict {
    match served {
        Served::Done { .. } => Verdict::Kept,
        Served::Answer(answer) if answer.kind().says_not_run() => Verdict::Kept,
        Served::Answer(_) => Verdict::Unknown,
    }
}

/// Returns whether the packet of `header` may be sent to `target`, and records the promise if so.
/// The address must belong, or have belonged, to the service of the target.
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

/// Records the promise about the reply of a target. A call that did not run is not counted.
pub fn record_reply(node: &Node, outcome: &upstream::Outcome) {
    let verdict = match outcome {
        upstream::Outcome::Done(_) => Verdict::Kept,
        upstream::Outcome::Mismatched => Verdict::Violated,
        upstream::Outcome::Lost | upstream::Outcome::Overrun => Verdict::Unknown,
        upstream::Outcome::Refused | upstream::Outcome::NotSent => return,
    };
    node.promises.add(Promise::WholeAnswer, verdict);
}

/// Records the promise about a planned stop: all targets were handed over and all requests in
/// flight ended before the deadline.
pub fn record_stop(node: &Node, handed_over: bool, in_flight_ended: bool) {
    let is_kept = handed_over && in_flight_ended;
    let verdict = if is_kept { Verdict::Kept } else { Verdict::Violated };
    node.promises.add(Promise::GracefulStop, verdict);
}
