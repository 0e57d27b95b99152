//! Sums of outcomes by version and task, and their messages.

use std::collections::BTreeMap;

use compact_str::CompactString;

use crate::peer::message;
use crate::policy::Tally;

/// What outcomes are added up by.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::control) struct Cell {
    pub(in crate::control) version: CompactString,
    pub(in crate::control) task: CompactString,
    /// True where a roll-out's split drew the version.
    pub(in crate::control) compared: bool,
}

/// Sums since the start of a life, or of several lives.
#[derive(Debug, Clone, Default)]
pub(in crate::control) struct Sums {
    cells: BTreeMap<Cell, Tally>,
}

impl Sums {
    pub(super) fn cell(&mut self, cell: Cell) -> &mut Tally {
        self.cells.entry(cell).or_default()
    }

    pub(super) fn get(&self, cell: &Cell) -> Tally {
        self.cells.get(cell).copied().unwrap_or_default()
    }

    pub(in crate::control) fn iter(&self) -> impl Iterator<Item = (&Cell, &Tally)> {
        self.cells.iter()
    }

    pub(super) fn add(&mut self, other: &Self) {
        for (cell, tally) in &other.cells {
            *self.cell(cell.clone()) += tally;
        }
    }

    /// Takes over cells that are further than what is known: sums of one life
    /// only grow, so a message that was overtaken changes nothing.
    pub(super) fn advance(&mut self, newer: Self) {
        for (cell, tally) in newer.cells {
            let known = self.cell(cell);
            if tally.answered + tally.rated >= known.answered + known.rated {
                *known = tally;
            }
        }
    }

    pub(super) fn to_message(&self) -> Vec<message::Evidence> {
        self.cells.iter().map(evidence).collect()
    }

    pub(super) fn of_message(sums: &[message::Evidence]) -> Self {
        Self {
            cells: sums.iter().map(entry).collect(),
        }
    }
}

fn evidence((cell, tally): (&Cell, &Tally)) -> message::Evidence {
    message::Evidence {
        version: cell.version.to_string(),
        task: cell.task.to_string(),
        compared: cell.compared,
        answered: tally.answered as u64,
        failed: tally.failed as u64,
        slow: tally.slow as u64,
        rated: tally.rated as u64,
        rating_sum: tally.rating_sum,
        rating_squares: tally.rating_squares,
        first_ms: tally.first_ms,
        total_ms: tally.total_ms,
        tokens: tally.tokens,
    }
}

fn entry(sum: &message::Evidence) -> (Cell, Tally) {
    let cell = Cell {
        version: sum.version.as_str().into(),
        task: sum.task.as_str().into(),
        compared: sum.compared,
    };
    let tally = Tally {
        answered: sum.answered as f64,
        failed: sum.failed as f64,
        slow: sum.slow as f64,
        rated: sum.rated as f64,
        rating_sum: sum.rating_sum,
        rating_squares: sum.rating_squares,
        first_ms: sum.first_ms,
        total_ms: sum.total_ms,
        tokens: sum.tokens,
    };
    (cell, tally)
}
