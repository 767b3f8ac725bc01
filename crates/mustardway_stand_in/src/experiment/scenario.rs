//! What happens during a run.
//!
//! A run has three parts of the same length. What a scenario does begins with
//! the second and is undone with the third.

use std::fmt;
use std::str::FromStr;

/// One change or fault, or none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scenario {
    /// Nothing.
    Calm,
    /// An instance stops in order and starts again.
    InstanceStop,
    /// An instance is killed and starts again.
    InstanceKill,
    /// An instance is paused and wakes up late.
    InstancePause,
    /// Operators take a failure domain out and back in.
    DomainOut,
    /// A target leaves and comes back.
    TargetLeaving,
    /// A target turns cold without warning.
    TargetCold,
    /// A target fails and comes back cold.
    TargetDown,
    /// The platform is down.
    PlatformDown,
    /// A failure domain is taken out while an instance is killed.
    DomainOutAndKill,
    /// A failure domain is taken out while one of its instances is paused,
    /// which wakes up before the domain is back.
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
