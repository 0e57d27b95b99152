//! The reducer, driven event by event.

mod burn;
mod follow;
mod ledger;
mod held;
mod member;
mod orders;
mod work;
mod world;
