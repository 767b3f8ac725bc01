//! A route is dropped from a large configuration, and the machine that read the store last is
//! killed right after the store's ack.

use std::collections::BTreeMap;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::client::{Habit, Use};
use crate::deployment::{Configuration, Deployment, Route, exit_code, write_record};
use crate::packet::socket;
use crate::record::Fact;

/// Routes besides the two that are used; the configuration has less than 1 MiB.
const ROUTES: usize = 4_500;
/// Number of changes, each with a kill.
const CHANGES: usize = 8;
/// How long the killed machine is down.
const DOWN: Duration = Duration::from_millis(3_000);
const CONFIG_APPLY_S: f64 = 3.0;

pub fn play(folder: &str, trouble: bool) -> i32 {
    let mut it = Deployment::new();
    let (kept, dropped) = (it.route_address(8443), it.route_address(8080));
    let service = "central-reservas-y-alertas-ar";
    let route = |name: &str, address| Route {
        name: name.into(),
        address,
        kind: "unsafe",
        service: service.into(),
        timeout_ms: 1_000,
    };
    let mut configuration = Configuration {
        version: 7,
        routes: vec![route("r-kept", kept)],
        services: vec![service.into()],
        warmup_s: 2.0,
        warmup_per_s: 0.0,
        idle_timeout_ms: 15_000,
    };
    for number in 0..ROUTES {
        let address = it.route_address(10_000 + number as u16);
        configuration.routes.push(route(&format!("ruta-de-la-cooperativa-{number:07}"), address));
    }
    configuration.routes.push(route("r-dropped", dropped));
    let write = |it: &Deployment, configuration: &mut Configuration, what: &str| {
        configuration.version += 2;
        let text = configuration.text();
        let what = format!("version {}, {} bytes, {what}", configuration.version, text.len());
        it.operate("op/config", Some(text), &what)
    };
    write(&it, &mut configuration, "the first");
    for zone in 0..3 {
        for number in 1..=3 {
            let id = format!("i-{:08x}", 0x51a0_0000 + zone as u32 * 256 + u32::from(number));
            let warmup = (Duration::from_secs(2), 0.0);
            it.server(zone, number, &id, service, false, warmup, 4, Duration::from_millis(10));
        }
    }
    it.add_instances(&[3, 2, 2]);
    it.start_all();
    it.expect_ready(7, Duration::from_secs(20));
    sleep(Duration::from_secs(2));
    for address in [kept, dropped] {
        let limit = Duration::from_millis(1_000);
        let habit = Habit::Fresh { per_s: 150.0 };
        it.clients.uses.lock().unwrap().push(Use { route: address, limit, habit });
    }
    it.start_clients(0..3, 4);
    sleep(Duration::from_secs(2));
    let mut changes = Vec::new();
    for _ in 0..CHANGES {
        configuration.routes.pop();
        let reader = await_read(&it);
        let at = write(&it, &mut configuration, "a route is dropped");
        if trouble {
            it.signal(reader, "KILL");
            it.await_end(reader, Duration::from_secs(1));
        }
        sleep(DOWN);
        if trouble {
            it.start(reader);
        }
        sleep(Duration::from_millis(1_500));
        configuration.routes.push(route("r-dropped", dropped));
        let back = write(&it, &mut configuration, "the route is back");
        changes.push((it.record.seconds(at), it.record.seconds(back), reader));
        sleep(Duration::from_millis(4_000));
    }
    it.clients.stop.store(true, std::sync::atomic::Ordering::Relaxed);
    sleep(Duration::from_millis(1_200));

    let mut sent = BTreeMap::new();
    let mut last = vec![0.0_f64; changes.len()];
    let mut broken = 0;
    for (at, fact) in it.record.facts() {
        match fact {
            Fact::Sent { request, flow, instance } => {
                sent.insert(request, (at, socket(flow.1), instance));
            }
            Fact::Ran { request, .. } => {
                let Some((at, route, instance)) = sent.get(&request).copied() else { continue };
                for (index, (ack, back, reader)) in changes.iter().enumerate() {
                    // The killed machine is not in touch.
                    if route == dropped && at > *ack && at < *back && instance != *reader {
                        last[index] = last[index].max(at - ack);
                        broken += usize::from(at > ack + CONFIG_APPLY_S);
                    }
                }
            }
            _ => {}
        }
    }
    let last: Vec<String> = last.iter().map(|last| format!("{last:.2}")).collect();
    let head = [
        format!("trouble: {trouble}"),
        format!(
            "the last request over the dropped route was sent {} s after the ack",
            last.join(", ")
        ),
        format!(
            "CONFIG: {broken} requests that were sent later than {CONFIG_APPLY_S} s after the ack ran over it"
        ),
    ];
    for line in &head {
        println!("{line}");
    }
    write_record(&it.record, folder, &head);
    it.stop();
    exit_code(&it.record, broken > 0)
}

/// Waits until a machine has read the store, and returns its number.
fn await_read(it: &Deployment) -> usize {
    let known = it.store.calls().len();
    let until = Instant::now() + Duration::from_secs(3);
    loop {
        if let Some(call) = it.store.calls().get(known) {
            return call.1;
        }
        if Instant::now() > until {
            return 0;
        }
        sleep(Duration::from_millis(2));
    }
}
