//! The bound on calls a second, with given points of time.

use mustardway_reader::pace::{BACKOFF_MAX, BACKOFF_MIN, Pace};
use mustardway_types::rate::PerSecond;
use mustardway_types::time::{Instant, Span};

const START: Instant = Instant(1_000_000_000);

#[test]
fn burst_then_rate() {
    let mut pace = Pace::new(PerSecond(4), 2, 1);
    assert_eq!(pace.book(START), Span::ZERO);
    assert_eq!(pace.book(START), Span::ZERO);
    assert_eq!(pace.book(START), Span::millis(250));
    assert_eq!(pace.book(START), Span::millis(500));
}

#[test]
fn long_run() {
    const RATE: u64 = 5;
    const SECONDS: u64 = 60;
    let mut pace = Pace::new(PerSecond(RATE), 3, 1);
    let mut now = START;
    let mut calls = 0;
    while now < START + Span::seconds(SECONDS) {
        now = now + pace.book(now);
        calls += 1;
    }
    assert!(calls <= RATE * SECONDS + 4, "{calls}");
    assert!(calls >= RATE * SECONDS, "{calls}");
}

#[test]
fn rest_restores_burst() {
    let mut pace = Pace::new(PerSecond(4), 2, 1);
    for _ in 0..10 {
        pace.book(START);
    }
    let later = START + Span::seconds(60);
    assert_eq!(pace.book(later), Span::ZERO);
    assert_eq!(pace.book(later), Span::ZERO);
    assert!(pace.book(later) > Span::ZERO);
}

#[test]
fn backoff_grows() {
    let mut pace = Pace::new(PerSecond(1_000), 1_000, 1);
    let mut longest = Span::ZERO;
    for failures in 0..20u32 {
        pace.failed(START);
        let wait = pace.book(START);
        let full = Span((BACKOFF_MIN.0 << failures.min(16)).min(BACKOFF_MAX.0));
        assert!(wait <= full && wait >= Span(full.0 / 2), "{wait} of {full}");
        longest = longest.max(wait);
    }
    assert!(longest > Span::seconds(1));
    pace.answered();
    pace.failed(START);
    assert!(pace.book(START) <= BACKOFF_MIN);
}

#[test]
fn seeds_differ() {
    let wait = |seed| {
        let mut pace = Pace::new(PerSecond(1_000), 1_000, seed);
        pace.failed(START);
        pace.book(START)
    };
    assert_ne!(wait(1), wait(2));
}
