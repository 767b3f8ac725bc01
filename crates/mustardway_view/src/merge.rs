//! Merges configuration files into items with their keys.
//!
//! Files are merged in the order of their names. Each item records where every
//! value was set, so that later checks can report the file and line.

use std::collections::BTreeMap;

use compact_str::CompactString;

use crate::ini::{Document, Entry, Section};
use crate::problem::{Kind, List, Location, Problem};
use crate::section::{Action, Header, Subject};

/// All items, by kind and name.
#[derive(Debug, Default)]
pub(crate) struct Merged {
    items: BTreeMap<(Subject, CompactString), Record>,
}

/// The state of one name during the merge: the item, if it is set, and earlier sections.
#[derive(Debug)]
struct Record {
    item: Option<Item>,
    /// Section that removed the item, if any. It stays when the item is set again.
    removed: Option<Location>,
    /// Last section with this name.
    last_section: Location,
    /// Action of that section.
    last_action: Action,
}

/// A failure domain, service, target or set of defaults, with its keys.
#[derive(Debug)]
pub(crate) struct Item {
    /// Section that set the item first.
    pub(crate) location: Location,
    /// Name of that section, without brackets.
    pub(crate) section: CompactString,
    values: Vec<Value>,
    /// Keys that were taken back, each with the line that did so, the last one last.
    taken_back: Vec<(CompactString, Location)>,
}

/// The value of a key, with the line that set it.
#[derive(Debug, Clone)]
pub(crate) struct Value {
    pub(crate) key: CompactString,
    pub(crate) text: CompactString,
    pub(crate) location: Location,
}

impl Item {
    /// Returns the value of `key`, if it is set.
    pub(crate) fn value(&self, key: &str) -> Option<&Value> {
        self.values.iter().find(|value| value.key == key)
    }

    /// Returns the line that last took `key` back, if any.
    pub(crate) fn taken_back(&self, key: &str) -> Option<&Location> {
        self.taken_back.iter().rev().find(|(unset, _)| unset == key).map(|(_, location)| location)
    }

    fn set(&mut self, value: Value) {
        for old in &mut self.values {
            if old.key == value.key {
                *old = value;
                return;
            }
        }
        self.values.push(value);
    }

    fn take_back(&mut self, key: &str, location: Location) -> Result<(), Kind> {
        let position = self.values.iter().position(|value| value.key == key);
        let Some(position) = position else {
            return Err(Kind::NothingTakenBack);
        };
        self.values.remove(position);
        self.taken_back.push((key.into(), location));
        Ok(())
    }
}

impl Merged {
    /// Merges one more file and adds its problems to `problems`.
    pub(crate) fn add(&mut self, file: &str, document: &Document, problems: &mut List) {
        for section in &document.sections {
            let header = match Header::parse(&section.name) {
                Ok(header) => header,
                Err(kind) => {
                    problems.push(section_problem(file, section, kind));
                    continue;
                }
            };
            let result = match header.action {
                Action::Set => self.set(file, section, header, problems),
                Action::Remove => self.remove(file, section, header),
            };
            if let Err(kind) = result {
                problems.push(section_problem(file, section, kind));
            }
        }
    }

    /// Returns the items of `subject` that are set, in the order of their names.
    pub(crate) fn items(&self, subject: Subject) -> impl Iterator<Item = (&str, &Item)> {
        let from = (subject, CompactString::const_new(""));
        let range = self.items.range(from..);
        let range = range.take_while(move |((other, _), _)| *other == subject);
        range.filter_map(|((_, name), record)| Some((name.as_str(), record.item.as_ref()?)))
    }

    /// Returns the defaults of all targets, if any are set.
    pub(crate) fn defaults(&self) -> Option<&Item> {
        self.items(Subject::Defaults).next().map(|(_, item)| item)
    }

    /// Returns the item of this name, if it is set.
    pub(crate) fn item(&self, subject: Subject, name: &str) -> Option<&Item> {
        self.items.get(&(subject, name.into()))?.item.as_ref()
    }

    /// Returns the section that removed the item of this name, if any.
    pub(crate) fn removed(&self, subject: Subject, name: &str) -> Option<&Location> {
        self.items.get(&(subject, name.into()))?.removed.as_ref()
    }

    fn set(
        &mut self,
        file: &str,
        section: &Section,
        header: Header,
        problems: &mut List,
    ) -> Result<(), Kind> {
        let location = Location { file: file.into(), line: section.line };
        let record = self.items.entry((header.subject, header.name)).or_insert_with(|| Record {
            item: None,
            removed: None,
            last_section: location.clone(),
            last_action: Action::Set,
        });
        record.record_action(&location, Action::Set)?;
        let item = record.item.get_or_insert_with(|| Item {
            location,
            section: section.name.clone(),
            values: Vec::with_capacity(section.entries.len()),
            taken_back: Vec::new(),
        });
        for entry in &section.entries {
            if let Err(kind) = apply_entry(item, file, header.subject, entry) {
                let problem = section_problem(file, section, kind).on_line(entry.line);
                problems.push(problem.with_key(&entry.key));
            }
        }
        Ok(())
    }

    fn remove(&mut self, file: &str, section: &Section, header: Header) -> Result<(), Kind> {
        if !section.entries.is_empty() {
            return Err(Kind::RemovalWithKeys);
        }
        let location = Location { file: file.into(), line: section.line };
        let record = self.items.get_mut(&(header.subject, header.name));
        let Some(record) = record else {
            return Err(Kind::NothingRemoved);
        };
        record.record_action(&location, Action::Remove)?;
        if let Some(first) = &record.removed {
            return Err(Kind::RemovedTwice { first: first.clone() });
        }
        record.item = None;
        record.removed = Some(location);
        Ok(())
    }
}

impl Record {
    /// Records the action of the section at `location`.
    ///
    /// # Errors
    /// [`Kind::SetAndRemoved`] if the last section with this name is in the same file and did
    /// the opposite.
    fn record_action(&mut self, location: &Location, action: Action) -> Result<(), Kind> {
        if self.last_section.file == location.file && self.last_action != action {
            return Err(Kind::SetAndRemoved { other: self.last_section.line });
        }
        self.last_section = location.clone();
        self.last_action = action;
        Ok(())
    }
}

fn apply_entry(item: &mut Item, file: &str, subject: Subject, entry: &Entry) -> Result<(), Kind> {
    let allowed = subject.keys();
    if !allowed.0.contains(&entry.key.as_str()) {
        return Err(Kind::UnknownKey { allowed });
    }
    let location = Location { file: file.into(), line: entry.line };
    if entry.value.is_empty() {
        return item.take_back(&entry.key, location);
    }
    item.set(Value { key: entry.key.clone(), text: entry.value.clone(), location });
    Ok(())
}

fn section_problem(file: &str, section: &Section, kind: Kind) -> Problem {
    Problem::new(kind).in_file(file).on_line(section.line).in_section(&section.name)
}
