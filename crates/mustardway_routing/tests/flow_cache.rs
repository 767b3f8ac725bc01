//! The flow cache of an ingress stays bounded and keeps flows that are in use.

#![allow(clippy::unwrap_used)]

use mustardway_routing::cache::Cache;
use mustardway_types::{flow, target};

fn target(number: u64) -> target::Id {
    format!("t{number}").parse().unwrap()
}

#[test]
fn cache_stays_bounded() {
    let mut cache = Cache::new(100);
    for number in 0..10_000 {
        cache.insert(flow::Id(number), target(number % 7));
        assert!(cache.len() <= 100);
    }
}

#[test]
fn used_flow_is_kept() {
    let mut cache = Cache::new(100);
    cache.insert(flow::Id(1), target(1));
    for number in 2..5_000 {
        cache.insert(flow::Id(number), target(2));
        assert_eq!(cache.touch(flow::Id(1)), Some(target(1)));
    }
}

#[test]
fn removed_flow_is_not_found() {
    let mut cache = Cache::new(4);
    cache.insert(flow::Id(1), target(1));
    cache.insert(flow::Id(2), target(1));
    cache.insert(flow::Id(3), target(1));
    cache.remove(flow::Id(1));
    assert_eq!(cache.get(flow::Id(1)), None);
    assert_eq!(cache.touch(flow::Id(1)), None);
}
