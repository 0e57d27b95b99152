//! Tables as plain text.

use std::fmt::Write;

/// Separator of columns.
const GAP: &str = "  ";

/// Rows of text with aligned columns.
#[derive(Debug)]
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    pub(crate) fn new(headers: &[&str]) -> Self {
        let headers = headers.iter().map(ToString::to_string).collect();
        Self {
            rows: vec![headers],
        }
    }

    pub(crate) fn add_row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Returns the table as lines, each with a trailing newline.
    pub(crate) fn render(&self) -> String {
        let widths = self.widths();
        let mut text = String::new();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                write!(line, "{cell:<width$}{GAP}").expect("writing to a string never fails");
            }
            text.push_str(line.trim_end());
            text.push('\n');
        }
        text
    }

    fn widths(&self) -> Vec<usize> {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        (0..columns).map(width).collect()
    }
}
