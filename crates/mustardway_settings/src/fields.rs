//! Checks the section and key names of the settings, and parses the keys of a section.

use mustardway_view::ini::{Document, Entry, Section};
use mustardway_view::problem::{Choices, Kind, List, Problem};

/// File name of the settings in problems.
pub(crate) const FILE: &str = "settings";

/// Reports every section and key that is not in `sections`. `names` are the names of the sections
/// in brackets, as listed in problems.
pub(crate) fn check_names(
    document: &Document,
    sections: &[(&str, Choices)],
    names: Choices,
    problems: &mut List,
) {
    for section in &document.sections {
        let known = sections.iter().find(|(name, _)| section.name == *name);
        let Some((_, allowed)) = known else {
            problems.push(section_problem(section, Kind::UnknownSection { allowed: names }));
            continue;
        };
        for entry in &section.entries {
            if allowed.0.contains(&entry.key.as_str()) {
                continue;
            }
            let problem = section_problem(section, Kind::UnknownKey { allowed: *allowed });
            problems.push(problem.on_line(entry.line).with_key(&entry.key));
        }
    }
}

fn section_problem(section: &Section, kind: Kind) -> Problem {
    Problem::new(kind).in_file(FILE).on_line(section.line).in_section(&section.name)
}

/// Parses the keys of one section, which may be absent.
pub(crate) struct Fields<'a> {
    name: &'static str,
    section: Option<&'a Section>,
    problems: &'a mut List,
}

impl<'a> Fields<'a> {
    /// Returns the parser of the keys of section `name`.
    pub(crate) fn new(document: &'a Document, name: &'static str, problems: &'a mut List) -> Self {
        let section = document.sections.iter().find(|section| section.name == name);
        Fields { name, section, problems }
    }

    /// Returns the value of a key that must be set. If it is missing or invalid, a problem is
    /// reported.
    pub(crate) fn required<T>(
        &mut self,
        key: &str,
        parse: impl Fn(&str) -> Result<T, Kind>,
    ) -> Option<T> {
        let value = self.optional(key, parse)?;
        if value.is_none() {
            self.report(key, Kind::MissingKey);
        }
        value
    }

    /// Returns the value of a key that may be set, or `default` if it is not set. If it is
    /// invalid, a problem is reported.
    pub(crate) fn with_default<T>(
        &mut self,
        key: &str,
        default: T,
        parse: impl Fn(&str) -> Result<T, Kind>,
    ) -> Option<T> {
        Some(self.optional(key, parse)?.unwrap_or(default))
    }

    /// Returns the value of a key that may be set, `Some(None)` if it is not set. If it is invalid,
    /// a problem is reported and `None` is returned.
    pub(crate) fn optional<T>(
        &mut self,
        key: &str,
        parse: impl Fn(&str) -> Result<T, Kind>,
    ) -> Option<Option<T>> {
        let Some(entry) = self.entry(key) else {
            return Some(None);
        };
        match parse(&entry.value) {
            Ok(value) => Some(Some(value)),
            Err(kind) => {
                self.report(key, kind);
                None
            }
        }
    }

    /// Reports a problem with `key`, on its line if it is set, or else on the line of the section.
    pub(crate) fn report(&mut self, key: &str, kind: Kind) {
        let line = self.entry(key).map(|entry| entry.line);
        let line = line.or(self.section.map(|section| section.line));
        let mut problem = Problem::new(kind).in_file(FILE).in_section(self.name).with_key(key);
        problem.line = line;
        self.problems.push(problem);
    }

    fn entry(&self, key: &str) -> Option<&'a Entry> {
        self.section?.entries.iter().find(|entry| entry.key == key)
    }
}
