//! Files are merged key by key, in the order of their names.

use mustardway_types::{revision, time};
use mustardway_view::model::{DomainState, Target, TargetState, View};

use crate::sample::{BASE, view};

fn target(view: &View) -> &Target {
    &view.targets[&"reservas-1".parse().expect("name")]
}

#[test]
fn one_file_makes_a_view() {
    let view = view(&[("10-base.ini", BASE)]);
    assert_eq!(view.revision, revision::Number(7));
    assert_eq!(view.domains.len(), 2);
    assert_eq!(view.addresses.len(), 3);
    assert_eq!(target(&view).weight, 200);
    assert_eq!(target(&view).endpoint, "10.1.0.1:7000".parse().unwrap());
}

#[test]
fn missing_keys_get_the_default_constants() {
    let view = view(&[("10-base.ini", BASE)]);
    let target = &view.targets[&"archivo-1".parse().unwrap()];
    assert_eq!(target.weight, 100);
    assert_eq!(target.state, TargetState::Serving);
    assert_eq!(target.limits.slots, 2);
    assert_eq!(target.limits.cold_slots, 1);
    assert_eq!(target.limits.connections, 2_000);
    assert_eq!(target.limits.warm_up, time::Span::seconds(30));
    assert_eq!(target.limits.queue, 4);
}

#[test]
fn later_file_replaces_single_keys() {
    let change = "[domain cordoba]\nstate = out\n[target reservas-1]\nweight = 50\n";
    let view = view(&[("20-change.ini", change), ("10-base.ini", BASE)]);
    let cordoba = &view.domains[&"cordoba".parse().unwrap()];
    assert_eq!(cordoba.state, DomainState::Out);
    assert_eq!(cordoba.region, "ar-centro");
    assert_eq!(target(&view).weight, 50);
    assert_eq!(target(&view).service, "reservas".parse().unwrap());
}

#[test]
fn earlier_file_does_not_replace_keys() {
    let change = "[target reservas-1]\nweight = 50\n";
    let view = view(&[("05-change.ini", change), ("10-base.ini", BASE)]);
    assert_eq!(target(&view).weight, 200);
}

#[test]
fn names_are_ordered_by_bytes() {
    let weight = |weight: u32| format!("[target reservas-1]\nweight = {weight}\n");
    let (nine, ten) = (weight(9), weight(10));
    let view = view(&[("1.ini", BASE), ("9.ini", &nine), ("10.ini", &ten)]);
    assert_eq!(target(&view).weight, 9);
}

#[test]
fn defaults_apply_to_targets_of_earlier_files() {
    let defaults = "[defaults target]\nslots = 4\ncold-slots = 2\nweight = 10\n";
    let view = view(&[("10-base.ini", BASE), ("90-defaults.ini", defaults)]);
    assert_eq!(target(&view).limits.slots, 4);
    assert_eq!(target(&view).limits.cold_slots, 2);
    assert_eq!(target(&view).weight, 200);
}

#[test]
fn empty_value_restores_the_default() {
    let defaults = "[defaults target]\nweight = 10\n";
    let change = "[target reservas-1]\nweight =\n";
    let view =
        view(&[("10-base.ini", BASE), ("20-defaults.ini", defaults), ("30-change.ini", change)]);
    assert_eq!(target(&view).weight, 10);
}

#[test]
fn carriage_returns_are_accepted() {
    let text = BASE.replace('\n', "\r\n").replace(" = ", "=");
    let view = view(&[("10-base.ini", &text)]);
    assert_eq!(view.services.len(), 2);
    assert_eq!(target(&view).weight, 200);
}

#[test]
fn mapped_address_becomes_ipv4() {
    let text = BASE.replace("10.0.0.2:443", "[::ffff:10.0.0.2]:443");
    let view = view(&[("10-base.ini", &text)]);
    assert!(view.addresses.contains_key(&"10.0.0.2:443".parse().unwrap()));
}
