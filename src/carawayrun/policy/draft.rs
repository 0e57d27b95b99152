//! Plans before they are explained.

use super::estimates::Estimate;
use super::explanation::Reason;
use crate::resource::{Named, Version, VersionKey};

/// A version that may be planned.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Line<'a> {
    pub(crate) key: VersionKey,
    pub(crate) version: &'a Named<Version>,
    pub(crate) quality: Estimate,
    pub(crate) cost: f64,
}

/// A single version, or a pair with the gate between.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Draft {
    pub(crate) first: usize,
    pub(crate) second: Option<(usize, f64)>,
    pub(crate) quality: f64,
    pub(crate) error: f64,
    pub(crate) cost: f64,
    pub(crate) first_ms: f64,
    pub(crate) escalation: f64,
    pub(crate) shift: f64,
}

/// A draft and the versions it names.
pub(crate) struct Chosen<'a> {
    pub(crate) reason: Reason,
    pub(crate) draft: Draft,
    pub(crate) head: Line<'a>,
    pub(crate) tail: Option<Line<'a>>,
    pub(crate) weighed: usize,
}

impl<'a> Chosen<'a> {
    pub(crate) fn new(reason: Reason, draft: Draft, lines: &[Line<'a>]) -> Self {
        Self {
            reason,
            draft,
            head: lines[draft.first],
            tail: draft.second.map(|(index, _)| lines[index]),
            weighed: lines.len(),
        }
    }
}

pub(crate) fn single_draft(lines: &[Line<'_>], index: usize) -> Draft {
    let line = &lines[index];
    Draft {
        first: index,
        second: None,
        quality: line.quality.mean,
        error: line.quality.error,
        cost: line.cost,
        first_ms: line.quality.first_ms,
        escalation: 0.0,
        shift: 0.0,
    }
}

pub(crate) fn best_effort(lines: &[Line<'_>]) -> Draft {
    let index = (0..lines.len())
        .max_by(|&a, &b| lines[a].quality.mean.total_cmp(&lines[b].quality.mean))
        .unwrap_or(0);
    single_draft(lines, index)
}

pub(crate) fn least_by(drafts: Vec<Draft>, score: impl Fn(&Draft) -> f64) -> Option<Draft> {
    drafts
        .into_iter()
        .min_by(|a, b| score(a).total_cmp(&score(b)))
}
