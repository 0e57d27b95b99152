//! What became of a run whose answer was lost.

use super::ledger::RunKey;
use super::worker::Worker;
use crate::peer::RequestId;
use crate::peer::message::{Ran, Settle, Settled};

/// Answers a gateway; a run that has not begun never will.
///
/// A run that was meant for an earlier life of this agent may have run there.
pub(crate) fn settle(worker: &Worker, settle: &Settle) -> Settled {
    let request = settle.request.as_ref().map(RequestId::try_from);
    let ran = match request {
        Some(Ok(request)) if worker.is_target(settle.target.as_ref()) => {
            let step = settle.step;
            worker.settle(RunKey { request, step })
        }
        _ => Ran::Unknown,
    };
    Settled { ran: ran.into() }
}
