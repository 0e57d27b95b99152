//! The reducer, driven event by event.

mod burn;
mod cancel;
mod follow;
mod held;
mod ledger;
mod member;
mod orders;
mod rollout;
mod share;
mod work;
mod world;
