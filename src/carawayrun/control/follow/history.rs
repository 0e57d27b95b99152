//! History of the latest changes for peers that are behind, and snapshots.

use std::collections::VecDeque;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

use crate::peer::message;
use crate::resource::{Change, Config, Resource};

/// Maximum number of changes in the history.
const MAX_CHANGES: usize = 256;

/// Maximum size of the changes in the history, in bytes.
const MAX_CHANGE_BYTES: usize = 1024 * 1024;

/// Maximum total size of the changes in one message to a peer, in bytes.
const MAX_MESSAGE_CHANGE_BYTES: usize = 128 * 1024;

/// Length of a SHA-256 digest, in bytes.
const DIGEST_BYTES: usize = 32;

/// The complete configuration at one generation.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(in crate::control) struct Snapshot {
    pub(in crate::control) generation: u64,
    pub(in crate::control) resources: Vec<Resource>,
}

/// Error of reading a snapshot.
#[derive(Debug)]
#[derive(Snafu)]
pub(in crate::control) enum SnapshotError {
    /// The bytes are too short to contain a checksum.
    #[snafu(display("the snapshot has no checksum"))]
    MissingChecksum,
    /// The content does not match the checksum.
    #[snafu(display("the checksum of the snapshot does not match its content"))]
    ChecksumMismatch,
    /// The checksum matches, but this release can't parse the content.
    #[snafu(display("the content of the snapshot can't be parsed: {source}"))]
    Malformed { source: serde_json::Error },
}

/// The latest consecutive changes, up to the generation in force.
#[derive(Debug, Default)]
pub(super) struct History {
    changes: VecDeque<message::Change>,
    bytes: usize,
    snapshot: Option<(u64, Bytes)>,
}

impl History {
    pub(super) fn push(&mut self, change: &Change) {
        let record = serde_json::to_vec(change).expect("a change serializes to JSON");
        self.bytes += record.len();
        self.changes.push_back(message::Change {
            generation: change.generation,
            record: Bytes::from(record),
        });
        while self.changes.len() > MAX_CHANGES || self.bytes > MAX_CHANGE_BYTES {
            let oldest = self.changes.pop_front();
            self.bytes -= oldest.map_or(0, |change| change.record.len());
        }
    }

    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns the changes after `generation`, as many as fit in one message;
    /// none if there are none or the history no longer contains the first one.
    pub(super) fn after(&self, generation: u64) -> Option<message::ConfigChanges> {
        let first = self.changes.front()?.generation;
        if first > generation + 1 {
            return None;
        }
        let mut remaining = MAX_MESSAGE_CHANGE_BYTES;
        let newer = self
            .changes
            .iter()
            .filter(|change| change.generation > generation);
        let fitting = newer.take_while(|change| {
            let fits = change.record.len() <= remaining;
            remaining = remaining.saturating_sub(change.record.len());
            fits
        });
        let changes: Vec<_> = fitting.cloned().collect();
        (!changes.is_empty()).then(|| message::ConfigChanges {
            changes,
            snapshot: Bytes::new(),
        })
    }

    /// Returns the snapshot of `config`, with its checksum; cached for its
    /// generation.
    pub(super) fn snapshot(&mut self, config: &Config) -> Bytes {
        if let Some((generation, bytes)) = &self.snapshot
            && *generation == config.generation
        {
            return bytes.clone();
        }
        let bytes = write_snapshot(&Snapshot {
            generation: config.generation,
            resources: config.resources().cloned().collect(),
        });
        self.snapshot = Some((config.generation, bytes.clone()));
        bytes
    }
}

/// Encodes a snapshot: its checksum, then its JSON text.
pub(in crate::control) fn write_snapshot(snapshot: &Snapshot) -> Bytes {
    let text = serde_json::to_vec(snapshot).expect("a snapshot serializes to JSON");
    let mut bytes = Sha256::digest(&text).to_vec();
    bytes.extend_from_slice(&text);
    Bytes::from(bytes)
}

/// Decodes the snapshot in `bytes`.
///
/// # Errors
///
/// [`SnapshotError`] if the bytes are damaged or not a snapshot.
pub(in crate::control) fn read_snapshot(bytes: &[u8]) -> Result<Snapshot, SnapshotError> {
    let (digest, text) = bytes
        .split_at_checked(DIGEST_BYTES)
        .context(MissingChecksumSnafu)?;
    ensure!(
        Sha256::digest(text).as_slice() == digest,
        ChecksumMismatchSnafu
    );
    serde_json::from_slice(text).context(MalformedSnafu)
}

/// Parses a change in a peer's message.
pub(super) fn read_change(change: &message::Change) -> Result<Change, serde_json::Error> {
    serde_json::from_slice(&change.record)
}
