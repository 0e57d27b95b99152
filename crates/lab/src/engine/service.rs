//! Handlers of the HTTP calls to the engine.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{Method, Request, Response, StatusCode};
use actix_rt::time::sleep;
use carawayrun::http::{json, stream, text};
use serde::Deserialize;
use tokio::sync::watch;

use super::Options;
use super::cache::PrefixCache;
use super::generation::{Generation, ReaderFaults};
use super::load::{DelayedLoad, LoadBody};
use super::orders::{Action, Order, Orders};
use super::slots::Slots;
use super::text::{digest, tokens};
use crate::faults::FaultState;
use crate::serve::{answer_common_call, header_value, query_value, read_json};

/// Number of generated words if the request has no `max_tokens`; the tokens `v=` and
/// `id=` precede them.
const DEFAULT_WORDS: usize = 16;

/// Number of leading prompt words that form the prefix if there is no `x-prefix`; also
/// the maximum number of cached tokens reported.
const PREFIX_WORDS: usize = 16;

/// Time for which an ended generation is stored, so that its stream can be resumed.
const STREAM_RETENTION: Duration = Duration::from_secs(30);

const STREAMS_PATH: &str = "/v1/streams/";

/// State of the engine.
#[derive(Debug)]
pub(crate) struct Service {
    options: Options,
    faults: FaultState,
    slots: Rc<Slots>,
    running: Cell<usize>,
    generations: RefCell<BTreeMap<String, Rc<Generation>>>,
    runs: RefCell<BTreeMap<String, u32>>,
    cache: RefCell<PrefixCache>,
    orders: RefCell<Orders>,
    load: RefCell<DelayedLoad>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct ChatBody {
    model: String,
    messages: Vec<Message>,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<usize>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Message {
    content: Content,
}

/// Content of a message: a text, or parts; parts without text are ignored.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<ContentPart>),
}

#[derive(Debug)]
#[derive(Deserialize)]
struct ContentPart {
    #[serde(default)]
    text: String,
}

impl Content {
    fn words(&self) -> Vec<&str> {
        match self {
            Self::Text(text) => text.split_whitespace().collect(),
            Self::Parts(parts) => parts
                .iter()
                .flat_map(|part| part.text.split_whitespace())
                .collect(),
        }
    }
}

impl Service {
    pub(crate) fn new(options: &Options) -> Rc<Self> {
        let faults = FaultState::new(&options.faults);
        let first = LoadBody {
            slots: options.slots,
            versions: options.warm.clone(),
            ..LoadBody::default()
        };
        let cache_lag = Duration::from_millis(options.cache_lag_ms);
        let load_lag = Duration::from_millis(options.load_lag_ms);
        Rc::new(Self {
            options: options.clone(),
            faults,
            slots: Slots::new(options.slots),
            running: Cell::new(0),
            generations: RefCell::default(),
            runs: RefCell::default(),
            cache: RefCell::new(PrefixCache::new(options.cache_size, cache_lag)),
            orders: RefCell::new(Orders::new(options.warm.clone())),
            load: RefCell::new(DelayedLoad::new(load_lag, first)),
        })
    }

    pub(crate) async fn handle(self: Rc<Self>, mut request: Request) -> Response<BoxBody> {
        if let Some(answer) = answer_common_call(&mut request, &self.faults).await {
            return answer;
        }
        let path = request.path().to_owned();
        if let Some(id) = path.strip_prefix(STREAMS_PATH) {
            return self.handle_stream_call(&request, id);
        }
        match (request.method(), path.as_str()) {
            (&Method::POST, "/v1/chat/completions") => self.complete_chat(&mut request).await,
            (&Method::GET, "/v1/load") => json(StatusCode::OK, &self.load.borrow_mut().report()),
            (&Method::POST, "/v1/orders") => self.apply_order(&mut request).await,
            (&Method::GET, "/v1/orders") => json(StatusCode::OK, &self.orders.borrow().accepted),
            (&Method::GET, "/v1/cache/events") => self.cache_events(&request),
            (&Method::GET, "/runs") => json(StatusCode::OK, &*self.runs.borrow()),
            _ => text(StatusCode::NOT_FOUND, "no such call\n"),
        }
    }

    async fn complete_chat(self: Rc<Self>, request: &mut Request) -> Response<BoxBody> {
        let chat: ChatBody = match read_json(request).await {
            Ok(chat) => chat,
            Err(answer) => return answer,
        };
        if !self.orders.borrow().is_loaded(&chat.model) {
            return text(StatusCode::NOT_FOUND, "the version is not loaded\n");
        }
        let id = header_value(request, "x-request-id").unwrap_or_else(|| "none".to_owned());
        *self.runs.borrow_mut().entry(id.clone()).or_default() += 1;
        let is_bad = self.faults.get().bad_version == chat.model;
        if is_bad && self.is_failing(&id) {
            return text(StatusCode::INTERNAL_SERVER_ERROR, "bad version\n");
        }
        let priority = header_value(request, "x-priority")
            .and_then(|text| text.parse().ok())
            .unwrap_or_default();
        let prefix = header_value(request, "x-prefix").and_then(|text| text.parse().ok());
        let generation = Rc::new(new_generation(id, &chat, is_bad));
        self.start_generation(
            &generation,
            priority,
            prefix.unwrap_or_else(|| prompt_prefix(&chat)),
        );
        self.send_completion(generation, chat.stream).await
    }

    async fn send_completion(
        &self,
        generation: Rc<Generation>,
        streamed: bool,
    ) -> Response<BoxBody> {
        let wrong_request = self.faults.take_wrong_request_answer();
        if streamed {
            let interrupted = self.faults.take_interrupted_stream();
            let events = generation.events(
                0,
                ReaderFaults {
                    interrupted,
                    wrong_request,
                },
            );
            return stream(StatusCode::OK, "text/event-stream", events);
        }
        if !generation.wait_until_finished().await {
            return text(StatusCode::GONE, "cancelled\n");
        }
        if self.faults.take_lost_answer() {
            return crate::serve::lost_answer();
        }
        json(StatusCode::OK, &generation.to_completion(wrong_request))
    }

    // Generates in the background, so that an interrupted stream can be resumed.
    fn start_generation(self: &Rc<Self>, generation: &Rc<Generation>, priority: u8, prefix: u64) {
        let service = Rc::clone(self);
        let generation = Rc::clone(generation);
        self.generations
            .borrow_mut()
            .insert(generation.id.clone(), Rc::clone(&generation));
        actix_rt::spawn(async move {
            let mut cancelled = generation.cancelled.subscribe();
            tokio::select! {
                () = service.generate(&generation, priority, prefix) => {}
                _ = cancelled.wait_for(|&cancelled| cancelled) => {}
            }
            service.record_load();
            sleep(STREAM_RETENTION).await;
            service.remove_generation(&generation);
        });
    }

    async fn generate(&self, generation: &Generation, priority: u8, prefix: u64) {
        let slot = self.slots.take(priority).await;
        self.running.set(self.running.get() + 1);
        let _guard = RunningGuard(&self.running);
        self.record_load();
        let cached = self.cache.borrow_mut().touch(prefix);
        if cached {
            let tokens = generation.prompt_tokens.min(PREFIX_WORDS as u64);
            generation.cached_tokens.set(tokens);
        } else {
            sleep(Duration::from_millis(self.options.first_ms)).await;
        }
        for count in 1..=generation.tokens.len() {
            sleep(Duration::from_millis(self.options.token_ms)).await;
            generation.produced.send_replace(count);
        }
        drop(slot);
    }

    fn remove_generation(&self, generation: &Rc<Generation>) {
        let mut generations = self.generations.borrow_mut();
        if generations
            .get(&generation.id)
            .is_some_and(|stored| Rc::ptr_eq(stored, generation))
        {
            generations.remove(&generation.id);
        }
    }

    fn handle_stream_call(&self, request: &Request, id: &str) -> Response<BoxBody> {
        let Some(generation) = self.generations.borrow().get(id).cloned() else {
            return text(StatusCode::NOT_FOUND, "no such stream\n");
        };
        match *request.method() {
            Method::GET => {
                let after = query_value(request, "after").and_then(|text| text.parse().ok());
                let first = after.map_or(0, |after: usize| after + 1);
                let interrupted = self.faults.take_interrupted_stream();
                let events = generation.events(
                    first,
                    ReaderFaults {
                        interrupted,
                        wrong_request: false,
                    },
                );
                stream(StatusCode::OK, "text/event-stream", events)
            }
            Method::DELETE => {
                generation.cancelled.send_replace(true);
                text(StatusCode::OK, "")
            }
            _ => text(
                StatusCode::METHOD_NOT_ALLOWED,
                "accepted are GET and DELETE\n",
            ),
        }
    }

    async fn apply_order(self: Rc<Self>, request: &mut Request) -> Response<BoxBody> {
        let order: Order = match read_json(request).await {
            Ok(order) => order,
            Err(answer) => return answer,
        };
        let ignore = self.faults.get().ignore_fencing;
        if let Err(fence) = self.orders.borrow_mut().accept(&order, ignore) {
            return json(StatusCode::CONFLICT, &serde_json::json!({ "fence": fence }));
        }
        if order.action == Action::Unload {
            self.orders.borrow_mut().unload(&order.version);
            self.record_load();
        } else {
            let service = Rc::clone(&self);
            actix_rt::spawn(async move {
                sleep(Duration::from_millis(service.options.load_ms)).await;
                service.orders.borrow_mut().load(&order.version);
                service.record_load();
            });
        }
        text(StatusCode::ACCEPTED, "")
    }

    fn cache_events(&self, request: &Request) -> Response<BoxBody> {
        let after = query_value(request, "after").and_then(|text| text.parse().ok());
        let events = self.cache.borrow().events(after.unwrap_or_default());
        json(StatusCode::OK, &serde_json::json!({ "events": events }))
    }

    fn record_load(&self) {
        self.load.borrow_mut().record(LoadBody {
            running: self.running.get(),
            queued: self.slots.queued(),
            slots: self.options.slots,
            versions: self.orders.borrow().loaded.clone(),
        });
    }

    // Decides by a hash of the request id, so that a retry has the same result.
    fn is_failing(&self, id: &str) -> bool {
        let draw = digest(&id) % 1000;
        (draw as f64) < self.faults.get().bad_failures * 1000.0
    }
}

fn new_generation(id: String, chat: &ChatBody, is_bad: bool) -> Generation {
    let word_count = chat.max_tokens.unwrap_or(DEFAULT_WORDS);
    let prompt = prompt_words(chat);
    Generation {
        tokens: tokens(&chat.model, &id, word_count, is_bad),
        id,
        version: chat.model.clone(),
        prompt_tokens: prompt.count() as u64,
        cached_tokens: Cell::new(0),
        produced: watch::Sender::new(0),
        cancelled: watch::Sender::new(false),
    }
}

/// Decrements the number of running requests when dropped.
struct RunningGuard<'a>(&'a Cell<usize>);

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

fn prompt_words(chat: &ChatBody) -> impl Iterator<Item = &str> {
    chat.messages
        .iter()
        .flat_map(|message| message.content.words())
}

fn prompt_prefix(chat: &ChatBody) -> u64 {
    let words: Vec<&str> = prompt_words(chat).take(PREFIX_WORDS).collect();
    digest(&words)
}
