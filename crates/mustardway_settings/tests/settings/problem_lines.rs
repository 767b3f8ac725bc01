//! Every problem of the settings is one line that states its location.

use mustardway_settings::Settings;

const BASE: &str = "\
[instance]
name = rosario-1
domain = rosario
front = 10.0.0.1:7000
peer = 10.0.0.1:7001
[platform]
addresses = 10.0.9.1:8500
";

/// Additions to the base, each followed by the one problem that it causes.
const CASES: &str = include_str!("problem_lines.txt");
const CASE_COUNT: usize = 15;

/// Replacements in the base, each with the one problem that it causes.
const REPLACEMENTS: &[(&str, &str, &str)] = &[
    (
        "name = rosario-1",
        "",
        "settings:1: [instance] name: missing: it has no default and must be given",
    ),
    (
        "[platform]\naddresses = 10.0.9.1:8500\n",
        "",
        "settings: [platform] addresses: missing: it has no default and must be given",
    ),
    (
        "rosario-1",
        "Rosario",
        "settings:2: [instance] name: 'Rosario' is no name: allowed are 1 to 63 of a-z, 0-9, '-' and '.'",
    ),
    (
        ":7001",
        ":7000",
        "settings:5: [instance] peer: 10.0.0.1:7000 does not fit: front, peer and admin each need their own",
    ),
    (
        "0.1:7001",
        "0.1:7001\nadmin = 127.0.0.1:0",
        "settings:6: [instance] admin: '127.0.0.1:0' is no IP address of one host with a port, such as 10.0.0.7:443",
    ),
    (
        "0.1:7001",
        "0.1:7001\nworkers = 0",
        "settings:6: [instance] workers: '0' is out of range: allowed are 1 to 256",
    ),
    (
        "9.1:8500",
        "9.1:8500, 10.0.9.1:8500",
        "settings:7: [platform] addresses: 10.0.9.1:8500 does not fit: each address may be given once",
    ),
];

fn problem_lines(text: &str) -> Vec<String> {
    let problems = Settings::parse(text).expect_err("text has problems");
    problems.iter().map(ToString::to_string).collect()
}

#[test]
fn each_addition_causes_its_problem() {
    let mut count = 0;
    for case in CASES.split("\n\n") {
        let (change, wanted) = case.split_once("\n=> ").unwrap();
        assert_eq!(problem_lines(&format!("{BASE}{change}")), [wanted.trim_end()], "{change}");
        count += 1;
    }
    assert_eq!(count, CASE_COUNT);
}

#[test]
fn each_replacement_causes_its_problem() {
    for (from, to, wanted) in REPLACEMENTS {
        assert_eq!(problem_lines(&BASE.replacen(from, to, 1)), [*wanted], "{to}");
    }
}

#[test]
fn all_problems_are_reported_together() {
    let found = problem_lines("[timing]\nlease = 900ms\n[log]\nlevel = loud\n");
    assert_eq!(found.len(), 7, "{found:?}");
}

#[test]
fn too_many_platform_addresses_are_rejected() {
    let list: Vec<String> = (1..=17).map(|index| format!("10.0.9.{index}:8500")).collect();
    let found = problem_lines(&BASE.replace("10.0.9.1:8500", &list.join(",")));
    let wanted = "settings:7: [platform] addresses: a list of 17 does not fit: allowed are 1 to 16 \
                  addresses";
    assert_eq!(found, [wanted]);
}

#[test]
fn oversized_settings_are_rejected() {
    let found = problem_lines(&"#".repeat(65_537));
    assert_eq!(found, ["settings: 65537 bytes: allowed are at most 65536"]);
}
