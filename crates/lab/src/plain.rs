//! Plain service whose calls are not all idempotent; counts the runs of each.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{Method, Request, Response, StatusCode};
use actix_rt::time::sleep;
use bpaf::Bpaf;
use carawayrun::http::{json, read_body, text};
use serde::Serialize;

use crate::command::Failure;
use crate::faults::{FaultState, Faults};
use crate::serve::{answer_common_call, header_value, lost_answer, query_value, run as serve};

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

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
    /// Duration of a call, in milliseconds
    #[bpaf(argument("MS"), fallback(1))]
    call_ms: u64,
}

pub(crate) fn run(options: &Options) -> Result<(), Failure> {
    let call_time = Duration::from_millis(options.call_ms);
    let faults = options.faults.clone();
    serve(&options.listen, move || {
        let service = Rc::new(Service {
            call_time,
            faults: FaultState::new(&faults),
            effects: RefCell::default(),
        });
        move |request| Rc::clone(&service).handle(request)
    })
}

#[derive(Debug)]
struct Service {
    call_time: Duration,
    faults: FaultState,
    effects: RefCell<Effects>,
}

/// Number of runs by request id, and by `x-effect` header or `effect` query value.
#[derive(Debug, Default)]
#[derive(Serialize)]
struct Effects {
    requests: BTreeMap<String, u32>,
    effects: BTreeMap<String, u32>,
}

/// Answer of a call: echoes the request and numbers its runs.
#[derive(Debug)]
#[derive(Serialize)]
struct EchoBody<'a> {
    id: &'a str,
    method: &'a str,
    path: &'a str,
    run: u32,
    body: String,
}

impl Service {
    async fn handle(self: Rc<Self>, mut request: Request) -> Response<BoxBody> {
        if let Some(answer) = answer_common_call(&mut request, &self.faults).await {
            return answer;
        }
        match (request.method(), request.path()) {
            (&Method::GET, "/effects") => json(StatusCode::OK, &*self.effects.borrow()),
            _ => self.run_call(&mut request).await,
        }
    }

    async fn run_call(&self, request: &mut Request) -> Response<BoxBody> {
        let body = match read_body(request.take_payload(), MAX_BODY_BYTES).await {
            Ok(body) => body,
            Err(error) => return text(StatusCode::BAD_REQUEST, format!("{error}\n")),
        };
        let id = header_value(request, "x-request-id").unwrap_or_default();
        let effect = header_value(request, "x-effect").or_else(|| query_value(request, "effect"));
        let run = self.record_run(&id, effect);
        sleep(self.call_time).await;
        if self.faults.take_lost_answer() {
            return lost_answer();
        }
        let wrong_request = self.faults.take_wrong_request_answer();
        let echo = EchoBody {
            id: if wrong_request {
                "another-request"
            } else {
                &id
            },
            method: request.method().as_str(),
            path: request.path(),
            run,
            body: String::from_utf8_lossy(&body).into_owned(),
        };
        json(StatusCode::OK, &echo)
    }

    // Counts the run before the call is answered, so that the effect of a call
    // whose answer is lost is counted too.
    fn record_run(&self, id: &str, effect: Option<String>) -> u32 {
        let mut effects = self.effects.borrow_mut();
        if let Some(effect) = effect {
            *effects.effects.entry(effect).or_default() += 1;
        }
        let runs = effects.requests.entry(id.to_owned()).or_default();
        *runs += 1;
        *runs
    }
}
