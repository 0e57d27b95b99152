//! Explanations of routing: the decision for a request and its attempts.
//!
//! A gateway keeps the decisions of its last [`Decisions::CAPACITY`] requests.

use std::collections::VecDeque;
use std::sync::Mutex;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::peer::RequestId;

/// The routing decision for one request and its outcome.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Decision {
    /// Id of the request, as in `x-request-id`.
    pub request: CompactString,
    /// Time of arrival, RFC 3339.
    pub time: CompactString,
    /// Name of the team; empty where the key was unknown.
    pub team: CompactString,
    /// Name of the service.
    pub service: CompactString,
    /// Task, or method and path for plain services.
    pub task: CompactString,
    /// Generation of the configuration that the decision used.
    pub generation: u64,
    /// Explanation by the policy, one line per criterion.
    pub explanation: Vec<CompactString>,
    /// Attempts in the order in which they were sent.
    pub attempts: Vec<Attempt>,
    /// Stable code of the error; empty for an answered request.
    pub code: CompactString,
    /// Whether an upstream ran the request: `no`, `yes` or `unknown`.
    pub ran: CompactString,
    /// Version that answered; empty where none did.
    pub version: CompactString,
    /// Time from arrival to completion, in milliseconds.
    pub total_ms: u64,
    /// Billed cost, in millionths of the currency unit.
    pub cost_micros: u64,
}

/// One attempt: a send of the request to one upstream, with its outcome.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Attempt {
    /// Index of the cascade step, from zero.
    pub step: u32,
    /// Index of the attempt within the request, from zero.
    pub attempt: u32,
    /// Requested version; empty for plain services.
    pub version: CompactString,
    /// Upstream it was sent to.
    pub upstream: CompactString,
    /// Outcome: `answered`, `gated` or a stable error code.
    pub result: CompactString,
    /// Details of the outcome.
    pub message: CompactString,
    /// Time from arrival of the request to the start of the attempt, in
    /// milliseconds.
    pub start_ms: u64,
    /// Duration of the attempt, in milliseconds.
    pub took_ms: u64,
}

/// Ring buffer of the most recent decisions of one gateway.
#[derive(Debug, Default)]
pub struct Decisions {
    ring: Mutex<VecDeque<Decision>>,
}

impl Decisions {
    /// Maximum number of decisions kept.
    pub const CAPACITY: usize = 4096;

    /// Adds a decision; evicts the oldest one at capacity.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock of the ring.
    pub fn push(&self, decision: Decision) {
        let mut ring = self
            .ring
            .lock()
            .expect("no thread panics while it holds the lock");
        if ring.len() == Self::CAPACITY {
            ring.pop_front();
        }
        ring.push_back(decision);
    }

    /// Returns the decision for a request, if it is still kept.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock of the ring.
    pub fn find(&self, request: &RequestId) -> Option<Decision> {
        let wanted = request.to_string();
        let ring = self
            .ring
            .lock()
            .expect("no thread panics while it holds the lock");
        ring.iter()
            .rev()
            .find(|decision| decision.request == wanted)
            .cloned()
    }
}
