//! Services.

crate::name::define! {
    /// Name of a service.
    Name
}
