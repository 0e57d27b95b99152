//! Billing.

/// Most requests in flight at one gateway; room for the bills of so many is
/// kept when admission closes.
pub const MAX_IN_FLIGHT: usize = 8_192;
