//! Which model of a route answers: a cheap one first, a better one where the
//! cheap one doubts its answer.
//!
//! The confidence comes with the head of an answer, before its first event, so
//! a dropped answer costs the reading of the prompt but nothing of its writing.

use compact_str::CompactString;

/// Confidence below which an answer is dropped, of 100. The quality of answers
/// still rises at it while the use of the largest model is under a half.
const GATE: f64 = 56.0;

/// The same where a better model's answer would be late: even odds.
const LATE_GATE: f64 = 42.0;

/// The model to begin with.
pub fn first(models: &[CompactString]) -> Option<&CompactString> {
    models.first()
}

/// What is known when an answer of a model came.
#[derive(Debug, Clone, Copy)]
pub struct Doubt {
    /// The model's opinion of its answer, of 100.
    pub confidence: Option<f64>,
    /// True where a better model's answer is expected within the objective.
    pub is_timely: bool,
}

/// The model to go on with after an answer of `model`; none where the answer
/// is good enough, or where there is no better model.
///
/// Load pattern: a burst fills the engines, and the larger model's answer would
/// come late or not at all. An answer in hand that is as likely right as wrong
/// is better then, and the time of the larger model is left to those that need it.
pub fn next<'a>(
    models: &'a [CompactString],
    model: &str,
    doubt: Doubt,
) -> Option<&'a CompactString> {
    let largest = models.last()?;
    let gate = if doubt.is_timely { GATE } else { LATE_GATE };
    let is_doubtful = doubt.confidence.is_some_and(|confidence| confidence < gate);
    (is_doubtful && largest != model).then_some(largest)
}
