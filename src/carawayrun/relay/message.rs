//! Fields that the data path reads from requests and answers, independent of
//! their encoding.

use std::time::Duration;

use compact_str::CompactString;

/// Prompt prefix that requests may share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prefix {
    /// ID of the prefix.
    pub id: CompactString,
    /// Length in tokens.
    pub tokens: u32,
}

/// Client request, apart from method, path and body.
#[derive(Debug, Clone, Default)]
pub struct ClientRequest {
    /// ID of this request; a client's retry has another one.
    pub id: CompactString,
    /// API key.
    pub api_key: Option<CompactString>,
    /// Time that the client waits for the answer.
    pub deadline: Option<Duration>,
    /// Model that the client names.
    pub model: Option<CompactString>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Maximum number of tokens of the answer.
    pub output_tokens: u32,
    /// The client's estimate of the tokens of the answer.
    pub expected_tokens: Option<u32>,
    /// Prefixes of the prompt in order; the last one belongs to this request
    /// alone.
    pub prefixes: Vec<Prefix>,
    /// Session of the request.
    pub session: Option<CompactString>,
    /// ID of the event after which a stream resumes.
    pub resume_after: Option<CompactString>,
}

impl ClientRequest {
    /// Time that the request may take on a route with a time limit of `timeout`.
    pub(crate) fn time_limit(&self, timeout: Duration) -> Duration {
        self.deadline.unwrap_or(timeout).min(timeout)
    }
}

/// Whether an upstream ran a request that it did not answer with success.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Execution {
    /// The upstream did not run the request and never will.
    NotRun,
    /// The upstream did not rule out that the request ran.
    MayHaveRun,
}

/// An engine's report of its own load.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// Number of queued requests.
    pub queued: u32,
    /// IDs of the requests that are running at the engine.
    pub runs: Vec<CompactString>,
}

impl EngineReport {
    /// Returns true if the engine may have the request, so that its silence may
    /// be queueing. Queued requests are reported by number only.
    pub fn may_have_request(&self, id: &str) -> bool {
        self.queued > 0 || self.runs.iter().any(|run| run == id)
    }
}

/// ID that an answer names.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerId {
    /// It names none.
    Missing,
    /// The ID of one request.
    One(CompactString),
    /// Several unlike IDs.
    Conflicting,
}

/// Head of an upstream's answer, as the data path reads it.
#[derive(Debug, Clone)]
pub struct Answer {
    /// ID of the request that it answers, if it names just one.
    pub id: AnswerId,
    /// Whether the request ran.
    pub execution: Execution,
    /// True if the answer comes from the upstream itself and not from an
    /// intermediary.
    pub is_sealed: bool,
    /// True if the body has a content encoding, which the gateway never requests.
    pub is_encoded: bool,
    /// The model's confidence in its answer, 0 to 100.
    pub confidence: Option<f64>,
    /// Requests per second that the upstream takes from all gateways together, if it
    /// names a limit.
    pub rate_limit: Option<f64>,
    /// True if the upstream says that it is leaving.
    pub is_leaving: bool,
    /// Name of the upstream that answered, if it says so.
    pub instance: Option<CompactString>,
    /// Time for which the upstream wants no requests from this gateway, if it asks for
    /// rest.
    pub rest: Option<Duration>,
    /// Time for which the upstream keeps an idle connection open, if it says so.
    pub idle_limit: Option<Duration>,
    /// Length of the body, if given.
    pub body_length: Option<u64>,
    /// Media type of the body in lower case, without parameters; empty if not given.
    pub media_type: CompactString,
}

impl Answer {
    /// Returns true if the answer is shown to belong to the request with `id`. Nothing
    /// that another answer says may be believed, neither about the request nor about the
    /// upstream: a faulty upstream may repeat an earlier answer where the next one is
    /// due. On a connection without an earlier request (`is_first`) there is none to
    /// repeat, so an answer that names no ID belongs to the only request.
    pub fn belongs_to(&self, id: &str, is_first: bool) -> bool {
        match &self.id {
            AnswerId::One(own) => own == id,
            AnswerId::Missing => is_first,
            AnswerId::Conflicting => false,
        }
    }
}
