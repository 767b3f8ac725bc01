//! Service addresses that callers send to.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::parse;

/// IP address and port of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Address(pub SocketAddr);

impl fmt::Display for Address {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Address {
    type Err = parse::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let address = text
            .parse()
            .map_err(|_| parse::Error::value(text, "IP address with port, such as 10.0.0.7:443"))?;
        Ok(Address(address))
    }
}
