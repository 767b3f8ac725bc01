//! Planned work on instances that run late: a quota of the processor stops them for a part
//! of each 100 ms, and targets stand still for a moment now and then, so that a target may
//! answer an opening packet after another one has answered its copy.

use mustardway_emulator::defect::Defect;
use mustardway_emulator::preset::Preset;
use mustardway_emulator::report::{Report, Rule, Violation};
use mustardway_emulator::scenario::{Kind, Scenario};
use mustardway_emulator::world::{simulate, simulate_defect};
use mustardway_types::time::Span;

/// Period of stalls that are too short for an instance to notice them.
const SHORT_PERIOD: Span = Span::millis(90);

/// Returns a scenario in which a failure domain is evacuated and the instances are
/// restarted in turn. The routers miss instances `moves` times.
fn scenario(moves: u64) -> Scenario {
    let lasts = Span::seconds(30);
    let (run, period) = (Span::millis(30), Span::millis(100));
    let (gap, longest) = (Span::millis(800), Span::millis(450));
    let mut scenario = Scenario::quiet(8)
        .with(0.0, Kind::Throttle { share: 0.9, run, period, crowded: 0.1, lasts })
        .with(0.0, Kind::Stutter { service: 0, share: 1.0, gap, longest, lasts })
        .with(2.0, Kind::Evacuate { domain: 1, lasts: Span::seconds(5) })
        .with(1.0, Kind::Roll { share: 1.0, gap: Span::millis(700) });
    for at in 0..moves {
        let unchecked = Kind::Unchecked { share: 0.3, lasts: Span::millis(1_100) };
        scenario = scenario.with(1.0 + at as f64, unchecked);
    }
    scenario
}

/// Returns the resets of open flows by targets that do not hold them. A target that stands
/// still is not such a case: the instances may take it for lost.
fn foreign_resets(report: &Report) -> Vec<&Violation> {
    let is_foreign = |it: &&Violation| {
        it.rule == Rule::FalseReset
            && it.detail.starts_with("by t-")
            && it.detail.contains(" open at ")
    };
    report.violations.iter().filter(is_foreign).collect()
}

#[track_caller]
fn assert_no_foreign_reset(preset: Preset, moves: u64, seeds: &[u64]) {
    let mut found = Vec::new();
    for seed in seeds {
        let report = simulate(&preset.site(), &scenario(moves), *seed);
        for violation in foreign_resets(&report) {
            found.push(format!("{preset}, seed {seed}: {violation:?}"));
        }
    }
    assert!(found.is_empty(), "{found:#?}");
}

/// The announcement of the holder reaches an instance while it does not run. When it runs
/// again, it first handles the packet, which carries the token of the late answer.
#[test]
fn packet_before_waiting_announcement() {
    assert_no_foreign_reset(Preset::Gazette, 7, &[114, 128, 201, 293]);
    assert_no_foreign_reset(Preset::FrioAustral, 7, &[285]);
}

/// The instance that is to tell its failure domain of the holder has just started and knows no
/// other instance there yet.
#[test]
fn started_instance_passes_on_to_nobody() {
    assert_no_foreign_reset(Preset::Gazette, 7, &[25]);
}

/// The opening packets go through one instance, the caller's first packet through another one,
/// which tells nobody. The first instance then takes the target that answered late for the
/// holder, and tells the peers so.
#[test]
fn flow_opened_elsewhere_comes_back() {
    assert_no_foreign_reset(Preset::FrioAustral, 7, &[105, 212, 287, 298]);
    assert_no_foreign_reset(Preset::SanJose, 7, &[367]);
}

/// As before, but a third instance gets the flow.
#[test]
fn flow_opened_elsewhere_moves_on() {
    assert_no_foreign_reset(Preset::SanJose, 7, &[423]);
    assert_no_foreign_reset(Preset::SanJose, 0, &[221]);
}

/// The one instance of a failure domain that is told leaves just then.
#[test]
fn announcement_reaches_no_instance_of_a_domain() {
    assert_no_foreign_reset(Preset::SanJose, 0, &[218]);
}

/// All targets answer in time, but instances stand still for up to 370 ms. When one runs
/// again, a copy of an opening packet and the caller's first packet both wait there. The copy
/// is handled first and goes to a second target, though the flow is open already.
#[test]
fn copy_waits_with_the_first_packet() {
    let (run, period) = (Span::millis(20), Span::millis(390));
    let lasts = Span::seconds(30);
    let mut scenario = Scenario::quiet(20)
        .with(0.0, Kind::Throttle { share: 0.9, run, period, crowded: 0.2, lasts })
        .with(4.0, Kind::Evacuate { domain: 1, lasts: Span::seconds(8) })
        .with(2.0, Kind::Roll { share: 1.0, gap: Span::millis(1_100) });
    for number in 0..6 {
        let at = 1.0 + 17.0 * f64::from(number) / 6.0;
        scenario = scenario.with(at, Kind::Unchecked { share: 0.3, lasts: Span::millis(1_100) });
    }
    let report = simulate(&Preset::FrioAustral.site(), &scenario, 26);
    let found = foreign_resets(&report);
    assert!(found.is_empty(), "{found:#?}");
}

/// Returns a scenario in which all targets answer in time, but instances run for 10 ms of each
/// `period` at most.
fn stalls_alone(period: Span) -> Scenario {
    let run = Span::millis(10);
    let lasts = Span::seconds(30);
    Scenario::quiet(12)
        .with(0.0, Kind::Throttle { share: 0.9, run, period, crowded: 0.3, lasts })
        .with(2.0, Kind::Evacuate { domain: 1, lasts: Span::seconds(7) })
        .with(1.0, Kind::Roll { share: 1.0, gap: Span::millis(1_100) })
}

/// Returns the resets of open flows by instances.
fn resets_by_instances(report: &Report) -> Vec<&Violation> {
    let is_reset = |it: &&Violation| it.rule == Rule::FalseReset && it.detail.starts_with("by i-");
    report.violations.iter().filter(is_reset).collect()
}

/// An instance that does not run hears no answers. It must not take targets for lost.
#[test]
fn stalls_lose_no_target() {
    for preset in [Preset::SanJose, Preset::FrioAustral, Preset::Gazette] {
        for seed in 1..=10 {
            for period in [Span::millis(100), SHORT_PERIOD] {
                let report = simulate(&preset.site(), &stalls_alone(period), seed);
                let found = resets_by_instances(&report);
                assert!(found.is_empty(), "{preset}, seed {seed}: {found:#?}");
            }
        }
    }
}

/// The simulation notices instances that take their own stalls for the silence of targets.
#[test]
fn trusted_silence_is_noticed() {
    let mut found = 0;
    for seed in 1..=10 {
        let site = Preset::SanJose.site();
        let report =
            simulate_defect(&site, &stalls_alone(SHORT_PERIOD), seed, Defect::TrustsSilence);
        found += resets_by_instances(&report).len();
    }
    assert!(found > 0, "no flow was reset");
}

/// Targets that stand still for a quarter of a second at most are sound.
#[test]
fn short_stalls_of_targets_reset_no_flow() {
    let (gap, longest, lasts) = (Span::seconds(3), Span::millis(250), Span::seconds(30));
    let scenario = Scenario::quiet(12)
        .with(0.0, Kind::Stutter { service: 0, share: 1.0, gap, longest, lasts });
    for preset in [Preset::SanJose, Preset::Gazette] {
        for seed in 1..=5 {
            let report = simulate(&preset.site(), &scenario, seed);
            let found = resets_by_instances(&report);
            assert!(found.is_empty(), "{preset}, seed {seed}: {found:#?}");
        }
    }
}
