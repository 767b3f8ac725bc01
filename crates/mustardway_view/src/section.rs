//! Sections of a configuration file and their keys.

use compact_str::CompactString;

use crate::problem::{Choices, Kind};

/// Names of all keys, and which section has which.
pub(crate) mod key {
    pub(crate) const REGION: &str = "region";
    pub(crate) const STATE: &str = "state";
    pub(crate) const ADDRESSES: &str = "addresses";
    pub(crate) const SERVICE: &str = "service";
    pub(crate) const DOMAIN: &str = "domain";
    pub(crate) const ENDPOINT: &str = "endpoint";
    pub(crate) const WEIGHT: &str = "weight";
    pub(crate) const SLOTS: &str = "slots";
    pub(crate) const COLD_SLOTS: &str = "cold-slots";
    pub(crate) const CONNECTIONS: &str = "connections";
    pub(crate) const WARM_UP: &str = "warm-up";
    pub(crate) const QUEUE: &str = "queue";

    /// Keys of `[domain NAME]`.
    pub(crate) const OF_DOMAIN: &[&str] = &[REGION, STATE];
    /// Keys of `[service NAME]`.
    pub(crate) const OF_SERVICE: &[&str] = &[ADDRESSES];
    /// Keys of `[target NAME]`.
    pub(crate) const OF_TARGET: &[&str] =
        &[SERVICE, DOMAIN, ENDPOINT, STATE, WEIGHT, SLOTS, COLD_SLOTS, CONNECTIONS, WARM_UP, QUEUE];
    /// Keys of `[defaults target]`: all of a target but its endpoint.
    pub(crate) const OF_DEFAULTS: &[&str] =
        &[SERVICE, DOMAIN, STATE, WEIGHT, SLOTS, COLD_SLOTS, CONNECTIONS, WARM_UP, QUEUE];
}

/// Every section.
const SECTIONS: Choices = Choices(&[
    "[domain NAME]",
    "[service NAME]",
    "[target NAME]",
    "[defaults target]",
    "[remove domain NAME]",
    "[remove service NAME]",
    "[remove target NAME]",
]);

/// What a section is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Subject {
    /// A failure domain.
    Domain,
    /// A service.
    Service,
    /// A target.
    Target,
    /// The defaults of all targets.
    Defaults,
}

impl Subject {
    /// Keys that its sections may have.
    pub(crate) fn keys(self) -> Choices {
        match self {
            Subject::Domain => Choices(key::OF_DOMAIN),
            Subject::Service => Choices(key::OF_SERVICE),
            Subject::Target => Choices(key::OF_TARGET),
            Subject::Defaults => Choices(key::OF_DEFAULTS),
        }
    }

    fn named(word: &str) -> Option<Subject> {
        match word {
            "domain" => Some(Subject::Domain),
            "service" => Some(Subject::Service),
            "target" => Some(Subject::Target),
            _ => None,
        }
    }
}

/// What a section does to an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Action {
    /// Sets keys.
    Set,
    /// Removes the item.
    Remove,
}

/// A section name that is understood.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Header {
    pub(crate) action: Action,
    pub(crate) subject: Subject,
    pub(crate) name: CompactString,
}

impl Header {
    /// Reads a section name without its brackets.
    pub(crate) fn read(text: &str) -> Result<Header, Kind> {
        let unknown = Kind::UnknownSection { allowed: SECTIONS };
        let words: Vec<&str> = text.split(' ').collect();
        let (action, subject, name) = match words[..] {
            ["defaults", "target"] => (Action::Set, Some(Subject::Defaults), "target"),
            ["remove", subject, name] => (Action::Remove, Subject::named(subject), name),
            [subject, name] => (Action::Set, Subject::named(subject), name),
            _ => return Err(unknown),
        };
        let Some(subject) = subject else {
            return Err(unknown);
        };
        Ok(Header { action, subject, name: name.into() })
    }
}
