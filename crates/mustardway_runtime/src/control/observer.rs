//! Notifications about configuration revisions that came in force or were refused.

use mustardway_types::revision;
use mustardway_view::change::Change;
use mustardway_view::folder::Files;

/// A revision that came in force on this instance.
#[derive(Debug, Clone)]
pub struct Adopted {
    /// Number of the revision.
    pub revision: revision::Number,
    /// Digest of the revision.
    pub digest: revision::Digest,
    /// Changes compared with the previous view.
    pub changes: Vec<Change>,
    /// Files of the previous revision.
    pub before: Files,
    /// Files of this revision.
    pub after: Files,
}

/// Receives notifications about configuration revisions.
pub trait Observer: Send {
    /// Called when a revision came in force on this instance.
    fn adopted(&self, adopted: &Adopted);
    /// Called when a revision was refused because of `problems`.
    fn refused(&self, revision: revision::Number, problems: &[String]);
    /// Called when all neighbours have reported at least `revision`, the one in force here.
    fn in_force_everywhere(&self, revision: revision::Number);
}
