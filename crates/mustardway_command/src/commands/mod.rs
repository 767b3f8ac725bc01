//! Commands: they change something.
//!
//! Modules:
//! - [`convert`]: settings as the parts of an instance want them.
//! - [`drain`]: hands the targets of an instance over, or takes them back.
//! - [`front`]: runs an instance of the packet front.
//! - [`patience`]: the longest wait of one read of the platform.
//! - [`run`]: runs an instance until it is told to stop.
//! - [`start`]: what both kinds of instance need at their start.

#[cfg(feature = "requests")]
pub mod convert;
#[cfg(feature = "requests")]
pub mod drain;
pub mod front;
#[cfg(feature = "requests")]
pub mod patience;
#[cfg(feature = "requests")]
pub mod run;
pub mod start;
