//! Plain reverse proxy: forwards the method, URI, body and `x-request-id` of a call,
//! and returns only the status and body of the answer.
//!
//! Two of them in a row, built on the same libraries as gateway and agent, are
//! the baseline for the overhead of gateway and agent.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::{BodyStream, BoxBody, MessageBody};
use actix_http::{HttpMessage, Request, Response, StatusCode};
use bpaf::Bpaf;
use carawayrun::http::{ServerOptions, bind, read_body, text};
use tokio::signal::unix::{SignalKind, signal};

use crate::command::Failure;

/// Maximum size of a forwarded body, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Maximum wait for requests in flight after SIGTERM.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Command-line options.
#[derive(Debug, Clone)]
#[derive(Bpaf)]
#[bpaf(generate(options))]
pub(crate) struct Options {
    /// Address to listen on
    #[bpaf(argument("ADDR"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
    listen: SocketAddr,
    /// Server to forward calls to, as `http://IP:PORT`
    #[bpaf(argument("URL"))]
    to: String,
    /// Worker threads
    #[bpaf(argument("N"), fallback(2))]
    workers: usize,
}

pub(crate) fn run(options: &Options) -> Result<(), Failure> {
    let server = ServerOptions {
        name: "pass",
        addr: options.listen,
        workers: options.workers,
        drain: DRAIN_TIMEOUT,
    };
    let to = options.to.clone();
    actix_rt::System::new().block_on(async move {
        let listener = bind(&server, move || {
            let proxy = Rc::new(Proxy {
                client: awc::Client::builder().disable_timeout().finish(),
                to: to.clone(),
            });
            move |request| Rc::clone(&proxy).handle(request)
        })?;
        println!("listening on {}", listener.addr());
        signal(SignalKind::terminate())?.recv().await;
        listener.stop(false).await;
        Ok(())
    })
}

struct Proxy {
    client: awc::Client,
    to: String,
}

impl Proxy {
    async fn handle(self: Rc<Self>, mut request: Request) -> Response<BoxBody> {
        let url = format!("{}{}", self.to, request.uri());
        let mut call = self.client.request(request.method().clone(), url);
        if let Some(id) = request.headers().get("x-request-id") {
            call = call.insert_header(("x-request-id", id.clone()));
        }
        let Ok(body) = read_body(request.take_payload(), MAX_BODY_BYTES).await else {
            return text(StatusCode::BAD_REQUEST, "the body can't be read\n");
        };
        match call.send_body(body).await {
            Ok(answer) => Response::with_body(answer.status(), BodyStream::new(answer).boxed()),
            Err(error) => text(StatusCode::BAD_GATEWAY, format!("{error}\n")),
        }
    }
}
