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

/// What crashes must show before a subject is blamed for them.
#[derive(Debug, Clone, Copy)]
pub(super) enum Test {
    /// So many crashes, at so many separate moments, which are at least this share of all
    /// crashes since the first.
    Share {
        crashes: usize,
        moments: usize,
        share: f64,
    },
    /// Two crashes or more, each under a send that was made after the one before. Sound
    /// requests are lost in such crashes with at most this chance.
    Chance(f64),
}

/// What it takes to blame a subject, and how a blamed one is tried.
#[derive(Debug)]
pub(super) struct Criteria {
    /// Test for a quarantine.
    pub(super) quarantine: Test,
    /// Test for a suspect, of which lost requests are not repeated.
    pub(super) suspicion: Test,
    /// Age from which a crash counts: by then this gateway has read all connections that
    /// it ended, and most others have told what they lost in it.
    pub(super) settling_time: Duration,
    /// Age at which a crash no longer counts.
    pub(super) crash_ttl: Duration,
    /// Time without news after which a subject is forgotten.
    pub(super) forget_after: Duration,
    /// Most trials in one quarantine.
    pub(super) max_trials: u32,
}

/// Many requests share a part, and those beside the guilty one are lost with it. A
/// single moment is no evidence, since a lost rack takes many upstreams down whatever
/// they were asked.
const PART_CRITERIA: Criteria = Criteria {
    quarantine: Test::Share {
        crashes: 5,
        moments: 4,
        share: 0.75,
    },
    suspicion: Test::Share {
        crashes: 2,
        moments: 2,
        share: 0.75,
    },
    settling_time: Duration::from_millis(600),
    crash_ttl: Duration::from_secs(20),
    forget_after: Duration::from_secs(30),
    max_trials: u32::MAX,
};

/// A request is lost in crash after crash only if it causes them, unless upstreams crash
/// all the time for another reason: then it takes more crashes, or quicker ones. It may
/// come rarely, so crashes count for long.
const REQUEST_CRITERIA: Criteria = Criteria {
    quarantine: Test::Chance(0.002),
    suspicion: Test::Chance(0.01),
    settling_time: Duration::ZERO,
    crash_ttl: Duration::from_mins(10),
    forget_after: Duration::from_mins(10),
    max_trials: 2,
};
