//! Commands: they change something.
//!
//! Modules:
//! - [`convert`]: settings as the parts of an instance want them.
//! - [`drain`]: hands the targets of an instance over, or takes them back.
//! - [`patience`]: the longest wait of one read of the platform.
//! - [`run`]: runs an instance until it is told to stop.

pub mod convert;
pub mod drain;
pub mod patience;
pub mod run;
