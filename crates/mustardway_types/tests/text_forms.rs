//! Text forms of quantities and ids.

use assert_matches::assert_matches;
use mustardway_types::time::Span;
use mustardway_types::{domain, flow, parse, rate, size, target};

#[test]
fn span_text_round_trips() {
    for text in ["250ms", "2s", "5min", "1h", "7us", "0ms"] {
        let span: Span = text.parse().unwrap();
        assert_eq!(span.to_string(), text);
    }
}

/// Guards against a process that does not start because a bound of its settings is a
/// fraction.
#[test]
fn span_may_be_a_fraction() {
    let parsed = |text: &str| text.parse::<Span>().unwrap();
    assert_eq!(parsed("6.5s"), Span::millis(6_500));
    assert_eq!(parsed("0.25s"), Span::millis(250));
    assert_eq!(parsed("6.0s"), Span::seconds(6));
    assert_eq!(parsed("1.5min"), Span::seconds(90));
    assert_eq!(parsed("0.123456789ms"), Span(123));
    assert_eq!(parsed("0.000000001h"), Span(3));
    for text in ["1.s", ".5s", "1.2.3s", ".s", "1.+5s", "1.0000000000s", "18446744073709551615.9us"]
    {
        let parsed = text.parse::<Span>();
        let is_valid = text.ends_with("us");
        assert_eq!(parsed.is_ok(), is_valid, "{text}");
    }
    assert_matches!("307445734561.9min".parse::<Span>(), Err(parse::Error::Value { .. }));
}

#[test]
fn span_without_unit_or_out_of_range_is_rejected() {
    assert_matches!("250".parse::<Span>(), Err(parse::Error::Value { .. }));
    assert_matches!("99999999999999999999ms".parse::<Span>(), Err(parse::Error::Value { .. }));
    assert_matches!("18446744073709551615h".parse::<Span>(), Err(parse::Error::Value { .. }));
}

#[test]
fn size_text_round_trips() {
    for text in ["64KiB", "1MiB", "3B", "2GiB"] {
        let bytes: size::Bytes = text.parse().unwrap();
        assert_eq!(bytes.to_string(), text);
    }
    assert_matches!("64KB".parse::<size::Bytes>(), Err(parse::Error::Value { .. }));
}

#[test]
fn rate_text_round_trips() {
    let rate: rate::PerSecond = "200/s".parse().unwrap();
    assert_eq!(rate.to_string(), "200/s");
    assert_matches!("200".parse::<rate::PerSecond>(), Err(parse::Error::Value { .. }));
}

#[test]
fn invalid_names_are_rejected() {
    assert_matches!("rosario".parse::<domain::Name>(), Ok(_));
    assert_matches!("Rosario".parse::<domain::Name>(), Err(parse::Error::Name { .. }));
    assert_matches!("".parse::<target::Id>(), Err(parse::Error::Name { .. }));
    assert_matches!("a".repeat(64).parse::<target::Id>(), Err(parse::Error::Name { .. }));
}

#[test]
fn flow_text_round_trips() {
    let flow: flow::Id = "00000000000000ff".parse().unwrap();
    assert_eq!(flow, flow::Id(255));
    assert_eq!(flow.to_string(), "00000000000000ff");
}
