//! The merge of many files into items with their keys.
//!
//! Files are taken in the order of their names. Each item remembers for every
//! key where its value was set, so that later checks can name the place.

use std::collections::BTreeMap;

use compact_str::CompactString;

use crate::ini::{Document, Entry, Section};
use crate::problem::{Kind, List, Location, Problem};
use crate::section::{Action, Header, Subject};

/// Items by subject and name.
#[derive(Debug, Default)]
pub(crate) struct Merged {
    items: BTreeMap<(Subject, CompactString), Slot>,
}

/// What is known of one name: the item, if it is set, and its past.
#[derive(Debug)]
struct Slot {
    item: Option<Item>,
    removed: Option<Location>,
    last: Location,
    last_action: Action,
}

/// A domain, service, target or set of defaults with its keys.
#[derive(Debug)]
pub(crate) struct Item {
    /// Section that set it first.
    pub(crate) location: Location,
    /// Section name without brackets.
    pub(crate) section: CompactString,
    values: Vec<Value>,
    taken_back: Vec<(CompactString, Location)>,
}

/// A value with the place that set it.
#[derive(Debug, Clone)]
pub(crate) struct Value {
    pub(crate) key: CompactString,
    pub(crate) text: CompactString,
    pub(crate) location: Location,
}

impl Item {
    /// The value of `key`, if it is set.
    pub(crate) fn value(&self, key: &str) -> Option<&Value> {
        self.values.iter().find(|value| value.key == key)
    }

    /// Where `key` was taken back last.
    pub(crate) fn taken_back(&self, key: &str) -> Option<&Location> {
        self.taken_back.iter().rev().find(|(taken, _)| taken == key).map(|(_, location)| location)
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
        let place = self.values.iter().position(|value| value.key == key);
        let Some(place) = place else {
            return Err(Kind::NothingTakenBack);
        };
        self.values.remove(place);
        self.taken_back.push((key.into(), location));
        Ok(())
    }
}

impl Merged {
    /// Merges one more file; problems go to `problems`.
    pub(crate) fn add(&mut self, file: &str, document: &Document, problems: &mut List) {
        for section in &document.sections {
            let header = match Header::read(&section.name) {
                Ok(header) => header,
                Err(kind) => {
                    problems.push(place(file, section, kind));
                    continue;
                }
            };
            let result = match header.action {
                Action::Set => self.set(file, section, header, problems),
                Action::Remove => self.remove(file, section, header),
            };
            if let Err(kind) = result {
                problems.push(place(file, section, kind));
            }
        }
    }

    /// The items of `subject` that are set, in the order of their names.
    pub(crate) fn items(&self, subject: Subject) -> impl Iterator<Item = (&str, &Item)> {
        let from = (subject, CompactString::const_new(""));
        let range = self.items.range(from..);
        let range = range.take_while(move |((other, _), _)| *other == subject);
        range.filter_map(|((_, name), slot)| Some((name.as_str(), slot.item.as_ref()?)))
    }

    /// The defaults of all targets, if any are set.
    pub(crate) fn defaults(&self) -> Option<&Item> {
        self.items(Subject::Defaults).next().map(|(_, item)| item)
    }

    /// The item of this name, if it is set.
    pub(crate) fn item(&self, subject: Subject, name: &str) -> Option<&Item> {
        self.items.get(&(subject, name.into()))?.item.as_ref()
    }

    /// Where the item of this name was removed, if it was.
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
        let slot = self.items.entry((header.subject, header.name)).or_insert_with(|| Slot {
            item: None,
            removed: None,
            last: location.clone(),
            last_action: Action::Set,
        });
        slot.turn(&location, Action::Set)?;
        let item = slot.item.get_or_insert_with(|| Item {
            location,
            section: section.name.clone(),
            values: Vec::with_capacity(section.entries.len()),
            taken_back: Vec::new(),
        });
        for entry in &section.entries {
            if let Err(kind) = apply(item, file, header.subject, entry) {
                let problem = place(file, section, kind).on_line(entry.line);
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
        let slot = self.items.get_mut(&(header.subject, header.name));
        let Some(slot) = slot else {
            return Err(Kind::NothingRemoved);
        };
        slot.turn(&location, Action::Remove)?;
        if let Some(first) = &slot.removed {
            return Err(Kind::RemovedTwice { first: first.clone() });
        }
        slot.item = None;
        slot.removed = Some(location);
        Ok(())
    }
}

impl Slot {
    /// Notes that `location` acts on this name, unless its file has done the opposite.
    fn turn(&mut self, location: &Location, action: Action) -> Result<(), Kind> {
        if self.last.file == location.file && self.last_action != action {
            return Err(Kind::SetAndRemoved { other: self.last.line });
        }
        self.last = location.clone();
        self.last_action = action;
        Ok(())
    }
}

fn apply(item: &mut Item, file: &str, subject: Subject, entry: &Entry) -> Result<(), Kind> {
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

fn place(file: &str, section: &Section, kind: Kind) -> Problem {
    Problem::new(kind).in_file(file).on_line(section.line).in_section(&section.name)
}
