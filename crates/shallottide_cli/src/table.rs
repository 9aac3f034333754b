//! Plain-text tables.

use std::fmt;

/// Spaces between two columns.
const COLUMN_GAP: usize = 2;

/// Table with a header row, with cells padded to the width of their column.
#[derive(Debug)]
pub(crate) struct Table {
    /// The first row is the header. Invariant: all rows have the same number of cells.
    rows: Vec<Vec<String>>,
}

impl Table {
    pub(crate) fn new<const N: usize>(header: [&str; N]) -> Self {
        Self {
            rows: vec![header.map(String::from).to_vec()],
        }
    }

    pub(crate) fn add_row<const N: usize>(&mut self, cells: &[String; N]) {
        self.rows.push(cells.to_vec());
    }

    fn widths(&self) -> Vec<usize> {
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        (0..self.rows[0].len()).map(width).collect()
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths = self.widths();
        for (position, row) in self.rows.iter().enumerate() {
            let cells = row.iter().zip(&widths);
            let padded = cells.map(|(cell, width)| format!("{cell:<0$}", width + COLUMN_GAP));
            let line = padded.collect::<Vec<_>>().concat();
            let line_end = if position + 1 < self.rows.len() {
                "\n"
            } else {
                ""
            };
            write!(f, "{}{line_end}", line.trim_end())?;
        }
        Ok(())
    }
}
