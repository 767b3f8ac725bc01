//! Ids and incarnations of mustardway instances.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::parse;

crate::name::define! {
    /// Name of an instance, unique in the whole system.
    Id
}

/// Incarnation number of an instance. A later start has a greater number.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Incarnation {
    type Err = parse::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text.parse().map_err(|_| parse::Error::value(text, "whole number"))?;
        Ok(Incarnation(number))
    }
}
