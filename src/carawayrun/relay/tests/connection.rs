use std::net::SocketAddr;
use std::time::Duration;

use actix_http::header::{HOST, HeaderValue};
use actix_http::{RequestHead, ServiceConfig};
use bytes::BytesMut;
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::relay::connection::UpstreamConnection;

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
    let config = ServiceConfig::default();
    let mut connection = UpstreamConnection::connect(addr, CONNECT, &config)
        .await
        .unwrap();
    connection.start_request(request(), b"").unwrap();
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
    connection.start_request(request(), b"").unwrap();
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
    let config = ServiceConfig::default();
    let mut connection = UpstreamConnection::connect(addr, CONNECT, &config)
        .await
        .unwrap();
    connection.start_request(request(), b"").unwrap();
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
    let config = ServiceConfig::default();
    let mut connection = UpstreamConnection::connect(addr, CONNECT, &config)
        .await
        .unwrap();
    connection.start_request(request(), b"").unwrap();
    connection.read_head().await.unwrap_err();
    drop(connection);
    // What was sent is bounded by the limit on heads and by the buffers of the kernel.
    let sent = sender.await.unwrap();
    assert!(sent < 16 * 1024 * 1024, "{sent}");
}
