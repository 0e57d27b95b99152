//! Model engine: chat completions, resume, cancel, orders, load, cache events.
//!
//! An answer's text depends only on the request id, the version and the number
//! of tokens, so a caller can tell whether it has the whole of its own answer:
//! see [`text`].

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

/// Flags.
#[derive(Debug, Clone)]
#[derive(Bpaf)]
#[bpaf(generate(options))]
pub(crate) struct Options {
    /// Address to listen on
    #[bpaf(argument("ADDR"), fallback(String::from("127.0.0.1:0")))]
    listen: String,
    /// Faults from the start, as the JSON of `PUT /faults`
    #[bpaf(argument("JSON"), fallback(Faults::default()))]
    faults: Faults,
    /// Requests that run at once
    #[bpaf(argument("N"), fallback(4))]
    slots: usize,
    /// Time per generated token, in milliseconds
    #[bpaf(argument("MS"), fallback(2))]
    token_ms: u64,
    /// Time before the first token where the prefix is not in the cache, in
    /// milliseconds
    #[bpaf(argument("MS"), fallback(10))]
    first_ms: u64,
    /// Prompt prefixes that fit in the cache
    #[bpaf(argument("N"), fallback(64))]
    cache_size: usize,
    /// Delay of cache events, in milliseconds
    #[bpaf(argument("MS"), fallback(500))]
    cache_lag_ms: u64,
    /// Age of the reported load, in milliseconds
    #[bpaf(argument("MS"), fallback(500))]
    load_lag_ms: u64,
    /// Time to load a version, in milliseconds
    #[bpaf(argument("MS"), fallback(100))]
    load_ms: u64,
    /// Version that is loaded from the start
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
