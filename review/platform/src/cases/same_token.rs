//! A server is added whose identifier has the same token as that of another server, and
//! machines of the system are stopped and started in turn.

use std::collections::BTreeMap;
use std::thread::sleep;
use std::time::Duration;

use crate::client::{Habit, Use};
use crate::deployment::{Configuration, Deployment, Route, exit_code, write_record};
use crate::record::{Fact, Flow, show};

/// Ids of servers: the first one runs from the beginning, the second one is added.
const IDS: (&str, &str) = ("i-51a08908", "i-51a07d00");
/// The id of the server that is added without the disruption.
const OTHER_ID: &str = "i-51a07d01";

pub fn play(folder: &str, trouble: bool) -> i32 {
    let mut it = Deployment::new();
    let address = it.route_address(8443);
    let configuration = Configuration {
        version: 7,
        routes: vec![Route {
            name: "r-watch".into(),
            address,
            kind: "unsafe",
            service: "orders".into(),
            timeout_ms: 1_000,
        }],
        services: vec!["orders".into()],
        warmup_s: 2.0,
        warmup_per_s: 0.0,
        idle_timeout_ms: 15_000,
    };
    it.operate("op/config", Some(configuration.text()), "version 7");
    let warmup = (Duration::from_secs(2), 0.0);
    let work = Duration::from_millis(20);
    let mut servers = Vec::new();
    for (zone, number, id) in
        [(0, 1, IDS.0), (0, 2, "i-51a10002"), (1, 1, "i-51a10101"), (1, 2, "i-51a10102")]
    {
        servers.push(it.server(zone, number, id, "orders", false, warmup, 4, work));
    }
    it.add_instances(&[2, 2]);
    it.start_all();
    it.expect_ready(4, Duration::from_secs(20));
    sleep(Duration::from_secs(3));
    it.clients.uses.lock().unwrap().push(Use {
        route: address,
        limit: Duration::from_millis(1_000),
        habit: Habit::Long { flows: 8, requests: 30, pause: Duration::from_millis(1_000) },
    });
    it.start_clients(0..2, 4);
    sleep(Duration::from_secs(5));
    let added = if trouble { IDS.1 } else { OTHER_ID };
    it.record.add(Fact::Done(format!("the server {added} is added")));
    servers.push(it.server(1, 3, added, "orders", true, warmup, 4, work));
    sleep(Duration::from_secs(4));
    for index in 0..2 {
        it.signal(index, "TERM");
        it.await_end(index, Duration::from_secs(6));
        it.start(index);
        sleep(Duration::from_millis(1_500));
    }
    sleep(Duration::from_secs(3));
    it.clients.stop.store(true, std::sync::atomic::Ordering::Relaxed);
    sleep(Duration::from_millis(1_500));

    let mut open: BTreeMap<Flow, (f64, String)> = BTreeMap::new();
    let mut broken = Vec::new();
    for (at, fact) in it.record.facts() {
        match fact {
            Fact::Open { flow, server } => {
                open.insert(flow, (at, server));
            }
            Fact::Reset { flow, server } => {
                let Some((since, own)) = open.get(&flow).filter(|(_, own)| *own != server) else {
                    continue;
                };
                broken.push(format!(
                    "FLOW broken: {} was open at {own} for {:.1} s; {server} reset it at {at:.3}",
                    show(&flow),
                    at - since
                ));
                open.remove(&flow);
            }
            _ => {}
        }
    }
    let mut head = vec![format!("trouble: {trouble}"), format!("flows broken: {}", broken.len())];
    head.extend(broken.iter().take(5).cloned());
    for line in &head {
        println!("{line}");
    }
    write_record(&it.record, folder, &head);
    it.stop();
    exit_code(&it.record, !broken.is_empty())
}
