//! Settles runs whose answer did not reach the gateway.

use super::ledger::RunKey;
use super::worker::Worker;
use crate::peer::RequestId;
use crate::peer::message::{Ran, Settle, Settled};

/// Returns whether a run was executed; a run that has not been dispatched never
/// will be.
///
/// The answer is unknown for a run that was sent to an earlier incarnation of
/// this agent, since it may have run there.
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
