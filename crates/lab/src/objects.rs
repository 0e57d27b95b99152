//! Object store that keeps its objects in memory.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use actix_http::body::{BoxBody, MessageBody};
use actix_http::{Method, Request, Response, StatusCode};
use bpaf::Bpaf;
use bytes::Bytes;
use carawayrun::http::{read_body, text};

use crate::command::Failure;
use crate::faults::{FaultState, Faults};
use crate::serve::{answer_common_call, lost_answer, run as serve};

/// Maximum size of an object, in bytes.
const MAX_OBJECT_BYTES: usize = 64 << 20;

const OBJECTS_PATH: &str = "/v1/objects/";

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
}

pub(crate) fn run(options: &Options) -> Result<(), Failure> {
    let Options { listen, faults } = options.clone();
    serve(&listen, move || {
        let store = Rc::new(ObjectStore {
            faults: FaultState::new(&faults),
            ..ObjectStore::default()
        });
        move |request| Rc::clone(&store).handle(request)
    })
}

#[derive(Debug, Default)]
struct ObjectStore {
    objects: RefCell<HashMap<String, Bytes>>,
    faults: FaultState,
}

impl ObjectStore {
    async fn handle(self: Rc<Self>, mut request: Request) -> Response<BoxBody> {
        if let Some(answer) = answer_common_call(&mut request, &self.faults).await {
            return answer;
        }
        let Some(name) = request.path().strip_prefix(OBJECTS_PATH).map(str::to_owned) else {
            return text(StatusCode::NOT_FOUND, "no such call\n");
        };
        match *request.method() {
            Method::GET => self.get(&name),
            Method::PUT => self.put(name, &mut request).await,
            Method::DELETE => self.delete(&name),
            _ => text(
                StatusCode::METHOD_NOT_ALLOWED,
                "accepted are GET, PUT and DELETE\n",
            ),
        }
    }

    fn get(&self, name: &str) -> Response<BoxBody> {
        match self.objects.borrow().get(name) {
            Some(object) => Response::with_body(StatusCode::OK, object.clone().boxed()),
            None => text(StatusCode::NOT_FOUND, "no such object\n"),
        }
    }

    async fn put(&self, name: String, request: &mut Request) -> Response<BoxBody> {
        match read_body(request.take_payload(), MAX_OBJECT_BYTES).await {
            Ok(object) => {
                self.objects.borrow_mut().insert(name, object);
                self.answer_write()
            }
            Err(error) => text(StatusCode::BAD_REQUEST, format!("{error}\n")),
        }
    }

    fn delete(&self, name: &str) -> Response<BoxBody> {
        self.objects.borrow_mut().remove(name);
        self.answer_write()
    }

    // Answers a write that took effect, unless its answer is to be lost.
    fn answer_write(&self) -> Response<BoxBody> {
        if self.faults.take_lost_answer() {
            lost_answer()
        } else {
            text(StatusCode::OK, "")
        }
    }
}
