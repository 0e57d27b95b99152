//! The reducer, driven event by event.

mod burn;
mod follow;
mod member;
mod work;
mod world;
