//! The reducer, driven event by event.

mod follow;
mod member;
mod work;
mod world;
