//! Flow ids. All packets of a flow go to the same target.

crate::hex_id::define! {
    /// Id of a flow, chosen at random by its caller.
    Id
}
