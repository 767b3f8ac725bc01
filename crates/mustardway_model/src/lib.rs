//! Model checking of the core protocol.
//!
//! `spec/ownership.pml` models the ownership of a target and a request that may run at
//! most once. `spec/view.pml` models the configuration in force. The head of each file
//! states its assumptions. Every rule of the protocol has a named broken variant that
//! leaves the rule out, and the tests check that a property fails in that variant.
//!
//! The model checker is `spin`, which generates a C program that visits every state.
//! `tools/install-spin` installs `spin` and a C compiler.
//!
//! Modules:
//! - [`check`]: runs the model checker on a specification and parses its report.

pub mod check;
