//! Parses the values of keys and checks their bounds.

use std::fmt::Display;
use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;

use compact_str::{ToCompactString, format_compact};
use mustardway_types::parse;

use crate::problem::{Choices, Kind};

/// Allowed form of an address.
const UNICAST_ADDRESS: &str = "IP address of one host with a port, such as 10.0.0.7:443";
/// Allowed form of a number.
const NUMBER: &str = "whole number";

/// Parses a value of a type that implements [`FromStr`].
pub fn parsed<T: FromStr<Err = parse::Error>>(text: &str) -> Result<T, Kind> {
    text.parse().map_err(Kind::Value)
}

/// Parses a value that must be from `least` to `greatest`.
pub fn in_range<T>(found: &str, least: T, greatest: T) -> Result<T, Kind>
where
    T: FromStr<Err = parse::Error> + PartialOrd + Display + Copy,
{
    let value: T = parsed(found)?;
    if value < least || value > greatest {
        return Err(out_of_range(found, &least, &greatest));
    }
    Ok(value)
}

/// Parses a whole number from `least` to `greatest`, written with digits only.
pub fn number(found: &str, least: u32, greatest: u32) -> Result<u32, Kind> {
    if found.is_empty() || !found.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(Kind::Value(parse::Error::value(found, NUMBER)));
    }
    let number = found.parse().ok().filter(|number| (least..=greatest).contains(number));
    number.ok_or_else(|| out_of_range(found, &least, &greatest))
}

/// Parses one of `words` and returns the value that the word stands for.
pub fn choice<T: Copy>(
    found: &str,
    words: &[(&str, T)],
    allowed: &'static [&'static str],
) -> Result<T, Kind> {
    for (word, choice) in words {
        if found == *word {
            return Ok(*choice);
        }
    }
    Err(Kind::Choice { found: found.to_compact_string(), allowed: Choices(allowed) })
}

/// Parses a unicast address with a port. An IPv4-mapped IPv6 address becomes IPv4.
pub fn unicast_address(found: &str) -> Result<SocketAddr, Kind> {
    let error = || Kind::Value(parse::Error::value(found, UNICAST_ADDRESS));
    let address: SocketAddr = found.parse().map_err(|_| error())?;
    let ip = address.ip().to_canonical();
    let is_broadcast = matches!(ip, IpAddr::V4(ip) if ip.is_broadcast());
    if address.port() == 0 || ip.is_unspecified() || ip.is_multicast() || is_broadcast {
        return Err(error());
    }
    Ok(SocketAddr::new(ip, address.port()))
}

/// Parses a list of unicast addresses separated by commas.
pub fn unicast_address_list(found: &str) -> Result<Vec<SocketAddr>, Kind> {
    let mut addresses = Vec::new();
    for part in found.split(',') {
        addresses.push(unicast_address(part.trim())?);
    }
    Ok(addresses)
}

fn out_of_range(found: &str, least: &impl Display, greatest: &impl Display) -> Kind {
    Kind::Range {
        found: found.to_compact_string(),
        least: format_compact!("{least}"),
        greatest: format_compact!("{greatest}"),
    }
}
