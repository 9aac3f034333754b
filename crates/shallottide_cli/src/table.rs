//! Text tables.

use std::fmt;

/// Spaces between two columns.
const GAP: usize = 2;

/// Rows of text with a head, padded to the widest cell of each column.
#[derive(Debug)]
pub(crate) struct Table {
    /// Invariant: all rows have as many cells as the first, the head.
    rows: Vec<Vec<String>>,
}

impl Table {
    pub(crate) fn new<const N: usize>(head: [&str; N]) -> Self {
        Self {
            rows: vec![head.map(String::from).to_vec()],
        }
    }

    pub(crate) fn row<const N: usize>(&mut self, cells: &[String; N]) {
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
            let padded = cells.map(|(cell, width)| format!("{cell:<0$}", width + GAP));
            let line = padded.collect::<Vec<_>>().concat();
            let end = if position + 1 < self.rows.len() {
                "\n"
            } else {
                ""
            };
            write!(f, "{}{end}", line.trim_end())?;
        }
        Ok(())
    }
}
