//! Random files neither crash the parser nor lead to an invalid view.

use mustardway_types::revision;
use mustardway_view::folder::{self, Files};
use mustardway_view::ini;
use mustardway_view::problem::List;
use proptest::prelude::*;

use crate::fixed_cases::check;
use crate::sample::BASE;

const SECTION_WORDS: &[&str] = &["domain", "service", "target", "defaults", "remove", "a", "b"];
const KEYS: &[&str] = &["region", "state", "addresses", "service", "endpoint", "weight", "slots"];
const VALUES: &[&str] =
    &["in", "a", "10.0.0.9:1", "10.0.0.8:1, 10.0.0.7:1", "3", "", "\\", "\"", "'"];

/// Generates valid and almost valid lines.
fn line() -> impl Strategy<Value = String> {
    prop_oneof![
        prop::collection::vec(prop::sample::select(SECTION_WORDS), 0..4)
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
fn random_bytes_are_rejected() {
    check(prop::collection::vec(any::<u8>(), 0..200), |bytes| {
        let files: Files = [("10.ini", bytes)].into_iter().collect();
        prop_assert!(folder::parse(revision::Number(1), &files).is_err());
        Ok(())
    });
}

#[test]
fn accepted_views_are_consistent() {
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

/// Each parsed section and entry is on the line that its line number states.
#[test]
fn line_numbers_match_the_text() {
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
fn digest_is_independent_of_insertion_order() {
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
