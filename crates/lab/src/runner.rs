//! A runner of the users' platform: plain calls and streams of events.
//!
//! A path that contains `stream` is answered with events. `GET /effects` shows
//! what it ran, for tests.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Method, Request, Response, StatusCode};
use bpaf::Bpaf;
use bytes::Bytes;
use carawayrun::http::{json, read_body, stream, text};
use serde::Serialize;

use crate::command::Failure;
use crate::faults::{FaultSwitch, Faults};
use crate::serve::{common, header_value, lost, run as serve};

/// Longest body that is read, in bytes.
const MAX_BODY: usize = 4 << 20;

/// Events of each stream.
const EVENTS: u32 = 8;

/// Events after which a stream is cut that is to be cut.
const CUT_AFTER: u32 = 3;

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
    /// Name of its registration
    #[bpaf(argument("ID"))]
    id: String,
    /// Confidence in answers of the model `small`, of 100
    #[bpaf(argument("N"), fallback(90.0))]
    confidence: f64,
}

pub(crate) fn run(options: &Options) -> Result<(), Failure> {
    let options = options.clone();
    serve(&options.listen.clone(), move || {
        let service = Rc::new(Service {
            id: options.id.clone(),
            confidence: options.confidence,
            faults: FaultSwitch::new(&options.faults),
            runs: RefCell::default(),
        });
        move |request| Rc::clone(&service).handle(request)
    })
}

struct Service {
    id: String,
    confidence: f64,
    faults: FaultSwitch,
    runs: RefCell<BTreeMap<String, Vec<Run>>>,
}

/// What a run was asked for.
#[derive(Debug, Clone)]
#[derive(Serialize)]
struct Run {
    tenant: String,
    model: String,
    resumed_after: String,
    body: String,
    /// Headers that only the system may set, as the client may have sent them.
    forged: Vec<String>,
}

impl Service {
    async fn handle(self: Rc<Self>, mut request: Request) -> Response<BoxBody> {
        if let Some(answer) = common(&mut request, &self.faults).await {
            return answer;
        }
        match (request.method(), request.path()) {
            (&Method::GET, "/effects") => json(StatusCode::OK, &*self.runs.borrow()),
            _ => self.call(&mut request).await,
        }
    }

    async fn call(&self, request: &mut Request) -> Response<BoxBody> {
        let expected = header_value(request, "x-carawayrun-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return text(StatusCode::MISDIRECTED_REQUEST, "another instance\n");
        }
        let body = match read_body(request.take_payload(), MAX_BODY).await {
            Ok(body) => body,
            Err(error) => return text(StatusCode::BAD_REQUEST, format!("{error}\n")),
        };
        let id = header_value(request, "x-carawayrun-request-id").unwrap_or_default();
        let run = run_of(request, &body);
        let model = run.model.clone();
        let after: u32 = run.resumed_after.parse().unwrap_or(0);
        self.runs
            .borrow_mut()
            .entry(id.clone())
            .or_default()
            .push(run);
        if self.faults.take_lost_answer() {
            return lost();
        }
        let mut answer = if request.path().contains("stream") {
            self.events(after)
        } else {
            text(StatusCode::OK, format!("{} ran {id}\n", self.id))
        };
        let crossed = self.faults.take_crossed_answer();
        let id = if crossed { "another-request" } else { &id };
        let confidence = if model == "small" {
            self.confidence
        } else {
            95.0
        };
        set(&mut answer, "x-carawayrun-request-id", id);
        set(&mut answer, "x-carawayrun-response-seal", "seal");
        set(
            &mut answer,
            "x-carawayrun-confidence",
            &confidence.to_string(),
        );
        answer
    }

    fn events(&self, after: u32) -> Response<BoxBody> {
        let cut = self.faults.take_cut_stream();
        let last = if cut { after + CUT_AFTER } else { EVENTS };
        let mut pieces: Vec<Result<Bytes, std::io::Error>> = (after + 1..=last)
            .map(|number| {
                Ok(Bytes::from(format!(
                    "id: {number}\ndata: word {number}\n\n"
                )))
            })
            .collect();
        if cut {
            pieces.push(Ok(Bytes::from(format!("id: {}\ndata: wo", last + 1))));
            pieces.push(Err(std::io::Error::other("told to cut the stream")));
        }
        let pieces = futures_util::stream::iter(pieces);
        stream(StatusCode::OK, "text/event-stream", pieces)
    }
}

fn run_of(request: &Request, body: &[u8]) -> Run {
    let text = |name| header_value(request, name).unwrap_or_default();
    let forged = ["authorization", "x-carawayrun-hold", "kv-from"];
    let forged = forged
        .iter()
        .filter(|name| header_value(request, name).is_some());
    Run {
        tenant: text("x-carawayrun-tenant"),
        model: text("x-carawayrun-model"),
        resumed_after: text("last-event-id"),
        body: String::from_utf8_lossy(body).into_owned(),
        forged: forged.map(|name| (*name).to_owned()).collect(),
    }
}

fn set(answer: &mut Response<BoxBody>, name: &'static str, value: &str) {
    let value = HeaderValue::from_str(value).expect("values of the lab are text");
    let name = HeaderName::from_static(name);
    answer.headers_mut().insert(name, value);
}
