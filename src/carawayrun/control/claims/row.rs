//! Claims as the table service holds them, and what the traffic asks for.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use compact_str::{CompactString, ToCompactString};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::control::Millis;
use crate::peer::RequestId;

/// Longest body of an answer that is stored, in bytes.
pub const MAX_STORED_ANSWER_BYTES: usize = 64 * 1024;

/// Ties the answer about a claim to its call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClaimTicket(pub u64);

/// A request that wants to run under its idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRequest {
    /// The request.
    pub request: RequestId,
    /// Number of the cascade step.
    pub step: u32,
    /// Name of the team.
    pub team: CompactString,
    /// Name of the service.
    pub service: CompactString,
    /// The caller's key.
    pub key: CompactString,
    /// Digest of the request; another one with the same key is refused.
    pub fingerprint: Bytes,
    /// Time until the request's deadline.
    pub time_left: Millis,
}

/// What becomes of a request with an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The key is claimed for it: it may run, once.
    Run,
    /// It ran before; this was the answer.
    Replay(StoredAnswer),
    /// It ran before; the answer was too long to be stored.
    Finished,
    /// A request with the key is being run.
    InProgress,
    /// A request with the key may have run; its outcome is not known.
    UnknownOutcome,
    /// The key was used for another request.
    Reused,
    /// The table service is out, so the request must not run.
    Unavailable,
}

/// How a claimed request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimEnd {
    /// It never began and never will: the key is free again.
    NotRun,
    /// It ran; `None` where the answer is too long to be stored.
    Finished(Option<StoredAnswer>),
    /// It may have run.
    Unknown,
}

/// The answer to a request that ran.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: CompactString,
    /// Parts of the body; for a stream, one an event.
    pub chunks: Vec<StoredChunk>,
}

impl StoredAnswer {
    /// Length of the body, in bytes.
    pub fn len(&self) -> usize {
        self.chunks.iter().map(|chunk| chunk.0.len()).sum()
    }

    /// True where the body is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// One part of a stored body; base64 in the row.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct StoredChunk(pub Bytes);

impl From<StoredChunk> for String {
    fn from(chunk: StoredChunk) -> Self {
        STANDARD.encode(chunk.0)
    }
}

impl TryFrom<String> for StoredChunk {
    type Error = base64::DecodeError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        STANDARD.decode(text).map(|bytes| Self(bytes.into()))
    }
}

/// State of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase", tag = "state")]
pub(super) enum ClaimState {
    /// Its owner may be running it.
    Running,
    /// It ran; the answer is absent where it was too long.
    Finished { answer: Option<StoredAnswer> },
    /// It may have run.
    Unknown,
    /// It did not run: whoever comes next may claim the key. The row stays, so
    /// that its version goes on rising and no late write can match it.
    Released,
}

/// A row of `claim/`.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct ClaimRow {
    /// The agent's life that claimed it.
    pub(super) owner: CompactString,
    /// The request and step it was claimed for.
    pub(super) request: CompactString,
    /// Digest of the request, in hexadecimal.
    pub(super) fingerprint: CompactString,
    #[serde(flatten)]
    pub(super) state: ClaimState,
}

pub(super) fn row_key(call: &ClaimRequest) -> CompactString {
    let mut digest = Sha256::new();
    digest.update(call.service.as_bytes());
    digest.update([0]);
    digest.update(call.key.as_bytes());
    let digest = hex(&digest.finalize());
    CompactString::from(format!("claim/{}/{digest}", call.team))
}

pub(super) fn request_name(call: &ClaimRequest) -> CompactString {
    CompactString::from(format!("{}~{}", call.request, call.step))
}

pub(super) fn fingerprint_text(call: &ClaimRequest) -> CompactString {
    hex(&call.fingerprint).to_compact_string()
}

fn hex(bytes: &[u8]) -> String {
    use std::fmt::Write;
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").expect("writing to a string does not fail");
        text
    })
}
