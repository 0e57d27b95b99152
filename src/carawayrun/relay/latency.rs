//! Usual time to the first byte of an answer.

use std::time::Duration;

/// Fixed cost of an answer, in prompt tokens.
const BASE_TOKENS: f64 = 2_000.0;

/// Weight of the newest answer in the moving average.
const ANSWER_EWMA_WEIGHT: f64 = 0.03;

/// Number of answers before any is classified as slow.
const MIN_ANSWERS: u32 = 20;

/// Multiple of the usual time above which an answer is slow.
const SLOW_RATIO: f64 = 4.0;

/// Time below which no answer is slow, in milliseconds: network and scheduling
/// delays reach this size.
const MIN_SLOW_MS: f64 = 40.0;

/// Length of uncached prompts from which the time to the first byte is taken as
/// prefill time.
const MIN_PREFILL_TOKENS: u32 = 1_500;

/// Greatest factor by which one long prompt raises the prefill floor; without it
/// the floor could only fall.
const PREFILL_FLOOR_GROWTH: f64 = 1.02;

/// Prefill time per token before any long prompt was answered, in milliseconds:
/// that of a large model on current accelerators.
const DEFAULT_PREFILL_MS_PER_TOKEN: f64 = 0.03;

/// Time to the first byte in milliseconds per prompt token, fixed cost included.
pub(super) fn normalized_ms(first_byte: Duration, prompt_tokens: u32) -> f64 {
    first_byte.as_secs_f64() * 1_000.0 / (BASE_TOKENS + f64::from(prompt_tokens))
}

/// Moving average of the time to the first byte per prompt token, and the fastest
/// prefill, of one model.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LatencyEstimate {
    answers: u32,
    ms_per_token: f64,
    /// Prefill time per token of the fastest long prompts, in milliseconds.
    prefill_floor: Option<f64>,
}

impl LatencyEstimate {
    /// Records an answer; returns true if it was several times slower than usual.
    /// `is_reference` is false for a version under evaluation, which must not
    /// become what is usual.
    pub(super) fn record_answer(
        &mut self,
        first_byte: Duration,
        prompt_tokens: u32,
        is_reference: bool,
    ) -> bool {
        let ms = first_byte.as_secs_f64() * 1_000.0;
        let ms_per_token = normalized_ms(first_byte, prompt_tokens);
        let is_known = self.answers >= MIN_ANSWERS;
        let is_slow = is_known && ms > MIN_SLOW_MS && ms_per_token > SLOW_RATIO * self.ms_per_token;
        if !is_reference {
            return is_slow;
        }
        self.answers = self.answers.saturating_add(1);
        let weight = ANSWER_EWMA_WEIGHT.max(1.0 / f64::from(self.answers));
        // Slow answers are capped, so that they do not become the baseline.
        let bounded = if is_slow {
            SLOW_RATIO * self.ms_per_token
        } else {
            ms_per_token
        };
        self.ms_per_token += weight * (bounded - self.ms_per_token);
        is_slow
    }

    /// Records the prefill time of `tokens` that can't have been cached.
    pub(super) fn record_prefill(&mut self, first_byte: Duration, tokens: u32) {
        if tokens < MIN_PREFILL_TOKENS {
            return;
        }
        let ms_per_token = first_byte.as_secs_f64() * 1_000.0 / f64::from(tokens);
        let prefill_floor = self.prefill_floor.map_or(ms_per_token, |prefill_floor| {
            ms_per_token.min(prefill_floor * PREFILL_FLOOR_GROWTH)
        });
        self.prefill_floor = Some(prefill_floor);
    }

    /// Prefill time of `tokens` at an idle upstream, in milliseconds.
    pub(super) fn prefill_ms(&self, tokens: f64) -> f64 {
        tokens * self.prefill_floor.unwrap_or(DEFAULT_PREFILL_MS_PER_TOKEN)
    }
}
