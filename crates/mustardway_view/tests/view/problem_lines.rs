//! Every problem is one line with its place, what was found and what is allowed.

use mustardway_view::problem::PROBLEMS_MAX;

use crate::sample::{BASE, changed_problems, files, problems};

/// Changes to the base, each with its one problem after it.
const CASES: &str = include_str!("problem_lines.txt");
const CASES_COUNT: usize = 39;

#[test]
fn one_line_each() {
    let mut count = 0;
    for case in CASES.split("\n\n") {
        let (change, wanted) = case.split_once("\n=> ").unwrap();
        assert_eq!(changed_problems(change), [wanted.trim_end()], "{change}");
        count += 1;
    }
    assert_eq!(count, CASES_COUNT);
}

#[test]
fn no_services() {
    let wanted = "folder: no service is set: at least one is needed";
    assert_eq!(problems(&files(&[("10.ini", "# all is gone\n")])), [wanted]);
}

#[test]
fn below_faulty_section() {
    let change = "[target reservas-1]\nweight = 3\n[target X]\nweight = 4\nweigh\n";
    let lines = changed_problems(change);
    assert_eq!(lines.len(), 2, "{lines:?}");
    assert!(lines[0].starts_with("20.ini:3: "), "{lines:?}");
    assert!(lines[1].starts_with("20.ini:5: "), "{lines:?}");
}

#[test]
fn all_at_once() {
    let change =
        "[target reservas-1]\nweight = 0\n[domain rosario]\nstate = off\n[remove target x]\n";
    let lines = changed_problems(change);
    assert_eq!(lines.len(), 3, "{lines:?}");
}

#[test]
fn many_problems() {
    let mut change = String::new();
    for index in 0..PROBLEMS_MAX + 20 {
        change += &format!("[remove target t{index}]\n");
    }
    let lines = changed_problems(&change);
    assert_eq!(lines.len(), PROBLEMS_MAX + 1);
    assert_eq!(lines[PROBLEMS_MAX], "folder: 20 more problems are not listed");
}

#[test]
fn long_name() {
    let name = "a".repeat(64);
    let lines = problems(&files(&[
        ("10.ini", BASE),
        ("20.ini", &format!("[domain {name}]\nregion = x\n")),
    ]));
    assert_eq!(lines.len(), 1);
    assert!(lines[0].contains("is no name"), "{lines:?}");
}
