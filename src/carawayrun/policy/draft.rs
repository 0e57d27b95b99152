//! Drafts of plans, compared before one is chosen and explained.

use super::estimates::Estimate;
use super::explanation::Reason;
use crate::resource::{Named, Version, VersionKey};

/// A version that a plan may use, with its estimate and expected cost.
#[derive(Debug, Clone, Copy)]
pub(crate) struct VersionOption<'a> {
    pub(crate) key: VersionKey,
    pub(crate) version: &'a Named<Version>,
    pub(crate) estimate: Estimate,
    pub(crate) cost: f64,
}

/// A single version or a cascade of two, as indices into the options. The second
/// comes with the rating that its gate requires.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Draft {
    pub(crate) first: usize,
    pub(crate) second: Option<(usize, f64)>,
    pub(crate) quality: f64,
    pub(crate) std_error: f64,
    pub(crate) cost: f64,
    pub(crate) first_ms: f64,
    pub(crate) escalation: f64,
    pub(crate) rating_shift: f64,
}

/// The chosen draft and its versions.
pub(crate) struct ChosenDraft<'a> {
    pub(crate) reason: Reason,
    pub(crate) draft: Draft,
    pub(crate) first: VersionOption<'a>,
    pub(crate) second: Option<VersionOption<'a>>,
    pub(crate) considered: usize,
}

impl<'a> ChosenDraft<'a> {
    pub(crate) fn new(reason: Reason, draft: Draft, options: &[VersionOption<'a>]) -> Self {
        Self {
            reason,
            draft,
            first: options[draft.first],
            second: draft.second.map(|(index, _)| options[index]),
            considered: options.len(),
        }
    }
}

pub(crate) fn single_draft(options: &[VersionOption<'_>], index: usize) -> Draft {
    let option = &options[index];
    Draft {
        first: index,
        second: None,
        quality: option.estimate.mean,
        std_error: option.estimate.std_error,
        cost: option.cost,
        first_ms: option.estimate.first_ms,
        escalation: 0.0,
        rating_shift: 0.0,
    }
}

pub(crate) fn best_effort_draft(options: &[VersionOption<'_>]) -> Draft {
    let index = (0..options.len())
        .max_by(|&a, &b| {
            options[a]
                .estimate
                .mean
                .total_cmp(&options[b].estimate.mean)
        })
        .unwrap_or(0);
    single_draft(options, index)
}

/// The draft with the lowest weighted cost.
pub(crate) fn min_by_weighted_cost(
    drafts: Vec<Draft>,
    weighted_cost: impl Fn(&Draft) -> f64,
) -> Option<Draft> {
    drafts
        .into_iter()
        .min_by(|a, b| weighted_cost(a).total_cmp(&weighted_cost(b)))
}
