//! Rows of claims in the table service, and the requests and answers of claims.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use compact_str::{CompactString, ToCompactString};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::control::Millis;
use crate::peer::RequestId;

/// Longest answer body that is stored, in bytes.
pub const MAX_STORED_ANSWER_BYTES: usize = 64 * 1024;

/// Identifies a claim request and its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClaimTicket(pub u64);

/// A request to claim an idempotency key before a run.
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
    /// The client's idempotency key.
    pub key: CompactString,
    /// Digest of the request; a request with the same key and another digest is
    /// refused.
    pub fingerprint: Bytes,
    /// Time until the request's deadline.
    pub time_left: Millis,
}

/// The answer to a claim request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The key is claimed, and the request may run once.
    Run,
    /// The request ran before and had this answer.
    Replay(StoredAnswer),
    /// The request ran before; its answer was too long to be stored.
    Finished,
    /// Another request with the key waits for its claim or may be running.
    InProgress,
    /// A request with the key may have run; its outcome is not known.
    UnknownOutcome,
    /// The key was used for a different request.
    Reused,
    /// The claim can't be stored, so the request must not run.
    Unavailable,
}

/// How a claimed request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimEnd {
    /// The request did not run and never will, so the key is released.
    NotRun,
    /// The request ran; `None` if its answer is too long to be stored.
    Finished(Option<StoredAnswer>),
    /// The request may have run.
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
    /// Parts of the body; one per event for a stream.
    pub chunks: Vec<StoredChunk>,
}

impl StoredAnswer {
    /// Length of the body, in bytes.
    pub fn len(&self) -> usize {
        self.chunks.iter().map(|chunk| chunk.0.len()).sum()
    }

    /// True if the body is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// One part of a stored body; encoded as base64 in the row.
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
    /// The owner may be running the request.
    Running,
    /// The request ran; the answer is absent if it was too long.
    Finished { answer: Option<StoredAnswer> },
    /// The request may have run.
    Unknown,
    /// The request did not run, so the next one may claim the key. The row is
    /// not deleted: its version keeps rising, so no late write can match it.
    Released,
}

/// A row of `claim/`.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct ClaimRow {
    /// Incarnation of the agent that claimed the key.
    pub(super) owner: CompactString,
    /// Request and cascade step that the key was claimed for.
    pub(super) request: CompactString,
    /// Digest of the request, in hexadecimal.
    pub(super) fingerprint: CompactString,
    #[serde(flatten)]
    pub(super) state: ClaimState,
}

/// Key of a claim's row.
pub(super) fn row_key(call: &ClaimRequest) -> CompactString {
    let mut digest = Sha256::new();
    digest.update(call.service.as_bytes());
    digest.update([0]);
    digest.update(call.key.as_bytes());
    let digest = hex(&digest.finalize());
    CompactString::from(format!("claim/{}/{digest}", call.team))
}

/// Name of the request and cascade step in the row.
pub(super) fn request_name(call: &ClaimRequest) -> CompactString {
    CompactString::from(format!("{}~{}", call.request, call.step))
}

/// Digest of the request, in hexadecimal.
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
