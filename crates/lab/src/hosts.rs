//! Lagging list of hosts.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{Method, Request, Response, StatusCode};
use bpaf::Bpaf;
use carawayrun::control::HostEntry;
use carawayrun::http::{json, text};
use tokio::time::Instant;

use crate::command::Failure;
use crate::faults::FaultSwitch;
use crate::serve::{common, read_json, run as serve};

/// Flags.
#[derive(Debug, Clone)]
#[derive(Bpaf)]
#[bpaf(generate(options))]
pub(crate) struct Options {
    /// Address to listen on
    #[bpaf(argument("ADDR"), fallback(String::from("127.0.0.1:0")))]
    listen: String,
    /// Time until a change of the list shows, in milliseconds
    #[bpaf(argument("MS"), fallback(0))]
    lag_ms: u64,
}

pub(crate) fn run(options: &Options) -> Result<(), Failure> {
    let lag = Duration::from_millis(options.lag_ms);
    serve(&options.listen, move || {
        let list = Rc::new(HostList {
            lag,
            ..HostList::default()
        });
        move |request| Rc::clone(&list).handle(request)
    })
}

#[derive(Debug, Default)]
struct HostList {
    lag: Duration,
    shown: RefCell<Vec<HostEntry>>,
    coming: RefCell<VecDeque<LaterList>>,
    faults: FaultSwitch,
}

#[derive(Debug)]
struct LaterList {
    from: Instant,
    hosts: Vec<HostEntry>,
}

impl HostList {
    async fn handle(self: Rc<Self>, mut request: Request) -> Response<BoxBody> {
        if let Some(answer) = common(&mut request, &self.faults).await {
            return answer;
        }
        match (request.method(), request.path()) {
            (&Method::GET, "/v1/hosts") => self.get(),
            (&Method::PUT, "/v1/hosts") => self.put(&mut request).await,
            _ => text(StatusCode::NOT_FOUND, "no such call\n"),
        }
    }

    fn get(&self) -> Response<BoxBody> {
        let now = Instant::now();
        let mut coming = self.coming.borrow_mut();
        while let Some(list) = coming.pop_front_if(|list| list.from <= now) {
            *self.shown.borrow_mut() = list.hosts;
        }
        json(StatusCode::OK, &*self.shown.borrow())
    }

    async fn put(&self, request: &mut Request) -> Response<BoxBody> {
        match read_json(request).await {
            Ok(hosts) => {
                let from = Instant::now() + self.lag;
                self.coming
                    .borrow_mut()
                    .push_back(LaterList { from, hosts });
                text(StatusCode::OK, "")
            }
            Err(answer) => answer,
        }
    }
}
