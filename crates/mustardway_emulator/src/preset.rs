//! Predefined sites: the users' deployments, and two for load that is uneven or too high.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use mustardway_flow::load::Settings;
use mustardway_mirror::publication::Repeat;
use mustardway_types::parse;
use mustardway_types::time::Span;

use crate::site::{Class, Service, Site, Swing, WIDE_LINK_BITS_PER_SECOND};

/// A predefined site, which the command line selects by name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Preset {
    /// Van bookings and cold-chain alerts.
    FrioAustral,
    /// Frío Austral's grown deployment, most of it on narrow links.
    FrioAustralGrown,
    /// Orders and downloads.
    SanJose,
    /// San José's grown deployment, on narrow links.
    SanJoseGrown,
    /// Targets of unequal speed, and demand that swings.
    Uneven,
    /// Equal targets that the demand may exceed.
    Contended,
    /// The gazette: a few instances, short flows, and queues that take as long as the aim.
    Gazette,
    /// The gazette's grown deployment.
    GazetteGrown,
}

impl Preset {
    /// All predefined sites.
    pub const ALL: [Preset; 8] = [
        Preset::FrioAustral,
        Preset::FrioAustralGrown,
        Preset::SanJose,
        Preset::SanJoseGrown,
        Preset::Uneven,
        Preset::Contended,
        Preset::Gazette,
        Preset::GazetteGrown,
    ];

    /// Returns the site.
    pub fn site(self) -> Site {
        match self {
            Preset::FrioAustral => frio_austral(),
            Preset::FrioAustralGrown => frio_austral_grown(),
            Preset::SanJose => san_jose(),
            Preset::SanJoseGrown => san_jose_grown(),
            Preset::Uneven => uneven(),
            Preset::Contended => contended(),
            Preset::Gazette => gazette(),
            Preset::GazetteGrown => gazette_grown(),
        }
    }
}

impl fmt::Display for Preset {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Preset::FrioAustral => "frio-austral",
            Preset::FrioAustralGrown => "frio-austral-grown",
            Preset::SanJose => "san-jose",
            Preset::SanJoseGrown => "san-jose-grown",
            Preset::Uneven => "uneven",
            Preset::Contended => "contended",
            Preset::Gazette => "gazette",
            Preset::GazetteGrown => "gazette-grown",
        })
    }
}

impl FromStr for Preset {
    type Err = parse::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        const WANTED: &str = "site: frio-austral, frio-austral-grown, san-jose, \
            san-jose-grown, uneven, contended, gazette or gazette-grown";
        let preset = Preset::ALL.into_iter().find(|preset| preset.to_string() == text);
        preset.ok_or_else(|| parse::Error::value(text, WANTED))
    }
}

/// Creates a service with the queue and cold period that all sites share.
fn service(name: &str, targets: &[u32], slots: u32) -> Service {
    Service {
        name: name.into(),
        targets: targets.to_vec(),
        slots,
        queue: 8,
        cold_rate: None,
        cold: Span::seconds(2),
        speeds: Vec::new(),
    }
}

fn frio_austral() -> Site {
    let class = |name: &str, service, repeat, rate, service_time, aim, limit| Class {
        name: name.into(),
        service,
        repeat,
        urgency: u32::from(repeat == Repeat::Free),
        is_persistent: false,
        rate,
        service_time: Span::millis(service_time),
        parts: 1,
        part_bytes: 2_400,
        aim: Span::millis(aim),
        limit: Span::millis(limit),
    };
    let mut classes = vec![
        class("alert", 0, Repeat::Free, 292.0, 22, 120, 800),
        class("booking", 0, Repeat::Once, 83.3, 29, 150, 1_000),
        class("manifest", 1, Repeat::Free, 25.0, 5, 500, 3_000),
    ];
    classes[0].is_persistent = true;
    classes[2].parts = 17;
    Site {
        name: "frio-austral".into(),
        domains: vec!["rosario".into(), "cordoba".into(), "santa-fe".into()],
        instances: vec![3, 2, 2],
        services: vec![service("bookings", &[5, 5, 4], 2), service("archive", &[2, 1, 1], 2)],
        classes,
        domain_delay: Span(500),
        caller_delay: Span::millis(1),
        link_bits_per_second: WIDE_LINK_BITS_PER_SECOND,
        wide_links: Vec::new(),
        heartbeat_interval: Span::millis(770),
        leaving_time: Span::seconds(3),
        in_force_time: Span::seconds(3),
        swing: None,
        retry_delay: Span::millis(10),
        closes_rejected: false,
        load: Settings::default(),
        is_load_shared: true,
    }
}

fn frio_austral_grown() -> Site {
    let mut site = frio_austral();
    site.name = "frio-austral-grown".into();
    site.instances = vec![31, 28, 26];
    site.services =
        vec![service("bookings", &[44, 39, 37], 2), service("archive", &[11, 10, 9], 2)];
    let classes = [(1_137.0, 400, 2_000), (325.0, 400, 2_000), (97.4, 1_200, 6_000)];
    for (class, (rate, aim, limit)) in site.classes.iter_mut().zip(classes) {
        class.rate = rate;
        class.aim = Span::millis(aim);
        class.limit = Span::millis(limit);
    }
    site.link_bits_per_second = 10e6;
    site.wide_links = vec![0, 2, 31, 33, 59, 61];
    site.leaving_time = Span::seconds(5);
    site.in_force_time = Span::seconds(5);
    site
}

fn san_jose() -> Site {
    let mut site = frio_austral();
    site.name = "san-jose".into();
    site.domains = vec!["central-a".into(), "central-b".into(), "central-c".into()];
    site.instances = vec![4, 3, 2];
    site.services = vec![service("orders", &[5, 5, 4], 4), service("vault", &[2, 1, 1], 4)];
    let times = [("watch", 55, 250, 4_000), ("part", 72, 300, 5_000), ("fetch", 5, 500, 8_000)];
    for (class, (name, service_time, aim, limit)) in site.classes.iter_mut().zip(times) {
        class.name = name.into();
        class.service_time = Span::millis(service_time);
        class.aim = Span::millis(aim);
        class.limit = Span::millis(limit);
    }
    site.domain_delay = Span(900);
    site.caller_delay = Span::millis(3);
    site.heartbeat_interval = Span::millis(1_200);
    site
}

fn san_jose_grown() -> Site {
    let mut site = san_jose();
    site.name = "san-jose-grown".into();
    site.domains.push("central-d".into());
    site.instances = vec![24, 21, 22, 23];
    site.services =
        vec![service("orders", &[30, 30, 30, 30], 2), service("vault", &[8, 8, 7, 7], 2)];
    for class in &mut site.classes {
        class.rate *= 3.9;
        class.aim = Span(class.aim.0 * 2);
    }
    site.link_bits_per_second = 10e6;
    site
}

/// Sets rate, service time, aim and limit of each class of a site. Times are in
/// microseconds.
fn set_classes(site: &mut Site, classes: [(f64, u64, u64, u64); 3]) {
    for (class, (rate, service_time, aim, limit)) in site.classes.iter_mut().zip(classes) {
        class.rate = rate;
        class.service_time = Span(service_time);
        class.aim = Span(aim);
        class.limit = Span(limit);
        class.part_bytes = 2_000;
    }
}

fn uneven() -> Site {
    let mut site = san_jose_grown();
    site.name = "uneven".into();
    site.domains = ["zone-a", "zone-b", "zone-c", "zone-d"].map(CompactString::from).to_vec();
    site.instances = vec![22, 21, 21, 21];
    site.services[0].speeds = vec![0.55, 1.2, 1.2, 1.2];
    set_classes(
        &mut site,
        [
            (1_001.0, 26_000, 400_000, 2_500_000),
            (286.0, 33_000, 500_000, 3_000_000),
            (85.8, 4_200, 1_200_000, 8_000_000),
        ],
    );
    site.domain_delay = Span(500);
    site.swing = Some(Swing {
        amplitude: 0.55,
        period: Span::seconds(15),
        phases: vec![0.1, 0.18, 0.26, 0.34],
    });
    site.retry_delay = Span::ZERO;
    site.closes_rejected = true;
    site
}

fn contended() -> Site {
    let mut site = frio_austral_grown();
    site.name = "contended".into();
    site.domains = ["zone-a", "zone-b", "zone-c"].map(CompactString::from).to_vec();
    site.instances = vec![27, 26, 26];
    site.services =
        vec![service("bookings", &[40, 40, 40], 2), service("archive", &[10, 10, 10], 2)];
    set_classes(
        &mut site,
        [
            (1_312.0, 22_000, 500_000, 3_000_000),
            (375.0, 29_000, 500_000, 3_000_000),
            (112.0, 5_000, 1_500_000, 10_000_000),
        ],
    );
    site.wide_links = Vec::new();
    site.domain_delay = Span(1_400);
    site.retry_delay = Span::ZERO;
    site.closes_rejected = true;
    site
}

fn gazette() -> Site {
    let mut site = san_jose();
    site.name = "gazette".into();
    site.domains = ["east-a", "east-b", "east-c"].map(CompactString::from).to_vec();
    site.instances = vec![3, 3, 2];
    site.services = vec![service("gazette", &[5, 5, 4], 4), service("archive", &[2, 1, 1], 4)];
    for service in &mut site.services {
        service.queue = 16;
    }
    set_classes(
        &mut site,
        [
            (292.0, 55_000, 250_000, 2_500_000),
            (83.3, 72_000, 300_000, 3_000_000),
            (25.0, 5_000, 500_000, 5_000_000),
        ],
    );
    set_gazette(&mut site);
    site
}

fn gazette_grown() -> Site {
    let mut site = gazette();
    site.name = "gazette-grown".into();
    site.instances = vec![21, 21, 23];
    site.services =
        vec![service("gazette", &[40, 40, 40], 2), service("archive", &[10, 10, 10], 2)];
    set_classes(
        &mut site,
        [
            (1_137.0, 55_000, 600_000, 4_000_000),
            (325.0, 72_000, 600_000, 4_000_000),
            (97.5, 5_000, 1_500_000, 8_000_000),
        ],
    );
    site.link_bits_per_second = 10e6;
    set_gazette(&mut site);
    site
}

/// Sets what both deployments of the gazette share: a flow for each request.
fn set_gazette(site: &mut Site) {
    site.classes[0].is_persistent = false;
    site.classes[0].parts = 2;
    site.classes[1].parts = 1;
    site.classes[1].part_bytes = 600;
    site.classes[2].parts = 34;
    site.domain_delay = Span(1_400);
    site.caller_delay = Span::millis(1);
    site.swing =
        Some(Swing { amplitude: 0.15, period: Span::seconds(11), phases: vec![0.71, 0.059, 0.91] });
    site.retry_delay = Span::ZERO;
    site.closes_rejected = true;
}
