//! The settings that the baseline reads of an instance's.

use std::net::SocketAddr;
use std::path::Path;

use displaydoc::Display;
use ini::Ini;

/// Where the baseline listens and reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Where callers reach it.
    pub front: SocketAddr,
    /// Where operators reach it.
    pub admin: SocketAddr,
    /// Where it reads the configuration.
    pub platform: SocketAddr,
}

/// Why settings cannot be used.
#[derive(Debug, Display)]
pub enum Error {
    /// the settings cannot be read: {0}
    File(ini::Error),
    /// [{section}] {key} is no IP address with port
    Address {
        /// Section.
        section: &'static str,
        /// Key.
        key: &'static str,
    },
}

impl std::error::Error for Error {}

impl Settings {
    /// Reads an instance's settings.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read or lacks an address.
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
