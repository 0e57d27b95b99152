//! List of hosts that shows changes after a delay.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::header::{self, HeaderValue};
use actix_http::{HttpMessage, Method, Request, Response, StatusCode};
use bpaf::Bpaf;
use carawayrun::control::HostEntry;
use carawayrun::http::{json, text};
use tokio::time::Instant;

use crate::command::Failure;
use crate::faults::{FaultState, Faults};
use crate::serve::{answer_common_call, read_json, run as serve};

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
    /// Delay until a change of the list is visible, in milliseconds
    #[bpaf(argument("MS"), fallback(0))]
    lag_ms: u64,
}

pub(crate) fn run(options: &Options) -> Result<(), Failure> {
    let lag = Duration::from_millis(options.lag_ms);
    let faults = options.faults.clone();
    serve(&options.listen, move || {
        let list = Rc::new(HostList {
            lag,
            faults: FaultState::new(&faults),
            ..HostList::default()
        });
        move |request| Rc::clone(&list).handle(request)
    })
}

#[derive(Debug, Default)]
struct HostList {
    lag: Duration,
    visible: RefCell<Vec<HostEntry>>,
    version: Cell<u64>,
    pending: RefCell<VecDeque<PendingUpdate>>,
    faults: FaultState,
}

#[derive(Debug)]
struct PendingUpdate {
    visible_at: Instant,
    hosts: Vec<HostEntry>,
}

impl HostList {
    async fn handle(self: Rc<Self>, mut request: Request) -> Response<BoxBody> {
        if let Some(answer) = answer_common_call(&mut request, &self.faults).await {
            return answer;
        }
        match (request.method(), request.path()) {
            (&Method::GET, "/v1/hosts") => self.get(&request),
            (&Method::PUT, "/v1/hosts") => self.put(&mut request).await,
            _ => text(StatusCode::NOT_FOUND, "no such call\n"),
        }
    }

    fn get(&self, request: &Request) -> Response<BoxBody> {
        self.apply_due_updates();
        let etag = format!("\"{}\"", self.version.get());
        let cached = request.headers().get(header::IF_NONE_MATCH);
        let mut answer = if cached.is_some_and(|cached| cached.as_bytes() == etag.as_bytes()) {
            Response::with_body(StatusCode::NOT_MODIFIED, BoxBody::new(()))
        } else {
            json(StatusCode::OK, &*self.visible.borrow())
        };
        let etag = HeaderValue::try_from(etag).expect("a quoted number is a valid header value");
        answer.headers_mut().insert(header::ETAG, etag);
        answer
    }

    // Makes the pending lists visible whose delay is over.
    fn apply_due_updates(&self) {
        let now = Instant::now();
        let mut pending = self.pending.borrow_mut();
        while let Some(update) = pending.pop_front_if(|update| update.visible_at <= now) {
            *self.visible.borrow_mut() = update.hosts;
            self.version.set(self.version.get() + 1);
        }
    }

    async fn put(&self, request: &mut Request) -> Response<BoxBody> {
        match read_json(request).await {
            Ok(hosts) => {
                let visible_at = Instant::now() + self.lag;
                self.pending
                    .borrow_mut()
                    .push_back(PendingUpdate { visible_at, hosts });
                text(StatusCode::OK, "")
            }
            Err(answer) => answer,
        }
    }
}
