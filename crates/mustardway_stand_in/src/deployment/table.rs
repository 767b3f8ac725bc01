//! Text tables with aligned columns.

use std::fmt;

/// A header row and data rows.
///
/// The first column holds text and is aligned left; the others hold numbers and
/// are aligned right.
#[derive(Debug, Clone)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with the header row `head`.
    pub fn new(head: &[&str]) -> Table {
        Table { rows: vec![head.iter().map(|cell| (*cell).to_owned()).collect()] }
    }

    /// Adds a row.
    pub fn add(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for row in &self.rows {
            for (column, cell) in row.iter().enumerate() {
                let width = self.width(column);
                match column {
                    0 => write!(f, "{cell:<width$}")?,
                    _ => write!(f, "  {cell:>width$}")?,
                }
            }
            writeln!(f)?;
        }
        Ok(())
    }
}
