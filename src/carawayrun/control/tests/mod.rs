//! Tests that drive the reducer event by event.

mod burn;
mod cancel;
mod follow;
mod ledger;
mod member;
mod orders;
mod rollout;
mod share;
mod unbilled;
mod work;
mod world;
