//! Events recorded by callers, upstreams and the soak itself. Times are milliseconds
//! since the Unix epoch, from the system clock that all processes share.

use std::collections::HashSet;

use serde::Deserialize;

use crate::support::platform::Arrival;

/// Number of events of a complete stream.
pub(crate) const EVENTS: u32 = 8;

/// Kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestKind {
    /// Idempotent request, which may run several times.
    Read,
    /// Request that must run at most once.
    Switch,
    /// Event stream that another upstream may resume.
    Stream,
    /// As `Read`, but it ends each upstream that runs it.
    DeadlyRead,
    /// As `Stream`, but it ends each upstream after an event.
    DeadlyStream,
}

impl RequestKind {
    pub(crate) fn path(self) -> &'static str {
        match self {
            Self::Read => "/read/a",
            Self::Switch => "/switch/scene",
            Self::Stream => "/stream/plan",
            Self::DeadlyRead => "/read/deadly",
            Self::DeadlyStream => "/stream/deadly",
        }
    }

    pub(crate) fn deadline_ms(self) -> u64 {
        match self {
            Self::Read | Self::Switch | Self::DeadlyRead => 4_000,
            Self::Stream | Self::DeadlyStream => 8_000,
        }
    }

    pub(crate) fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::DeadlyStream)
    }

    pub(crate) fn is_deadly(self) -> bool {
        matches!(self, Self::DeadlyRead | Self::DeadlyStream)
    }

    /// Returns the body of a request with this id. Deadly ones are copies of one request.
    pub(crate) fn body(self, id: &str) -> String {
        match self {
            Self::Read | Self::DeadlyRead => String::new(),
            Self::Switch | Self::Stream => format!("body of {id}"),
            Self::DeadlyStream => "deadly body".to_owned(),
        }
    }
}

/// One request of a caller and its outcome.
#[derive(Debug, Clone)]
pub(crate) struct Exchange {
    pub(crate) id: String,
    pub(crate) kind: RequestKind,
    pub(crate) key: String,
    /// Relay to which the request was sent; `incarnation` is that of its process.
    pub(crate) relay: usize,
    pub(crate) incarnation: u32,
    pub(crate) sent: u64,
    pub(crate) ended: u64,
    /// None if no answer head was received.
    pub(crate) status: Option<u16>,
    /// Whether the answer was received to its end.
    pub(crate) complete: bool,
    pub(crate) body: String,
    /// Request id in the headers of the answer.
    pub(crate) echoed_id: Option<String>,
}

/// One run of a request, as recorded by the upstream that ran it.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
pub(crate) struct Run {
    pub(crate) id: String,
    pub(crate) runner: String,
    pub(crate) at_ms: u64,
    pub(crate) tenant: String,
    pub(crate) path: String,
    pub(crate) body: String,
    pub(crate) forged: Vec<String>,
}

/// Process or link that a fault affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FaultTarget {
    Relay(usize),
    ClientLink(usize),
    StoreLink(usize),
    Store,
    Upstream(usize),
}

/// Time from the start to the end of a fault. That of a restarted process ends when
/// it answers again.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Disturbance {
    pub(crate) target: FaultTarget,
    pub(crate) from: u64,
    pub(crate) to: u64,
}

/// API key that a configuration added.
#[derive(Debug, Clone)]
pub(crate) struct Key {
    pub(crate) text: String,
    pub(crate) version: u64,
    pub(crate) accepted: u64,
    /// Times at which the revocation was sent and at which the store had accepted it.
    pub(crate) revoked: Option<(u64, u64)>,
}

/// Time in which an upstream named a limit in all answers.
#[derive(Debug, Clone)]
pub(crate) struct NamedLimit {
    pub(crate) upstream: usize,
    pub(crate) name: String,
    /// Requests per second from all relays together.
    pub(crate) limit: f64,
    pub(crate) from: u64,
    pub(crate) to: u64,
}

/// Stop of a relay by SIGTERM.
#[derive(Debug, Clone)]
pub(crate) struct Stop {
    pub(crate) relay: usize,
    pub(crate) incarnation: u32,
    pub(crate) requested: u64,
    pub(crate) ended: u64,
    /// None if the process did not exit in time and was killed.
    pub(crate) exit_code: Option<i32>,
    /// Whether answers took drawn times, so that some were too long for the stop.
    pub(crate) is_drawn: bool,
}

/// Everything that was recorded in a soak.
#[derive(Debug, Default)]
pub(crate) struct History {
    pub(crate) exchanges: Vec<Exchange>,
    pub(crate) runs: Vec<Run>,
    pub(crate) disturbances: Vec<Disturbance>,
    pub(crate) keys: Vec<Key>,
    /// Names of upstreams registered as draining, each with the time at which the
    /// store had accepted that.
    pub(crate) draining: Vec<(String, u64)>,
    pub(crate) stops: Vec<Stop>,
    pub(crate) limits: Vec<NamedLimit>,
    /// Requests that reached upstreams, run or not.
    pub(crate) arrivals: Vec<Arrival>,
    /// Refused requests whose refusal never reached the relay that had sent them, each with
    /// the upstream's name and the id.
    pub(crate) untold: HashSet<(String, String)>,
    /// Relays that exited unexpectedly or used too much memory, one line each.
    pub(crate) crashes: Vec<String>,
}

impl History {
    /// Whether a fault affected one of `targets` at any time from `from` to `to`.
    pub(crate) fn is_disturbed(&self, targets: &[FaultTarget], from: u64, to: u64) -> bool {
        let mut disturbances = self.disturbances.iter();
        disturbances
            .any(|other| targets.contains(&other.target) && other.from <= to && other.to >= from)
    }

    /// Whether the answer to a request can have reached the relay that had sent it.
    pub(crate) fn is_told(&self, arrival: &Arrival) -> bool {
        let request = (arrival.runner.clone(), arrival.id.clone());
        !self.untold.contains(&request)
    }

    pub(crate) fn runs_of<'a>(&'a self, id: &'a str) -> impl Iterator<Item = &'a Run> {
        self.runs.iter().filter(move |run| run.id == id)
    }
}
