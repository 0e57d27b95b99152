//! Admission of new requests by the state of the gateway.

use super::refusal::Refusal;
use super::shared::Shared;
use crate::control::Admission;
use crate::traffic::Code;

/// Maximum requests in flight at one gateway. The ledger closes admission while
/// it still has room for the bills of this many requests.
pub(super) const MAX_IN_FLIGHT: u64 = crate::control::MAX_IN_FLIGHT as u64;

/// Retry delay suggested to callers if the gateway has [`MAX_IN_FLIGHT`]
/// requests, in milliseconds.
const OVERLOAD_RETRY_MS: u64 = 1_000;

/// Refusal of a request that has not run because the gateway stops.
pub(super) fn draining() -> Refusal {
    let refusal = Refusal::new(Code::Draining, "this gateway is stopping; use another");
    refusal.retry_after(0)
}

/// Refuses a request if the gateway is draining, closed or full.
pub(super) fn check(shared: &Shared) -> Result<(), Refusal> {
    if shared.is_draining() {
        return Err(draining());
    }
    if let Admission::Closed {
        code,
        retry_after_ms,
    } = shared.handle.admission()
    {
        let code = code.parse().unwrap_or(Code::Overloaded);
        let refusal = Refusal::new(code, "this gateway takes no requests at the moment");
        return Err(refusal.retry_after(retry_after_ms));
    }
    if shared.in_flight() >= MAX_IN_FLIGHT {
        let refusal = Refusal::new(Code::Overloaded, "this gateway is full");
        return Err(refusal.retry_after(OVERLOAD_RETRY_MS));
    }
    Ok(())
}
