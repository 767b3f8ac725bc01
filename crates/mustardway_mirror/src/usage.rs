//! What became of changes that a peer sent, for logs and metrics.

use displaydoc::Display;
use mustardway_types::instance;
use mustardway_types::revision::Version;

/// What became of changes that a peer sent.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Usage {
    /// they are new
    New,
    /// they were known
    Known,
    /// they do not continue the known state
    Detached,
    /// they are offered
    Offered,
    /// some of them cannot be decoded
    Undecodable,
}

impl Usage {
    /// Returns the label value used in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Usage::New => "new",
            Usage::Known => "known",
            Usage::Detached => "detached",
            Usage::Offered => "offered",
            Usage::Undecodable => "undecodable",
        }
    }
}

/// Changes that a peer sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pushed {
    /// Peer that sent the changes.
    pub from: instance::Id,
    /// Version that the changes lead to.
    pub version: Version,
    /// Size of the encoded changes.
    pub bytes: usize,
    /// What became of the changes.
    pub usage: Usage,
}
