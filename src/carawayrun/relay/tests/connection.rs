use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::header::{HOST, HeaderValue};
use actix_http::{RequestHead, ServiceConfig};
use bytes::BytesMut;
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::relay::body::Body;
use crate::relay::connection::{ConnectionError, UpstreamConnection};
use crate::relay::progress::{MessagePart, TURN_BYTES};

const CONNECT: Duration = Duration::from_secs(5);

// Starts an upstream that answers the requests on one connection with `answers`
// in order, then closes it, with a reset if `resets`.
async fn upstream(answers: Vec<&'static [u8]>, resets: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        for answer in answers {
            read_head(&mut stream).await;
            stream.write_all(answer).await.unwrap();
        }
        if resets {
            // The answer must arrive before the reset discards it.
            tokio::time::sleep(Duration::from_millis(50)).await;
            stream.set_zero_linger().unwrap();
        }
    });
    addr
}

async fn read_head(stream: &mut TcpStream) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.unwrap());
    }
}

async fn connect(addr: SocketAddr) -> UpstreamConnection {
    let config = ServiceConfig::default();
    UpstreamConnection::connect(addr, CONNECT, &config, &Arc::default())
        .await
        .unwrap()
}

fn request() -> RequestHead {
    let mut head = RequestHead::default();
    head.headers.insert(HOST, HeaderValue::from_static("a"));
    head
}

async fn body(connection: &mut UpstreamConnection) -> Option<Vec<u8>> {
    let mut whole = BytesMut::new();
    loop {
        match connection.read_chunk().await {
            Ok(Some(piece)) => whole.extend_from_slice(&piece),
            Ok(None) => return Some(whole.to_vec()),
            Err(_) => return None,
        }
    }
}

async fn exchange(
    answers: Vec<&'static [u8]>,
    resets: bool,
) -> (UpstreamConnection, Option<Vec<u8>>) {
    let addr = upstream(answers, resets).await;
    let mut connection = connect(addr).await;
    connection
        .start_request(request(), &Body::default())
        .unwrap();
    connection.read_head().await.unwrap();
    let body = body(&mut connection).await;
    (connection, body)
}

#[test_case(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfour", false, Some(b"four"); "complete body with length")]
#[test_case(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nfour", false, None; "truncated body with length")]
#[test_case(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\n\r\n", false, Some(b"four"); "complete chunked body")]
#[test_case(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n", false, None; "truncated chunked body")]
#[test_case(b"HTTP/1.1 200 OK\r\n\r\nfour", false, Some(b"four"); "no length, closed")]
#[test_case(b"HTTP/1.1 200 OK\r\n\r\nfour", true, None; "no length, reset")]
#[test_case(b"HTTP/1.1 204 No Content\r\n\r\n", false, Some(b""); "no body")]
#[actix_rt::test]
async fn only_complete_body_ends_without_error(
    answer: &'static [u8],
    resets: bool,
    expected: Option<&'static [u8]>,
) {
    let (_, body) = exchange(vec![answer], resets).await;
    assert_eq!(body.as_deref(), expected);
}

#[actix_rt::test]
async fn unexpected_second_answer_prevents_reuse() {
    let twice = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfourHTTP/1.1 200 OK\r\n";
    let (mut connection, body) = exchange(vec![twice], false).await;
    assert_eq!(body.as_deref(), Some(b"four".as_slice()));
    assert!(!connection.is_reusable());
}

#[actix_rt::test]
async fn connection_kept_by_upstream_is_reused() {
    let answer: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na";
    let (mut connection, _) = exchange(vec![answer, answer], false).await;
    assert!(connection.is_reusable());
    connection
        .start_request(request(), &Body::default())
        .unwrap();
    connection.read_head().await.unwrap();
    assert_eq!(
        body(&mut connection).await.as_deref(),
        Some(b"a".as_slice())
    );
}

#[actix_rt::test]
async fn connection_with_close_header_is_not_reusable() {
    let answer: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nConnection: close\r\n\r\na";
    let (mut connection, _) = exchange(vec![answer], false).await;
    assert!(!connection.is_reusable());
}

#[actix_rt::test]
async fn request_counts_as_written_after_first_byte() {
    let addr = upstream(Vec::new(), false).await;
    let mut connection = connect(addr).await;
    connection
        .start_request(request(), &Body::default())
        .unwrap();
    assert!(!connection.has_written());
    connection.read_head().await.unwrap_err();
    assert!(connection.has_written());
}

// An upstream in trouble sends bytes that are no answer, without an end.
#[test_case(b"HTTP/1.1 200 OK\r\nx: "; "within a head")]
#[test_case(b""; "in place of a head")]
#[actix_rt::test]
async fn endless_head_is_given_up(start: &'static [u8]) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let sender = actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        read_head(&mut stream).await;
        stream.write_all(start).await.unwrap();
        let mut sent = 0_usize;
        while stream.write_all(&[b'x'; 4_096]).await.is_ok() {
            sent += 4_096;
        }
        sent
    });
    let mut connection = connect(addr).await;
    connection
        .start_request(request(), &Body::default())
        .unwrap();
    connection.read_head().await.unwrap_err();
    drop(connection);
    // What was sent is bounded by the limit on heads and by the buffers of the kernel.
    let sent = sender.await.unwrap();
    assert!(sent < 16 * 1024 * 1024, "{sent}");
}

// Starts an upstream that sends `first` and then `unit` without an end, and returns the
// bytes that it sent before its connection was closed.
async fn flood(
    first: &'static str,
    unit: &'static str,
) -> (SocketAddr, actix_rt::task::JoinHandle<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let sender = actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        read_head(&mut stream).await;
        stream.write_all(first.as_bytes()).await.unwrap();
        let units = unit.repeat(4_096 / unit.len());
        let mut sent = 0;
        while stream.write_all(units.as_bytes()).await.is_ok() {
            sent += units.len();
        }
        sent
    });
    (addr, sender)
}

const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// The connection was read without an end, and no other task ran.
#[test_case("", "HTTP/1.1 100 Continue\r\n\r\n", MessagePart::Interim; "interim heads")]
#[test_case("HTTP/1.1 200 OK\r\n", "x: y\r\n", MessagePart::Head; "headers")]
#[test_case(CHUNKED, "0", MessagePart::Framing; "chunk size")]
#[test_case(CHUNKED, "1;xxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\na\r\n", MessagePart::Framing; "extensions")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "x: y\r\n", MessagePart::Framing; "trailers")]
#[actix_rt::test]
async fn bytes_without_progress_are_read_on(
    first: &'static str,
    unit: &'static str,
    expected: MessagePart,
) {
    let (addr, sender) = flood(first, unit).await;
    let mut connection = connect(addr).await;
    connection
        .start_request(request(), &Body::default())
        .unwrap();
    let mut result = connection.read_head().await.map(|_| None);
    while matches!(result, Ok(None | Some(_))) {
        result = connection.read_chunk().await;
    }
    match result.unwrap_err() {
        ConnectionError::NoProgress { part } => assert_eq!(part, expected),
        // More headers than the parser takes.
        error => assert_eq!(expected, MessagePart::Head, "{error}"),
    }
    drop(connection);
    // What was sent is bounded by the limit and by the buffers of the kernel.
    let sent = sender.await.unwrap();
    assert!(sent < 16 * 1024 * 1024, "{sent}");
}

// A body that always had more to read kept the thread.
#[actix_rt::test]
async fn long_body_keeps_other_tasks_from_running() {
    let (addr, _sender) = flood(CHUNKED, "8\r\nabcdefgh\r\n").await;
    let mut connection = connect(addr).await;
    connection
        .start_request(request(), &Body::default())
        .unwrap();
    connection.read_head().await.unwrap();
    let turns = Rc::new(Cell::new(0));
    let count = Rc::clone(&turns);
    let other = actix_rt::spawn(async move {
        loop {
            count.set(count.get() + 1);
            tokio::task::yield_now().await;
        }
    });
    let mut data = 0;
    while data < 16 * TURN_BYTES {
        data += connection.read_chunk().await.unwrap().unwrap().len();
    }
    other.abort();
    assert!(turns.get() >= 16, "{}", turns.get());
}

// The parser panicked in debug builds and read on in others.
#[test_case(b"HTTP/1.1 101 Switching Protocols\r\n\r\n"; "other protocol")]
#[test_case(b"HTTP/1.1 103 Early Hints\r\nContent-Length: 4\r\n\r\n"; "interim answer with a body")]
#[actix_rt::test]
async fn interim_answer_that_is_none_is_passed_over(interim: &'static [u8]) {
    let addr = upstream(vec![interim], false).await;
    let mut connection = connect(addr).await;
    connection
        .start_request(request(), &Body::default())
        .unwrap();
    let error = connection.read_head().await.unwrap_err();
    assert!(matches!(error, ConnectionError::Head { .. }), "{error}");
}
