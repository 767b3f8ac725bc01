//! Model checking of the core protocol.
//!
//! `spec/ownership.pml` is about who owns a target and a request that may run at
//! most once; `spec/view.pml` about the configuration in force. Each states its
//! assumptions at its head. Every rule has a named broken variant in which it is left
//! out, and the tests check that the properties fail there.
//!
//! The checker is `spin`, which writes a C program that visits every state.
//! `tools/install-spin` installs both it and a C compiler.
//!
//! Modules:
//! - [`check`]: one run of the checker.

pub mod check;
