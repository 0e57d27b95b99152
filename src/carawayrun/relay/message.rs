//! What the data path reads from requests and answers, free of their encoding.

use std::time::Duration;

use compact_str::CompactString;

/// A part of a prompt that requests may share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prefix {
    /// Identity of the part.
    pub id: CompactString,
    /// Its length, in tokens.
    pub tokens: u32,
}

/// What a client asks for, besides method, path and body.
#[derive(Debug, Clone, Default)]
pub struct ClientRequest {
    /// Identity of this try; a client's retry has another one.
    pub id: CompactString,
    /// API key.
    pub api_key: Option<CompactString>,
    /// Time that the client waits.
    pub deadline: Option<Duration>,
    /// Model that it names.
    pub model: Option<CompactString>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub output_tokens: u32,
    /// The client's guess of the tokens of the answer.
    pub expected_tokens: Option<u32>,
    /// Parts of the prompt in order; the last one is the request's own.
    pub prefixes: Vec<Prefix>,
    /// Session that it belongs to.
    pub session: Option<CompactString>,
    /// Event after which a stream goes on.
    pub resume_after: Option<CompactString>,
}

/// What an upstream says of a request that it did not answer with success.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Execution {
    /// It did not run it, and never will.
    NotRun,
    /// Nothing of the kind.
    MayHaveRun,
}

/// What an engine says of its own load.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// Requests that wait to be admitted.
    pub queued: u32,
    /// Requests that were admitted.
    pub runs: Vec<CompactString>,
}

impl EngineReport {
    /// True where the engine may have the request, so that its silence is that
    /// of a queue. Those that wait are only counted.
    pub fn may_have_request(&self, id: &str) -> bool {
        self.queued > 0 || self.runs.iter().any(|run| run == id)
    }
}

/// What the data path reads from the head of an upstream's answer.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Identity of the request that it answers.
    pub id: Option<CompactString>,
    /// Whether the request ran.
    pub execution: Execution,
    /// True where the answer is the upstream's own, not that of something before it.
    pub is_sealed: bool,
    /// True where its body is encoded, so not what was asked for.
    pub is_encoded: bool,
    /// The model's opinion of its answer, 0 to 100.
    pub confidence: Option<f64>,
    /// Time for which the upstream keeps an idle connection, where it says so.
    pub idle_limit: Option<Duration>,
    /// Length of the body, where it is given.
    pub body_length: Option<u64>,
}
