//! Faults that a stand-in can simulate.

use std::cell::RefCell;
use std::rc::Rc;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Simulated faults of one stand-in; all off by default.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields, default)]
pub(crate) struct Faults {
    /// Answers every call with 503 and has no other effect.
    pub(crate) down: bool,
    /// Delay before each call is handled, in milliseconds.
    pub(crate) slow_ms: u64,
    /// Mean of an exponential distribution, in milliseconds, from which the time that a
    /// runner works on each request is drawn; zero for equal times.
    pub(crate) drawn_work_ms: u64,
    /// Number of next calls that take effect but whose answers are lost: the
    /// connection is closed instead.
    pub(crate) lose_answers: u32,
    /// Number of next streams that are interrupted after some chunks.
    pub(crate) cut_streams: u32,
    /// Number of next streams that, after some chunks, go on with bytes that are no
    /// event.
    pub(crate) flood_streams: u32,
    /// The same, a byte at a time.
    pub(crate) trickle_streams: u32,
    /// Number of next answers that carry another request's id.
    pub(crate) cross_answers: u32,
    /// Requests per second that a runner names as its limit in all answers.
    pub(crate) server_limit: Option<f64>,
    /// Value of `Retry-After` with which a runner turns all requests away, if not empty.
    pub(crate) rest: String,
    /// Whether a runner says in all answers that it is leaving.
    pub(crate) server_leaving: bool,
    /// Id of a prompt part that ends the process of a runner which begins to answer a
    /// request with it, unless it is the prompt's last part.
    pub(crate) deadly_part: String,
    /// End of the path of requests that end the process of a runner which runs them.
    pub(crate) deadly_path: String,
    /// Number of events of a stream with that path that are sent before; the process
    /// ends before the head of the answer if it is absent.
    pub(crate) deadly_events: Option<u32>,
    /// Whether orders with an outdated fencing number are accepted.
    pub(crate) ignore_fencing: bool,
    /// Version whose requests fail or get answers of low quality.
    pub(crate) bad_version: String,
    /// Fraction of the bad version's requests that fail, in 0..=1; the others
    /// get answers of low quality.
    pub(crate) bad_failures: f64,
}

impl FromStr for Faults {
    type Err = serde_json::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        serde_json::from_str(text)
    }
}

/// Current faults of a running stand-in; `PUT /faults` replaces them.
#[derive(Debug, Clone, Default)]
pub(crate) struct FaultState {
    current: Rc<RefCell<Faults>>,
}

impl FaultState {
    /// Creates the state with `faults` as its initial faults.
    pub(crate) fn new(faults: &Faults) -> Self {
        let state = Self::default();
        state.set(faults.clone());
        state
    }

    pub(crate) fn set(&self, faults: Faults) {
        *self.current.borrow_mut() = faults;
    }

    pub(crate) fn get(&self) -> Faults {
        self.current.borrow().clone()
    }

    /// Waits for the delay of the fault `slowMs`.
    pub(crate) async fn apply_delay(&self) {
        let slow_ms = self.current.borrow().slow_ms;
        if slow_ms > 0 {
            actix_rt::time::sleep(Duration::from_millis(slow_ms)).await;
        }
    }

    /// Uses up one of `loseAnswers`; true if the current answer is to be lost.
    pub(crate) fn take_lost_answer(&self) -> bool {
        take_one(&mut self.current.borrow_mut().lose_answers)
    }

    /// Uses up one of `cutStreams`; true if the current stream is to be interrupted.
    pub(crate) fn take_interrupted_stream(&self) -> bool {
        take_one(&mut self.current.borrow_mut().cut_streams)
    }

    /// Uses up one of `floodStreams`; true if the current stream is to be flooded.
    pub(crate) fn take_flooded_stream(&self) -> bool {
        take_one(&mut self.current.borrow_mut().flood_streams)
    }

    /// Uses up one of `trickleStreams`; true if the current stream is to trickle.
    pub(crate) fn take_trickling_stream(&self) -> bool {
        take_one(&mut self.current.borrow_mut().trickle_streams)
    }

    /// Uses up one of `crossAnswers`; true if the current answer is to carry
    /// another request's id.
    pub(crate) fn take_wrong_request_answer(&self) -> bool {
        take_one(&mut self.current.borrow_mut().cross_answers)
    }
}

// Decrements the counter; false if it was zero.
fn take_one(remaining: &mut u32) -> bool {
    let is_taken = *remaining > 0;
    *remaining = remaining.saturating_sub(1);
    is_taken
}
