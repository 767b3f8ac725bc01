//! Settings of one instance, read once when it starts.
//!
//! The text is INI, with the rules of `mustardway_view::ini`. An unknown section
//! or key is a problem, and all problems are reported together.
//! `examples/instance.ini` shows every key.
//!
//! Modules:
//! - [`front`]: settings of an instance of the packet front.
//! - [`settings`]: the settings as plain data.
//! - [`parse`]: the parser of the settings, with defaults and bounds.
//! - [`token`]: the secret token of the administration API.

mod fields;
pub mod front;
pub mod parse;
pub mod settings;
pub mod token;

pub use settings::Settings;
