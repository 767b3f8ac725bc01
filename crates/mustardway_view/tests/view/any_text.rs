//! No text makes the parser fail, and what it takes is whole.

use mustardway_types::revision;
use mustardway_view::folder::{self, Files};
use mustardway_view::ini;
use mustardway_view::problem::List;
use proptest::prelude::*;

use crate::fixed_cases::check;
use crate::sample::BASE;

const WORDS: &[&str] = &["domain", "service", "target", "defaults", "remove", "a", "b"];
const KEYS: &[&str] = &["region", "state", "addresses", "service", "endpoint", "weight", "slots"];
const VALUES: &[&str] =
    &["in", "a", "10.0.0.9:1", "10.0.0.8:1, 10.0.0.7:1", "3", "", "\\", "\"", "'"];

/// A line that is right or nearly so.
fn line() -> impl Strategy<Value = String> {
    prop_oneof![
        prop::collection::vec(prop::sample::select(WORDS), 0..4)
            .prop_map(|words| format!("[{}]", words.join(" "))),
        (prop::sample::select(KEYS), prop::sample::select(VALUES))
            .prop_map(|(key, value)| format!("{key} = {value}")),
        "[\\[\\]=:;# \t\r\"'\\\\a-c\u{85}\u{2028}]{0,12}",
    ]
}

fn text() -> impl Strategy<Value = String> {
    prop::collection::vec(line(), 0..20).prop_map(|lines| lines.join("\n"))
}

#[test]
fn any_bytes() {
    check(prop::collection::vec(any::<u8>(), 0..200), |bytes| {
        let files: Files = [("10.ini", bytes)].into_iter().collect();
        prop_assert!(folder::parse(revision::Number(1), &files).is_err());
        Ok(())
    });
}

#[test]
fn any_lines() {
    check(prop::collection::vec(text(), 1..4), |texts| {
        let texts = texts.iter().enumerate();
        let mut files: Files =
            texts.map(|(index, text)| (format!("2{index}.ini"), text.as_bytes())).collect();
        files.insert("10.ini", BASE.as_bytes());
        let Ok(view) = folder::parse(revision::Number(1), &files) else {
            return Ok(());
        };
        for target in view.targets.values() {
            prop_assert!(view.domains.contains_key(&target.domain));
            prop_assert!(view.services.contains_key(&target.service));
            prop_assert!(target.limits.cold_slots <= target.limits.slots);
        }
        Ok(())
    });
}

/// Each section and entry that is read stands on the line that it claims.
#[test]
fn lines_agree() {
    check(text(), |text| {
        let lines: Vec<&str> = text.lines().collect();
        let document = ini::read("10.ini", &text, &mut List::default());
        for section in &document.sections {
            let words: Vec<&str> = section.name.split(' ').collect();
            let line = lines[section.line as usize - 1].trim().trim_matches(['[', ']']);
            prop_assert_eq!(line.split_whitespace().collect::<Vec<_>>(), words);
            for entry in &section.entries {
                let (key, value) = lines[entry.line as usize - 1].split_once('=').unwrap();
                prop_assert_eq!(key.trim(), entry.key.as_str());
                prop_assert_eq!(value.trim(), entry.value.as_str());
            }
        }
        Ok(())
    });
}

#[test]
fn any_insertion() {
    let files = prop::collection::btree_map("[a-z]{1,3}", "[a-z]{0,3}", 0..6);
    let shuffled = files.prop_flat_map(|files| {
        let files: Vec<(String, String)> = files.into_iter().collect();
        (Just(files.clone()), Just(files).prop_shuffle())
    });
    check(shuffled, |(sorted, shuffled)| {
        let digest = |files: &[(String, String)]| {
            let files = files.iter().map(|(name, text)| (name, text.as_bytes()));
            files.collect::<Files>().digest()
        };
        prop_assert_eq!(digest(&sorted), digest(&shuffled));
        Ok(())
    });
}
