//! Verification of the audit trail detects every alteration; its queries and JSON form.
#![allow(clippy::unwrap_used)]

use assert_matches::assert_matches;
use mustardway_telemetry::audit::{
    Event, Fault, File, Head, Number, Record, Time, Totals, Trail, verify,
};
use mustardway_telemetry::fingerprint::Fingerprint;
use mustardway_types::revision;
use slog::{Discard, Logger, o};

fn adopted(number: u64) -> Event {
    Event::Adopted {
        revision: revision::Number(number),
        digest: revision::Digest(u64::MAX - number),
        files: vec![File {
            name: "10-base.ini".into(),
            before: Some(Fingerprint::of(b"before")),
            after: None,
        }],
        changes: vec!["failure domain rosario: in -> out".into()],
    }
}

fn in_force(number: u64) -> Event {
    Event::InForce {
        revision: revision::Number(number),
        digest: revision::Digest(u64::MAX - number),
    }
}

fn trail(records_max: usize, records: u64) -> Trail {
    let trail = Trail::new(records_max, Logger::root(Discard, o!()));
    for number in 1..=records {
        trail.write(Time(1_000 * number), adopted(number));
    }
    trail
}

#[test]
fn intact_chain_verifies() {
    let trail = trail(100, 10);
    let records = trail.records();
    assert_eq!(verify(&records), Ok(()));
    assert_eq!(trail.head(), Head { number: Number(10), hash: records[9].hash });
    assert_eq!(verify(&[]), Ok(()));
}

#[test]
fn oldest_records_are_dropped() {
    let records = trail(4, 10).records();
    assert_eq!(records.len(), 4);
    assert_eq!(records[0].number, Number(7));
    assert_eq!(verify(&records), Ok(()));
}

#[test]
fn altered_field_is_detected() {
    let whole = trail(100, 5).records();
    let alterations: [fn(&mut Record); 6] = [
        |record| record.at = Time(1),
        |record| record.number = Number(9),
        |record| record.event = adopted(99),
        |record| record.previous = Fingerprint::of(b"other"),
        |record| record.hash = Fingerprint::of(b"other"),
        |record| {
            if let Event::Adopted { files, .. } = &mut record.event {
                files[0].after = Some(Fingerprint::default());
            }
        },
    ];
    for alter in alterations {
        for index in 0..whole.len() {
            let mut records = whole.clone();
            alter(&mut records[index]);
            assert_matches!(verify(&records), Err(Fault::Altered(_)));
        }
    }
}

#[test]
fn removed_record_is_detected() {
    let whole = trail(100, 5).records();
    for index in 1..4 {
        let mut records = whole.clone();
        records.remove(index);
        assert_eq!(verify(&records), Err(Fault::Broken(index as u64 + 2)));
    }
}

#[test]
fn swapped_records_are_detected() {
    let mut records = trail(100, 5).records();
    records.swap(1, 2);
    assert_eq!(verify(&records), Err(Fault::Broken(3)));
}

#[test]
fn replaced_record_breaks_next_link() {
    // A forged record with a matching fingerprint breaks the link from the next record.
    let mut records = trail(100, 5).records();
    let forger = Trail::new(100, Logger::root(Discard, o!()));
    forger.write(Time(1_000), adopted(1));
    forger.write(Time(2_000), adopted(99));
    records[1] = forger.records()[1].clone();
    assert_eq!(verify(&records), Err(Fault::Broken(3)));
}

#[test]
fn head_reveals_removed_latest_record() {
    let trail = trail(100, 5);
    let mut records = trail.records();
    records.pop();
    // The remaining records verify as part of a chain; only the head shows that the
    // latest is missing.
    assert_eq!(verify(&records), Ok(()));
    assert_ne!(records.last().unwrap().hash, trail.head().hash);
}

#[test]
fn renumbered_first_record_is_detected() {
    let mut records = trail(100, 2).records();
    records.remove(0);
    assert_eq!(verify(&records), Ok(()));
    let text = serde_json::to_string(&records).unwrap().replace("\"number\":2", "\"number\":1");
    let records: Vec<Record> = serde_json::from_str(&text).unwrap();
    assert_eq!(verify(&records), Err(Fault::Altered(1)));
}

#[test]
fn records_survive_json_round_trip() {
    let trail = trail(100, 3);
    trail.write(Time(9_000), in_force(3));
    let errors = vec!["20-x.ini: [service a]: no targets".into()];
    trail.write(Time(9_500), Event::Refused { revision: revision::Number(4), errors });
    let records = trail.records();
    let json = serde_json::to_string(&records).unwrap();
    let read: Vec<Record> = serde_json::from_str(&json).unwrap();
    assert_eq!(read, records);
    assert_eq!(verify(&read), Ok(()));
}

#[test]
fn change_keeps_first_in_force_time() {
    let trail = trail(100, 2);
    trail.write(Time(9_000), in_force(2));
    trail.write(Time(9_900), in_force(2));
    let changes = trail.changes();
    assert_eq!(changes.len(), 2);
    assert_eq!(changes[0].in_force_at, None);
    assert_eq!(changes[1].adopted_at, Time(2_000));
    assert_eq!(changes[1].in_force_at, Some(Time(9_000)));
}

#[test]
fn totals_include_dropped_records() {
    let trail = trail(2, 5);
    trail.write(Time(6_000), in_force(5));
    let errors = vec!["no files".into()];
    trail.write(Time(7_000), Event::Refused { revision: revision::Number(6), errors });
    assert_eq!(trail.records().len(), 2);
    assert_eq!(trail.totals(), Totals { adopted: 5, refused: 1 });
}
