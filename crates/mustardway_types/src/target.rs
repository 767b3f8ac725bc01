//! Ids of targets.

crate::name::define! {
    /// Name of a target, unique in the whole configuration.
    Id
}
