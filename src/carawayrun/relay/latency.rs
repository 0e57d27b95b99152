//! How long upstreams usually take to the first byte of an answer.

use std::time::Duration;

/// Prompt tokens that count for what does not depend on the prompt.
const BASE_TOKENS: f64 = 2_000.0;

/// Weight of the newest answer.
const ANSWER_EWMA_WEIGHT: f64 = 0.03;

/// Answers before any is called slow.
const MIN_ANSWERS: u32 = 20;

/// Multiple of the usual time above which an answer is slow.
const SLOW_RATIO: f64 = 4.0;

/// Times below this are never slow, in milliseconds: delays of the network and
/// of a busy processor are of this size.
const MIN_SLOW_MS: f64 = 40.0;

/// Prompts from this length on tell how fast an idle upstream reads.
const MIN_PREFILL_TOKENS: u32 = 1_500;

/// How much the fastest reading seen is forgotten with each long prompt.
const PREFILL_FLOOR_GROWTH: f64 = 1.02;

/// Reading speed before any long prompt was answered, in milliseconds a token:
/// of a large model on current accelerators.
const DEFAULT_PREFILL_MS_PER_TOKEN: f64 = 0.03;

/// Times to the first byte for each prompt token, of one model.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LatencyEstimate {
    answers: u32,
    ms_per_token: f64,
    prefill_floor: Option<f64>,
}

impl LatencyEstimate {
    /// Adds an answer; true where it was several times slower than usual.
    pub(super) fn record_answer(&mut self, first_byte: Duration, prompt_tokens: u32) -> bool {
        let ms = first_byte.as_secs_f64() * 1_000.0;
        let pace = ms / (BASE_TOKENS + f64::from(prompt_tokens));
        let is_known = self.answers >= MIN_ANSWERS;
        let is_slow = is_known && ms > MIN_SLOW_MS && pace > SLOW_RATIO * self.ms_per_token;
        self.answers = self.answers.saturating_add(1);
        let weight = ANSWER_EWMA_WEIGHT.max(1.0 / f64::from(self.answers));
        // Slow answers must not become the measure of what is usual.
        let bounded = if is_slow {
            SLOW_RATIO * self.ms_per_token
        } else {
            pace
        };
        self.ms_per_token += weight * (bounded - self.ms_per_token);
        is_slow
    }

    /// Takes note of how long `tokens` took that were surely not cached.
    pub(super) fn record_prefill(&mut self, first_byte: Duration, tokens: u32) {
        if tokens < MIN_PREFILL_TOKENS {
            return;
        }
        let pace = first_byte.as_secs_f64() * 1_000.0 / f64::from(tokens);
        let prefill_floor = self.prefill_floor.map_or(pace, |prefill_floor| {
            pace.min(prefill_floor * PREFILL_FLOOR_GROWTH)
        });
        self.prefill_floor = Some(prefill_floor);
    }

    /// Time that an idle upstream needs to read `tokens`, in milliseconds.
    pub(super) fn prefill_ms(&self, tokens: f64) -> f64 {
        tokens * self.prefill_floor.unwrap_or(DEFAULT_PREFILL_MS_PER_TOKEN)
    }
}
