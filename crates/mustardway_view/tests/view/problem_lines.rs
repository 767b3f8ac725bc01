//! Every problem is one line that states its location, what was found and what is allowed.

use mustardway_view::problem::PROBLEMS_MAX;

use crate::sample::{BASE, changed_problems, files, problems};

/// Changes to the base, each followed by the one problem that it causes.
const CASES: &str = include_str!("problem_lines.txt");
const CASE_COUNT: usize = 39;

#[test]
fn each_change_causes_its_problem() {
    let mut count = 0;
    for case in CASES.split("\n\n") {
        let (change, wanted) = case.split_once("\n=> ").unwrap();
        assert_eq!(changed_problems(change), [wanted.trim_end()], "{change}");
        count += 1;
    }
    assert_eq!(count, CASE_COUNT);
}

#[test]
fn configuration_without_services() {
    let wanted = "folder: no service is set: at least one is needed";
    assert_eq!(problems(&files(&[("10.ini", "# all is gone\n")])), [wanted]);
}

#[test]
fn keys_below_an_invalid_section_are_skipped() {
    let change = "[target reservas-1]\nweight = 3\n[target X]\nweight = 4\nweigh\n";
    let lines = changed_problems(change);
    assert_eq!(lines.len(), 2, "{lines:?}");
    assert!(lines[0].starts_with("20.ini:3: "), "{lines:?}");
    assert!(lines[1].starts_with("20.ini:5: "), "{lines:?}");
}

#[test]
fn all_problems_are_reported_together() {
    let change =
        "[target reservas-1]\nweight = 0\n[domain rosario]\nstate = off\n[remove target x]\n";
    let lines = changed_problems(change);
    assert_eq!(lines.len(), 3, "{lines:?}");
}

#[test]
fn number_of_problems_is_limited() {
    let mut change = String::new();
    for index in 0..PROBLEMS_MAX + 20 {
        change += &format!("[remove target t{index}]\n");
    }
    let lines = changed_problems(&change);
    assert_eq!(lines.len(), PROBLEMS_MAX + 1);
    assert_eq!(lines[PROBLEMS_MAX], "folder: 20 more problems are not listed");
}

#[test]
fn too_long_domain_name() {
    let name = "a".repeat(64);
    let lines = problems(&files(&[
        ("10.ini", BASE),
        ("20.ini", &format!("[domain {name}]\nregion = x\n")),
    ]));
    assert_eq!(lines.len(), 1);
    assert!(lines[0].contains("is no name"), "{lines:?}");
}
