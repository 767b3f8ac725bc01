//! Conversion between the records of messages and the state of a gate.

use mustardway_types::{answer, flow, request, time};

use crate::admit::Refusal;
use crate::dedup::{self, Entry};
use crate::key::Key;
use crate::message::{self, Ending, Error};
use crate::placement::Placement;

/// Upper bound for a remaining time that a message may give.
const MAX_TIME_LEFT: time::Span = dedup::RETENTION;

/// Returns the time that lies `age` microseconds before `now`.
pub(crate) fn time_ago(now: time::Instant, age: u64) -> time::Instant {
    now - time::Span(age)
}

/// Returns the time that lies `left` microseconds after `now`, at most [`MAX_TIME_LEFT`] ahead.
pub(crate) fn time_ahead(now: time::Instant, left: u64) -> time::Instant {
    now + time::Span(left).min(MAX_TIME_LEFT)
}

/// Decodes the placement of a flow, or returns nothing if the target id is invalid.
pub(crate) fn decode_placement(record: &message::Placement) -> Option<Placement> {
    let Some(refusal) = &record.refusal else {
        return record.target.parse().ok().map(Placement::Placed);
    };
    let reason = if refusal.full { answer::Reason::Full } else { answer::Reason::NoTarget };
    let come_back = time::Span(refusal.come_back).min(MAX_TIME_LEFT);
    let answer = answer::Answer::come_back(reason, come_back);
    let message::Refusal { whole, soft, open, .. } = *refusal;
    Some(Placement::Refused {
        refusal: Refusal { answer, fresh: whole },
        for_balance: soft,
        unreported: open,
    })
}

pub(crate) fn encode_placement(id: flow::Id, placement: &Placement) -> message::Placement {
    let (target, refusal) = match placement {
        Placement::Placed(target) => (target.to_string(), None),
        Placement::Refused { refusal, for_balance, unreported } => {
            let answer = refusal.answer;
            let record = message::Refusal {
                full: answer.reason == answer::Reason::Full,
                come_back: answer.come_back.unwrap_or_default().0,
                whole: refusal.fresh,
                soft: *for_balance,
                open: *unreported,
            };
            (String::new(), Some(record))
        }
    };
    message::Placement { flow: id.0, target, refusal }
}

pub(crate) fn decode_key(request: &message::Request) -> Key {
    Key { flow: flow::Id(request.flow), request: request::Id(request.request), part: request.part }
}

pub(crate) fn encode_request(key: Key, entry: &Entry, now: time::Instant) -> message::Request {
    let mut record = message::Request {
        flow: key.flow.0,
        request: key.request.0,
        part: key.part,
        ..message::Request::default()
    };
    let ending = match entry {
        Entry::NotRun { attempt } => {
            record.attempt = *attempt;
            Ending::NotRun
        }
        Entry::Unknown => Ending::Unknown,
        Entry::RunsElsewhere { at, until } => {
            record.at = at.to_string();
            record.left = until.since(now).0;
            Ending::Running
        }
        Entry::Done(reply) => {
            record.reply = reply.clone();
            Ending::Done
        }
    };
    record.set_ending(ending);
    record
}

pub(crate) fn decode_requests(
    now: time::Instant,
    records: &[message::Request],
) -> Result<Vec<(Key, Entry)>, Error> {
    let mut requests = Vec::with_capacity(records.len());
    for record in records {
        let entry = match record.ending() {
            Ending::Unspecified => return Err(Error::Record),
            Ending::NotRun => Entry::NotRun { attempt: record.attempt },
            Ending::Unknown => Entry::Unknown,
            Ending::Running => {
                let at = record.at.parse().map_err(|_| Error::Instance)?;
                Entry::RunsElsewhere { at, until: time_ahead(now, record.left) }
            }
            Ending::Done => Entry::Done(record.reply.clone()),
        };
        requests.push((decode_key(record), entry));
    }
    Ok(requests)
}
