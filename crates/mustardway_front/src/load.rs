//! The load of services and targets as one instance knows it, as a JSON document.
//!
//! The dispatcher replaces the document once per [`INTERVAL`]; requests for it read the
//! latest one and never wait for the dispatcher.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::Arc;

use bytes::Bytes;
use hyper::StatusCode;
use mustardway_admission::controller::Reason;
use mustardway_flow::directory;
use mustardway_flow::front::Front;
use mustardway_flow::health::Status;
use mustardway_flow::load::{Admission, Load, Placement, Settings};
use mustardway_flow::note::ResetReason;
use mustardway_load::key;
use mustardway_load::view::USUAL;
use mustardway_types::time::{Instant, Span};
use mustardway_types::{domain, service, target};
use serde::Serialize;
use tokio::sync::watch;

use crate::http::Answer;

/// Path at which the document is served.
pub const PATH: &str = "/load";
/// Time between two documents, and between two updates of the metrics. It is longer than
/// the 500 ms between two summaries, and shorter than the interval at which metrics are
/// usually collected.
pub const INTERVAL: Span = Span::seconds(1);

/// The latest document; the dispatcher holds the sender.
pub type Receiver = watch::Receiver<Arc<Document>>;

/// The load as one instance knows it.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Document {
    /// Value of the setting `placement`.
    pub placement: &'static str,
    /// Value of the setting `admission`.
    pub admission: &'static str,
    /// Milliseconds since the latest summary; none before the first one.
    pub summary_age_ms: Option<u64>,
    /// Number of the period in which a caller's flows get the same verdict.
    pub epoch: u64,
    /// Ratio of the slowest to the fastest tenth of the targets.
    pub spread: f64,
    /// Services with known load.
    pub services: Vec<Service>,
    /// Targets whose estimates differ from the usual ones, the slowest first.
    pub targets: Vec<Target>,
}

/// The load of one service.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Service {
    /// Name of the service.
    pub name: service::Name,
    /// What the service does with new flows: `open` or `refusing`.
    pub state: String,
    /// Capacity: usable slots of its targets.
    pub slots: f64,
    /// Demand: load that callers offer, in slots.
    pub offered: f64,
    /// Share of the offered load that is refused.
    pub excess: f64,
    /// Milliseconds that a request spends at a target on average, as this instance sees it.
    pub time_ms: Option<u64>,
    /// Flows that this instance has refused since its start, by reason.
    pub refused: BTreeMap<&'static str, u64>,
    /// Load by route, the most urgent first.
    pub routes: Vec<Route>,
}

/// The load that one route brings to a service.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Address and port that callers send to.
    pub address: SocketAddrV4,
    /// Priority under overload. 0 is the most urgent.
    pub urgency: u32,
    /// Load that callers offer, in slots.
    pub offered: f64,
    /// Load that is admitted, in slots.
    pub admitted: f64,
}

/// The estimates for one target.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Target {
    /// Name of the target.
    pub id: target::Id,
    /// Service of the target.
    pub service: service::Name,
    /// Failure domain of the target.
    pub domain: domain::Name,
    /// Ratio of the time that requests take to the usual time of their routes.
    pub slowness: f64,
    /// Share of the answers that are far shorter than usual.
    pub short_share: f64,
    /// Requests that this instance has sent and that the target has not begun to answer.
    pub outstanding: u32,
    /// Why new flows avoid the target; empty if they do not.
    pub avoided: Vec<Avoided>,
}

/// A reason why new flows avoid a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Avoided {
    /// Its requests take longer than at other targets.
    Slow,
    /// Many of its answers are short, as errors and rejections are.
    ShortAnswers,
    /// It left a caller or a probe without an answer.
    Unanswered,
    /// It is about to leave.
    Leaving,
    /// Its failure domain is evacuated.
    Evacuated,
}

impl Document {
    /// Describes the load that `front` knows.
    pub fn new(front: &Front, settings: Settings, now: Instant) -> Self {
        let mut document = Document {
            placement: match settings.placement {
                Placement::Outstanding => "outstanding",
                Placement::ExpectedTime => "expected-time",
            },
            admission: match settings.admission {
                Admission::Off => "off",
                Admission::ByPriority => "priority",
            },
            spread: USUAL,
            ..Document::default()
        };
        let Some(load) = front.load() else { return document };
        let view = load.node().view();
        document.summary_age_ms = view.age(now).map(Span::as_millis);
        document.epoch = view.epoch();
        document.spread = rounded(view.spread());
        document.services = services(front, load);
        document.targets = targets(front, load, settings, now);
        document
    }
}

/// Returns the answer to an HTTP request for the latest document.
pub fn respond(documents: &Receiver) -> Answer {
    let document = Arc::clone(&documents.borrow());
    match serde_json::to_vec(&*document) {
        Ok(text) => (StatusCode::OK, Bytes::from(text)),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string().into()),
    }
}

/// Returns the label of a reason for which flows are refused, in documents and metrics.
pub(crate) fn reason_label(reason: Reason) -> &'static str {
    match reason {
        Reason::Overloaded => ResetReason::Overloaded.label(),
        Reason::CallerShare => ResetReason::CallerShare.label(),
    }
}

fn services(front: &Front, load: &Load) -> Vec<Service> {
    let mut names = BTreeMap::new();
    if let Some(configuration) = front.directory().configuration() {
        for route in &configuration.routes {
            names.insert(key::Route::of(route.address), (&route.name, route.address));
        }
    }
    let mut services = Vec::new();
    for (name, status) in load.controller().statuses() {
        let mut routes = Vec::new();
        for (key, route) in &status.routes {
            let Some((name, address)) = names.get(key) else { continue };
            routes.push(Route {
                name: name.to_string(),
                address: *address,
                urgency: route.urgency,
                offered: rounded(route.offered),
                admitted: rounded(route.admitted),
            });
        }
        routes.sort_by(|one, other| (one.urgency, &one.name).cmp(&(other.urgency, &other.name)));
        services.push(Service {
            name: name.clone(),
            state: status.state.to_string(),
            slots: rounded(status.slots),
            offered: rounded(status.offered),
            excess: rounded(status.excess),
            time_ms: status.time.map(Span::as_millis),
            refused: refused(load, name),
            routes,
        });
    }
    services
}

fn refused(load: &Load, service: &service::Name) -> BTreeMap<&'static str, u64> {
    let counts = load.refused().filter(|(name, ..)| *name == service);
    counts.map(|(_, reason, count)| (reason_label(reason), count)).collect()
}

fn targets(front: &Front, load: &Load, settings: Settings, now: Instant) -> Vec<Target> {
    let view = load.node().view();
    let directory = front.directory();
    let mut targets = Vec::new();
    for index in directory.indexes() {
        let Some(target) = directory.get(index) else { continue };
        let (slowness, short_share) = (view.slowness(target.key), view.short_share(target.key));
        if slowness == USUAL && short_share == 0.0 {
            continue;
        }
        let registration = &target.registration;
        let mut avoided = Vec::new();
        if settings.placement == Placement::ExpectedTime && slowness > USUAL {
            avoided.push(Avoided::Slow);
        }
        if settings.placement == Placement::ExpectedTime && short_share > 0.0 {
            avoided.push(Avoided::ShortAnswers);
        }
        avoided.extend(other_reasons(front, target, now));
        targets.push(Target {
            id: registration.id.clone(),
            service: registration.service.clone(),
            domain: registration.domain.clone(),
            slowness: rounded(slowness),
            short_share: rounded(short_share),
            outstanding: target.observation.outstanding(),
            avoided,
        });
    }
    targets.sort_by(|one, other| {
        let by_speed = other.slowness.total_cmp(&one.slowness);
        let by_answers = other.short_share.total_cmp(&one.short_share);
        by_speed.then(by_answers).then_with(|| one.id.cmp(&other.id))
    });
    targets
}

/// Returns the reasons to avoid a target other than its own estimates.
fn other_reasons(front: &Front, target: &directory::Target, now: Instant) -> Vec<Avoided> {
    let mut reasons = Vec::new();
    if target.health.status(now) != Status::Healthy {
        reasons.push(Avoided::Unanswered);
    }
    if target.registration.leaving {
        reasons.push(Avoided::Leaving);
    }
    if front.directory().is_evacuated(&target.registration.domain) {
        reasons.push(Avoided::Evacuated);
    }
    reasons
}

/// Rounds a value to three decimals.
pub(crate) fn rounded(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}
