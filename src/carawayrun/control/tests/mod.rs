//! The reducer, driven event by event.

mod burn;
mod follow;
mod held;
mod ledger;
mod member;
mod orders;
mod work;
mod world;
