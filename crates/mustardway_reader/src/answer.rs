//! The answers of the platform, and their JSON form.
//!
//! `GET /configuration?after=REVISION&wait=MILLISECONDS` returns
//! `{"revision": 7, "files": {"10-base.ini": "text"}}`, or `"files": null` if
//! there is no revision after REVISION. A platform that lags may answer with an
//! earlier revision, so the caller must compare.
//!
//! `GET /instances` returns `{"instances": [{"id": "e1", "domain": "rosario",
//! "peer": "127.0.1.1:7000", "state": "live"}]}`; the state is `live` or `leaving`.
//!
//! Unknown members of JSON objects are ignored.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;

use compact_str::CompactString;
use mustardway_types::{domain, instance, revision};
use serde::de::{self, MapAccess, Visitor};
use serde::{Deserialize, Deserializer};

use crate::failure::Failure;

/// The latest configuration, or the statement that there is no later one.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Answer {
    /// Latest revision that the platform knows.
    pub revision: revision::Number,
    /// Files of the revision, or `None` if the revision is not later than the requested one.
    pub files: Option<Folder>,
}

/// The files of a configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Folder {
    /// Files in the order of their names; each name occurs once.
    pub files: Vec<File>,
}

/// One file of a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct File {
    /// Name of the file, without a folder.
    pub name: CompactString,
    /// Whole text of the file.
    pub text: String,
}

/// An instance on the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Instance {
    /// Name of the instance.
    pub id: instance::Id,
    /// Failure domain of the instance.
    pub domain: domain::Name,
    /// Address on which the instance listens for its peers.
    pub peer: SocketAddr,
    /// Whether the instance is leaving.
    pub state: State,
}

/// Whether a listed instance is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The instance serves.
    Live,
    /// The instance is being stopped.
    Leaving,
}

/// The JSON form of the list of instances.
#[derive(Deserialize)]
struct List {
    instances: Vec<Instance>,
}

/// Parses the answer to a call for the configuration.
///
/// # Errors
/// [`Failure::Malformed`] if the answer has another form or gives a file twice.
pub fn configuration(bytes: &[u8]) -> Result<Answer, Failure> {
    serde_json::from_slice(bytes).map_err(|_| Failure::Malformed)
}

/// Parses the answer to a call for the list of instances.
///
/// # Errors
/// [`Failure::Malformed`] if the answer has another form or gives an instance twice.
pub fn instances(bytes: &[u8]) -> Result<Vec<Instance>, Failure> {
    let list: List = serde_json::from_slice(bytes).map_err(|_| Failure::Malformed)?;
    let ids: BTreeSet<&instance::Id> = list.instances.iter().map(|instance| &instance.id).collect();
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

/// Deserializes files from a JSON object and rejects a name that occurs twice.
struct FolderVisitor;

impl<'de> Visitor<'de> for FolderVisitor {
    type Value = Folder;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object that maps file names to texts")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Folder, A::Error> {
        let mut files: Vec<File> = Vec::new();
        while let Some((name, text)) = map.next_entry()? {
            files.push(File { name, text });
        }
        files.sort_by(|left, right| left.name.cmp(&right.name));
        if files.windows(2).any(|pair| pair[0].name == pair[1].name) {
            return Err(de::Error::custom("a file is given twice"));
        }
        Ok(Folder { files })
    }
}
