//! The rate limit and the backoff, with given times.

use mustardway_reader::throttle::{BACKOFF_MAX, BACKOFF_MIN, Throttle};
use mustardway_types::rate::PerSecond;
use mustardway_types::time::{Instant, Span};

const START: Instant = Instant(1_000_000_000);

#[test]
fn calls_after_the_burst_follow_the_rate() {
    let mut throttle = Throttle::new(PerSecond(4), 2, 1);
    assert_eq!(throttle.reserve(START), Span::ZERO);
    assert_eq!(throttle.reserve(START), Span::ZERO);
    assert_eq!(throttle.reserve(START), Span::millis(250));
    assert_eq!(throttle.reserve(START), Span::millis(500));
}

#[test]
fn long_run_rate_is_kept() {
    const RATE: u64 = 5;
    const SECONDS: u64 = 60;
    let mut throttle = Throttle::new(PerSecond(RATE), 3, 1);
    let mut now = START;
    let mut calls = 0;
    while now < START + Span::seconds(SECONDS) {
        now = now + throttle.reserve(now);
        calls += 1;
    }
    assert!(calls <= RATE * SECONDS + 4, "{calls}");
    assert!(calls >= RATE * SECONDS, "{calls}");
}

#[test]
fn idle_time_restores_the_burst() {
    let mut throttle = Throttle::new(PerSecond(4), 2, 1);
    for _ in 0..10 {
        throttle.reserve(START);
    }
    let later = START + Span::seconds(60);
    assert_eq!(throttle.reserve(later), Span::ZERO);
    assert_eq!(throttle.reserve(later), Span::ZERO);
    assert!(throttle.reserve(later) > Span::ZERO);
}

#[test]
fn backoff_doubles_until_a_call_succeeds() {
    let mut throttle = Throttle::new(PerSecond(1_000), 1_000, 1);
    let mut longest = Span::ZERO;
    for failures in 0..20u32 {
        throttle.failed(START);
        let wait = throttle.reserve(START);
        let full = Span((BACKOFF_MIN.0 << failures.min(16)).min(BACKOFF_MAX.0));
        assert!(wait <= full && wait >= Span(full.0 / 2), "{wait} of {full}");
        longest = longest.max(wait);
    }
    assert!(longest > Span::seconds(1));
    throttle.succeeded();
    throttle.failed(START);
    assert!(throttle.reserve(START) <= BACKOFF_MIN);
}

#[test]
fn seeds_give_different_waits() {
    let wait = |seed| {
        let mut throttle = Throttle::new(PerSecond(1_000), 1_000, seed);
        throttle.failed(START);
        throttle.reserve(START)
    };
    assert_ne!(wait(1), wait(2));
}
