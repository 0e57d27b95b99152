//! Ledger, queue and stream checks.
