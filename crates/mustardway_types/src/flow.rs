//! Flows: what stays together on one target.

crate::hex_id::define! {
    /// Id of a flow, chosen at random by its caller.
    Id
}
