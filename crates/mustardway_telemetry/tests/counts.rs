//! Counts by reason and by promise, and metrics over UDP.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;
use std::net::UdpSocket;
use std::time::Duration;

use mustardway_telemetry::metrics::{Metrics, Tag, name};
use mustardway_telemetry::promise::{self, Promise, Verdict};
use mustardway_telemetry::tally::Tally;
use mustardway_types::answer::{Kind, Reason, TABLE};
use mustardway_types::{instance, time};

#[test]
fn tally_counts_each_reason() {
    let tally = Tally::default();
    for (index, (reason, _)) in TABLE.into_iter().enumerate() {
        for _ in 0..index {
            tally.add(reason);
        }
    }
    let counts = tally.counts();
    assert_eq!(counts.len(), TABLE.len());
    for (index, count) in counts.iter().enumerate() {
        assert_eq!(count.count, index as u64);
        assert_eq!(count.kind, count.reason.kind());
    }
    assert_eq!(tally.count(Reason::Full), 4);
    assert_eq!(counts[4].kind, Kind::Refused);
}

#[test]
fn verdicts_are_counted_per_promise() {
    let counters = promise::Counters::default();
    counters.add(Promise::AtMostOnce, Verdict::Kept);
    counters.add(Promise::AtMostOnce, Verdict::Violated);
    counters.add(Promise::AtMostOnce, Verdict::Unknown);
    counters.add(Promise::NotRunTrue, Verdict::Kept);
    let count = counters.count(Promise::AtMostOnce);
    assert_eq!((count.decided, count.violated, count.unknown), (2, 1, 1));
    let counts = counters.counts();
    assert_eq!(counts.len(), 10);
    for (index, count) in counts.iter().enumerate() {
        assert_eq!(count.promise as usize, index);
    }
    assert_eq!(counts[Promise::NotRunTrue as usize].decided, 1);
    assert_eq!(counts[Promise::FlowSurvives as usize].decided, 0);
}

#[test]
fn metric_names_are_unique() {
    let texts: BTreeSet<&str> = name::ALL.iter().map(|name| name.text).collect();
    assert_eq!(texts.len(), name::ALL.len());
}

#[test]
fn metrics_arrive_over_udp() {
    let server = UdpSocket::bind("127.0.0.1:0").unwrap();
    server.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
    let id: instance::Id = "e1".parse().unwrap();
    let metrics = Metrics::udp(server.local_addr().unwrap(), &id).unwrap();
    metrics.count(name::PACKETS, 3, &[Tag { key: "reason", value: "full" }]);
    metrics.gauge(name::FLOWS, 17, &[]);
    metrics.time(name::DELAY, time::Span::millis(12), &[]);
    let expected = [
        "mustardway.packets:3|c|#instance:e1,reason:full",
        "mustardway.flows:17|g|#instance:e1",
        "mustardway.delay:12|ms|#instance:e1",
    ];
    let mut text = String::new();
    // The sending thread may not have packed all metrics at the first flush.
    for _ in 0..200 {
        if expected.iter().all(|line| text.contains(line)) {
            break;
        }
        metrics.flush();
        let mut bytes = [0; 2_048];
        let Ok(length) = server.recv(&mut bytes) else {
            continue;
        };
        text.push_str(&String::from_utf8_lossy(&bytes[..length]));
        text.push('\n');
    }
    let mut lines: Vec<&str> = text.lines().filter(|line| !line.is_empty()).collect();
    lines.sort_unstable();
    assert_eq!(lines, [expected[2], expected[1], expected[0]]);
    assert_eq!(metrics.dropped(), 0);
}

#[test]
fn sending_does_not_wait_for_receiver() {
    // The server never reads, and far more metrics are sent than the queue holds.
    let server = UdpSocket::bind("127.0.0.1:0").unwrap();
    let id: instance::Id = "e1".parse().unwrap();
    let metrics = Metrics::udp(server.local_addr().unwrap(), &id).unwrap();
    for _ in 0..100_000 {
        metrics.count(name::PACKETS, 1, &[]);
    }
    assert!(metrics.dropped() < 100_000);
    Metrics::disabled().count(name::PACKETS, 1, &[]);
    assert_eq!(Metrics::disabled().dropped(), 0);
}
