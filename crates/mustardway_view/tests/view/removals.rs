//! Removal of items that earlier files set.

use crate::sample::{BASE, changed, files, problems, view};

const REMOVAL: &str = "[remove target reservas-2]\n";
const SET_AGAIN: &str = "\
[target reservas-2]
service = archivo
domain = rosario
endpoint = 10.1.0.9:7000
";

#[test]
fn target_is_removed() {
    let view = changed(7, REMOVAL);
    assert_eq!(view.targets.len(), 2);
}

#[test]
fn service_and_its_addresses_are_removed() {
    let view = changed(7, "[remove service archivo]\n[remove target archivo-1]\n");
    assert_eq!(view.services.len(), 1);
    assert_eq!(view.addresses.len(), 2);
}

#[test]
fn removed_target_loses_its_former_keys() {
    let heavy = "[target reservas-2]\nweight = 900\n";
    let view =
        view(&[("10.ini", BASE), ("15.ini", heavy), ("20.ini", REMOVAL), ("30.ini", SET_AGAIN)]);
    let target = &view.targets[&"reservas-2".parse().unwrap()];
    assert_eq!(target.weight, 100);
    assert_eq!(target.service, "archivo".parse().unwrap());
}

#[test]
fn second_removal_is_rejected() {
    let files =
        files(&[("10.ini", BASE), ("20.ini", REMOVAL), ("30.ini", SET_AGAIN), ("40.ini", REMOVAL)]);
    let wanted = "40.ini:1: [remove target reservas-2] removed a second time, first at 20.ini:1: \
                  allowed is one removal of each item";
    assert_eq!(problems(&files), [wanted]);
}

#[test]
fn removal_before_setting_is_rejected() {
    let files = files(&[("05.ini", REMOVAL), ("10.ini", BASE)]);
    let wanted = "05.ini:1: [remove target reservas-2] nothing to remove: allowed is only what an \
                  earlier file set";
    assert_eq!(problems(&files), [wanted]);
}

#[test]
fn setting_and_removing_in_one_file_is_rejected() {
    for (text, line) in [(SET_AGAIN.to_owned() + REMOVAL, 5), (REMOVAL.to_owned() + SET_AGAIN, 2)] {
        let lines = problems(&files(&[("10.ini", BASE), ("20.ini", &text)]));
        assert_eq!(lines.len(), 1, "{lines:?}");
        assert!(lines[0].starts_with(&format!("20.ini:{line}: ")), "{lines:?}");
        assert!(lines[0].contains("set and removed in one file"), "{lines:?}");
    }
}
