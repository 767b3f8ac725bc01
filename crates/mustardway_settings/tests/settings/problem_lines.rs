//! Every problem of the settings is one line with its place.

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

/// Additions to the base, each with its one problem.
const CASES: &[(&str, &str)] = &[
    (
        "[instances]\n",
        "settings:8: [instances] unknown section: allowed are [instance], [platform], [limits], [log], [metrics], [timing]",
    ),
    ("[log]\nlevels = info\n", "settings:9: [log] levels: unknown key: allowed are level, form"),
    (
        "[log]\nlevel = loud\n",
        "settings:9: [log] level: 'loud' is not allowed: allowed are error, warning, info, debug, trace",
    ),
    (
        "[log]\nform = xml\n",
        "settings:9: [log] form: 'xml' is not allowed: allowed are json, terminal",
    ),
    ("[log]\n[log]\n", "settings:9: [log] section given twice in one file: first on line 8"),
    ("wait = 0s\n", "settings:8: [platform] wait: '0s' is out of range: allowed are 1s to 5min"),
    (
        "[limits]\npacket = 32MiB\n",
        "settings:9: [limits] packet: '32MiB' is out of range: allowed are 1KiB to 16MiB",
    ),
    (
        "[limits]\nflows = 1\n",
        "settings:9: [limits] flows: '1' is out of range: allowed are 1000 to 10000000",
    ),
    ("[limits]\naudit = few\n", "settings:9: [limits] audit: 'few' is no whole number"),
    (
        "[metrics]\nstatsd = localhost:8125\n",
        "settings:9: [metrics] statsd: 'localhost:8125' is no IP address of one host with a port, such as 10.0.0.7:443",
    ),
    (
        "[timing]\nlease = 900ms\n",
        "settings:9: [timing] lease: 900ms with a heartbeat of 250ms does not fit: a lease is at least 4 heartbeats",
    ),
    (
        "[timing]\nheartbeat = 400ms\n",
        "settings:8: [timing] lease: 1500ms with a heartbeat of 400ms does not fit: a lease is at least 4 heartbeats",
    ),
    (
        "[timing]\nlease = 7s\n",
        "settings:9: [timing] lease: '7s' is out of range: allowed are 100ms to 6s",
    ),
    (
        "[timing]\ndrain = 2s\n",
        "settings:9: [timing] drain: 2s with a lease of 1500ms does not fit: a drain is at least 2 leases",
    ),
    (
        "loose\n",
        "settings:8: 'loose' is not understood: allowed are blank lines, # comments, [section] and key = value",
    ),
];

/// Replacements in the base, each with its one problem.
const REPLACED: &[(&str, &str, &str)] = &[
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

fn lines(text: &str) -> Vec<String> {
    let problems = Settings::parse(text).expect_err("text has problems");
    problems.iter().map(ToString::to_string).collect()
}

#[test]
fn one_line_each() {
    for (addition, wanted) in CASES {
        assert_eq!(lines(&format!("{BASE}{addition}")), [*wanted], "{addition}");
    }
}

#[test]
fn one_value_each() {
    for (from, to, wanted) in REPLACED {
        assert_eq!(lines(&BASE.replacen(from, to, 1)), [*wanted], "{to}");
    }
}

#[test]
fn all_at_once() {
    let found = lines("[timing]\nlease = 900ms\n[log]\nlevel = loud\n");
    assert_eq!(found.len(), 7, "{found:?}");
}

#[test]
fn too_many_readers() {
    let list: Vec<String> = (1..=17).map(|index| format!("10.0.9.{index}:8500")).collect();
    let found = lines(&BASE.replace("10.0.9.1:8500", &list.join(",")));
    let wanted = "settings:7: [platform] addresses: a list of 17 does not fit: allowed are 1 to 16 \
                  addresses";
    assert_eq!(found, [wanted]);
}

#[test]
fn too_large() {
    let found = lines(&"#".repeat(65_537));
    assert_eq!(found, ["settings: 65537 bytes: allowed are at most 65536"]);
}
