//! A history never reverts to an earlier view, and keeps the views that instances may still act on.

use std::sync::Arc;

use assert_matches::assert_matches;
use mustardway_types::time::{Instant, Span};
use mustardway_types::{domain, revision};
use mustardway_view::history::{History, PREVIOUS_MAX, PREVIOUS_RETENTION, Rejection};

use crate::sample::changed;

const START: Instant = Instant(5_000_000);

/// Returns a history in which revision 5, the base, is in force since [`START`].
fn history() -> History {
    let mut history = History::default();
    history.adopt(Arc::new(changed(5, "")), START).expect("first view");
    history
}

fn revisions(history: &History, now: Instant) -> Vec<u64> {
    history.previous(now).map(|view| view.revision.0).collect()
}

#[test]
fn first_view_is_adopted() {
    let history = history();
    assert_eq!(history.current().unwrap().revision, revision::Number(5));
    assert!(revisions(&history, START).is_empty());
}

#[test]
fn greater_revision_is_adopted() {
    let mut history = history();
    let later = changed(9, "[domain rosario]\nstate = out\n");
    let changes = history.adopt(Arc::new(later), START + Span::seconds(1)).unwrap();
    assert_eq!(changes.len(), 1);
    assert_eq!(history.current().unwrap().revision, revision::Number(9));
}

#[test]
fn lower_revision_is_rejected() {
    let mut history = history();
    let lower = Arc::new(changed(4, "[domain rosario]\nstate = out\n"));
    let result = history.adopt(lower, START + Span::seconds(60));
    assert_matches!(result, Err(Rejection::Lower { found, .. }) if found.0 == 4);
    assert_eq!(history.current().unwrap().revision, revision::Number(5));
    assert!(revisions(&history, START).is_empty());
}

#[test]
fn same_revision_is_rejected() {
    let mut history = history();
    let same = history.adopt(Arc::new(changed(5, "")), START);
    assert_matches!(same, Err(Rejection::Same { .. }));
    let other = history.adopt(Arc::new(changed(5, "# other\n")), START);
    assert_matches!(other, Err(Rejection::OtherDigest { .. }));
}

#[test]
fn previous_views_are_kept_for_the_retention_time() {
    let mut history = history();
    let second = START + Span::seconds(1);
    history.adopt(Arc::new(changed(6, "")), second).unwrap();
    history.adopt(Arc::new(changed(7, "")), second + Span::seconds(2)).unwrap();
    assert_eq!(revisions(&history, second + Span::seconds(2)), [6, 5]);
    assert_eq!(revisions(&history, second + PREVIOUS_RETENTION), [6]);
    assert!(revisions(&history, second + PREVIOUS_RETENTION + Span::seconds(2)).is_empty());
}

#[test]
fn number_of_previous_views_is_limited() {
    let mut history = history();
    for number in 6..100 {
        history.adopt(Arc::new(changed(number, "")), START).unwrap();
    }
    assert_eq!(revisions(&history, START).len(), PREVIOUS_MAX);
    assert_eq!(revisions(&history, START)[0], 98);
}

#[test]
fn time_of_taking_a_domain_out_is_kept() {
    let mut history = history();
    let rosario: domain::Name = "rosario".parse().unwrap();
    let out = "[domain rosario]\nstate = out\n";
    assert_eq!(history.domain_out_since(&rosario), None);
    let out_since = START + Span::seconds(3);
    history.adopt(Arc::new(changed(6, out)), out_since).unwrap();
    history.adopt(Arc::new(changed(7, out)), out_since + Span::seconds(5)).unwrap();
    assert_eq!(history.domain_out_since(&rosario), Some(out_since));
    history.adopt(Arc::new(changed(8, "")), out_since + Span::seconds(9)).unwrap();
    assert_eq!(history.domain_out_since(&rosario), None);
}
