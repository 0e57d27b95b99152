//! An upstream played by the test, whose answers take the time that their requests name.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::net::{TcpListener, TcpStream};
use actix_rt::time::sleep;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::raw::{Head, events, read_head};

/// Events of each whole stream.
pub(crate) const EVENTS: u32 = 8;

/// Ids of the requests that began to run.
pub(crate) type Runs = Rc<RefCell<HashSet<String>>>;

/// Path of a request that takes so long.
pub(crate) fn paced_path(prefix: &str, work: Duration) -> String {
    format!("{prefix}{}", work.as_millis())
}

/// Serves requests at `addr`: streams in [`EVENTS`] events over their time, other requests
/// after it. Answers of the model `small` have the given confidence.
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
    runs.borrow_mut().insert(id);
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
    let confidence = if is_small { confidence } else { 95 };
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
