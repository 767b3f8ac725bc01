//! An address that changes its service is in quarantine for a limited time.

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

fn moved_address() -> Address {
    "10.0.0.2:443".parse().expect("address")
}

/// Returns a history that adopted these changes of the base one second apart, and the time of the
/// last one.
fn history(changes: &[&str]) -> (History, Instant) {
    let mut history = History::default();
    let mut now = START;
    for (index, change) in changes.iter().enumerate() {
        now = START + Span::seconds(index as u64);
        history.adopt(Arc::new(changed(index as u64, change)), now).expect("greater revision");
    }
    (history, now)
}

fn earlier_services(history: &History) -> Vec<&str> {
    history.earlier_services(moved_address()).map(|service| service.as_str()).collect()
}

#[test]
fn moved_address_is_quarantined() {
    let (history, now) = history(&["", MOVE]);
    assert!(history.is_quarantined(moved_address(), now));
    assert!(history.is_quarantined(moved_address(), now + Span(QUARANTINE_PERIOD.0 - 1)));
    assert!(!history.is_quarantined(moved_address(), now + QUARANTINE_PERIOD));
    assert!(!history.is_quarantined("10.0.0.3:443".parse().unwrap(), now));
    assert_eq!(
        history.quarantined(now).collect::<Vec<_>>(),
        [(moved_address(), QUARANTINE_PERIOD)]
    );
    assert_eq!(earlier_services(&history), ["reservas"]);
}

#[test]
fn address_removed_then_added_elsewhere_is_quarantined() {
    let (history, now) = history(&["", REMOVAL, MOVE]);
    assert!(history.is_quarantined(moved_address(), now));
    assert_eq!(earlier_services(&history), ["reservas"]);
}

#[test]
fn address_removed_and_returned_is_not_quarantined() {
    let (history, now) = history(&["", REMOVAL, ""]);
    assert!(!history.is_quarantined(moved_address(), now));
}

#[test]
fn address_moved_back_is_quarantined() {
    let (history, now) = history(&["", MOVE, ""]);
    assert!(history.is_quarantined(moved_address(), now + Span(QUARANTINE_PERIOD.0 - 1)));
    assert_eq!(earlier_services(&history), ["archivo", "reservas"]);
}

#[test]
fn quarantine_outlives_later_views() {
    let (history, now) = history(&["", MOVE, MOVE, MOVE]);
    assert!(history.is_quarantined(moved_address(), now));
    assert!(!history.is_quarantined(moved_address(), now + Span(QUARANTINE_PERIOD.0 - 2_000_000)));
}

#[test]
fn quarantine_of_a_peer_is_taken_over() {
    let (mut history, now) = history(&[MOVE]);
    assert!(!history.is_quarantined(moved_address(), now));
    history.quarantine(moved_address(), Span::seconds(4), now);
    history.quarantine(moved_address(), Span::seconds(1), now);
    assert!(history.is_quarantined(moved_address(), now + Span::seconds(3)));
    history.quarantine(moved_address(), Span::seconds(999), now);
    assert!(!history.is_quarantined(moved_address(), now + QUARANTINE_PERIOD));
}
