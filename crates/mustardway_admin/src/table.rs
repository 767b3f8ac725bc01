//! Text tables.

use std::fmt;

/// Space between columns.
const GAP: &str = "  ";

/// A table with a heading over each column.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Table {
    columns: Vec<&'static str>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// A table without rows.
    pub fn new(columns: &[&'static str]) -> Self {
        Table { columns: columns.to_vec(), rows: Vec::new() }
    }

    /// Adds a row, one text for each column.
    pub fn row<const N: usize>(&mut self, cells: [String; N]) {
        self.rows.push(cells.into());
    }

    /// Width of each column, in characters.
    fn widths(&self) -> Vec<usize> {
        let mut widths: Vec<usize> = self.columns.iter().map(|text| text.chars().count()).collect();
        for row in &self.rows {
            for (width, cell) in widths.iter_mut().zip(row) {
                *width = (*width).max(cell.chars().count());
            }
        }
        widths
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths = self.widths();
        line(f, &widths, &self.columns)?;
        for row in &self.rows {
            line(f, &widths, row)?;
        }
        Ok(())
    }
}

fn line(f: &mut fmt::Formatter<'_>, widths: &[usize], cells: &[impl AsRef<str>]) -> fmt::Result {
    let mut text = String::new();
    for (width, cell) in widths.iter().zip(cells) {
        text.push_str(&format!("{:width$}{GAP}", cell.as_ref()));
    }
    writeln!(f, "{}", text.trim_end())
}
