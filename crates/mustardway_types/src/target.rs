//! Targets.

crate::name::define! {
    /// Name of a target, unique in the whole configuration.
    Id
}
