//! Model engine: chat completions, resumable streams, cancellation, orders, load
//! and cache events.
//!
//! An answer's text depends only on the request id, the version, whether that is
//! bad, and the number of tokens, so that a client can check that an answer is
//! complete and its own: see [`text`].

mod cache;
mod generation;
mod load;
mod orders;
mod service;
mod slots;
pub(crate) mod text;

use bpaf::Bpaf;

use self::service::Service;
use crate::command::Failure;
use crate::faults::Faults;
use crate::serve::run as serve;

/// Command-line options.
#[derive(Debug, Clone)]
#[derive(Bpaf)]
#[bpaf(generate(options))]
pub(crate) struct Options {
    /// Address to listen on
    #[bpaf(argument("ADDR"), fallback(String::from("127.0.0.1:0")))]
    listen: String,
    /// Initial faults, as the JSON body of `PUT /faults`
    #[bpaf(argument("JSON"), fallback(Faults::default()))]
    faults: Faults,
    /// Maximum number of concurrent requests
    #[bpaf(argument("N"), fallback(4))]
    slots: usize,
    /// Time per generated token, in milliseconds
    #[bpaf(argument("MS"), fallback(2))]
    token_ms: u64,
    /// Delay before the first token if the prefix is not cached, in milliseconds
    #[bpaf(argument("MS"), fallback(10))]
    first_ms: u64,
    /// Capacity of the cache, in prompt prefixes
    #[bpaf(argument("N"), fallback(64))]
    cache_size: usize,
    /// Delay of cache events, in milliseconds
    #[bpaf(argument("MS"), fallback(500))]
    cache_lag_ms: u64,
    /// Delay of the reported load, in milliseconds
    #[bpaf(argument("MS"), fallback(500))]
    load_lag_ms: u64,
    /// Time to load a version, in milliseconds
    #[bpaf(argument("MS"), fallback(100))]
    load_ms: u64,
    /// Version that is loaded at the start; may be repeated
    #[bpaf(argument("NAME"))]
    warm: Vec<String>,
}

pub(crate) fn run(options: &Options) -> Result<(), Failure> {
    let options = options.clone();
    let listen = options.listen.clone();
    serve(&listen, move || {
        let service = Service::new(&options);
        move |request| std::rc::Rc::clone(&service).handle(request)
    })
}
