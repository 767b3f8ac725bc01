//! Text tables with aligned columns.

use std::fmt;

/// Blanks between two columns.
const COLUMN_GAP: &str = "  ";

/// A table with a heading over each column.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Table {
    columns: Vec<&'static str>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table without rows.
    pub fn new(columns: &[&'static str]) -> Self {
        Table { columns: columns.to_vec(), rows: Vec::new() }
    }

    /// Adds a row with one cell for each column.
    pub fn row<const N: usize>(&mut self, cells: [String; N]) {
        self.rows.push(cells.into());
    }

    /// Returns the width of each column, in characters.
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
        write_row(f, &widths, &self.columns)?;
        for row in &self.rows {
            write_row(f, &widths, row)?;
        }
        Ok(())
    }
}

/// Writes one row, with each cell padded to the width of its column.
fn write_row(
    f: &mut fmt::Formatter<'_>,
    widths: &[usize],
    cells: &[impl AsRef<str>],
) -> fmt::Result {
    let mut text = String::new();
    for (width, cell) in widths.iter().zip(cells) {
        text.push_str(&format!("{:width$}{COLUMN_GAP}", cell.as_ref()));
    }
    writeln!(f, "{}", text.trim_end())
}
