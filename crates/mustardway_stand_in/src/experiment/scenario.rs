//! Changes and faults that happen during a run.
//!
//! A run has three phases of the same length. The change or fault of a scenario
//! starts with the second phase and is reverted at the start of the third.

use std::fmt;
use std::str::FromStr;

/// A change or fault, or a run without any.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scenario {
    /// Nothing changes or fails.
    Calm,
    /// An instance shuts down gracefully and starts again.
    InstanceStop,
    /// An instance is killed and starts again.
    InstanceKill,
    /// An instance is paused and resumes after one phase.
    InstancePause,
    /// Operators take a failure domain out and back in.
    DomainOut,
    /// A target stops taking new flows and takes them again later.
    TargetLeaving,
    /// A target becomes cold without warning.
    TargetCold,
    /// A target fails and comes back cold.
    TargetDown,
    /// The platform fails and recovers.
    PlatformDown,
    /// A failure domain is taken out while an instance is killed.
    DomainOutAndKill,
    /// A failure domain is taken out while one of its instances is paused; the
    /// instance resumes before the domain is back in.
    DomainOutAndPause,
}

/// Every scenario with its name.
pub const NAMES: [(Scenario, &str); 11] = [
    (Scenario::Calm, "calm"),
    (Scenario::InstanceStop, "instance-stop"),
    (Scenario::InstanceKill, "instance-kill"),
    (Scenario::InstancePause, "instance-pause"),
    (Scenario::DomainOut, "domain-out"),
    (Scenario::TargetLeaving, "target-leaving"),
    (Scenario::TargetCold, "target-cold"),
    (Scenario::TargetDown, "target-down"),
    (Scenario::PlatformDown, "platform-down"),
    (Scenario::DomainOutAndKill, "domain-out-and-kill"),
    (Scenario::DomainOutAndPause, "domain-out-and-pause"),
];

impl fmt::Display for Scenario {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let found = NAMES.iter().find(|(scenario, _)| scenario == self);
        f.write_str(found.map_or("", |(_, name)| name))
    }
}

impl FromStr for Scenario {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        for (scenario, name) in NAMES {
            if name == text {
                return Ok(scenario);
            }
        }
        let names = NAMES.map(|(_, name)| name).join(", ");
        Err(format!("{text}: no such scenario, try one of {names}"))
    }
}
