//! Why a request went where it went: the decision and its attempts.
//!
//! A gateway keeps the last [`Decisions::CAPACITY`] requests of its own.

use std::collections::VecDeque;
use std::sync::Mutex;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::peer::RequestId;

/// How one request was decided and what became of it.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Decision {
    /// The request, as in `x-request-id`.
    pub request: CompactString,
    /// When it arrived, RFC 3339.
    pub time: CompactString,
    /// Name of the team; empty where the key was unknown.
    pub team: CompactString,
    /// Name of the service.
    pub service: CompactString,
    /// Task, or method and path of a plain call.
    pub task: CompactString,
    /// Configuration generation it was decided on.
    pub generation: u64,
    /// The policy's explanation, a line for each thing weighed.
    pub explanation: Vec<CompactString>,
    /// Attempts in the order in which they were made.
    pub attempts: Vec<Attempt>,
    /// Stable code of the error; empty where it was answered.
    pub code: CompactString,
    /// Whether it ran: `no`, `yes` or `unknown`.
    pub ran: CompactString,
    /// Version that answered; empty where none did.
    pub version: CompactString,
    /// Time from arrival to the end, in milliseconds.
    pub total_ms: u64,
    /// Its bill, in millionths of the currency unit.
    pub cost_micros: u64,
}

/// One attempt at an upstream.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Attempt {
    /// Number of the cascade step, from zero.
    pub step: u32,
    /// Number of the attempt within the request, from zero.
    pub attempt: u32,
    /// Version asked for; empty for plain services.
    pub version: CompactString,
    /// Upstream it was sent to.
    pub upstream: CompactString,
    /// How it ended: `answered`, `gated` or a stable code.
    pub result: CompactString,
    /// What was said about it.
    pub message: CompactString,
    /// Time from arrival of the request to the start, in milliseconds.
    pub start_ms: u64,
    /// How long it took, in milliseconds.
    pub took_ms: u64,
}

/// The last decisions of one gateway; the oldest is forgotten first.
#[derive(Debug, Default)]
pub struct Decisions {
    ring: Mutex<VecDeque<Decision>>,
}

impl Decisions {
    /// Most decisions that are kept.
    pub const CAPACITY: usize = 4096;

    /// Keeps one decision.
    ///
    /// # Panics
    ///
    /// Where a thread panicked while it held the ring.
    pub fn push(&self, decision: Decision) {
        let mut ring = self
            .ring
            .lock()
            .expect("no thread panics while it holds the ring");
        if ring.len() == Self::CAPACITY {
            ring.pop_front();
        }
        ring.push_back(decision);
    }

    /// The decision of a request, where it is still known.
    ///
    /// # Panics
    ///
    /// Where a thread panicked while it held the ring.
    pub fn find(&self, request: &RequestId) -> Option<Decision> {
        let wanted = request.to_string();
        let ring = self
            .ring
            .lock()
            .expect("no thread panics while it holds the ring");
        ring.iter()
            .rev()
            .find(|decision| decision.request == wanted)
            .cloned()
    }
}
