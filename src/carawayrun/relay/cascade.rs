//! Which model of a route answers: a cheap one first, a better one where the
//! cheap one doubts its answer.
//!
//! The confidence comes with the head of an answer, before its first event, so
//! a dropped answer costs the reading of the prompt but nothing of its writing.

use compact_str::CompactString;

/// Confidence below which an answer is dropped, of 100. The quality of answers
/// still rises at it while the use of the largest model is under a half.
const GATE: f64 = 56.0;

/// The model to begin with.
pub fn first(models: &[CompactString]) -> Option<&CompactString> {
    models.first()
}

/// The model to go on with after an answer of `model`; none where the answer
/// is good enough, or where there is no better model.
pub fn next<'a>(
    models: &'a [CompactString],
    model: &str,
    confidence: Option<f64>,
) -> Option<&'a CompactString> {
    let largest = models.last()?;
    let is_doubtful = confidence.is_some_and(|confidence| confidence < GATE);
    (is_doubtful && largest != model).then_some(largest)
}
