//! Sums of outcomes by version and task, and their messages.

use std::collections::BTreeMap;

use compact_str::CompactString;

use crate::peer::message;
use crate::policy::Tally;

/// Key that outcomes are summed by.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::control) struct OutcomeKey {
    pub(in crate::control) version: CompactString,
    pub(in crate::control) task: CompactString,
    /// True if a roll-out's random split chose the version.
    pub(in crate::control) compared: bool,
}

/// Sums of outcomes since the start of one or more gateways.
#[derive(Debug, Clone, Default)]
pub(in crate::control) struct OutcomeSums {
    tallies: BTreeMap<OutcomeKey, Tally>,
}

impl OutcomeSums {
    pub(super) fn tally_mut(&mut self, key: OutcomeKey) -> &mut Tally {
        self.tallies.entry(key).or_default()
    }

    pub(super) fn get(&self, key: &OutcomeKey) -> Tally {
        self.tallies.get(key).copied().unwrap_or_default()
    }

    pub(in crate::control) fn iter(&self) -> impl Iterator<Item = (&OutcomeKey, &Tally)> {
        self.tallies.iter()
    }

    pub(super) fn add(&mut self, other: &Self) {
        for (key, tally) in &other.tallies {
            *self.tally_mut(key.clone()) += tally;
        }
    }

    /// Replaces tallies by newer ones. The sums of one incarnation only grow, so
    /// a message that arrives out of order changes nothing.
    pub(super) fn merge_newer(&mut self, newer: Self) {
        for (key, tally) in newer.tallies {
            let known = self.tally_mut(key);
            if tally.answered + tally.rated >= known.answered + known.rated {
                *known = tally;
            }
        }
    }

    pub(super) fn to_message(&self) -> Vec<message::Evidence> {
        self.tallies.iter().map(to_evidence).collect()
    }

    pub(super) fn from_message(sums: &[message::Evidence]) -> Self {
        Self {
            tallies: sums.iter().map(from_evidence).collect(),
        }
    }
}

fn to_evidence((key, tally): (&OutcomeKey, &Tally)) -> message::Evidence {
    message::Evidence {
        version: key.version.to_string(),
        task: key.task.to_string(),
        compared: key.compared,
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

fn from_evidence(sum: &message::Evidence) -> (OutcomeKey, Tally) {
    let key = OutcomeKey {
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
    (key, tally)
}
