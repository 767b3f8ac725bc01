//! Names of services.

crate::name::define! {
    /// Name of a service.
    Name
}
