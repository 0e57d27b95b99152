//! Upstreams that a test itself plays, whose answers take as long as their path says,
//! and clients that draw these lengths.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::net::{TcpListener, TcpStream};
use rand::Rng;
use rand::rngs::StdRng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::platform::PlatformWorld;
use super::raw::{Head, RawAnswer, events, read_framed, read_head, request_head};

/// Mean time between the events of a stream.
const EVENT_MS: u64 = 100;

/// Number of runs of each request, over all upstreams that share it.
pub(crate) type Runs = Rc<RefCell<BTreeMap<String, u32>>>;

/// Registers an upstream that answers a path `/ROUTE/MS` after so many milliseconds; a
/// stream's last event comes then.
pub(crate) async fn start_upstream(world: &PlatformWorld, service: &str, host: usize, runs: &Runs) {
    let addr = world.address(host);
    let listener = TcpListener::bind(&addr).await.expect("the upstream binds");
    let runs = Rc::clone(runs);
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            actix_rt::spawn(serve(stream, Rc::clone(&runs)));
        }
    });
    let id = format!("{service}-{host}");
    world.register(&id, service, host).await;
}

async fn serve(mut stream: TcpStream, runs: Runs) -> Option<()> {
    loop {
        let head = read_head(&mut stream).await?;
        let length = head.field("content-length");
        let length = length.and_then(|length| length.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        stream.read_exact(&mut body).await.ok()?;
        let Some(id) = head.field("x-carawayrun-request-id") else {
            let none = b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n";
            stream.write_all(none).await.ok()?;
            continue;
        };
        *runs.borrow_mut().entry(id.into()).or_default() += 1;
        answer(&mut stream, &head, id).await?;
    }
}

async fn answer(stream: &mut TcpStream, head: &Head, id: &str) -> Option<()> {
    let path = head.path();
    let length: u64 = path.rsplit('/').next()?.parse().ok()?;
    let is_stream = path.starts_with("/stream");
    let (parts, media_type) = if is_stream {
        let count = 1 + (length / EVENT_MS) as u32;
        let parts = (1..=count).map(|number| events(number, number)).collect();
        (parts, "text/event-stream")
    } else {
        (vec![format!("answer to {id}\n")], "text/plain")
    };
    let whole: usize = parts.iter().map(String::len).sum();
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-carawayrun-request-id: {id}\r\ncontent-type: {media_type}\r\n\
         x-carawayrun-response-seal: seal\r\nx-carawayrun-confidence: 95\r\n\
         content-length: {whole}\r\n\r\n"
    );
    let pause = Duration::from_millis(length).div_f64(parts.len() as f64);
    for (number, part) in parts.iter().enumerate() {
        actix_rt::time::sleep(pause).await;
        let text = if number == 0 {
            format!("{head}{part}")
        } else {
            part.clone()
        };
        stream.write_all(text.as_bytes()).await.ok()?;
    }
    Some(())
}

/// Draws a length from an exponential or a lognormal distribution of about the same mean.
pub(crate) fn draw_ms(rng: &mut StdRng, mean_ms: f64, max_ms: u64) -> u64 {
    let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    let factor = if rng.random() {
        -uniform.ln()
    } else {
        // The sum of twelve uniform numbers is nearly normal.
        let normal = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
        (normal - 0.5).exp()
    };
    max_ms.min((mean_ms * factor) as u64)
}

/// What became of one request.
#[derive(Debug)]
pub(crate) struct Sent {
    pub(crate) id: String,
    pub(crate) path: String,
    pub(crate) answer: RawAnswer,
}

/// Client that keeps its connection as long as the relay does.
pub(crate) struct KeptClient {
    addr: String,
    stream: Option<TcpStream>,
    /// Connections that were opened.
    pub(crate) opened: u32,
}

impl KeptClient {
    pub(crate) fn new(addr: String) -> Self {
        Self {
            addr,
            stream: None,
            opened: 0,
        }
    }

    /// Sends a request; `None` where the port is closed.
    pub(crate) async fn send(&mut self, method: &str, path: &str, id: &str) -> Option<Sent> {
        let mut stream = if let Some(stream) = self.stream.take() {
            stream
        } else {
            self.opened += 1;
            TcpStream::connect(&self.addr).await.ok()?
        };
        let head = request_head(method, path, id) + "content-length: 2\r\n\r\non";
        // A connection that the relay has closed meanwhile shows in the answer.
        let _ = stream.write_all(head.as_bytes()).await;
        let answer = read_framed(&mut stream).await;
        if answer.is_whole && !answer.head.contains("connection: close") {
            self.stream = Some(stream);
        }
        Some(Sent {
            id: id.into(),
            path: path.into(),
            answer,
        })
    }
}
