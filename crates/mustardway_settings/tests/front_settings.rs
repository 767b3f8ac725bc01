//! Settings of the packet front: the example file, the defaults and every kind of problem.

use mustardway_settings::front::{Admission, Front, Placement};
use mustardway_types::time::Span;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

const MINIMAL: &str = "[instance]\nname = a-1\ndomain = a\npackets = 10.1.0.1:1\nready = 10.1.0.1:2\n\
    peer = 10.1.0.1:3\n[platform]\naddress = 10.2.0.1:4\n";

fn problems(text: &str) -> Vec<String> {
    let problems = Front::parse(text).expect_err("a problem");
    problems.iter().map(ToString::to_string).collect()
}

#[test]
fn example_is_accepted() {
    let example = include_str!("../examples/front.ini");
    let front = Front::parse(example).expect("the example");
    assert_eq!(front.name.as_str(), "rosario-1");
    assert!(front.seeds.is_empty());
    // Every commented-out key has its default value.
    let with_defaults = example.replace("# advertise", "advertise");
    let with_defaults = with_defaults.replace("# seeds =", "seeds =").replace("# grace", "grace");
    let with_defaults = with_defaults.replace("# placement", "placement");
    let with_defaults = with_defaults.replace("# admission", "admission");
    let with_defaults = with_defaults.replace("# level", "level").replace("# form", "form");
    assert_eq!(Front::parse(&with_defaults).expect("the defaults"), front);
}

#[test]
fn defaults_are_filled_in() {
    let front = Front::parse(MINIMAL).expect("the minimal settings");
    assert_eq!(front.grace, Span::seconds(6));
    assert_eq!(front.metrics, None);
    assert_eq!((front.placement, front.admission), (Placement::Outstanding, Admission::Off));
    assert!(front.seeds.is_empty());
}

#[test]
fn seeds_are_a_list() {
    let text = MINIMAL.replace("[platform]", "seeds = 10.1.0.1:3, 10.1.0.2:3\n[platform]");
    assert_eq!(Front::parse(&text).expect("two seeds").seeds.len(), 2);
    let empty = MINIMAL.replace("[platform]", "seeds =\n[platform]");
    assert!(Front::parse(&empty).expect("no seeds").seeds.is_empty());
}

#[test]
fn problems_are_listed_together() {
    let text = MINIMAL.replace("name = a-1", "name = A 1").replace("address", "adress");
    let found = problems(&format!("{text}[timing]\ngrace = 1ms\n[extra]\n"));
    assert_eq!(found.len(), 5, "{found:?}");
}

#[test]
fn missing_keys_are_named() {
    for key in ["name", "domain", "packets", "ready", "peer", "address"] {
        let kept: Vec<_> = MINIMAL.lines().filter(|line| !line.starts_with(key)).collect();
        let found = problems(&kept.join("\n"));
        assert!(found.iter().any(|problem| problem.contains(key)), "{key}: {found:?}");
    }
}

#[test]
fn metrics_have_an_address() {
    let front = Front::parse(&format!("{MINIMAL}[metrics]\naddress = 10.1.0.1:9464\n"));
    assert_eq!(front.expect("an address").metrics, "10.1.0.1:9464".parse().ok());
    assert_eq!(problems(&format!("{MINIMAL}[metrics]\naddress = here\n")).len(), 1);
}

#[test]
fn load_settings_take_each_word() {
    let front = |text: &str| Front::parse(&format!("{MINIMAL}[load]\n{text}\n"));
    let words =
        [("outstanding", Placement::Outstanding), ("expected-time", Placement::ExpectedTime)];
    for (word, placement) in words {
        let front = front(&format!("placement = {word}")).expect("a valid word");
        assert_eq!((front.placement, front.admission), (placement, Admission::Off), "{word}");
    }
    for (word, admission) in [("off", Admission::Off), ("priority", Admission::Priority)] {
        let front = front(&format!("admission = {word}")).expect("a valid word");
        assert_eq!(
            (front.placement, front.admission),
            (Placement::Outstanding, admission),
            "{word}"
        );
    }
}

/// Guards against a wrong word that counts as the default: an operator would believe that
/// admission is on.
#[test]
fn wrong_load_settings_name_the_key_and_the_valid_words() {
    for (line, key, words) in [
        ("placement = fastest", "placement", ["outstanding", "expected-time"]),
        ("placement = Expected-Time", "placement", ["outstanding", "expected-time"]),
        ("admission = on", "admission", ["off", "priority"]),
        ("admission =", "admission", ["off", "priority"]),
    ] {
        let found = problems(&format!("{MINIMAL}[load]\n{line}\n"));
        assert_eq!(found.len(), 1, "{line}: {found:?}");
        assert!(found[0].contains(key), "{line}: {found:?}");
        assert!(words.iter().all(|word| found[0].contains(word)), "{line}: {found:?}");
    }
    let found = problems(&format!("{MINIMAL}[load]\nspeed = 1\n"));
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(found[0].contains("placement") && found[0].contains("admission"), "{found:?}");
}

/// Every text is either accepted or rejected with at least one problem.
#[test]
fn random_text_is_accepted_or_has_problems() {
    let rng_seed = RngSeed::Fixed(1);
    let config = Config { cases: 2_000, rng_seed, failure_persistence: None, ..Config::default() };
    let lines = prop_oneof![
        Just("[instance]".to_string()),
        Just("[platform]".to_string()),
        "(name|domain|packets|peer|seeds|grace|address) ?= ?[a-z0-9.:,]{0,12}",
        "[ -~]{0,30}",
    ];
    let check = |lines: Vec<String>| {
        let text = lines.join("\n");
        if let Err(problems) = Front::parse(&text) {
            prop_assert!(!problems.is_empty());
        }
        Ok(())
    };
    let lines = prop::collection::vec(lines, 0..20);
    TestRunner::new(config).run(&lines, check).expect("holds");
}
