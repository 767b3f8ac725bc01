//! The token is compared in full, is required beyond loopback, and never appears in messages.

use assert_matches::assert_matches;
use mustardway_settings::Settings;
use mustardway_settings::token::{Error, Token};

const SECRET: &str = "kestrel-over-the-bay";
const REMOTE: &str = "\
[instance]
name = rosario-1
domain = rosario
front = 10.0.0.1:7000
peer = 10.0.0.1:7001
admin = 10.0.0.1:7002
";
const PLATFORM: &str = "[platform]\naddresses = 10.0.9.1:8500\n";

#[test]
fn only_the_whole_token_matches() {
    let token: Token = SECRET.parse().unwrap();
    assert!(token.matches(SECRET));
    let longer = format!("{SECRET}\0");
    let others = ["", "k", &SECRET[1..], &SECRET[..19], &longer, "kestrel-over-the-baY"];
    for other in others {
        assert!(!token.matches(other), "{other:?}");
    }
}

#[test]
fn only_a_bearer_header_with_the_token_is_admitted() {
    let token: Token = SECRET.parse().unwrap();
    assert_eq!(token.header(), format!("Bearer {SECRET}"));
    assert!(token.admits(token.header().as_bytes()));
    let others = [SECRET, &format!("bearer {SECRET}"), &format!("Bearer  {SECRET}"), "Bearer ", ""];
    for other in others {
        assert!(!token.admits(other.as_bytes()), "{other:?}");
    }
    assert!(!token.admits(b"Bearer \xff"));
}

#[test]
fn length_and_characters_are_checked() {
    assert_matches!("a".repeat(15).parse::<Token>(), Err(Error::Length { found: 15 }));
    assert_matches!("a".repeat(16).parse::<Token>(), Ok(_));
    assert_matches!("a".repeat(257).parse::<Token>(), Err(Error::Length { found: 257 }));
    assert_matches!("a token with blanks".parse::<Token>(), Err(Error::Characters));
}

#[test]
fn token_is_required_beyond_loopback() {
    let problems = Settings::parse(&format!("{REMOTE}{PLATFORM}")).unwrap_err();
    assert_eq!(
        problems[0].to_string(),
        "settings:6: [instance] admin: 10.0.0.1:7002 does not fit: beyond loopback a token is needed"
    );
    let text = format!("{REMOTE}token = {SECRET}\n{PLATFORM}");
    assert!(Settings::parse(&text).unwrap().instance.token.unwrap().matches(SECRET));
}

#[test]
fn token_never_appears_in_messages() {
    let settings = Settings::parse(&format!("{REMOTE}token = {SECRET}\n{PLATFORM}")).unwrap();
    assert!(!format!("{settings:?}").contains("kestrel"));
    for line in [
        "token = kestrel",
        "token = kestrel-over the-bay",
        "token = kestrel-over-the-bay\\",
        "token: kestrel-over-the-bay",
        "token kestrel-over-the-bay",
        "Token = kestrel-over-the-bay",
        "tokens = kestrel-over-the-bay",
    ] {
        let problems = Settings::parse(&format!("{REMOTE}{line}\n{PLATFORM}")).unwrap_err();
        assert!(!format!("{problems:?}").contains("kestrel"), "{line}");
        for problem in problems {
            assert!(!problem.to_string().contains("kestrel"), "{problem}");
        }
    }
}
