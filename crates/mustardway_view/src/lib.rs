//! The configuration in force, built only from what the platform publishes.
//!
//! Modules:
//! - [`model`]: the validated configuration as plain data.

pub mod model;
