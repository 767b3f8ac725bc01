//! The configuration in force, built only from what the platform publishes.
//!
//! Modules:
//! - [`folder`]: a folder of files, its digest and the view that it stands for.
//! - [`ini`]: INI text with line numbers.
//! - [`build`]: typed values with their defaults and bounds.
//! - [`model`]: the validated configuration as plain data.
//! - [`problem`]: what can be wrong, and where.

pub mod build;
mod check;
pub mod folder;
pub mod ini;
mod merge;
pub mod model;
pub mod problem;
mod section;
