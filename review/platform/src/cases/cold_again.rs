//! A zone is evacuated and taken back; its servers are cold by then.

use std::thread::sleep;
use std::time::Duration;

use super::failback;
use crate::client::{Habit, Use};
use crate::deployment::{Configuration, Deployment, Route, ZONES, exit_code, write_record};
use crate::record::Fact;

const WARMUP: (Duration, f64) = (Duration::from_secs(3), 4.0);

pub fn play(folder: &str, trouble: bool) -> i32 {
    let mut it = Deployment::new();
    let route = it.route_address(8443);
    let configuration = Configuration {
        version: 7,
        routes: vec![Route {
            name: "r-orders".into(),
            address: route,
            kind: "unsafe",
            service: "orders".into(),
            timeout_ms: 1_000,
        }],
        services: vec!["orders".into()],
        warmup_s: 3.0,
        warmup_per_s: WARMUP.1,
        idle_timeout_ms: 15_000,
    };
    it.operate("op/config", Some(configuration.text()), "version 7");
    let work = Duration::from_millis(20);
    let start = |it: &Deployment, zone: usize, number: u8, cold: bool| {
        let id = format!("i-{:08x}", 0x51a0_0000 + zone as u32 * 256 + u32::from(number));
        it.server(zone, number, &id, "orders", cold, WARMUP, 4, work)
    };
    for number in 1..=4 {
        start(&it, 0, number, false);
    }
    it.add_instances(&[2, 2]);
    it.start_all();
    it.expect_ready(4, Duration::from_secs(20));
    sleep(Duration::from_secs(3));
    it.clients.uses.lock().unwrap().push(Use {
        route,
        limit: Duration::from_millis(1_000),
        habit: Habit::Fresh { per_s: 400.0 },
    });
    it.start_clients(0..2, 4);
    sleep(Duration::from_secs(3));
    // Servers are added to the second zone during traffic.
    let added: Vec<_> = (1..=3).map(|number| start(&it, 1, number, true)).collect();
    for server in &added {
        it.record.add(Fact::Done(format!("{} is cold", server.description.id)));
    }
    sleep(Duration::from_secs(7));
    if trouble {
        let key = format!("op/evacuate/{}", ZONES[1]);
        it.operate(&key, Some("{}".into()), "nothing more to the zone");
        sleep(Duration::from_millis(7_200));
        for server in &added {
            server.become_cold();
        }
        // Longer than a heartbeat, so that each server's entry tells that it is cold.
        sleep(Duration::from_millis(800));
        it.operate(&key, None, "the zone is taken back");
    } else {
        sleep(Duration::from_secs(8));
    }
    sleep(Duration::from_secs(4));
    it.clients.stop.store(true, std::sync::atomic::Ordering::Relaxed);
    sleep(Duration::from_millis(1_200));
    let ended = it.ended();
    let (mut head, broken) = failback::check(&it.record, WARMUP.0.as_secs_f64(), WARMUP.1);
    head.insert(0, format!("trouble: {trouble}"));
    if !ended.is_empty() {
        head.push(format!("ended by themselves: {}", ended.join(", ")));
    }
    for line in &head {
        println!("{line}");
    }
    write_record(&it.record, folder, &head);
    it.stop();
    exit_code(&it.record, broken)
}
