//! Cost of admitting and finishing one packet, by the number of open flows.
#![allow(clippy::unwrap_used)]

use bytes::Bytes;
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use mustardway_gate::{Ask, Candidate, Ending, Gate, Mode, Outcome, Ownership, ticket};
use mustardway_types::{address, flow, hash, packet, request, time};
use mustardway_view::model::Limits;

/// Time between two packets.
const PACKET_INTERVAL: time::Span = time::Span(100);

/// Time that the target takes for one packet.
const SERVICE_TIME: time::Span = time::Span::millis(1);

/// A gate in use and its simulated time.
struct Load {
    gate: Gate,
    now: time::Instant,
    next: u64,
    flows: u64,
    address: address::Address,
}

impl Load {
    fn new(flows: u64) -> Self {
        let limits = Limits {
            slots: 4,
            cold_slots: 4,
            connections: u32::MAX,
            warm_up: time::Span::seconds(10),
            queue: 64,
        };
        let ownership = Ownership::Serving { since: time::Instant(0), inherited: false };
        let now = time::Instant(100_000_000);
        let (target, instance) = ("target".parse().unwrap(), "entry".parse().unwrap());
        let gate = Gate::new(target, instance, limits, ownership, 1, now);
        let address = "10.0.0.7:443".parse().unwrap();
        let mut load = Load { gate, now, next: 0, flows, address };
        for _ in 0..flows {
            load.packet(request::Repeat::Idempotent);
        }
        load
    }

    /// Admits and finishes one packet of the next flow.
    fn packet(&mut self, repeat: request::Repeat) {
        self.next += 1;
        self.now = self.now + PACKET_INTERVAL;
        let header = packet::Header {
            address: self.address,
            flow: flow::Id(hash::mix(3, self.next % self.flows)),
            request: request::Id(self.next),
            part: 0,
            parts: 1,
            opening: false,
            closing: false,
            repeat,
            attempt: 1,
            urgency: request::Urgency::Ordinary,
        };
        let ask = Ask {
            header,
            deadline: self.now + time::Span::seconds(1),
            mode: Mode::Open { candidate: Candidate::Last, fresh: true },
            ticket: ticket::Id(self.next),
        };
        let mut steps = Vec::new();
        self.gate.admit(self.now, &ask, &mut steps);
        let outcome = Outcome { ending: Ending::Done(Bytes::new()), took: SERVICE_TIME };
        self.gate.finish(self.now, ask.ticket, outcome, &mut steps);
        assert_eq!(steps.len(), 1);
    }
}

fn admit(criterion: &mut Criterion) {
    let repeats = [("idempotent", request::Repeat::Idempotent), ("once", request::Repeat::Once)];
    for (name, repeat) in repeats {
        let mut group = criterion.benchmark_group(name);
        for flows in [10_000, 100_000, 1_000_000] {
            let mut load = Load::new(flows);
            let id = BenchmarkId::from_parameter(flows);
            group.bench_function(id, |bencher| bencher.iter(|| load.packet(repeat)));
        }
        group.finish();
    }
}

criterion_group!(benches, admit);
criterion_main!(benches);
