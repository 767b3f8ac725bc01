//! The example file is valid and shows the defaults.

use mustardway_settings::Settings;
use mustardway_settings::settings::{Form, Level};
use mustardway_types::{size, time};

const EXAMPLE: &str = include_str!("../../examples/instance.ini");

#[test]
fn example_is_accepted() {
    let settings = Settings::parse(EXAMPLE).unwrap();
    assert_eq!(settings.instance.name.as_str(), "rosario-1");
    assert_eq!(settings.instance.admin, "127.0.1.1:7002".parse().unwrap());
    assert_eq!(settings.platform.addresses.len(), 2);
}

#[test]
fn missing_keys_get_the_default_constants() {
    let settings = Settings::parse(EXAMPLE).unwrap();
    assert_eq!(settings.instance.workers, 4);
    assert_eq!(settings.platform.wait, time::Span::seconds(30));
    assert_eq!(settings.limits.packet, size::Bytes(1 << 20));
    assert_eq!(settings.limits.flows, 500_000);
    assert_eq!(settings.limits.audit, 10_000);
    assert_eq!((settings.log.level, settings.log.form), (Level::Info, Form::Json));
    assert_eq!(settings.metrics.statsd, None);
    assert_eq!(settings.timing.heartbeat, time::Span::millis(250));
    assert_eq!(settings.timing.lease, time::Span::millis(1_500));
    assert_eq!(settings.timing.drain, time::Span::seconds(20));
}

/// Every commented-out key is known, and setting it to the value shown changes nothing.
#[test]
fn commented_keys_show_their_defaults() {
    let mut text = String::new();
    for line in EXAMPLE.lines() {
        let key = line.strip_prefix("# ").filter(|rest| rest.contains(" = "));
        let is_set = key.is_some_and(|key| key.starts_with("admin"));
        text += if is_set { line } else { key.unwrap_or(line) };
        text.push('\n');
    }
    let mut example = Settings::parse(EXAMPLE).unwrap();
    example.metrics.statsd = Some("127.0.0.1:8125".parse().unwrap());
    let uncommented = Settings::parse(&text).unwrap();
    assert_eq!(format!("{uncommented:?}"), format!("{example:?}"));
}
