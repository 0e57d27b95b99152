//! Burn of service-level objectives.
