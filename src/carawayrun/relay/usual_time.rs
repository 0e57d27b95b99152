//! Usual time to the first byte at the versions that serve a service, and whether
//! an answer is later than that.

use std::collections::VecDeque;
use std::time::Duration;

use super::latency::normalized_ms;

/// Answers whose median is the usual time.
const SAMPLES: usize = 64;

/// Answers before the usual time is known.
const MIN_SAMPLES: usize = 8;

/// Multiple of the usual time above which an answer is late. Under a burst a third
/// of a good version's answers are; of one that slows down half of its requests
/// nearly all.
const LATE_RATIO: f64 = 1.5;

/// Time beyond the usual one within which no answer is late: timers and scheduling
/// delay short answers by as much.
const MIN_EXCESS: Duration = Duration::from_millis(5);

/// Median time to the first byte per prompt token of recent answers, of one model.
#[derive(Debug, Clone, Default)]
pub struct UsualTime {
    recent: VecDeque<f64>,
    median: f64,
}

impl UsualTime {
    /// Records the time to the first byte of an answer to a prompt.
    pub fn record(&mut self, first_byte: Duration, prompt_tokens: u32) {
        if self.recent.len() == SAMPLES {
            self.recent.pop_front();
        }
        self.recent
            .push_back(normalized_ms(first_byte, prompt_tokens));
        let mut sorted: Vec<f64> = self.recent.iter().copied().collect();
        sorted.sort_unstable_by(f64::total_cmp);
        self.median = sorted[sorted.len() / 2];
    }

    /// Time after which an answer to a prompt is late; `None` before enough answers
    /// were recorded.
    pub fn late_after(&self, prompt_tokens: u32) -> Option<Duration> {
        if self.recent.len() < MIN_SAMPLES {
            return None;
        }
        let per_unit = normalized_ms(Duration::from_secs(1), prompt_tokens);
        let usual = Duration::from_secs_f64(self.median / per_unit);
        Some(usual.mul_f64(LATE_RATIO).max(usual + MIN_EXCESS))
    }
}
