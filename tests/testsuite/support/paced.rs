//! An upstream played by the test, whose answers take the time that their requests name.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::net::{TcpListener, TcpStream};
use actix_rt::time::sleep;
use rand::Rng;
use rand::rngs::StdRng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::raw::{Head, events, read_head};

/// Events of each whole stream.
pub(crate) const EVENTS: u32 = 8;

/// Number of runs that began, by request id.
pub(crate) type Runs = Rc<RefCell<HashMap<String, u32>>>;

/// Distribution of the times that answers take.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Lengths {
    Exponential,
    Lognormal,
    /// One in six takes eight times as long.
    TwoKinds,
    /// Exponential, with a mean that grows from the stop on.
    Growing,
    /// All from 1 to 5 s are as likely.
    Even,
}

impl Lengths {
    /// Draws the time of an answer, at most `longest_s`, to a request that is sent `after_s`
    /// after the stop, both in seconds.
    pub(crate) fn draw(self, random: &mut StdRng, after_s: f64, longest_s: f64) -> Duration {
        let mut share = || 1.0 - random.random::<f64>();
        let seconds = match self {
            Self::Exponential => -1.2 * share().ln(),
            Self::Lognormal => {
                let normal = (-2.0 * share().ln()).sqrt() * (std::f64::consts::TAU * share()).cos();
                0.8 * (0.9 * normal).exp()
            }
            Self::TwoKinds if share() < 1.0 / 6.0 => 4.0,
            Self::TwoKinds => 0.5,
            Self::Growing => 0.25_f64.mul_add(after_s, 0.6) * -share().ln(),
            Self::Even => 4.0_f64.mul_add(share(), 1.0),
        };
        Duration::from_secs_f64(seconds.min(longest_s))
    }
}

/// Path of a request that takes so long.
pub(crate) fn paced_path(prefix: &str, work: Duration) -> String {
    format!("{prefix}{}", work.as_millis())
}

/// Serves requests at `addr`: streams in [`EVENTS`] events over their time, other requests
/// after it. Answers of the model `small` have the given confidence; those of other models
/// take twice the time.
pub(crate) async fn serve_paced(addr: String, confidence: u32, runs: Runs) {
    let listener = TcpListener::bind(&addr).await.expect("the stand-in binds");
    while let Ok((stream, _)) = listener.accept().await {
        actix_rt::spawn(serve(stream, confidence, Rc::clone(&runs)));
    }
}

async fn serve(mut stream: TcpStream, confidence: u32, runs: Runs) -> Option<()> {
    let head = read_head(&mut stream).await?;
    let length = head.field("content-length").unwrap_or("0");
    let mut body = vec![0; length.parse().ok()?];
    stream.read_exact(&mut body).await.ok()?;
    let work = head
        .path()
        .rsplit('/')
        .next()?
        .parse()
        .map(Duration::from_millis);
    let Ok(work) = work else {
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: close\r\n\r\n{}";
        return stream.write_all(answer).await.ok();
    };
    let id = head.field("x-carawayrun-request-id")?.to_owned();
    let begun = format!(
        "HTTP/1.1 200 OK\r\nx-carawayrun-request-id: {id}\r\nconnection: close\r\n\
         x-carawayrun-response-seal: seal\r\n"
    );
    *runs.borrow_mut().entry(id).or_default() += 1;
    if head.path().starts_with("/stream/") {
        write_stream(&mut stream, &head, &begun, confidence, work).await
    } else {
        sleep(work).await;
        let answer = begun + "content-length: 2\r\n\r\nok";
        stream.write_all(answer.as_bytes()).await.ok()
    }
}

async fn write_stream(
    stream: &mut TcpStream,
    head: &Head,
    begun: &str,
    confidence: u32,
    work: Duration,
) -> Option<()> {
    let is_small = head.field("x-carawayrun-model") == Some("small");
    let (confidence, work) = if is_small {
        (confidence, work)
    } else {
        (95, work * 2)
    };
    let begun = format!(
        "{begun}content-type: text/event-stream\r\nx-carawayrun-confidence: {confidence}\r\n\
         transfer-encoding: chunked\r\n\r\n"
    );
    stream.write_all(begun.as_bytes()).await.ok()?;
    let last = head.field("last-event-id");
    let last: u32 = last.and_then(|last| last.parse().ok()).unwrap_or(0);
    for number in last + 1..=EVENTS {
        sleep(work / EVENTS).await;
        let event = events(number, number);
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        stream.write_all(chunk.as_bytes()).await.ok()?;
    }
    stream.write_all(b"0\r\n\r\n").await.ok()
}
