//! Addresses that the baseline reads from the settings file of an instance.

use std::net::SocketAddr;
use std::path::Path;

use displaydoc::Display;
use ini::Ini;

/// Addresses of a baseline instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Address for callers.
    pub front: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
}

/// Error of reading the settings.
#[derive(Debug, Display)]
pub enum Error {
    /// the settings cannot be read: {0}
    File(ini::Error),
    /// [{section}] {key} is no IP address with port
    Address {
        /// Section of the settings file.
        section: &'static str,
        /// Key within the section.
        key: &'static str,
    },
}

impl std::error::Error for Error {}

impl Settings {
    /// Reads the settings file of an instance.
    ///
    /// # Errors
    ///
    /// Returns an error when the file cannot be read or lacks a valid address.
    pub fn read(path: &Path) -> Result<Settings, Error> {
        let ini = Ini::load_from_file(path).map_err(Error::File)?;
        Ok(Settings {
            front: address(&ini, "instance", "front")?,
            admin: address(&ini, "instance", "admin")?,
            platform: address(&ini, "platform", "addresses")?,
        })
    }
}

fn address(ini: &Ini, section: &'static str, key: &'static str) -> Result<SocketAddr, Error> {
    let text = ini.get_from(Some(section), key).unwrap_or_default();
    let first = text.split(',').next().unwrap_or_default().trim();
    first.parse().map_err(|_| Error::Address { section, key })
}
