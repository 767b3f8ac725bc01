//! Sections of a configuration file and their keys.

use compact_str::CompactString;

use crate::problem::{Choices, Kind};

/// Names of all keys, and the keys of each section.
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
    /// Keys of `[defaults target]`: all keys of a target except the endpoint.
    pub(crate) const OF_DEFAULTS: &[&str] =
        &[SERVICE, DOMAIN, STATE, WEIGHT, SLOTS, COLD_SLOTS, CONNECTIONS, WARM_UP, QUEUE];
}

/// Forms of all sections, as listed in problems.
const SECTIONS: Choices = Choices(&[
    "[domain NAME]",
    "[service NAME]",
    "[target NAME]",
    "[defaults target]",
    "[remove domain NAME]",
    "[remove service NAME]",
    "[remove target NAME]",
]);

/// The kind of item that a section sets or removes.
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
    /// Returns the keys that a section of this kind may have.
    pub(crate) fn keys(self) -> Choices {
        match self {
            Subject::Domain => Choices(key::OF_DOMAIN),
            Subject::Service => Choices(key::OF_SERVICE),
            Subject::Target => Choices(key::OF_TARGET),
            Subject::Defaults => Choices(key::OF_DEFAULTS),
        }
    }

    fn from_word(word: &str) -> Option<Subject> {
        match word {
            "domain" => Some(Subject::Domain),
            "service" => Some(Subject::Service),
            "target" => Some(Subject::Target),
            _ => None,
        }
    }
}

/// What a section does with its item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Action {
    /// The section sets keys of the item.
    Set,
    /// The section removes the item.
    Remove,
}

/// A parsed section name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Header {
    pub(crate) action: Action,
    pub(crate) subject: Subject,
    pub(crate) name: CompactString,
}

impl Header {
    /// Parses a section name without its brackets.
    pub(crate) fn parse(text: &str) -> Result<Header, Kind> {
        let unknown = Kind::UnknownSection { allowed: SECTIONS };
        let words: Vec<&str> = text.split(' ').collect();
        let (action, subject, name) = match words[..] {
            ["defaults", "target"] => (Action::Set, Some(Subject::Defaults), "target"),
            ["remove", subject, name] => (Action::Remove, Subject::from_word(subject), name),
            [subject, name] => (Action::Set, Subject::from_word(subject), name),
            _ => return Err(unknown),
        };
        let Some(subject) = subject else {
            return Err(unknown);
        };
        Ok(Header { action, subject, name: name.into() })
    }
}
