//! Faults that a stand-in can be told to show.

use std::cell::RefCell;
use std::rc::Rc;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Faults of one stand-in; all off by default.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields, default)]
pub(crate) struct Faults {
    /// Answers every call with 503 and does nothing.
    pub(crate) down: bool,
    /// Time added before each call is handled, in milliseconds.
    pub(crate) slow_ms: u64,
    /// Number of coming writes that take effect and whose answers are lost:
    /// the connection is closed instead.
    pub(crate) lose_answers: u32,
    /// Number of coming streams that are cut after some chunks.
    pub(crate) cut_streams: u32,
    /// Number of coming answers that carry another request's id.
    pub(crate) cross_answers: u32,
    /// True where an order with an old fencing number is obeyed.
    pub(crate) ignore_fencing: bool,
    /// Name of a version that answers badly or fails.
    pub(crate) bad_version: String,
    /// Share of the bad version's answers that fail, in 0..=1; the others are
    /// of low quality.
    pub(crate) bad_failures: f64,
}

impl FromStr for Faults {
    type Err = serde_json::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        serde_json::from_str(text)
    }
}

/// The faults of a running stand-in, changed by `PUT /faults`.
#[derive(Debug, Clone, Default)]
pub(crate) struct FaultState {
    current: Rc<RefCell<Faults>>,
}

impl FaultState {
    /// A switch that shows `faults` from the start.
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

    /// Waits as long as the stand-in is told to be slow.
    pub(crate) async fn apply_delay(&self) {
        let slow_ms = self.current.borrow().slow_ms;
        if slow_ms > 0 {
            actix_rt::time::sleep(Duration::from_millis(slow_ms)).await;
        }
    }

    /// Takes one lost answer, if any is left.
    pub(crate) fn take_lost_answer(&self) -> bool {
        take_one(&mut self.current.borrow_mut().lose_answers)
    }

    /// Takes one cut stream, if any is left.
    pub(crate) fn take_interrupted_stream(&self) -> bool {
        take_one(&mut self.current.borrow_mut().cut_streams)
    }

    /// Takes one crossed answer, if any is left.
    pub(crate) fn take_wrong_request_answer(&self) -> bool {
        take_one(&mut self.current.borrow_mut().cross_answers)
    }
}

fn take_one(remaining: &mut u32) -> bool {
    let is_taken = *remaining > 0;
    *remaining = remaining.saturating_sub(1);
    is_taken
}
