//! Model cascade: a route's smallest model answers first, and its largest one
//! replaces answers of low confidence.
//!
//! The confidence arrives with the head of an answer, before its first event, so
//! a dropped answer costs the prefill of its prompt but no generation.

use std::time::Duration;

use compact_str::CompactString;

/// Confidence, 0 to 100, below which an answer is dropped. The quality of answers
/// still rises with the threshold at this value, while the largest model's
/// utilization is below one half.
const MIN_CONFIDENCE: f64 = 56.0;

/// The same threshold if the larger model's answer would be late: an answer of
/// this confidence is as likely right as wrong.
const MIN_LATE_CONFIDENCE: f64 = 42.0;

/// Fraction of a request's time limit within which a late answer must begin; the
/// rest is for its events and for errors of the estimate.
const LATEST_START_FRACTION: f64 = 0.5;

/// Wait at the engines, as a multiple of the shortest latency objective that they
/// serve, up to which the full confidence threshold applies: an engine usually
/// has one or two prompts queued, and a larger model then takes no capacity from
/// other requests.
const FULL_CASCADE_WAIT: f64 = 0.25;

/// The same multiple from which no answer is dropped: the most urgent requests
/// would miss their objective, and the least urgent would not start before their
/// deadline.
const NO_CASCADE_WAIT: f64 = 1.0;

/// Start of an answer relative to the limits of its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Timing {
    /// Within half of the latency objective.
    Early,
    /// Within the latency objective.
    OnTime,
    /// After the objective, but early enough for the complete answer.
    Late,
    /// Too late for the complete answer.
    TooLate,
}

impl Timing {
    /// Classifies an answer that begins after `first`, for a request with the
    /// time limit `limit`.
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

/// Estimate of a model's answer.
#[derive(Debug, Clone, Copy)]
pub struct AnswerEstimate {
    /// Estimated start of the answer.
    pub timing: Timing,
    /// Wait until the prefill of its prompt, as a multiple of the shortest
    /// latency objective of its service.
    pub wait_ratio: f64,
}

impl AnswerEstimate {
    // Factor of the confidence threshold, falling from 1 to 0 as the engines'
    // wait grows.
    fn confidence_scale(self) -> f64 {
        ((NO_CASCADE_WAIT - self.wait_ratio) / (NO_CASCADE_WAIT - FULL_CASCADE_WAIT))
            .clamp(0.0, 1.0)
    }
}

/// Remaining share of the retry budget for cascades below which some requests
/// begin with the largest model. One fifth of a window of ten seconds is the time
/// in which the share of these requests can follow a change of the load.
const LOW_HEADROOM: f64 = 0.2;

/// Input to the choice of a request's first model.
#[derive(Debug, Clone, Copy)]
pub struct FirstModelInput {
    /// Share of the retry budget for cascades that is left, 0 to 1.
    pub headroom: f64,
    /// Estimated start of the largest model's answer.
    pub timing: Timing,
    /// Random number in 0..1, different for each request.
    pub random: f64,
}

/// Chooses the model that a request begins with.
///
/// Load pattern: upstreams crash during a burst, and the resulting retries use up
/// the budget that cascades need, so low-confidence answers of the smallest model
/// could not be replaced. A share of the requests that grows as the headroom
/// falls therefore begins with the largest model, which needs no retry. This does
/// not happen while engines have a backlog: the largest model takes ten times as
/// long and would only add to it.
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

/// Input to the decision whether an answer is replaced.
#[derive(Debug, Clone, Copy)]
pub struct NextModelInput {
    /// The model's confidence in its answer, 0 to 100.
    pub confidence: Option<f64>,
    /// Estimate of the largest model's answer.
    pub largest: AnswerEstimate,
}

/// Chooses the model that replaces an answer of `model`; `None` if the answer is
/// good enough or there is no larger model.
///
/// Load pattern: a burst fills the engines, and the larger model's answer would
/// come late or not at all. An answer at hand that is as likely right as wrong is
/// better than a late one, and any answer is better than none. The threshold
/// falls as queues grow, since a request to the larger model takes the time of
/// ten other requests.
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
