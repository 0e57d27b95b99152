//! What callers, runners and the soak itself saw, with times in milliseconds of
//! the machine's clock, which all processes share.

use serde::Deserialize;

/// Events of a whole stream.
pub(crate) const EVENTS: u32 = 8;

/// What a caller asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestKind {
    /// Idempotent.
    Read,
    /// Runs at most once.
    Switch,
    /// A stream that may go on elsewhere.
    Stream,
}

impl RequestKind {
    pub(crate) fn path(self) -> &'static str {
        match self {
            Self::Read => "/read/a",
            Self::Switch => "/switch/scene",
            Self::Stream => "/stream/plan",
        }
    }

    pub(crate) fn deadline_ms(self) -> u64 {
        match self {
            Self::Read | Self::Switch => 4_000,
            Self::Stream => 8_000,
        }
    }
}

/// One request of a caller.
#[derive(Debug, Clone)]
pub(crate) struct Exchange {
    pub(crate) id: String,
    pub(crate) kind: RequestKind,
    pub(crate) key: String,
    /// The relay that it was sent to, and which of its processes.
    pub(crate) relay: usize,
    pub(crate) incarnation: u32,
    pub(crate) sent: u64,
    pub(crate) ended: u64,
    /// None where no head of an answer came.
    pub(crate) status: Option<u16>,
    /// True where the answer came to its end.
    pub(crate) complete: bool,
    pub(crate) body: String,
    /// The id that the answer bore.
    pub(crate) echoed_id: Option<String>,
}

/// One run at a runner, as the runner recorded it.
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

/// Where a fault strikes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FaultTarget {
    Relay(usize),
    ClientLink(usize),
    StoreLink(usize),
    Store,
    Upstream(usize),
}

/// A fault, from its beginning to its end.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Disturbance {
    pub(crate) target: FaultTarget,
    pub(crate) from: u64,
    pub(crate) to: u64,
}

/// A key that came into force with a configuration.
#[derive(Debug, Clone)]
pub(crate) struct Key {
    pub(crate) text: String,
    pub(crate) version: u64,
    pub(crate) accepted: u64,
    /// When its withdrawal was sent, and when the store had taken it.
    pub(crate) revoked: Option<(u64, u64)>,
}

/// A stop by SIGTERM.
#[derive(Debug, Clone)]
pub(crate) struct Stop {
    pub(crate) relay: usize,
    pub(crate) incarnation: u32,
    pub(crate) requested: u64,
    pub(crate) ended: u64,
    /// None where it had to be killed.
    pub(crate) exit_code: Option<i32>,
}

/// All of a soak.
#[derive(Debug, Default)]
pub(crate) struct History {
    pub(crate) exchanges: Vec<Exchange>,
    pub(crate) runs: Vec<Run>,
    pub(crate) disturbances: Vec<Disturbance>,
    pub(crate) keys: Vec<Key>,
    /// Runners that were registered as leaving, and when the store had taken it.
    pub(crate) draining: Vec<(String, u64)>,
    pub(crate) stops: Vec<Stop>,
    /// Processes that ended without being told to.
    pub(crate) crashes: Vec<String>,
}

impl History {
    /// True where a fault struck one of `places` at some moment of the span.
    pub(crate) fn is_disturbed(&self, targets: &[FaultTarget], from: u64, to: u64) -> bool {
        let mut disturbances = self.disturbances.iter();
        disturbances
            .any(|other| targets.contains(&other.target) && other.from <= to && other.to >= from)
    }

    pub(crate) fn runs_of<'a>(&'a self, id: &'a str) -> impl Iterator<Item = &'a Run> {
        self.runs.iter().filter(move |run| run.id == id)
    }
}

/// Milliseconds since the Unix epoch.
pub(crate) fn now_ms() -> u64 {
    let now = std::time::SystemTime::now();
    let since = now.duration_since(std::time::UNIX_EPOCH);
    since.expect("the clock is after 1970").as_millis() as u64
}
