//! The configuration in force, built only from the files that the platform publishes.
//!
//! Modules:
//! - [`change`]: the differences between two views.
//! - [`directory`]: reading a folder of files from disk.
//! - [`folder`]: a folder of files, its digest and its parser.
//! - [`history`]: the view in force and the parts of earlier views that are still needed.
//! - [`ini`]: the parser of INI text with line numbers.
//! - [`build`]: typed values, their defaults and bounds.
//! - [`model`]: the validated configuration as plain data.
//! - [`problem`]: problems of a configuration and their locations.
//! - [`value`]: the parsers of values and their bounds.

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
