//! Settings of one instance, read once at its start.
//!
//! The text is INI, with the rules of `mustardway_view::ini`. A section or key
//! that is not known is a problem, and all problems are listed at once.
//! `examples/instance.ini` has every key.
//!
//! Modules:
//! - [`front`]: settings of an instance of the packet front.
//! - [`settings`]: the settings as plain data.
//! - [`parse`]: text to settings, with defaults and bounds.
//! - [`token`]: the secret of the administration API.

mod fields;
pub mod front;
pub mod parse;
pub mod settings;
pub mod token;

pub use settings::Settings;
