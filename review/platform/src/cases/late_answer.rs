//! The links of a zone lose packets, so that two servers answer the opening packet of some
//! flows. Machines of the system are stopped and started in turn.

use std::collections::BTreeMap;
use std::thread::sleep;
use std::time::Duration;

use crate::client::{Habit, Use};
use crate::deployment::{Configuration, Deployment, Route, exit_code, write_record};
use crate::record::{Fact, Flow, show};

/// The zone whose links to the others are lossy, the share of the packets that they lose,
/// and for how long.
const LOSSY: (usize, f64, Duration) = (2, 0.025, Duration::from_millis(5_500));

pub fn play(folder: &str, trouble: bool) -> i32 {
    let mut it = Deployment::new();
    let address = it.route_address(8443);
    let configuration = Configuration {
        version: 7,
        routes: vec![Route {
            name: "r-watch".into(),
            address,
            kind: "safe",
            service: "watch".into(),
            timeout_ms: 2_000,
        }],
        services: vec!["watch".into()],
        warmup_s: 2.0,
        warmup_per_s: 0.0,
        idle_timeout_ms: 15_000,
    };
    it.operate("op/config", Some(configuration.text()), "version 7");
    let warmup = (Duration::from_secs(2), 0.0);
    let work = Duration::from_millis(20);
    let mut servers: BTreeMap<String, usize> = BTreeMap::new();
    for (zone, count) in [(0, 1), (1, 3), (2, 3)] {
        for number in 1..=count {
            let id = format!("i-{:08x}", 0x51a0_0000 + zone as u32 * 256 + u32::from(number));
            it.server(zone, number, &id, "watch", false, warmup, 4, work);
            servers.insert(id, zone);
        }
    }
    it.add_instances(&[3, 2, 2]);
    it.start_all();
    it.expect_ready(7, Duration::from_secs(20));
    sleep(Duration::from_secs(3));
    it.clients.uses.lock().unwrap().push(Use {
        route: address,
        limit: Duration::from_millis(2_000),
        habit: Habit::Long { flows: 200, requests: 20, pause: Duration::from_millis(4_000) },
    });
    if trouble {
        let (zone, share, _) = LOSSY;
        it.record.add(Fact::Done(format!("zone {zone}: its links lose {share} of the packets")));
        it.network.set_lossy(Some((zone, share)));
    }
    it.start_clients(0..1, 12);
    let network = it.network.clone();
    let record = it.record.clone();
    std::thread::spawn(move || {
        sleep(LOSSY.2);
        network.set_lossy(None);
        record.add(Fact::Done("no link loses packets any more".into()));
    });
    sleep(Duration::from_millis(4_500));
    // Planned work: the machines are stopped and started in turn.
    for index in 0..it.instances.len() {
        it.signal(index, "TERM");
        it.await_end(index, Duration::from_secs(6));
        it.start(index);
        sleep(Duration::from_millis(1_000));
    }
    sleep(Duration::from_secs(4));
    it.clients.stop.store(true, std::sync::atomic::Ordering::Relaxed);
    sleep(Duration::from_millis(2_500));

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
                // A server whose own links were harmed is excused.
                if servers.get(own) == Some(&LOSSY.0) {
                    continue;
                }
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
    let mut head = vec![
        format!("trouble: {trouble}"),
        format!("flows opened: {}, broken: {}", open.len() + broken.len(), broken.len()),
    ];
    head.extend(broken.iter().take(5).cloned());
    for line in &head {
        println!("{line}");
    }
    write_record(&it.record, folder, &head);
    it.stop();
    exit_code(&it.record, !broken.is_empty())
}
