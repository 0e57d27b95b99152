//! Tests of billing.
