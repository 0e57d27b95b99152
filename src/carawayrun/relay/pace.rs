//! How long upstreams usually take to the first byte of an answer.

use std::time::Duration;

/// Prompt tokens that count for what does not depend on the prompt.
const BASE_TOKENS: f64 = 2_000.0;

/// Weight of the newest answer.
const NEWEST_WEIGHT: f64 = 0.03;

/// Answers before any is called slow.
const LEAST_ANSWERS: u32 = 20;

/// Multiple of the usual time above which an answer is slow.
const SLOW_RATIO: f64 = 4.0;

/// Times below this are never slow, in milliseconds: delays of the network and
/// of a busy processor are of this size.
const LEAST_SLOW_MS: f64 = 40.0;

/// Prompts from this length on tell how fast an idle upstream reads.
const LONG_PROMPT: u32 = 1_500;

/// How much the fastest reading seen is forgotten with each long prompt.
const FLOOR_RISE: f64 = 1.02;

/// Reading speed before any long prompt was answered, in milliseconds a token:
/// of a large model on current accelerators.
const FIRST_FLOOR: f64 = 0.03;

/// Times to the first byte for each prompt token, of one model.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Pace {
    answers: u32,
    ms_per_token: f64,
    floor: Option<f64>,
}

impl Pace {
    /// Adds an answer; true where it was several times slower than usual.
    pub(super) fn observe(&mut self, first: Duration, prompt_tokens: u32) -> bool {
        let ms = first.as_secs_f64() * 1_000.0;
        let pace = ms / (BASE_TOKENS + f64::from(prompt_tokens));
        let is_known = self.answers >= LEAST_ANSWERS;
        let is_slow = is_known && ms > LEAST_SLOW_MS && pace > SLOW_RATIO * self.ms_per_token;
        self.answers = self.answers.saturating_add(1);
        let weight = NEWEST_WEIGHT.max(1.0 / f64::from(self.answers));
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
    pub(super) fn read(&mut self, first: Duration, tokens: u32) {
        if tokens < LONG_PROMPT {
            return;
        }
        let pace = first.as_secs_f64() * 1_000.0 / f64::from(tokens);
        let floor = self
            .floor
            .map_or(pace, |floor| pace.min(floor * FLOOR_RISE));
        self.floor = Some(floor);
    }

    /// Time that an idle upstream needs to read `tokens`, in milliseconds.
    pub(super) fn reading_ms(&self, tokens: f64) -> f64 {
        tokens * self.floor.unwrap_or(FIRST_FLOOR)
    }
}
