//! Text of an answer, which a client can check.
//!
//! The text is `v=<version> id=<request id>`, followed by `max_tokens` words. Each
//! word depends on its index, the request id and the version. The words of a bad
//! version are all `bad`.

use std::hash::{Hash, Hasher};

use rustc_hash::FxHasher;
use serde::Serialize;

const WORDS: [&str; 16] = [
    "amber", "beam", "cove", "dim", "east", "fade", "glow", "hall", "iris", "jade", "lamp", "mist",
    "niche", "opal", "pale", "quartz",
];

/// Returns the tokens of an answer, in order.
pub(crate) fn tokens(version: &str, id: &str, word_count: usize, bad: bool) -> Vec<String> {
    let head = [format!("v={version}"), format!(" id={id}")];
    let body = (0..word_count).map(|index| {
        let word = if bad { "bad" } else { word(version, id, index) };
        format!(" {word}")
    });
    head.into_iter().chain(body).collect()
}

fn word(version: &str, id: &str, index: usize) -> &'static str {
    WORDS[digest(&(version, id, index)) as usize % WORDS.len()]
}

/// Hashes `value`; equal values have the same hash in every process.
pub(crate) fn digest(value: &impl Hash) -> u64 {
    let mut hasher = FxHasher::default();
    value.hash(&mut hasher);
    hasher.finish() >> 8
}

/// Token usage in the format of the engines.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub(crate) struct Usage {
    pub(crate) prompt_tokens: u64,
    pub(crate) completion_tokens: u64,
    pub(crate) total_tokens: u64,
    pub(crate) prompt_tokens_details: PromptDetails,
}

/// Number of prompt tokens read from the prefix cache.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub(crate) struct PromptDetails {
    pub(crate) cached_tokens: u64,
}

impl Usage {
    pub(crate) fn new(prompt_tokens: u64, cached_tokens: u64, completion_tokens: u64) -> Self {
        Self {
            prompt_tokens,
            completion_tokens,
            total_tokens: prompt_tokens + completion_tokens,
            prompt_tokens_details: PromptDetails { cached_tokens },
        }
    }
}
