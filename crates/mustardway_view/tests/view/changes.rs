//! The list of changes between two views.

use mustardway_view::change;

use crate::sample::{BASE, changed, view};

/// Returns the text of each change from the base to the base with one more file.
fn change_texts(change: &str) -> Vec<String> {
    let changes = change::between(&view(&[("10.ini", BASE)]), &changed(8, change));
    changes.iter().map(ToString::to_string).collect()
}

#[test]
fn comment_changes_nothing() {
    assert_eq!(change_texts("# a comment alone\n"), [""; 0]);
}

#[test]
fn domain_taken_out_and_in() {
    assert_eq!(
        change_texts("[domain rosario]\nstate = out\n"),
        ["failure domain rosario taken out"]
    );
    let (out, base) = (changed(8, "[domain rosario]\nstate = out\n"), view(&[("10.ini", BASE)]));
    let back = change::between(&out, &base);
    assert_eq!(back[0].to_string(), "failure domain rosario taken in");
}

#[test]
fn added_domain_that_is_out() {
    let wanted = ["failure domain salta added", "failure domain salta taken out"];
    assert_eq!(change_texts("[domain salta]\nregion = ar-norte\nstate = out\n"), wanted);
}

#[test]
fn removed_service_with_its_target() {
    let wanted = [
        "service archivo removed",
        "address 10.0.0.3:443 removed from service archivo",
        "target archivo-1 removed from service archivo in cordoba",
    ];
    assert_eq!(change_texts("[remove service archivo]\n[remove target archivo-1]\n"), wanted);
}

#[test]
fn addresses_added_removed_and_moved() {
    let change = "\
[service reservas]
addresses = 10.0.0.1:443
[service archivo]
addresses = 10.0.0.2:443, 10.0.0.4:443
";
    let wanted = [
        "address 10.0.0.2:443 moved from service reservas to archivo",
        "address 10.0.0.3:443 removed from service archivo",
        "address 10.0.0.4:443 added to service archivo",
    ];
    assert_eq!(change_texts(change), wanted);
}

#[test]
fn every_changed_key_of_a_target() {
    let change = "\
[target reservas-1]
state = leaving
service = archivo
domain = cordoba
endpoint = 10.1.0.9:7000
weight = 50
warm-up = 1min
[domain rosario]
region = ar-sur
";
    let wanted = [
        "failure domain rosario moved from region ar-centro to ar-sur",
        "target reservas-1 takes no new work",
        "target reservas-1 moved from service reservas to archivo",
        "target reservas-1 moved from failure domain rosario to cordoba",
        "target reservas-1 moved from endpoint 10.1.0.1:7000 to 10.1.0.9:7000",
        "target reservas-1 changed weight from 200 to 50",
        "target reservas-1 changed warm-up from 30s to 1min",
    ];
    assert_eq!(change_texts(change), wanted);
}

#[test]
fn added_target_that_is_leaving() {
    let change = "\
[target archivo-2]
service = archivo
domain = rosario
endpoint = 10.1.0.4:7000
state = leaving
";
    let wanted = [
        "target archivo-2 added to service archivo in rosario",
        "target archivo-2 takes no new work",
    ];
    assert_eq!(change_texts(change), wanted);
}
