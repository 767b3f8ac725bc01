//! Parses INI text with line numbers, more strictly than the INI library.
//!
//! A line is blank, a comment (`#` or `;` as its first character), a
//! `[section]` or a `key = value`. Nothing spans lines, and values are taken
//! literally, without quotes or escapes. The library merges sections and keys
//! that are given twice and drops line numbers. This module therefore checks
//! and numbers each line itself, and reports a section or key that is given
//! twice as a problem.

use std::collections::BTreeMap;

use ::ini::{Ini, ParseOption};
use compact_str::CompactString;

use crate::problem::{Kind, List, Problem};

/// Greatest length of the part of a faulty line that a problem quotes, in characters.
const QUOTE_CHARS_MAX: usize = 60;

/// Allowed kinds of line, as listed in problems.
const LINE_SYNTAX: &str = "blank lines, # comments, [section] and key = value";

/// Allowed form of a section line.
const SECTION_SYNTAX: &str = "[words of a-z, 0-9, '-' and '.']";

/// Allowed form of a key.
const KEY_SYNTAX: &str = "keys of a-z, 0-9 and '-' before the =";

/// Allowed form of a value.
const VALUE_SYNTAX: &str = "values without control characters or a \\ at the end";

/// A parsed INI text.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Document {
    /// Sections in the order of the text.
    pub sections: Vec<Section>,
}

/// A section of a document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Section {
    /// Name without brackets, its words separated by one space.
    pub name: CompactString,
    /// Line of the section name, from 1.
    pub line: u32,
    /// Entries in the order of the text.
    pub entries: Vec<Entry>,
}

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Name of the key.
    pub key: CompactString,
    /// Value without leading and trailing whitespace; it may be empty.
    pub value: CompactString,
    /// Line of the entry, from 1.
    pub line: u32,
}

/// Parses `text` and adds its problems to `problems` under the name `file`. Lines with
/// problems are left out of the document.
pub fn read(file: &str, text: &str, problems: &mut List) -> Document {
    let lines = scan(file, text, problems);
    let parsed = match parse_lines(&lines) {
        Ok(parsed) => parsed,
        Err(error) => {
            let kind = Kind::Syntax { found: error.msg.into(), wanted: LINE_SYNTAX };
            let line = lines.numbers.get(error.line.saturating_sub(1)).copied().unwrap_or(1);
            problems.push(Problem::new(kind).in_file(file).on_line(line));
            return Document::default();
        }
    };
    let document = attach_line_numbers(&lines, &parsed);
    drop_duplicates(file, document, problems)
}

/// The valid section and entry lines, in the form that the library parses.
#[derive(Default)]
struct Lines {
    /// The lines, without surplus whitespace.
    text: String,
    /// Number of each line in the original text.
    numbers: Vec<u32>,
}

/// The part of the text that a line belongs to.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Scope {
    /// Before the first section.
    Outside,
    /// In a section with a valid name.
    Inside,
    /// Below an invalid section name.
    Unknown,
}

fn scan(file: &str, text: &str, problems: &mut List) -> Lines {
    let mut lines = Lines::default();
    let mut scope = Scope::Outside;
    for (index, raw) in text.lines().enumerate() {
        let number = u32::try_from(index + 1).unwrap_or(u32::MAX);
        let trimmed = raw.trim();
        if trimmed.is_empty() || trimmed.starts_with(['#', ';']) {
            continue;
        }
        let is_section = trimmed.starts_with('[');
        let parsed = if is_section { Line::section(trimmed) } else { Line::entry(trimmed) };
        if is_section {
            scope = if parsed.is_ok() { Scope::Inside } else { Scope::Unknown };
        }
        match parsed {
            Err(wanted) => {
                let kind = Kind::Syntax { found: quote(trimmed), wanted };
                problems.push(Problem::new(kind).in_file(file).on_line(number));
            }
            Ok(_) if scope == Scope::Outside => {
                let problem = Problem::new(Kind::OutsideSection);
                problems.push(problem.in_file(file).on_line(number));
            }
            Ok(line) if scope == Scope::Inside => lines.push(number, &line),
            Ok(_) => {}
        }
    }
    lines
}

/// Returns the part of a faulty line that a problem may quote: a section line whole, of any
/// other line only the first word, because the value may be a secret.
fn quote(line: &str) -> CompactString {
    let is_end = |c: char| c.is_whitespace() || matches!(c, '=' | ':');
    let end = if line.starts_with('[') { None } else { line.find(is_end) };
    let part = &line[..end.unwrap_or(line.len())];
    part.chars().filter(|c| !c.is_control()).take(QUOTE_CHARS_MAX).collect()
}

impl Lines {
    fn push(&mut self, number: u32, line: &Line<'_>) {
        match line {
            Line::Section(words) => {
                let parts = ["[", &words.join(" "), "]\n"];
                self.text.extend(parts);
            }
            Line::Entry(key, value) => self.text.extend([key, "=", value, "\n"]),
        }
        self.numbers.push(number);
    }
}

/// The parts of a valid line.
enum Line<'a> {
    Section(Vec<&'a str>),
    Entry(&'a str, &'a str),
}

impl<'a> Line<'a> {
    fn section(trimmed: &'a str) -> Result<Self, &'static str> {
        let name = trimmed.strip_prefix('[').and_then(|rest| rest.strip_suffix(']'));
        let words: Vec<&str> = name.ok_or(SECTION_SYNTAX)?.split_whitespace().collect();
        if words.is_empty() || !words.iter().all(|word| word.bytes().all(is_word_byte)) {
            return Err(SECTION_SYNTAX);
        }
        Ok(Line::Section(words))
    }

    fn entry(trimmed: &'a str) -> Result<Self, &'static str> {
        let (key, value) = trimmed.split_once('=').ok_or(LINE_SYNTAX)?;
        let key = key.trim();
        if key.is_empty() || !key.bytes().all(|byte| is_word_byte(byte) && byte != b'.') {
            return Err(KEY_SYNTAX);
        }
        let value = value.trim();
        if value.chars().any(char::is_control) || value.ends_with('\\') {
            return Err(VALUE_SYNTAX);
        }
        Ok(Line::Entry(key, value))
    }
}

fn is_word_byte(byte: u8) -> bool {
    matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'.')
}

/// Parses valid lines into sections, keys and values with the INI library.
fn parse_lines(lines: &Lines) -> Result<Ini, ::ini::ParseError> {
    let options = ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        enabled_indented_mutiline_value: false,
        enabled_preserve_key_leading_whitespace: false,
    };
    Ini::load_from_str_opt(&lines.text, options)
}

/// Returns the document in which each section and entry has its line number.
fn attach_line_numbers(lines: &Lines, parsed: &Ini) -> Document {
    let mut numbers = lines.numbers.iter().copied();
    let mut next = || numbers.next().unwrap_or_default();
    let mut sections = Vec::new();
    for (name, properties) in parsed {
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

/// Reports sections and keys that are given twice, and returns the document without them.
fn drop_duplicates(file: &str, document: Document, problems: &mut List) -> Document {
    let mut first_lines = BTreeMap::new();
    let mut sections = Vec::with_capacity(document.sections.len());
    for mut section in document.sections {
        section.entries = drop_duplicate_entries(file, &section.name, section.entries, problems);
        if let Some(first) = first_lines.insert(section.name.clone(), section.line) {
            let problem = Problem::new(Kind::DuplicateSection { first });
            problems.push(problem.in_file(file).on_line(section.line).in_section(&section.name));
            continue;
        }
        sections.push(section);
    }
    Document { sections }
}

fn drop_duplicate_entries(
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
