//! Names of failure domains.

crate::name::define! {
    /// Name of a failure domain.
    Name
}
