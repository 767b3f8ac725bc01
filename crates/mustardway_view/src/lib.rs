//! The configuration in force, built only from what the platform publishes.
//!
//! Modules:
//! - [`change`]: what is different between two views.
//! - [`directory`]: a folder of files on disk.
//! - [`folder`]: a folder of files, its digest and the view that it stands for.
//! - [`history`]: the view in force and what is kept of earlier ones.
//! - [`ini`]: INI text with line numbers.
//! - [`build`]: typed values with their defaults and bounds.
//! - [`model`]: the validated configuration as plain data.
//! - [`problem`]: what can be wrong, and where.
//! - [`value`]: values of keys within their bounds.

pub mod build;
pub mod change;
mod check;
pub mod directory;
pub mod folder;
pub mod history;
pub mod ini;
mod merge;
pub mod model;
pub mod problem;
mod section;
pub mod value;
