//! Problems of a configuration: where, what was found and what is allowed.
//!
//! A problem is one line of text, `file:line: [section] key: what`, so that an
//! operator can go straight to the place. [`Kind`] is the closed list.

use std::fmt;

use compact_str::CompactString;
use displaydoc::Display;
use mustardway_types::{address, domain, parse, service, target};

/// Most problems that one report lists.
pub const PROBLEMS_MAX: usize = 100;

/// One problem of a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// File, unless the whole folder is meant.
    pub file: Option<CompactString>,
    /// Line from 1, unless the whole file is meant.
    pub line: Option<u32>,
    /// Section without its brackets.
    pub section: Option<CompactString>,
    /// Key in the section.
    pub key: Option<CompactString>,
    /// What is wrong.
    pub kind: Kind,
}

impl Problem {
    /// A problem without a place.
    pub fn new(kind: Kind) -> Self {
        Problem { file: None, line: None, section: None, key: None, kind }
    }

    /// The same problem in `file`.
    pub fn in_file(mut self, file: &str) -> Self {
        self.file = Some(file.into());
        self
    }

    /// The same problem on `line`.
    pub fn on_line(mut self, line: u32) -> Self {
        self.line = Some(line);
        self
    }

    /// The same problem at `location`.
    pub fn at(self, location: &Location) -> Self {
        self.in_file(&location.file).on_line(location.line)
    }

    /// The same problem in `section`.
    pub fn in_section(mut self, section: &str) -> Self {
        self.section = Some(section.into());
        self
    }

    /// The same problem with `key`.
    pub fn with_key(mut self, key: &str) -> Self {
        self.key = Some(key.into());
        self
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.file.as_deref().unwrap_or("folder"))?;
        if let Some(line) = self.line {
            write!(f, ":{line}")?;
        }
        f.write_str(": ")?;
        if let Some(section) = &self.section {
            write!(f, "[{section}] ")?;
        }
        if let Some(key) = &self.key {
            write!(f, "{key}: ")?;
        }
        self.kind.fmt(f)
    }
}

impl std::error::Error for Problem {}

/// A line of a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Location {
    /// File.
    pub file: CompactString,
    /// Line from 1.
    pub line: u32,
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.file, self.line)
    }
}

/// Words of which one is allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choices(pub &'static [&'static str]);

impl fmt::Display for Choices {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, word) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str(", ")?;
            }
            f.write_str(word)?;
        }
        Ok(())
    }
}

/// What is wrong with a configuration.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Kind {
    /// no files: at least one file ending in .ini is needed
    EmptyFolder,
    /// {found} files: allowed are at most {allowed}
    TooManyFiles {
        /// Number of files.
        found: usize,
        /// Greatest number.
        allowed: usize,
    },
    /// {found} bytes in all files: allowed are at most {allowed}
    FolderTooLarge {
        /// Bytes of all files.
        found: usize,
        /// Greatest number.
        allowed: usize,
    },
    /// bad file name: allowed are 1 to 100 of a-z, 0-9, '-', '_' and '.', the first no '.', the end .ini
    FileName,
    /// {found} bytes: allowed are at most {allowed}
    FileTooLarge {
        /// Bytes of the file.
        found: usize,
        /// Greatest number.
        allowed: usize,
    },
    /// byte {offset} is not UTF-8: allowed is UTF-8 text
    Encoding {
        /// Bytes before the first one that is not UTF-8.
        offset: usize,
    },
    /// '{found}' is not understood: allowed are {wanted}
    Syntax {
        /// Start of the line.
        found: CompactString,
        /// What is allowed.
        wanted: &'static str,
    },
    /// key before the first section: allowed are keys below a section
    OutsideSection,
    /// section given twice in one file: first on line {first}
    DuplicateSection {
        /// Line of the first.
        first: u32,
    },
    /// key given twice in one section: first on line {first}
    DuplicateKey {
        /// Line of the first.
        first: u32,
    },
    /// unknown section: allowed are {allowed}
    UnknownSection {
        /// Sections that are known.
        allowed: Choices,
    },
    /// unknown key: allowed are {allowed}
    UnknownKey {
        /// Keys that are known in this section.
        allowed: Choices,
    },
    /// {0}
    Value(parse::Error),
    /// '{found}' is not allowed: allowed are {allowed}
    Choice {
        /// Text as given.
        found: CompactString,
        /// Words that are known.
        allowed: Choices,
    },
    /// '{found}' is out of range: allowed are {least} to {greatest}
    Range {
        /// Text as given.
        found: CompactString,
        /// Least value.
        least: CompactString,
        /// Greatest value.
        greatest: CompactString,
    },
    /// missing: it has no default and must be given
    MissingKey,
    /// missing: it has no default and was taken back at {by}
    KeyTakenBack {
        /// Where it was taken back.
        by: Location,
    },
    /// nothing to take back: an empty value is allowed only for a key set in an earlier file
    NothingTakenBack,
    /// no service is set: at least one is needed
    NoServices,
    /// no target serves this service: at least one is needed
    NoTargets,
    /// address {address} is given twice: first at {first}
    AddressTwice {
        /// Address.
        address: address::Address,
        /// Where it was given first.
        first: Location,
    },
    /// endpoint {endpoint} is the address of a service at {first}: a target needs its own
    EndpointIsAddress {
        /// Endpoint.
        endpoint: address::Address,
        /// Where the address is given.
        first: Location,
    },
    /// endpoint {endpoint} is already that of target {other} at {first}: a target needs its own
    EndpointTwice {
        /// Endpoint.
        endpoint: address::Address,
        /// Target that has it.
        other: target::Id,
        /// Where it was given first.
        first: Location,
    },
    /// no failure domain '{found}': allowed is one with its own section
    UnknownDomain {
        /// Name as given.
        found: domain::Name,
    },
    /// failure domain '{found}' was removed at {by}: allowed is one with its own section
    RemovedDomain {
        /// Name as given.
        found: domain::Name,
        /// Where it was removed.
        by: Location,
    },
    /// no service '{found}': allowed is one with its own section
    UnknownService {
        /// Name as given.
        found: service::Name,
    },
    /// service '{found}' was removed at {by}: allowed is one with its own section
    RemovedService {
        /// Name as given.
        found: service::Name,
        /// Where it was removed.
        by: Location,
    },
    /// nothing to remove: allowed is only what an earlier file set
    NothingRemoved,
    /// set and removed in one file: the other section is on line {other}
    SetAndRemoved {
        /// Line of the other section.
        other: u32,
    },
    /// removed a second time, first at {first}: allowed is one removal of each item
    RemovedTwice {
        /// Where it was removed first.
        first: Location,
    },
    /// a removal has no keys: allowed is an empty section
    RemovalWithKeys,
    /// {cold} slots when cold exceed {slots} slots: allowed are at most as many
    ColdSlots {
        /// Slots when cold.
        cold: u32,
        /// Slots when warm.
        slots: u32,
    },
    /// {found} does not fit: {wanted}
    Relation {
        /// Value as given.
        found: CompactString,
        /// The rule that it breaks.
        wanted: &'static str,
    },
    /// {more} more problems are not listed
    Truncated {
        /// Number of problems left out.
        more: usize,
    },
}

/// Problems as they are found, bounded in number.
#[derive(Debug, Default)]
pub struct List {
    problems: Vec<Problem>,
    more: usize,
}

impl List {
    /// Adds a problem, unless the same one is listed.
    pub fn push(&mut self, problem: Problem) {
        if self.problems.contains(&problem) {
            return;
        }
        if self.problems.len() >= PROBLEMS_MAX {
            self.more += 1;
            return;
        }
        self.problems.push(problem);
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.problems.is_empty()
    }

    /// All problems, with one last entry for those left out.
    pub fn into_vec(mut self) -> Vec<Problem> {
        if self.more > 0 {
            self.problems.push(Problem::new(Kind::Truncated { more: self.more }));
        }
        self.problems
    }
}
