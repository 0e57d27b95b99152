//! What requests that crash upstreams have in common.

use std::fmt;
use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::relay::fingerprint::Fingerprint;

/// Longest id of a prompt part that is tracked, in bytes, to leave room for the rest of
/// a datagram.
const MAX_PART_ID_BYTES: usize = 32;

/// What may be the cause of a crash.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Subject {
    /// Part of a prompt, by its id.
    Part(CompactString),
    /// A request, however often it is sent.
    Request(Fingerprint),
}

impl Subject {
    /// Part of a prompt; `None` if its id is too long to be tracked.
    pub fn part(id: &str) -> Option<Self> {
        (id.len() <= MAX_PART_ID_BYTES).then(|| Self::Part(id.into()))
    }

    /// Returns what it takes to blame this subject.
    pub(super) fn criteria(&self) -> &'static Criteria {
        match self {
            Self::Part(_) => &PART_CRITERIA,
            Self::Request(_) => &REQUEST_CRITERIA,
        }
    }

    /// Kind of the subject, for operators.
    pub fn kind(&self) -> SubjectKind {
        match self {
            Self::Part(_) => SubjectKind::Part,
            Self::Request(_) => SubjectKind::Request,
        }
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(id) => f.write_str(id),
            Self::Request(fingerprint) => fingerprint.fmt(f),
        }
    }
}

/// Kind of a [`Subject`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum SubjectKind {
    /// Part of a prompt.
    Part,
    /// A request.
    Request,
}

/// Crashes, and separate moments at which they must have come.
#[derive(Debug, Clone, Copy)]
pub(super) struct Threshold {
    pub(super) crashes: usize,
    pub(super) moments: usize,
}

/// When a crash counts as another moment than the one before.
#[derive(Debug, Clone, Copy)]
pub(super) enum Grouping {
    /// Some time later.
    ByGap,
    /// Its request was sent after the other one. Copies of a request that were under way
    /// at the same time are lost in one wave of crashes.
    BySend,
}

/// What it takes to blame a subject, and how a blamed one is tried.
#[derive(Debug)]
pub(super) struct Criteria {
    /// Crashes without an answer after which a subject is put into quarantine.
    pub(super) quarantine: Threshold,
    /// Quick crashes that are enough as well.
    pub(super) quick_quarantine: Option<Threshold>,
    /// Crashes after which lost requests are not repeated.
    pub(super) suspicion: Threshold,
    /// How crashes that came together are told from those that came one after the other.
    pub(super) grouping: Grouping,
    /// Age from which a crash counts: by then this gateway has read all connections that
    /// it ended, and most others have told what they lost in it.
    pub(super) settling_time: Duration,
    /// Age at which a crash no longer counts.
    pub(super) crash_ttl: Duration,
    /// Time without news after which a subject is forgotten.
    pub(super) forget_after: Duration,
    /// Least share of all crashes in which the subject must have been there.
    pub(super) crash_share: f64,
    /// Most trials in one quarantine.
    pub(super) max_trials: u32,
}

/// Many requests share a part, and those beside the guilty one are lost with it. A
/// single moment is no evidence, since a lost rack takes many upstreams down whatever
/// they were asked.
const PART_CRITERIA: Criteria = Criteria {
    quarantine: Threshold {
        crashes: 5,
        moments: 4,
    },
    quick_quarantine: None,
    suspicion: Threshold {
        crashes: 2,
        moments: 2,
    },
    grouping: Grouping::ByGap,
    settling_time: Duration::from_millis(600),
    crash_ttl: Duration::from_secs(20),
    forget_after: Duration::from_secs(30),
    crash_share: 0.75,
    max_trials: u32::MAX,
};

/// A request is lost in crash after crash only if it causes them: one that is sound is
/// answered in between. It may come rarely, so crashes count for long. Two upstreams that
/// crash right after they got it are hardly a coincidence.
const REQUEST_CRITERIA: Criteria = Criteria {
    quarantine: Threshold {
        crashes: 3,
        moments: 3,
    },
    quick_quarantine: Some(Threshold {
        crashes: 2,
        moments: 2,
    }),
    suspicion: Threshold {
        crashes: 2,
        moments: 2,
    },
    grouping: Grouping::BySend,
    settling_time: Duration::ZERO,
    crash_ttl: Duration::from_mins(10),
    forget_after: Duration::from_mins(10),
    crash_share: 0.0,
    max_trials: 2,
};
