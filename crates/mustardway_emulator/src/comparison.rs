//! Comparison of the placement of new flows, and of their admission, at loads up to and
//! beyond the capacity of the targets.
//!
//! Loads are given as shares of the capacity; a load of 1 keeps all slots of the busiest
//! service busy, at the maximum of the demand if that swings.

use std::fmt;
use std::num::NonZeroUsize;

use mustardway_flow::load::{Admission, Placement, Settings};
use mustardway_types::time::Span;

use crate::report::Report;
use crate::scenario::{Kind, Scenario};
use crate::site::Site;
use crate::variant::Variant;
use crate::world::simulate_variant;

/// Time from the start of traffic until the goodput is measured: admission has reacted to
/// the load by then.
pub const WARM_UP: Span = Span::seconds(4);
/// Duration of the traffic. It covers one period of a demand that swings.
pub const TRAFFIC_SECONDS: u64 = 16;
/// Load before and after a burst, as a share of the capacity.
pub const BURST_BASE: f64 = 0.7;
/// Start of a burst in seconds from the start of traffic.
pub const BURST_START_SECONDS: f64 = 4.0;
/// Duration of a burst.
pub const BURST_TIME: Span = Span::seconds(4);
/// Time from the end of a burst until the last flow may be refused.
pub const BURST_GRACE: Span = Span::seconds(1);

/// Returns a scenario of `share` of the capacity of `site` without disruptions.
pub fn steady(site: &Site, share: f64) -> Scenario {
    Scenario { load: share * site.load_at_capacity(), ..Scenario::quiet(TRAFFIC_SECONDS) }
}

/// Returns a scenario in which the load of one class, or of all, is multiplied by `factor`
/// during a burst.
pub fn burst(site: &Site, class: Option<usize>, factor: f64) -> Scenario {
    let kind = Kind::Burst { class, factor, lasts: BURST_TIME };
    steady(site, BURST_BASE).with(BURST_START_SECONDS, kind)
}

/// Returns the number of flows that were refused later than [`BURST_GRACE`] after the end
/// of a burst.
pub fn late_refusals(report: &Report) -> usize {
    let end = Span((BURST_START_SECONDS * 1e6) as u64) + BURST_TIME + BURST_GRACE;
    report.refusals.iter().filter(|refusal| refusal.at > end).count()
}

/// Returns the work that was answered within the target latencies, in mean busy slots of
/// the busiest service at equal speeds. It covers the requests sent after [`WARM_UP`].
/// Requests count by their service times, so that the mix of the classes does not matter.
pub fn goodput(site: &Site, report: &Report) -> f64 {
    let mut work = 0.0;
    for (index, class) in site.classes.iter().enumerate() {
        let in_time = report.class_from(index, WARM_UP).in_time;
        work += f64::from(in_time) * class.service_time.as_seconds();
    }
    work / (TRAFFIC_SECONDS as f64 - WARM_UP.as_seconds())
}

/// A way to place new flows.
#[derive(Debug, Clone, Copy)]
pub struct Method {
    /// Name in the table.
    pub name: &'static str,
    /// The load-balancing policy.
    pub variant: Variant,
    /// How estimates of the load change the policy.
    pub placement: Placement,
    /// Whether instances exchange their estimates.
    pub is_load_shared: bool,
}

/// The ways to place new flows that are compared.
pub const METHODS: [Method; 6] = [
    method("score", Variant::Score, Placement::Outstanding, true),
    method("rendezvous", Variant::Rendezvous, Placement::Outstanding, true),
    method("pair", Variant::Pair, Placement::Outstanding, true),
    method("own-time", Variant::Score, Placement::ExpectedTime, false),
    method("shared-time", Variant::Score, Placement::ExpectedTime, true),
    method("omniscient", Variant::Omniscient, Placement::Outstanding, true),
];

const fn method(
    name: &'static str,
    variant: Variant,
    placement: Placement,
    is_load_shared: bool,
) -> Method {
    Method { name, variant, placement, is_load_shared }
}

impl Method {
    /// Runs a scenario with this way to place new flows.
    pub fn simulate(&self, site: &Site, scenario: &Scenario, seed: u64) -> Report {
        let load = Settings { placement: self.placement, admission: Admission::Off };
        let mut site = site.clone().with_load(load);
        site.is_load_shared = self.is_load_shared;
        simulate_variant(&site, scenario, seed, self.variant)
    }
}

/// Results of one way to place new flows at one load, as means over the seeds.
#[derive(Debug, Clone, Default)]
pub struct PlacementRow {
    /// Name of the way.
    pub name: &'static str,
    /// Load as a share of the capacity.
    pub share: f64,
    /// Median latency of the first class in milliseconds.
    pub p50: f64,
    /// Latency of the first class at the 99th percentile in milliseconds.
    pub p99: f64,
    /// Latency of all classes at the 99th percentile in milliseconds.
    pub p99_all: f64,
    /// Share of all requests that were answered within their target latency.
    pub in_time: f64,
    /// Ratio of the busiest target's busy time to the mean, for the first service.
    pub busiest: f64,
    /// Share of the forwarded bytes that went to another failure domain.
    pub cross_domain_bytes: f64,
    /// Share of the new flows that went to another failure domain.
    pub cross_domain_flows: f64,
    /// Bytes of load estimates that an instance sent per second.
    pub load_bytes: f64,
}

/// Header of the table of placement rows.
pub const PLACEMENT_HEADER: &str = "method       load  p50 ms  p99 ms  p99 all  in aim  busiest/mean  \
    bytes across  flows across  load B/s";

impl fmt::Display for PlacementRow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:<11} {:5.2} {:7.1} {:7.1} {:8.1} {:6.2}% {:13.3} {:12.1}% {:12.1}% {:9.0}",
            self.name,
            self.share,
            self.p50,
            self.p99,
            self.p99_all,
            self.in_time * 100.0,
            self.busiest,
            self.cross_domain_bytes * 100.0,
            self.cross_domain_flows * 100.0,
            self.load_bytes
        )
    }
}

/// Runs the seeds from 1 to `seeds` on `threads` threads and returns the reports in order
/// of the seeds.
fn run_seeds(seeds: u64, threads: NonZeroUsize, run: impl Fn(u64) -> Report + Sync) -> Vec<Report> {
    let all: Vec<u64> = (1..=seeds).collect();
    let chunk = all.len().div_ceil(threads.get()).max(1);
    let mut reports = Vec::new();
    std::thread::scope(|scope| {
        let run = &run;
        let mut workers = Vec::new();
        for seeds in all.chunks(chunk) {
            workers.push(
                scope.spawn(move || seeds.iter().map(|seed| run(*seed)).collect::<Vec<Report>>()),
            );
        }
        for worker in workers {
            reports.extend(worker.join().expect("a simulation does not panic"));
        }
    });
    reports
}

/// Returns the mean of a value over all reports.
fn mean(reports: &[Report], value: impl Fn(&Report) -> f64) -> f64 {
    reports.iter().map(value).sum::<f64>() / reports.len().max(1) as f64
}

/// Runs a way to place new flows at `share` of the capacity with each seed.
pub fn place(
    site: &Site,
    method: &Method,
    share: f64,
    seeds: u64,
    threads: NonZeroUsize,
) -> PlacementRow {
    let scenario = steady(site, share);
    let reports = run_seeds(seeds, threads, |seed| method.simulate(site, &scenario, seed));
    let instances: usize = site.instances.iter().sum();
    let instance_seconds = instances as f64 * TRAFFIC_SECONDS as f64;
    PlacementRow {
        name: method.name,
        share,
        p50: mean(&reports, |report| f64::from(report.class_quantile(0, 0.5))),
        p99: mean(&reports, |report| f64::from(report.class_quantile(0, 0.99))),
        p99_all: mean(&reports, |report| f64::from(report.quantile(0.99))),
        in_time: mean(&reports, |report| report.total().in_time_share()),
        busiest: mean(&reports, |report| report.busiest(0)),
        cross_domain_bytes: mean(&reports, |report| {
            report.cross_domain_bytes as f64 / report.forwarded_bytes.max(1) as f64
        }),
        cross_domain_flows: mean(&reports, |report| {
            f64::from(report.cross_domain) / f64::from(report.placed.max(1))
        }),
        load_bytes: mean(&reports, |report| report.load_bytes as f64) / instance_seconds,
    }
}

/// Results of admission at one load, as means over the seeds.
#[derive(Debug, Clone, Default)]
pub struct AdmissionRow {
    /// Load as a share of the capacity.
    pub share: f64,
    /// Goodput in slots.
    pub goodput: f64,
    /// Share of the requests of each class that were answered within their target latency,
    /// of those sent after [`WARM_UP`].
    pub in_time: Vec<f64>,
    /// Refused flows per request of each class.
    pub refused: Vec<f64>,
    /// Flows refused later than [`BURST_GRACE`] after a burst to `share` of the capacity, or
    /// `None` if no flow is ever refused.
    pub late_refusals: Option<f64>,
}

/// Runs a site with its targets equally placed, with or without admission, at `share` of
/// the capacity with each seed.
pub fn admit(
    site: &Site,
    admission: Admission,
    share: f64,
    seeds: u64,
    threads: NonZeroUsize,
) -> AdmissionRow {
    let site = site.clone().with_load(Settings { admission, ..Settings::default() });
    let simulate =
        |scenario: &Scenario, seed| simulate_variant(&site, scenario, seed, Variant::default());
    let (scenario, burst) = (steady(&site, share), burst(&site, None, share / BURST_BASE));
    let reports = run_seeds(seeds, threads, |seed| simulate(&scenario, seed));
    let late_refusals = match admission {
        Admission::Off => None,
        Admission::ByPriority => {
            let reports = run_seeds(seeds, threads, |seed| simulate(&burst, seed));
            Some(mean(&reports, |report| late_refusals(report) as f64))
        }
    };
    let mut row = AdmissionRow {
        share,
        goodput: mean(&reports, |report| goodput(&site, report)),
        late_refusals,
        ..AdmissionRow::default()
    };
    for class in 0..site.classes.len() {
        let in_time = |report: &Report| report.class_from(class, WARM_UP).in_time_share();
        let refused = |report: &Report| {
            let refusals = report.refusals.iter().filter(|refusal| refusal.class == class);
            refusals.count() as f64 / f64::from(report.class(class).asked.max(1))
        };
        row.in_time.push(mean(&reports, in_time));
        row.refused.push(mean(&reports, refused));
    }
    row
}

/// Header of the table of admission rows. Classes are in the order of the site.
pub const ADMISSION_HEADER: &str = "load  goodput   in aim by class             \
    refused per request by class  refused late after a burst";

impl fmt::Display for AdmissionRow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:4.2} {:8.2} ", self.share, self.goodput)?;
        for share in &self.in_time {
            write!(f, " {:7.2}%", share * 100.0)?;
        }
        write!(f, "  ")?;
        for refused in &self.refused {
            write!(f, " {refused:8.3}")?;
        }
        match self.late_refusals {
            Some(late) => write!(f, "  {late:26.1}"),
            None => write!(f, "  {:>26}", "-"),
        }
    }
}
