//! Problems of a configuration.
//!
//! A problem is one line of text, `file:line: [section] key: text`, so that an
//! operator can go straight to the line. The text says what was found and what
//! is allowed. [`Kind`] lists everything that can be wrong.

use std::fmt;

use compact_str::CompactString;
use displaydoc::Display;
use mustardway_types::{address, domain, parse, service, target};

/// Greatest number of problems in one list.
pub const PROBLEMS_MAX: usize = 100;

/// One problem of a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Name of the file, or `None` if the problem concerns the whole folder.
    pub file: Option<CompactString>,
    /// Line from 1, or `None` if the problem concerns the whole file.
    pub line: Option<u32>,
    /// Name of the section without brackets.
    pub section: Option<CompactString>,
    /// Name of the key in the section.
    pub key: Option<CompactString>,
    /// Kind of the problem.
    pub kind: Kind,
}

impl Problem {
    /// Returns a problem without a location.
    pub fn new(kind: Kind) -> Self {
        Problem { file: None, line: None, section: None, key: None, kind }
    }

    /// Returns the same problem in `file`.
    pub fn in_file(mut self, file: &str) -> Self {
        self.file = Some(file.into());
        self
    }

    /// Returns the same problem on `line`.
    pub fn on_line(mut self, line: u32) -> Self {
        self.line = Some(line);
        self
    }

    /// Returns the same problem at `location`.
    pub fn at(self, location: &Location) -> Self {
        self.in_file(&location.file).on_line(location.line)
    }

    /// Returns the same problem in `section`.
    pub fn in_section(mut self, section: &str) -> Self {
        self.section = Some(section.into());
        self
    }

    /// Returns the same problem with `key`.
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

/// A line of a file, as a problem refers to it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Location {
    /// Name of the file.
    pub file: CompactString,
    /// Line from 1.
    pub line: u32,
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.file, self.line)
    }
}

/// The allowed words or names.
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

/// Everything that can be wrong with a configuration.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Kind {
    /// no files: at least one file ending in .ini is needed
    EmptyFolder,
    /// {found} files: allowed are at most {allowed}
    TooManyFiles {
        /// Number of files.
        found: usize,
        /// Greatest number allowed.
        allowed: usize,
    },
    /// {found} bytes in all files: allowed are at most {allowed}
    FolderTooLarge {
        /// Bytes of all files.
        found: usize,
        /// Greatest number allowed.
        allowed: usize,
    },
    /// bad file name: allowed are 1 to 100 of a-z, 0-9, '-', '_' and '.', the first no '.', the end .ini
    FileName,
    /// {found} bytes: allowed are at most {allowed}
    FileTooLarge {
        /// Bytes of the file.
        found: usize,
        /// Greatest number allowed.
        allowed: usize,
    },
    /// byte {offset} is not UTF-8: allowed is UTF-8 text
    Encoding {
        /// Number of valid bytes before the first invalid one.
        offset: usize,
    },
    /// '{found}' is not understood: allowed are {wanted}
    Syntax {
        /// Quoted part of the line.
        found: CompactString,
        /// Allowed form.
        wanted: &'static str,
    },
    /// key before the first section: allowed are keys below a section
    OutsideSection,
    /// section given twice in one file: first on line {first}
    DuplicateSection {
        /// Line of the first occurrence.
        first: u32,
    },
    /// key given twice in one section: first on line {first}
    DuplicateKey {
        /// Line of the first occurrence.
        first: u32,
    },
    /// unknown section: allowed are {allowed}
    UnknownSection {
        /// Forms of the known sections.
        allowed: Choices,
    },
    /// unknown key: allowed are {allowed}
    UnknownKey {
        /// Known keys of the section.
        allowed: Choices,
    },
    /// {0}
    Value(parse::Error),
    /// '{found}' is not allowed: allowed are {allowed}
    Choice {
        /// The text as given.
        found: CompactString,
        /// Allowed words.
        allowed: Choices,
    },
    /// '{found}' is out of range: allowed are {least} to {greatest}
    Range {
        /// The text as given.
        found: CompactString,
        /// Least value allowed.
        least: CompactString,
        /// Greatest value allowed.
        greatest: CompactString,
    },
    /// missing: it has no default and must be given
    MissingKey,
    /// missing: it has no default and was taken back at {by}
    KeyTakenBack {
        /// Line that took the key back.
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
        /// The address.
        address: address::Address,
        /// Line that gave the address first.
        first: Location,
    },
    /// endpoint {endpoint} is the address of a service at {first}: a target needs its own
    EndpointIsAddress {
        /// The endpoint.
        endpoint: address::Address,
        /// Line that gives the address.
        first: Location,
    },
    /// endpoint {endpoint} is already that of target {other} at {first}: a target needs its own
    EndpointTwice {
        /// The endpoint.
        endpoint: address::Address,
        /// Target that has the endpoint already.
        other: target::Id,
        /// Line that gave the endpoint first.
        first: Location,
    },
    /// no failure domain '{found}': allowed is one with its own section
    UnknownDomain {
        /// The name as given.
        found: domain::Name,
    },
    /// failure domain '{found}' was removed at {by}: allowed is one with its own section
    RemovedDomain {
        /// The name as given.
        found: domain::Name,
        /// Section that removed the item.
        by: Location,
    },
    /// no service '{found}': allowed is one with its own section
    UnknownService {
        /// The name as given.
        found: service::Name,
    },
    /// service '{found}' was removed at {by}: allowed is one with its own section
    RemovedService {
        /// The name as given.
        found: service::Name,
        /// Section that removed the item.
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
        /// Section that removed the item first.
        first: Location,
    },
    /// a removal has no keys: allowed is an empty section
    RemovalWithKeys,
    /// {cold} slots when cold exceed {slots} slots: allowed are at most as many
    ColdSlots {
        /// Slots of the cold target.
        cold: u32,
        /// Slots of the warm target.
        slots: u32,
    },
    /// {found} does not fit: {wanted}
    Relation {
        /// Value as given.
        found: CompactString,
        /// The rule that the value breaks.
        wanted: &'static str,
    },
    /// {more} more problems are not listed
    Truncated {
        /// Number of problems that are not listed.
        more: usize,
    },
}

/// The problems found so far, at most [`PROBLEMS_MAX`].
#[derive(Debug, Default)]
pub struct List {
    problems: Vec<Problem>,
    /// Number of problems above [`PROBLEMS_MAX`].
    omitted: usize,
}

impl List {
    /// Adds a problem, unless the same problem is listed already.
    pub fn push(&mut self, problem: Problem) {
        if self.problems.contains(&problem) {
            return;
        }
        if self.problems.len() >= PROBLEMS_MAX {
            self.omitted += 1;
            return;
        }
        self.problems.push(problem);
    }

    /// Returns whether there is no problem.
    pub fn is_empty(&self) -> bool {
        self.problems.is_empty()
    }

    /// Returns all problems. If some are not listed, a last entry gives their number.
    pub fn into_vec(mut self) -> Vec<Problem> {
        if self.omitted > 0 {
            self.problems.push(Problem::new(Kind::Truncated { more: self.omitted }));
        }
        self.problems
    }
}
