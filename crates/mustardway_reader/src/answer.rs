//! What the platform answers.
//!
//! `GET /configuration?after=REVISION&wait=MILLISECONDS` gives
//! `{"revision": 7, "files": {"10-base.ini": "text"}}`, or `"files": null` where
//! nothing is later than REVISION. A platform that lags may answer an earlier
//! revision: the caller compares.
//!
//! `GET /instances` gives `{"instances": [{"id": "e1", "domain": "rosario",
//! "peer": "127.0.1.1:7000", "state": "live"}]}`; the state is `live` or `leaving`.
//!
//! Members that are not known are skipped.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;

use compact_str::CompactString;
use mustardway_types::{domain, instance, revision};
use serde::de::{self, MapAccess, Visitor};
use serde::{Deserialize, Deserializer};

use crate::failure::Failure;

/// The configuration, or that there is no later one.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Answer {
    /// The latest revision that the platform knows.
    pub revision: revision::Number,
    /// Its files in the order of their names; none where it is not later.
    pub files: Option<Folder>,
}

/// The files of a configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Folder {
    /// In the order of their names, each name once.
    pub files: Vec<File>,
}

/// One file of a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct File {
    /// Name without folder.
    pub name: CompactString,
    /// The whole text.
    pub text: String,
}

/// One instance on the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Instance {
    /// Its name.
    pub id: instance::Id,
    /// The failure domain that it lives in.
    pub domain: domain::Name,
    /// Where it listens for its peers.
    pub peer: SocketAddr,
    /// Whether it is leaving.
    pub state: State,
}

/// Whether a listed instance is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It serves.
    Live,
    /// It is being stopped.
    Leaving,
}

/// The list of instances as it stands in JSON.
#[derive(Deserialize)]
struct List {
    instances: Vec<Instance>,
}

/// Reads the answer to a call for the configuration.
///
/// # Errors
/// [`Failure::Malformed`] for anything else, also for a file given twice.
pub fn configuration(bytes: &[u8]) -> Result<Answer, Failure> {
    serde_json::from_slice(bytes).map_err(|_| Failure::Malformed)
}

/// Reads the answer to a call for the list of instances.
///
/// # Errors
/// [`Failure::Malformed`] for anything else, also for an instance given twice.
pub fn instances(bytes: &[u8]) -> Result<Vec<Instance>, Failure> {
    let list: List = serde_json::from_slice(bytes).map_err(|_| Failure::Malformed)?;
    let ids: BTreeSet<&instance::Id> = list.instances.iter().map(|listed| &listed.id).collect();
    if ids.len() != list.instances.len() {
        return Err(Failure::Malformed);
    }
    Ok(list.instances)
}

impl<'de> Deserialize<'de> for Folder {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(FolderVisitor)
    }
}

/// Reads files from a JSON object, each name once.
struct FolderVisitor;

impl<'de> Visitor<'de> for FolderVisitor {
    type Value = Folder;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object from file name to text")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Folder, A::Error> {
        let mut files: Vec<File> = Vec::new();
        while let Some((name, text)) = map.next_entry()? {
            files.push(File { name, text });
        }
        files.sort_by(|one, other| one.name.cmp(&other.name));
        if files.windows(2).any(|pair| pair[0].name == pair[1].name) {
            return Err(de::Error::custom("a file is given twice"));
        }
        Ok(Folder { files })
    }
}
