//! Users of mustardway, the sizes of their deployments and their workloads.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use mustardway_types::request::{Repeat, Urgency};

/// A user of mustardway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum User {
    /// Cooperativa de Transporte Refrigerado Frío Austral.
    FrioAustral,
    /// Partitura Viva.
    PartituraViva,
}

/// A service of a user.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Service {
    /// Name of the service.
    pub name: &'static str,
    /// Number of targets.
    pub targets: usize,
}

/// One kind of request that a user's callers send.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Workload {
    /// Name in the result tables.
    pub name: &'static str,
    /// Index of the service in [`User::services`].
    pub service: usize,
    /// Urgency of the requests.
    pub urgency: Urgency,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// Share of the load that is offered to the service.
    pub share: f64,
    /// Processing time of each part.
    pub work: Duration,
    /// Number of parts of each answer.
    pub parts: u32,
    /// Size of each part, in bytes.
    pub answer_bytes: u32,
    /// Time until an answer is late.
    pub deadline: Duration,
    /// Number of requests after which a flow is closed; `None` keeps flows open.
    pub requests_per_flow: Option<u32>,
}

/// Bookings of Frío Austral; the other workloads take their remaining fields from it.
const BOOKINGS: Workload = Workload {
    name: "bookings",
    service: 0,
    urgency: Urgency::Ordinary,
    repeat: Repeat::Once,
    share: 0.8,
    work: Duration::from_millis(20),
    parts: 1,
    answer_bytes: 400,
    deadline: Duration::from_secs(3),
    requests_per_flow: Some(20),
};

/// Workloads of Frío Austral.
const FRIO_AUSTRAL: [Workload; 3] = [
    BOOKINGS,
    Workload {
        name: "alerts",
        urgency: Urgency::Urgent,
        repeat: Repeat::Idempotent,
        share: 0.2,
        work: Duration::from_millis(5),
        answer_bytes: 100,
        deadline: Duration::from_secs(1),
        requests_per_flow: None,
        ..BOOKINGS
    },
    Workload {
        name: "manifests",
        service: 1,
        repeat: Repeat::Idempotent,
        share: 1.0,
        answer_bytes: 4_000,
        ..BOOKINGS
    },
];

/// Workloads of Partitura Viva.
const PARTITURA_VIVA: [Workload; 3] = [
    Workload { name: "orders", work: Duration::from_millis(40), ..BOOKINGS },
    Workload {
        name: "sessions",
        repeat: Repeat::Idempotent,
        share: 0.2,
        work: Duration::from_millis(10),
        requests_per_flow: None,
        ..BOOKINGS
    },
    Workload {
        name: "downloads",
        service: 1,
        repeat: Repeat::Idempotent,
        share: 1.0,
        work: Duration::from_millis(10),
        parts: 8,
        answer_bytes: 32_768,
        deadline: Duration::from_secs(5),
        requests_per_flow: Some(1),
        ..BOOKINGS
    },
];

impl User {
    /// Returns the region of the deployment.
    pub fn region(self) -> &'static str {
        match self {
            User::FrioAustral => "ar-centro",
            User::PartituraViva => "cr-central",
        }
    }

    /// Returns the names of the failure domains.
    pub fn domains(self) -> [&'static str; 3] {
        match self {
            User::FrioAustral => ["rosario", "cordoba", "santa-fe"],
            User::PartituraViva => ["cr-central-a", "cr-central-b", "cr-central-c"],
        }
    }

    /// Returns the services.
    pub fn services(self) -> [Service; 2] {
        match self {
            User::FrioAustral => [
                Service { name: "central-reservas", targets: 14 },
                Service { name: "archivo-viajes", targets: 4 },
            ],
            User::PartituraViva => [
                Service { name: "order-desk", targets: 14 },
                Service { name: "score-vault", targets: 4 },
            ],
        }
    }

    /// Returns the number of slots of each target.
    pub fn slots(self) -> u32 {
        match self {
            User::FrioAustral => 2,
            User::PartituraViva => 4,
        }
    }

    /// Returns the workloads of the user's callers.
    pub fn workloads(self) -> &'static [Workload] {
        match self {
            User::FrioAustral => &FRIO_AUSTRAL,
            User::PartituraViva => &PARTITURA_VIVA,
        }
    }
}

impl fmt::Display for User {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            User::FrioAustral => "frio-austral",
            User::PartituraViva => "partitura-viva",
        })
    }
}

impl FromStr for User {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "frio-austral" => Ok(User::FrioAustral),
            "partitura-viva" => Ok(User::PartituraViva),
            _ => Err(format!("{text}: no such user, try frio-austral or partitura-viva")),
        }
    }
}
