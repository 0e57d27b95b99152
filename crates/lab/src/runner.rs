//! Runner of the users' platform: plain calls and event streams.
//!
//! A path that contains `stream` is answered with an event stream. Tests read
//! the runs from `GET /effects`, or from the file of `--record`, which also holds
//! the runs of a process that was killed.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fs::File;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use actix_http::body::BoxBody;
use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Method, Request, Response, StatusCode};
use bpaf::Bpaf;
use bytes::Bytes;
use carawayrun::http::{json, read_body, stream, text};
use futures_util::StreamExt;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

use crate::command::Failure;
use crate::faults::{FaultState, Faults};
use crate::serve::{answer_common_call, header_value, lost_answer, run as serve};

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Number of events in a complete stream.
const EVENTS_PER_STREAM: u32 = 8;

/// Size of the chunks of a flooded stream.
const FLOOD_CHUNK_BYTES: usize = 64 * 1024;

/// Pause between the bytes of a trickling stream.
const TRICKLE_PAUSE: Duration = Duration::from_millis(500);

/// Most chunks that are no event in one stream, so that it ends by itself.
const MAX_JUNK_CHUNKS: usize = 4_096;

/// Number of complete events before a stream is interrupted.
const EVENTS_BEFORE_INTERRUPTION: u32 = 3;

/// Time for which events are written before a request ends the process.
const FLUSH_TIME: Duration = Duration::from_millis(20);

/// Exit code of a process that a request ended.
const EXIT_CRASHED: i32 = 3;

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
    /// Identity of this runner in its registration
    #[bpaf(argument("ID"))]
    id: String,
    /// Confidence reported for answers of the model `small`, in 0..=100
    #[bpaf(argument("N"), fallback(90.0))]
    confidence: f64,
    /// Maximum number of concurrent requests; others are refused without being run
    #[bpaf(argument("N"), fallback(1000))]
    slots: usize,
    /// Duration of a plain call, and delay before each event, in milliseconds
    #[bpaf(argument("MS"), fallback(0))]
    work_ms: u64,
    /// File to append a line of JSON to at the start of each run
    #[bpaf(argument("FILE"), optional)]
    record: Option<PathBuf>,
    /// File to append a line of JSON to for each request that arrives, run or not
    #[bpaf(argument("FILE"), optional)]
    arrivals: Option<PathBuf>,
}

pub(crate) fn run(options: &Options) -> Result<(), Failure> {
    let options = options.clone();
    let record = open_journal("--record", options.record.as_deref())?;
    let arrivals = open_journal("--arrivals", options.arrivals.as_deref())?;
    serve(&options.listen.clone(), move || {
        let service = Rc::new(Service {
            id: options.id.clone(),
            confidence: options.confidence,
            slots: options.slots,
            work_time: Duration::from_millis(options.work_ms),
            faults: FaultState::new(&options.faults),
            runs: RefCell::default(),
            running: Rc::default(),
            record: Arc::clone(&record),
            arrivals: Arc::clone(&arrivals),
        });
        move |request| Rc::clone(&service).handle(request)
    })
}

// Opens the file of an option, which all runners of a test append to.
fn open_journal(option: &str, path: Option<&Path>) -> Result<Arc<Option<File>>, Failure> {
    let file = path.map(|path| {
        let file = File::options().create(true).append(true).open(path);
        file.map_err(|error| format!("{option}: {}: {error}", path.display()))
    });
    Ok(Arc::new(file.transpose()?))
}

struct Service {
    id: String,
    confidence: f64,
    slots: usize,
    work_time: Duration,
    faults: FaultState,
    runs: RefCell<BTreeMap<String, Vec<Run>>>,
    running: Rc<RefCell<Vec<String>>>,
    record: Arc<Option<File>>,
    arrivals: Arc<Option<File>>,
}

/// Slot of a running request; released when dropped.
struct Slot {
    id: String,
    running: Rc<RefCell<Vec<String>>>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut running = self.running.borrow_mut();
        if let Some(index) = running.iter().position(|id| *id == self.id) {
            running.swap_remove(index);
        }
    }
}

/// When a request ends the process that runs it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProcessEnd {
    Never,
    BeforeAnswer,
    AfterEvents(u32),
}

/// Load report, the answer of `GET /v1/report`.
#[derive(Debug)]
#[derive(Serialize)]
struct Report {
    queued: u32,
    running: usize,
    /// Request id, tokens in memory, events produced and urgency of each run.
    runs: Vec<(String, u32, u32, u8)>,
}

/// Line of the file of `--arrivals`.
#[derive(Debug)]
#[derive(Serialize)]
struct Arrival<'a> {
    id: &'a str,
    runner: &'a str,
    at_ms: u64,
    /// Time for which the runner asks to be left alone; zero if it does not.
    rest_ms: u64,
    is_leaving: bool,
}

/// Line of the file of `--record`.
#[derive(Debug)]
#[derive(Serialize)]
struct Record<'a> {
    id: &'a str,
    runner: &'a str,
    at_ms: u64,
    #[serde(flatten)]
    run: &'a Run,
}

/// Request of a run, as received.
#[derive(Debug, Clone)]
#[derive(Serialize)]
struct Run {
    tenant: String,
    model: String,
    resumed_after: String,
    path: String,
    body: String,
    /// Received headers that only the system may set; tests check that a client's
    /// are not forwarded.
    forged: Vec<String>,
}

impl Service {
    async fn handle(self: Rc<Self>, request: Request) -> Response<BoxBody> {
        let mut answer = Rc::clone(&self).answer(request).await;
        if self.faults.get().server_leaving {
            set_header(&mut answer, "server-leaving", "1");
        }
        if let Some(limit) = self.faults.get().server_limit {
            set_header(&mut answer, "server-limit", &limit.to_string());
        }
        answer
    }

    async fn answer(self: Rc<Self>, mut request: Request) -> Response<BoxBody> {
        if let Some(answer) = answer_common_call(&mut request, &self.faults).await {
            return answer;
        }
        match (request.method(), request.path()) {
            (&Method::GET, "/effects") => json(StatusCode::OK, &*self.runs.borrow()),
            (&Method::GET, "/v1/report") => json(StatusCode::OK, &self.report()),
            _ => self.run_call(&mut request).await,
        }
    }

    fn report(&self) -> Report {
        let running = self.running.borrow();
        Report {
            queued: 0,
            running: running.len(),
            runs: running.iter().map(|id| (id.clone(), 0, 0, 0)).collect(),
        }
    }

    async fn run_call(&self, request: &mut Request) -> Response<BoxBody> {
        let id = header_value(request, "x-carawayrun-request-id").unwrap_or_default();
        let expected = header_value(request, "x-carawayrun-expect-instance");
        let is_misdirected = expected.is_some_and(|expected| expected != self.id);
        self.record_arrival(&id, is_misdirected);
        if is_misdirected {
            let mut answer = text(StatusCode::MISDIRECTED_REQUEST, "another instance\n");
            set_header(&mut answer, "x-carawayrun-instance-id", &self.id);
            set_header(&mut answer, "x-carawayrun-request-id", &id);
            return answer;
        }
        let body = match read_body(request.take_payload(), MAX_BODY_BYTES).await {
            Ok(body) => body,
            Err(error) => return text(StatusCode::BAD_REQUEST, format!("{error}\n")),
        };
        let rest = self.faults.get().rest;
        if !rest.is_empty() {
            let mut answer = text(StatusCode::SERVICE_UNAVAILABLE, "resting\n");
            set_header(&mut answer, "x-carawayrun-not-executed", "resting");
            set_header(&mut answer, "x-carawayrun-request-id", &id);
            set_header(&mut answer, "retry-after", &rest);
            return answer;
        }
        let Some(slot) = self.take_slot(&id) else {
            let mut answer = text(StatusCode::SERVICE_UNAVAILABLE, "no slot is free\n");
            set_header(&mut answer, "x-carawayrun-not-executed", "full");
            set_header(&mut answer, "x-carawayrun-request-id", &id);
            return answer;
        };
        let run = new_run(request, &body);
        let model = run.model.clone();
        let after: u32 = run.resumed_after.parse().unwrap_or(0);
        self.record_run(&id, run);
        let is_stream = request.path().contains("stream");
        if !is_stream {
            actix_rt::time::sleep(self.work_time(&id, 1)).await;
        }
        if self.faults.take_lost_answer() {
            return lost_answer();
        }
        let end = self.process_end(request);
        if end == ProcessEnd::BeforeAnswer {
            std::process::exit(EXIT_CRASHED);
        }
        let is_bad = !model.is_empty() && self.faults.get().bad_version == model;
        let mut answer = if is_bad {
            text(
                StatusCode::INTERNAL_SERVER_ERROR,
                "told to fail this model\n",
            )
        } else if is_stream {
            self.stream_events(after, end, slot)
        } else {
            text(StatusCode::OK, format!("{} ran {id}\n", self.id))
        };
        let wrong_request = self.faults.take_wrong_request_answer();
        let id = if wrong_request {
            "another-request"
        } else {
            &id
        };
        let confidence = if model == "small" {
            self.confidence
        } else {
            95.0
        };
        set_header(&mut answer, "x-carawayrun-request-id", id);
        set_header(&mut answer, "x-carawayrun-response-seal", "seal");
        set_header(
            &mut answer,
            "x-carawayrun-confidence",
            &confidence.to_string(),
        );
        answer
    }

    // Time of work before each of so many parts of an answer.
    fn work_time(&self, id: &str, parts: u32) -> Duration {
        match self.faults.get().drawn_work_ms {
            0 => self.work_time,
            mean => {
                let mut hasher = DefaultHasher::new();
                id.hash(&mut hasher);
                let share: f64 = StdRng::seed_from_u64(hasher.finish()).random();
                Duration::from_millis(mean).mul_f64(-(1.0 - share).ln()) / parts
            }
        }
    }

    fn process_end(&self, request: &Request) -> ProcessEnd {
        let faults = self.faults.get();
        let path = request.path();
        let has_deadly_path = !faults.deadly_path.is_empty() && path.ends_with(&faults.deadly_path);
        let is_stream = path.contains("stream");
        match faults
            .deadly_events
            .filter(|_| has_deadly_path && is_stream)
        {
            Some(events) => ProcessEnd::AfterEvents(events),
            None if has_deadly_path || self.has_deadly_part(request) => ProcessEnd::BeforeAnswer,
            None => ProcessEnd::Never,
        }
    }

    fn has_deadly_part(&self, request: &Request) -> bool {
        let deadly = self.faults.get().deadly_part;
        let prefix = header_value(request, "x-carawayrun-prompt-prefix").unwrap_or_default();
        let parts: Vec<&str> = prefix.split(',').collect();
        let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
        let mut ids = shared.iter().filter_map(|part| part.split(':').next());
        !deadly.is_empty() && ids.any(|id| id == deadly)
    }

    fn take_slot(&self, id: &str) -> Option<Slot> {
        let running = Rc::clone(&self.running);
        if running.borrow().len() >= self.slots {
            return None;
        }
        running.borrow_mut().push(id.to_owned());
        let id = id.to_owned();
        Some(Slot { id, running })
    }

    fn record_arrival(&self, id: &str, is_misdirected: bool) {
        let faults = self.faults.get();
        let rest: f64 = faults.rest.parse().unwrap_or(0.0);
        let arrival = Arrival {
            id,
            runner: &self.id,
            at_ms: now_ms(),
            rest_ms: if is_misdirected {
                0
            } else {
                (rest * 1_000.0) as u64
            },
            is_leaving: faults.server_leaving && !is_misdirected,
        };
        append(self.arrivals.as_ref().as_ref(), &arrival);
    }

    fn record_run(&self, id: &str, run: Run) {
        let record = Record {
            id,
            runner: &self.id,
            at_ms: now_ms(),
            run: &run,
        };
        append(self.record.as_ref().as_ref(), &record);
        let mut runs = self.runs.borrow_mut();
        runs.entry(id.to_owned()).or_default().push(run);
    }

    // Answers with the events after `after`. Consumes a fault of streams if one is
    // left, and holds the slot until the stream is dropped.
    fn stream_events(&self, after: u32, end: ProcessEnd, slot: Slot) -> Response<BoxBody> {
        let deadly_events = match end {
            ProcessEnd::AfterEvents(events) => Some(events),
            ProcessEnd::Never | ProcessEnd::BeforeAnswer => None,
        };
        let interrupted = self.faults.take_interrupted_stream();
        let junk = if self.faults.take_flooded_stream() {
            Some((Bytes::from(vec![b'x'; FLOOD_CHUNK_BYTES]), Duration::ZERO))
        } else if self.faults.take_trickling_stream() {
            Some((Bytes::from_static(b"x"), TRICKLE_PAUSE))
        } else {
            None
        };
        // A part, which ends before the last event also where the stream is resumed.
        let part = |events: u32| (after + events).min(EVENTS_PER_STREAM - 1);
        let last = if let Some(events) = deadly_events {
            part(events)
        } else if interrupted || junk.is_some() {
            part(EVENTS_BEFORE_INTERRUPTION)
        } else {
            EVENTS_PER_STREAM
        };
        let mut parts: Vec<Result<Bytes, std::io::Error>> = (after + 1..=last)
            .map(|number| {
                Ok(Bytes::from(format!(
                    "id: {number}\ndata: word {number}\n\n"
                )))
            })
            .collect();
        if interrupted {
            parts.push(Ok(Bytes::from(format!("id: {}\ndata: wo", last + 1))));
            parts.push(Err(std::io::Error::other(
                "stream interrupted by the fault cutStreams",
            )));
        }
        let work_time = self.work_time(&slot.id, EVENTS_PER_STREAM);
        let junk = junk.map(|(bytes, pause)| {
            let junk = futures_util::stream::iter(std::iter::repeat_n(bytes, MAX_JUNK_CHUNKS));
            junk.then(move |bytes| async move {
                actix_rt::time::sleep(pause).await;
                Ok(bytes)
            })
        });
        let junk = futures_util::stream::iter(junk).flatten();
        let crash = futures_util::stream::iter(deadly_events).then(|_| async {
            actix_rt::time::sleep(FLUSH_TIME).await;
            std::process::exit(EXIT_CRASHED)
        });
        let parts = futures_util::stream::iter(parts)
            .chain(junk)
            .chain(crash)
            .then(move |part| {
                // Moves the slot into the stream, so that dropping the stream releases it.
                let _slot = &slot;
                async move {
                    if !work_time.is_zero() {
                        actix_rt::time::sleep(work_time).await;
                    }
                    part
                }
            });
        stream(StatusCode::OK, "text/event-stream", parts.boxed_local())
    }
}

// Appends a line to a journal, if there is one.
fn append(journal: Option<&File>, line: &impl Serialize) {
    if let Some(mut file) = journal {
        let mut line = serde_json::to_vec(line).expect("a line serializes to JSON");
        line.push(b'\n');
        file.write_all(&line).expect("the journal is writable");
    }
}

fn now_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
}

fn new_run(request: &Request, body: &[u8]) -> Run {
    let text = |name| header_value(request, name).unwrap_or_default();
    let forged = ["authorization", "x-carawayrun-hold", "kv-from"];
    let forged = forged
        .iter()
        .filter(|name| header_value(request, name).is_some());
    Run {
        tenant: text("x-carawayrun-tenant"),
        model: text("x-carawayrun-model"),
        resumed_after: text("last-event-id"),
        path: request.path().to_owned(),
        body: String::from_utf8_lossy(body).into_owned(),
        forged: forged.map(|name| (*name).to_owned()).collect(),
    }
}

fn set_header(answer: &mut Response<BoxBody>, name: &'static str, value: &str) {
    let value = HeaderValue::from_str(value).expect("the stand-in sets only valid header values");
    let name = HeaderName::from_static(name);
    answer.headers_mut().insert(name, value);
}
