//! Subcommands that run an instance or change its state.
//!
//! Modules:
//! - [`bounded_wait`]: limits the long polls of the platform.
//! - [`convert`]: settings of each component, from the settings file.
//! - [`drain`]: drains an instance or cancels a drain.
//! - [`front`]: runs an instance of the packet front.
//! - [`run`]: runs an instance of the request interface.
//! - [`start`]: start time and log settings, for both kinds of instance.

#[cfg(feature = "requests")]
pub mod bounded_wait;
#[cfg(feature = "requests")]
pub mod convert;
#[cfg(feature = "requests")]
pub mod drain;
pub mod front;
#[cfg(feature = "requests")]
pub mod run;
pub mod start;
