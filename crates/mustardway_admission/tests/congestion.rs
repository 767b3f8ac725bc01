//! Which part of the load of a service does not fit.

use mustardway_admission::congestion::{Congestion, Times};
use mustardway_types::time::{Instant, Span};

/// Time between two updates.
const TICK: Span = Span::millis(50);
const TIMES: Times = Times { service: Span::millis(50), aim: Span::millis(250) };

/// Requests of one instance, of which targets serve `capacity` in a tick. The others wait, or are
/// rejected where `queue` requests wait already.
struct Service {
    congestion: Congestion,
    capacity: u32,
    queue: u32,
    waiting: u32,
    /// Wanted and served requests of each tick.
    history: Vec<(u32, u32)>,
    now: Instant,
}

impl Service {
    fn new(capacity: u32, queue: u32) -> Self {
        let now = Instant(1_000_000);
        let congestion = Congestion::default();
        Service { congestion, capacity, queue, waiting: 0, history: Vec::new(), now }
    }

    /// Returns the share that is served, as shared estimates show it: half a second late.
    fn served_share(&self) -> f64 {
        let known = self.history.len().saturating_sub(10);
        let recent = &self.history[known.saturating_sub(10)..known];
        let (wanted, served) =
            recent.iter().fold((0, 0), |sum, tick| (sum.0 + tick.0, sum.1 + tick.1));
        if wanted == 0 { 1.0 } else { f64::from(served.min(wanted)) / f64::from(wanted) }
    }

    /// Lets `wanted` requests be sent in each of `ticks`. Those that the excess stands for are
    /// refused if `obeys`. Returns the greatest excess and the longest wait in ticks.
    fn play(&mut self, wanted: u32, ticks: u32, obeys: bool) -> (f64, f64) {
        let (mut greatest, mut longest) = (0.0_f64, 0.0_f64);
        for _ in 0..ticks {
            let excess = self.congestion.excess(&TIMES, self.served_share());
            let refused = if obeys { (f64::from(wanted) * excess).round() as u32 } else { 0 };
            for _ in 0..refused * 3 {
                self.congestion.record_refusal();
            }
            for _ in refused..wanted {
                self.congestion.record_request();
                if self.waiting < self.queue {
                    self.waiting += 1;
                    continue;
                }
                self.congestion.record_answer(true);
                self.congestion.record_rejection();
            }
            let in_progress = self.waiting;
            let served = self.waiting.min(self.capacity);
            self.history.push((wanted, served));
            for _ in 0..served {
                self.waiting -= 1;
                self.congestion.record_answer(true);
            }
            self.now = self.now + TICK;
            self.congestion.update(in_progress, &TIMES, self.now);
            greatest = greatest.max(excess);
            longest = longest.max(f64::from(in_progress) / f64::from(self.capacity));
        }
        (greatest, longest)
    }
}

/// Guards against refusals while targets have room.
#[test]
fn nothing_is_refused_below_capacity() {
    let mut service = Service::new(20, 80);
    let (excess, _) = service.play(19, 200, true);
    assert!(excess < f64::EPSILON, "{excess}");
}

/// Guards against a queue that takes as long as the target latency. Targets have four slots and a
/// queue of 16.
#[test]
fn wait_stays_below_the_target_latency() {
    for wanted in [26, 40, 80] {
        let mut service = Service::new(20, 100);
        service.play(10, 20, true);
        service.play(wanted, 60, true);
        let (_, longest) = service.play(wanted, 200, true);
        let aim = TIMES.aim.as_seconds() / TICK.as_seconds();
        assert!(longest < aim, "{wanted} wanted: {longest} ticks");
    }
}

/// Guards against refusals of more than what does not fit.
#[test]
fn capacity_is_used() {
    for wanted in [26, 40, 80] {
        let mut service = Service::new(20, 1_000);
        service.play(wanted, 40, true);
        let mut served = 0;
        for _ in 0..200 {
            let before = service.waiting;
            service.play(wanted, 1, true);
            served += u32::from(before > 0) * service.capacity.min(before.max(service.waiting));
        }
        assert!(served >= 200 * 20 * 95 / 100, "{wanted} wanted: {served} served");
    }
}

/// Guards against refusals that begin after all requests are late.
#[test]
fn refusing_begins_within_half_a_second_of_a_step() {
    let mut service = Service::new(20, 1_000);
    service.play(10, 40, true);
    let (excess, _) = service.play(40, 10, true);
    assert!(excess > 0.2, "{excess}");
}

/// Guards against refusals that go on after the load has fallen.
#[test]
fn refusing_ends_within_a_second_of_a_step() {
    let mut service = Service::new(20, 1_000);
    service.play(40, 100, true);
    service.play(14, 20, true);
    let (excess, _) = service.play(14, 100, true);
    assert!(excess < f64::EPSILON, "{excess}");
}

/// Guards against rejections by targets whose queues are shorter than the target latency allows:
/// each costs its caller a try.
#[test]
fn rejections_shorten_the_wait() {
    let mut service = Service::new(20, 50);
    service.play(10, 40, true);
    service.play(30, 40, true);
    let (_, longest) = service.play(30, 200, true);
    assert!(longest < 2.5, "{longest} of 2.5 ticks");
}

/// Guards against a limit that stays low for good after targets have rejected requests while no
/// wait was seen, so that ordinary queues count as congestion.
#[test]
fn limit_recovers_after_rejections_without_a_wait() {
    let mut congestion = Congestion::default();
    let mut now = Instant(1_000_000);
    let mut play = |ticks: u32, rejected: u32, in_progress: u32| {
        let mut greatest = 0.0_f64;
        for _ in 0..ticks {
            for number in 0..10 {
                congestion.record_request();
                congestion.record_answer(true);
                if number < rejected {
                    congestion.record_rejection();
                }
            }
            now = now + TICK;
            congestion.update(in_progress, &TIMES, now);
            greatest = greatest.max(congestion.excess(&TIMES, 0.95));
        }
        greatest
    };
    play(100, 5, 0);
    play(600, 0, 10);
    // A wait of 60 ms: below the limit of 70 ms that the target latency sets, but 0.8 of it.
    let excess = play(100, 0, 22);
    assert!(excess < 0.05, "{excess}");
}

/// Guards against refusals where requests are late without any queue: they would be late too if
/// fewer were admitted.
#[test]
fn slow_work_is_not_congestion() {
    let times = Times { service: Span::millis(300), aim: Span::millis(250) };
    let mut congestion = Congestion::default();
    let mut now = Instant(1_000_000);
    for _ in 0..100 {
        for _ in 0..10 {
            congestion.record_request();
            congestion.record_answer(true);
        }
        now = now + TICK;
        // 10 in 50 ms with 300 ms each.
        congestion.update(60, &times, now);
        assert!(congestion.excess(&times, 1.0) < f64::EPSILON);
    }
}

/// Guards against decisions by a handful of requests.
#[test]
fn few_requests_decide_nothing() {
    let mut congestion = Congestion::default();
    congestion.update(0, &TIMES, Instant(1_000_000));
    for _ in 0..5 {
        congestion.record_request();
        congestion.record_answer(true);
    }
    congestion.update(5, &TIMES, Instant(1_900_000));
    assert_eq!(congestion.time(), None);
    assert!(congestion.excess(&TIMES, 1.0) < f64::EPSILON);
}
