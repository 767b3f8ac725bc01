//! An address that changes its service takes no packets for a while.

use std::sync::Arc;

use mustardway_types::address::Address;
use mustardway_types::time::{Instant, Span};
use mustardway_view::history::{History, QUARANTINE_PERIOD};

use crate::sample::changed;

const START: Instant = Instant(5_000_000);
const MOVE: &str = "\
[service reservas]
addresses = 10.0.0.1:443
[service archivo]
addresses = 10.0.0.2:443, 10.0.0.3:443
";
const REMOVAL: &str = "[service reservas]\naddresses = 10.0.0.1:443\n";

fn moved() -> Address {
    "10.0.0.2:443".parse().expect("address")
}

/// A history that adopted these changes of the base one second apart, and the last time.
fn history(changes: &[&str]) -> (History, Instant) {
    let mut history = History::default();
    let mut now = START;
    for (index, change) in changes.iter().enumerate() {
        now = START + Span::seconds(index as u64);
        history.adopt(Arc::new(changed(index as u64, change)), now).expect("greater revision");
    }
    (history, now)
}

fn earlier(history: &History) -> Vec<&str> {
    history.earlier_services(moved()).map(|service| service.as_str()).collect()
}

#[test]
fn address_moved() {
    let (history, now) = history(&["", MOVE]);
    assert!(history.is_quarantined(moved(), now));
    assert!(history.is_quarantined(moved(), now + Span(QUARANTINE_PERIOD.0 - 1)));
    assert!(!history.is_quarantined(moved(), now + QUARANTINE_PERIOD));
    assert!(!history.is_quarantined("10.0.0.3:443".parse().unwrap(), now));
    assert_eq!(history.quarantined(now).collect::<Vec<_>>(), [(moved(), QUARANTINE_PERIOD)]);
    assert_eq!(earlier(&history), ["reservas"]);
}

#[test]
fn moved_in_steps() {
    let (history, now) = history(&["", REMOVAL, MOVE]);
    assert!(history.is_quarantined(moved(), now));
    assert_eq!(earlier(&history), ["reservas"]);
}

#[test]
fn removed_and_back() {
    let (history, now) = history(&["", REMOVAL, ""]);
    assert!(!history.is_quarantined(moved(), now));
}

#[test]
fn moved_and_back() {
    let (history, now) = history(&["", MOVE, ""]);
    assert!(history.is_quarantined(moved(), now + Span(QUARANTINE_PERIOD.0 - 1)));
    assert_eq!(earlier(&history), ["archivo", "reservas"]);
}

#[test]
fn outlives_later_views() {
    let (history, now) = history(&["", MOVE, MOVE, MOVE]);
    assert!(history.is_quarantined(moved(), now));
    assert!(!history.is_quarantined(moved(), now + Span(QUARANTINE_PERIOD.0 - 2_000_000)));
}

#[test]
fn taken_over() {
    let (mut history, now) = history(&[MOVE]);
    assert!(!history.is_quarantined(moved(), now));
    history.quarantine(moved(), Span::seconds(4), now);
    history.quarantine(moved(), Span::seconds(1), now);
    assert!(history.is_quarantined(moved(), now + Span::seconds(3)));
    history.quarantine(moved(), Span::seconds(999), now);
    assert!(!history.is_quarantined(moved(), now + QUARANTINE_PERIOD));
}
