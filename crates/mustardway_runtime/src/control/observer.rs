//! Who hears of revisions that came in force or were refused.

use mustardway_types::revision;
use mustardway_view::change::Change;
use mustardway_view::folder::Files;

/// What is told when a revision came in force here.
#[derive(Debug, Clone)]
pub struct Adopted {
    /// Its number.
    pub revision: revision::Number,
    /// Its digest.
    pub digest: revision::Digest,
    /// What it changed.
    pub changes: Vec<Change>,
    /// Files before.
    pub before: Files,
    /// Files now.
    pub after: Files,
}

/// Hears of revisions that came in force or were refused.
pub trait Observer: Send {
    /// A revision came in force.
    fn adopted(&self, adopted: &Adopted);
    /// A revision was refused with these problems.
    fn refused(&self, revision: revision::Number, problems: &[String]);
    /// Every live instance was seen to have `revision` in force.
    fn in_force_everywhere(&self, revision: revision::Number);
}
