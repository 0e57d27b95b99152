//! Which model of a route answers: a cheap one first, a better one where the
//! cheap one doubts its answer.
//!
//! The confidence comes with the head of an answer, before its first event, so
//! a dropped answer costs the reading of the prompt but nothing of its writing.

use std::time::Duration;

use compact_str::CompactString;

/// Confidence below which an answer is dropped, of 100. The quality of answers
/// still rises at it while the use of the largest model is under a half.
const MIN_CONFIDENCE: f64 = 56.0;

/// The same where a better model's answer would be late: even odds.
const MIN_LATE_CONFIDENCE: f64 = 42.0;

/// Part of the time that a request has within which a late answer must begin:
/// the rest is for its events, and for what the expectation leaves out.
const LATEST_START_FRACTION: f64 = 0.5;

/// Wait at the engines, in parts of the shortest latency objective that they
/// serve, up to which a larger model takes no time that others need: a usual
/// engine has a prompt or two before it.
const FULL_CASCADE_WAIT: f64 = 0.25;

/// The same from which no answer is dropped: the most urgent requests would be
/// late already, and the least urgent not be read before their deadline.
const NO_CASCADE_WAIT: f64 = 1.0;

/// How the beginning of an answer stands to the times of its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Timing {
    /// Within half of the latency objective.
    Early,
    /// Within the latency objective.
    OnTime,
    /// Later, but soon enough for the whole answer.
    Late,
    /// Too late for the whole answer.
    TooLate,
}

impl Timing {
    /// Of an answer that begins after `first` of a request that has `limit`.
    pub fn classify(first: Duration, objective: Duration, limit: Duration) -> Self {
        if first <= objective / 2 {
            Self::Early
        } else if first <= objective {
            Self::OnTime
        } else if first <= limit.mul_f64(LATEST_START_FRACTION) {
            Self::Late
        } else {
            Self::TooLate
        }
    }
}

/// What is expected of a model's answer.
#[derive(Debug, Clone, Copy)]
pub struct AnswerEstimate {
    /// When it would begin.
    pub timing: Timing,
    /// Wait until its prompt would be read, in parts of the shortest latency
    /// objective of its service.
    pub wait_ratio: f64,
}

impl AnswerEstimate {
    // Part of the usual gate that the engines have time for, 1 to 0.
    fn confidence_scale(self) -> f64 {
        ((NO_CASCADE_WAIT - self.wait_ratio) / (NO_CASCADE_WAIT - FULL_CASCADE_WAIT))
            .clamp(0.0, 1.0)
    }
}

/// Headroom of the repeats below which some requests begin with the largest
/// model. A fifth of a window of ten seconds is the time in which the share of
/// requests that begin so can follow a change of the load.
const LOW_HEADROOM: f64 = 0.2;

/// What is known when a request begins.
#[derive(Debug, Clone, Copy)]
pub struct FirstModelInput {
    /// Share of the repeats for cascades that is left, 0 to 1.
    pub headroom: f64,
    /// What is expected of the largest model's answer.
    pub timing: Timing,
    /// A number in 0..1, different for each request.
    pub random: f64,
}

/// The model to begin with.
///
/// Load pattern: upstreams crash under a burst, and what is sent again because
/// of that uses up the repeats that cascades need; doubtful answers of the
/// smallest model would stand. Then a share of the requests, the greater the
/// less headroom is left, begins with the largest model and needs no repeat.
/// Not while engines have work waiting: the largest model takes ten times as
/// long, and would only add to that.
pub fn choose_first_model(
    models: &[CompactString],
    input: FirstModelInput,
) -> Option<&CompactString> {
    let scarcity = 1.0 - input.headroom / LOW_HEADROOM;
    if input.timing == Timing::Early && input.random < scarcity {
        models.last()
    } else {
        models.first()
    }
}

/// What is known when an answer of a model came.
#[derive(Debug, Clone, Copy)]
pub struct NextModelInput {
    /// The model's opinion of its answer, of 100.
    pub confidence: Option<f64>,
    /// What is expected of the largest model's answer.
    pub largest: AnswerEstimate,
}

/// The model to go on with after an answer of `model`; none where the answer
/// is good enough, or where there is no better model.
///
/// Load pattern: a burst fills the engines, and the larger model's answer would
/// come late or not at all. An answer in hand that is as likely right as wrong
/// is better than a late one, and any answer is better than none. The longer the
/// queues, the worse an answer must be to be dropped: the time of a larger model
/// is that of ten other requests.
pub fn choose_next_model<'a>(
    models: &'a [CompactString],
    model: &str,
    input: NextModelInput,
) -> Option<&'a CompactString> {
    let largest = models.last()?;
    let min_confidence = match input.largest.timing {
        Timing::Early | Timing::OnTime => MIN_CONFIDENCE,
        Timing::Late => MIN_LATE_CONFIDENCE,
        Timing::TooLate => return None,
    };
    let min_confidence = min_confidence * input.largest.confidence_scale();
    let is_low_confidence = input
        .confidence
        .is_some_and(|confidence| confidence < min_confidence);
    (is_low_confidence && largest != model).then_some(largest)
}
