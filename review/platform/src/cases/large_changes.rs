//! Large configurations in quick succession; then a route is dropped and a server drains.

use std::thread::sleep;
use std::time::Duration;

use crate::client::{Habit, Use};
use crate::deployment::{Configuration, Deployment, Route, exit_code, write_record};
use crate::record::Fact;

/// Routes by which the configuration grows at a time, and how often it does.
const GROWTH: (usize, usize) = (350, 6);
/// The storm: a change each 60 ms for 1.5 s.
const STORM: (usize, Duration) = (25, Duration::from_millis(60));
const CONFIG_APPLY_S: f64 = 3.0;
const DRAIN_S: f64 = 3.0;

pub fn play(folder: &str, trouble: bool) -> i32 {
    let mut it = Deployment::new();
    let (kept, dropped) = (it.route_address(8443), it.route_address(8080));
    let route = |name: &str, address| Route {
        name: name.into(),
        address,
        kind: "unsafe",
        service: "orders".into(),
        timeout_ms: 1_000,
    };
    let mut configuration = Configuration {
        version: 7,
        routes: vec![route("r-kept", kept), route("r-dropped", dropped)],
        services: vec!["orders".into()],
        warmup_s: 2.0,
        warmup_per_s: 0.0,
        idle_timeout_ms: 15_000,
    };
    let write = |it: &Deployment, configuration: &mut Configuration, what: &str| {
        configuration.version += 2;
        let text = configuration.text();
        let what = format!("version {}, {} bytes, {what}", configuration.version, text.len());
        it.operate("op/config", Some(text), &what)
    };
    write(&it, &mut configuration, "the first");
    let mut servers = Vec::new();
    for zone in 0..2 {
        for number in 1..=3 {
            let id = format!("i-{:08x}", 0x51a0_0000 + zone as u32 * 256 + u32::from(number));
            let warmup = (Duration::from_secs(2), 0.0);
            let work = Duration::from_millis(20);
            servers.push(it.server(zone, number, &id, "orders", false, warmup, 4, work));
        }
    }
    it.add_instances(&[2, 2]);
    it.start_all();
    it.expect_ready(4, Duration::from_secs(20));
    sleep(Duration::from_secs(2));
    for address in [kept, dropped] {
        let limit = Duration::from_millis(1_000);
        it.clients.uses.lock().unwrap().push(Use {
            route: address,
            limit,
            habit: Habit::Fresh { per_s: 40.0 },
        });
    }
    it.start_clients(0..2, 4);
    for part in 0..GROWTH.1 {
        sleep(Duration::from_secs(2));
        for number in 0..GROWTH.0 {
            let number = part * GROWTH.0 + number;
            let name = format!("r-{number:07}");
            let address = it.route_address(10_000 + number as u16);
            configuration.routes.push(route(&name, address));
        }
        write(&it, &mut configuration, "350 routes more");
    }
    sleep(Duration::from_secs(3));
    for number in 0..STORM.0 {
        if trouble {
            configuration.idle_timeout_ms = 15_000 + number as u64;
            write(&it, &mut configuration, "another idle time-out");
        }
        sleep(STORM.1);
    }
    configuration.routes.retain(|route| route.address != dropped);
    let config_ack = it.record.seconds(write(&it, &mut configuration, "a route is dropped"));
    let drain_ack = it.record.seconds(servers[0].drain());
    let draining = servers[0].description.id.clone();
    sleep(Duration::from_secs(8));
    servers[0].leave();
    sleep(Duration::from_secs(2));
    it.clients.stop.store(true, std::sync::atomic::Ordering::Relaxed);
    sleep(Duration::from_millis(1_200));
    let ended = it.ended();

    let facts = it.record.facts();
    let mut sent = std::collections::BTreeMap::new();
    let (mut config_broken, mut drain_broken) = (Vec::new(), Vec::new());
    for (at, fact) in &facts {
        match fact {
            Fact::Sent { request, flow, .. } => {
                sent.insert(*request, (*at, crate::packet::socket(flow.1)));
            }
            Fact::Ran { request, .. } => {
                let Some((sent_at, route)) = sent.get(request) else { continue };
                if *route == dropped && *sent_at > config_ack + CONFIG_APPLY_S {
                    config_broken.push((*request, sent_at - config_ack));
                }
            }
            Fact::Opened { server, .. } if *server == draining && *at > drain_ack + DRAIN_S => {
                drain_broken.push(at - drain_ack);
            }
            _ => {}
        }
    }
    let mut largest = 0;
    for (_, _, path, status, bytes) in it.store.calls() {
        if path.contains("kv-watch") && status == 200 {
            largest = largest.max(bytes);
        }
    }
    let mut head = vec![
        format!("trouble: {trouble}"),
        format!("largest answer to a watch: {largest} bytes"),
        format!(
            "CONFIG: {} requests ran over the dropped route that were sent later than {CONFIG_APPLY_S} s after the ack, the last {:.1} s after it",
            config_broken.len(),
            config_broken.last().map_or(0.0, |(_, after)| *after)
        ),
        format!(
            "DRAIN: {} flows reached the draining server later than {DRAIN_S} s after the ack, the last {:.1} s after it",
            drain_broken.len(),
            drain_broken.last().copied().unwrap_or_default()
        ),
    ];
    if !ended.is_empty() {
        head.push(format!("ended by themselves: {}", ended.join(", ")));
    }
    for line in &head {
        println!("{line}");
    }
    write_record(&it.record, folder, &head);
    it.stop();
    exit_code(&it.record, !config_broken.is_empty())
}
