//! INI text with line numbers, stricter than the library that splits it.
//!
//! A line is blank, a comment (`#` or `;` as its first character), a
//! `[section]` or a `key = value`; nothing spans lines and values are taken as
//! they stand, without quotes or escapes. The library joins sections and keys
//! that are given twice and keeps no lines, so each line is checked and counted
//! here, and a section or key given twice is a problem.

use std::collections::BTreeMap;

use ::ini::{Ini, ParseOption};
use compact_str::CompactString;

use crate::problem::{Kind, List, Problem};

/// Longest part of a faulty line that a problem quotes, in characters.
const QUOTE_MAX: usize = 60;

/// What a line may be.
const LINES: &str = "blank lines, # comments, [section] and key = value";

/// Form of a section line.
const SECTIONS: &str = "[words of a-z, 0-9, '-' and '.']";

/// Form of a key.
const KEYS: &str = "keys of a-z, 0-9 and '-' before the =";

/// Form of a value.
const VALUES: &str = "values without control characters or a \\ at the end";

/// A whole INI text.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Document {
    /// Sections in their order.
    pub sections: Vec<Section>,
}

/// A section.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Section {
    /// Name without its brackets, words parted by one space.
    pub name: CompactString,
    /// Line of its name.
    pub line: u32,
    /// Entries in their order.
    pub entries: Vec<Entry>,
}

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Key.
    pub key: CompactString,
    /// Value without blanks at its ends; may be empty.
    pub value: CompactString,
    /// Line.
    pub line: u32,
}

/// Reads `text`; problems go to `problems` under the name `file`. Lines with
/// problems are left out of the document.
pub fn read(file: &str, text: &str, problems: &mut List) -> Document {
    let lines = scan(file, text, problems);
    let plain = match split(&lines) {
        Ok(plain) => plain,
        Err(error) => {
            let kind = Kind::Syntax { found: error.msg.into(), wanted: LINES };
            let line = lines.numbers.get(error.line.saturating_sub(1)).copied().unwrap_or(1);
            problems.push(Problem::new(kind).in_file(file).on_line(line));
            return Document::default();
        }
    };
    let document = number(&lines, &plain);
    unique(file, document, problems)
}

/// Lines with a section name or an entry, without needless blanks.
#[derive(Default)]
struct Lines {
    text: String,
    numbers: Vec<u32>,
}

/// Where the lines after a section name belong.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Place {
    /// Before the first section.
    Outside,
    /// In a section.
    Inside,
    /// Below a section name that is not understood.
    Unknown,
}

fn scan(file: &str, text: &str, problems: &mut List) -> Lines {
    let mut lines = Lines::default();
    let mut place = Place::Outside;
    for (index, raw) in text.lines().enumerate() {
        let number = u32::try_from(index + 1).unwrap_or(u32::MAX);
        let trimmed = raw.trim();
        if trimmed.is_empty() || trimmed.starts_with(['#', ';']) {
            continue;
        }
        let is_section = trimmed.starts_with('[');
        let tidied = if is_section { Tidy::section(trimmed) } else { Tidy::entry(trimmed) };
        if is_section {
            place = if tidied.is_ok() { Place::Inside } else { Place::Unknown };
        }
        match tidied {
            Err(wanted) => {
                let kind = Kind::Syntax { found: quote(trimmed), wanted };
                problems.push(Problem::new(kind).in_file(file).on_line(number));
            }
            Ok(_) if place == Place::Outside => {
                let problem = Problem::new(Kind::OutsideSection);
                problems.push(problem.in_file(file).on_line(number));
            }
            Ok(tidy) if place == Place::Inside => lines.push(number, &tidy),
            Ok(_) => {}
        }
    }
    lines
}

/// A section name whole, of any other line its first word: its value may be a secret.
fn quote(line: &str) -> CompactString {
    let is_end = |c: char| c.is_whitespace() || matches!(c, '=' | ':');
    let end = if line.starts_with('[') { None } else { line.find(is_end) };
    let part = &line[..end.unwrap_or(line.len())];
    part.chars().filter(|c| !c.is_control()).take(QUOTE_MAX).collect()
}

impl Lines {
    fn push(&mut self, number: u32, tidy: &Tidy<'_>) {
        match tidy {
            Tidy::Section(words) => {
                let parts = ["[", &words.join(" "), "]\n"];
                self.text.extend(parts);
            }
            Tidy::Entry(key, value) => self.text.extend([key, "=", value, "\n"]),
        }
        self.numbers.push(number);
    }
}

/// The parts of a line that is in order.
enum Tidy<'a> {
    Section(Vec<&'a str>),
    Entry(&'a str, &'a str),
}

impl<'a> Tidy<'a> {
    fn section(trimmed: &'a str) -> Result<Self, &'static str> {
        let name = trimmed.strip_prefix('[').and_then(|rest| rest.strip_suffix(']'));
        let words: Vec<&str> = name.ok_or(SECTIONS)?.split_whitespace().collect();
        if words.is_empty() || !words.iter().all(|word| word.bytes().all(is_word_byte)) {
            return Err(SECTIONS);
        }
        Ok(Tidy::Section(words))
    }

    fn entry(trimmed: &'a str) -> Result<Self, &'static str> {
        let (key, value) = trimmed.split_once('=').ok_or(LINES)?;
        let key = key.trim();
        if key.is_empty() || !key.bytes().all(|byte| is_word_byte(byte) && byte != b'.') {
            return Err(KEYS);
        }
        let value = value.trim();
        if value.chars().any(char::is_control) || value.ends_with('\\') {
            return Err(VALUES);
        }
        Ok(Tidy::Entry(key, value))
    }
}

fn is_word_byte(byte: u8) -> bool {
    matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'.')
}

/// Splits tidy lines into sections, keys and values.
fn split(lines: &Lines) -> Result<Ini, ::ini::ParseError> {
    let options = ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        enabled_indented_mutiline_value: false,
        enabled_preserve_key_leading_whitespace: false,
    };
    Ini::load_from_str_opt(&lines.text, options)
}

/// Gives each section and entry its line.
fn number(lines: &Lines, plain: &Ini) -> Document {
    let mut numbers = lines.numbers.iter().copied();
    let mut next = || numbers.next().unwrap_or_default();
    let mut sections = Vec::new();
    for (name, properties) in plain {
        let Some(name) = name else {
            continue;
        };
        let line = next();
        let mut entries = Vec::with_capacity(properties.len());
        for (key, value) in properties {
            entries.push(Entry { key: key.into(), value: value.into(), line: next() });
        }
        sections.push(Section { name: name.into(), line, entries });
    }
    Document { sections }
}

/// The document without what is given twice.
fn unique(file: &str, document: Document, problems: &mut List) -> Document {
    let mut first_lines = BTreeMap::new();
    let mut sections = Vec::with_capacity(document.sections.len());
    for mut section in document.sections {
        section.entries = unique_entries(file, &section.name, section.entries, problems);
        if let Some(first) = first_lines.insert(section.name.clone(), section.line) {
            let problem = Problem::new(Kind::DuplicateSection { first });
            problems.push(problem.in_file(file).on_line(section.line).in_section(&section.name));
            continue;
        }
        sections.push(section);
    }
    Document { sections }
}

fn unique_entries(
    file: &str,
    section: &str,
    entries: Vec<Entry>,
    problems: &mut List,
) -> Vec<Entry> {
    let mut kept: Vec<Entry> = Vec::with_capacity(entries.len());
    for entry in entries {
        let first = kept.iter().find(|other| other.key == entry.key).map(|other| other.line);
        let Some(first) = first else {
            kept.push(entry);
            continue;
        };
        let problem = Problem::new(Kind::DuplicateKey { first }).in_file(file).on_line(entry.line);
        problems.push(problem.in_section(section).with_key(&entry.key));
    }
    kept
}
