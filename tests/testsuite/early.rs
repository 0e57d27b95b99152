//! Answers that come before their request was read, and answers that are none.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener};
use std::time::Duration;

use actix_rt::net::TcpStream;
use serde_json::json;
use socket2::SockRef;
use test_case::test_case;
use tokio::io::AsyncWriteExt;

use crate::support::platform::{API_KEY, PlatformWorld, config};
use crate::support::raw::{
    End, RawAnswer, events, read_answer, read_home_status, request_head, sealed_head, send_raw,
    serve_raw,
};
use crate::support::{LUZCENA_KEY, WorldBuilder};

/// Host of the upstream that this test itself plays.
const HOST: usize = 60;

/// Host of a second one.
const OTHER_HOST: usize = 61;

/// Requests of each case.
const REQUESTS: usize = 12;

/// Uploads that stay in the buffers of the kernel, and that don't.
const SHORT: usize = 200_000;
const LONG: usize = 4_000_000;

/// Uploads that stay in the buffer of the upstream's system, and a request without a body.
const SMALL: usize = 12_000;
const NONE: usize = 0;

/// Time between the end of an upstream's side and of its connection.
const PAUSE: Duration = Duration::from_millis(80);

/// How an upstream ends its connection after a part of its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    /// Its side, then the connection with what it has not read: a FIN, then a reset.
    Closed,
    /// As above, a moment later.
    HalfClosed,
    Reset,
    /// It has read the whole request.
    Read,
    /// As above; it resets the connection after the end of its side all the same.
    ReadReset,
}

/// Framing of an upload at the client.
#[derive(Debug, Clone, Copy)]
enum Upload {
    Length,
    Chunks,
    /// With a length, in pieces and pauses.
    Pieces,
}

fn answer_early(mut stream: std::net::TcpStream, length: usize, ending: Ending) -> Option<()> {
    answer_part(&mut stream, length, ending, "a part")
}

// Answers with `part` behind a sealed head and the end of the connection.
fn answer_part(
    stream: &mut std::net::TcpStream,
    length: usize,
    ending: Ending,
    part: &str,
) -> Option<()> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).to_lowercase();
    let mut lines = head.lines();
    let id = lines.find_map(|line| line.strip_prefix("x-carawayrun-request-id: "));
    if matches!(ending, Ending::Read | Ending::ReadReset) {
        stream.read_exact(&mut vec![0; length]).ok()?;
    }
    let answer = format!(
        "HTTP/1.1 200 OK\r\nx-carawayrun-request-id: {}\r\n\
         x-carawayrun-response-seal: seal\r\nx-carawayrun-confidence: 95\r\n\
         content-type: text/event-stream\r\n\r\n{part}",
        id.unwrap_or_default()
    );
    stream.write_all(answer.as_bytes()).ok()?;
    if ending == Ending::Reset {
        std::thread::sleep(PAUSE);
        return SockRef::from(&*stream)
            .set_linger(Some(Duration::ZERO))
            .ok();
    }
    stream.shutdown(Shutdown::Write).ok()?;
    if matches!(ending, Ending::HalfClosed | Ending::ReadReset) {
        std::thread::sleep(PAUSE);
    }
    if ending == Ending::ReadReset {
        return SockRef::from(&*stream)
            .set_linger(Some(Duration::ZERO))
            .ok();
    }
    Some(())
}

async fn world(name: &str) -> PlatformWorld {
    let world = PlatformWorld::start(name).await;
    let mut config = config(5, &[API_KEY]);
    config["limits"]["max_body_bytes"] = json!(LONG);
    world.put("op", "config", &config).await;
    world.register("early", "app", HOST).await;
    world.until_known(1).await;
    world
}

async fn upload(addr: &str, id: &str, length: usize, upload: Upload) -> RawAnswer {
    let mut stream = TcpStream::connect(addr).await.expect("the relay accepts");
    let head = request_head("POST", "/switch/a", id) + "connection: close\r\n";
    let body = vec![b'x'; length];
    let (framing, first, rest) = match upload {
        Upload::Chunks => (
            "transfer-encoding: chunked".into(),
            format!("{length:x}\r\n"),
            "\r\n0\r\n\r\n",
        ),
        _ => (format!("content-length: {length}"), String::new(), ""),
    };
    let head = format!("{head}{framing}\r\n\r\n{first}");
    let sending = async {
        stream.write_all(head.as_bytes()).await?;
        for piece in body.chunks(length.div_ceil(8).max(1)) {
            stream.write_all(piece).await?;
            if matches!(upload, Upload::Pieces) {
                actix_rt::time::sleep(Duration::from_millis(5)).await;
            }
        }
        stream.write_all(rest.as_bytes()).await
    };
    sending.await.expect("the relay takes a request");
    read_answer(&mut stream).await
}

// The part was delivered as a complete answer.
#[test_case(SHORT, Upload::Length, Ending::Closed; "short, closed")]
#[test_case(SHORT, Upload::Length, Ending::HalfClosed; "short, half closed")]
#[test_case(SHORT, Upload::Length, Ending::Reset; "short, reset")]
#[test_case(LONG, Upload::Length, Ending::Closed; "long, closed")]
#[test_case(LONG, Upload::Length, Ending::HalfClosed; "long, half closed")]
#[test_case(LONG, Upload::Length, Ending::Reset; "long, reset")]
#[test_case(LONG, Upload::Chunks, Ending::Closed; "chunks, closed")]
#[test_case(LONG, Upload::Chunks, Ending::HalfClosed; "chunks, half closed")]
#[test_case(LONG, Upload::Pieces, Ending::HalfClosed; "pieces, half closed")]
#[test_case(SHORT, Upload::Length, Ending::Read; "short, read")]
#[test_case(LONG, Upload::Length, Ending::Read; "long, read")]
#[test_case(SMALL, Upload::Length, Ending::Closed; "small, closed")]
#[test_case(SMALL, Upload::Length, Ending::HalfClosed; "small, half closed")]
#[test_case(SMALL, Upload::Length, Ending::ReadReset; "small, read and reset")]
#[test_case(LONG, Upload::Length, Ending::ReadReset; "long, read and reset")]
#[test_case(NONE, Upload::Length, Ending::ReadReset; "none, reset")]
#[test_case(NONE, Upload::Length, Ending::Read; "none, read")]
#[actix_rt::test]
async fn part_before_the_upload_is_delivered_as_whole(length: usize, kind: Upload, ending: Ending) {
    let world = world("early-part").await;
    let listener = TcpListener::bind(world.address(HOST));
    let listener = listener.expect("the upstream binds");
    std::thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            std::thread::spawn(move || answer_early(stream, length, ending));
        }
    });
    let addr = world.relay_address(7001);
    let mut answers = Vec::new();
    for number in 0..REQUESTS {
        // An upstream that failed is left out for a time.
        let mut answer = upload(&addr, &format!("{number}-0"), length, kind).await;
        for retry in 1..100 {
            if answer.status != 503 {
                break;
            }
            actix_rt::time::sleep(Duration::from_millis(100)).await;
            answer = upload(&addr, &format!("{number}-{retry}"), length, kind).await;
        }
        answers.push(answer);
    }
    let is_whole = |answer: &&RawAnswer| answer.status == 200 && answer.is_whole;
    let whole = answers.iter().filter(is_whole).count();
    let expected = if ending == Ending::Read { REQUESTS } else { 0 };
    assert_eq!(whole, expected, "{answers:?}");
}

// The part of a stream was ended like a whole one.
#[test_case(Ending::HalfClosed, 0; "half closed")]
#[test_case(Ending::ReadReset, 0; "read and reset")]
#[test_case(Ending::Read, 1; "read")]
#[actix_rt::test]
async fn part_of_stream_is_delivered_as_whole(ending: Ending, expected: usize) {
    let world = world("early-stream").await;
    world.register("stream", "llm", OTHER_HOST).await;
    world.until_known(2).await;
    let listener = TcpListener::bind(world.address(OTHER_HOST));
    let listener = listener.expect("the upstream binds");
    std::thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            let events = events(1, 3);
            std::thread::spawn(move || answer_part(&mut stream, SMALL, ending, &events));
        }
    });
    let mut stream = TcpStream::connect(world.relay_address(7001)).await;
    let stream = stream.as_mut().expect("the relay accepts");
    let head = request_head("POST", "/stream/plan", "req-1");
    let head = format!("{head}connection: close\r\ncontent-length: {SMALL}\r\n\r\n");
    let request = [head.as_bytes(), &[b'x'; SMALL]].concat();
    let sent = stream.write_all(&request).await;
    sent.expect("the relay takes a request");
    let answer = read_answer(stream).await;
    assert_eq!(
        (answer.status, answer.body.as_str()),
        (200, &*events(1, 3)),
        "{answer:?}"
    );
    assert_eq!(usize::from(answer.is_whole), expected, "{answer:?}");
}

// A part of an answer to a request that may be sent again was delivered, though another
// upstream had the whole one.
#[actix_rt::test]
async fn part_is_delivered_in_place_of_another_answer() {
    let world = world("early-again").await;
    world.register("sound", "app", OTHER_HOST).await;
    world.until_known(2).await;
    for (host, ending) in [(HOST, Ending::ReadReset), (OTHER_HOST, Ending::Read)] {
        let listener = TcpListener::bind(world.address(host));
        let listener = listener.expect("the upstream binds");
        std::thread::spawn(move || {
            let part = if ending == Ending::Read {
                "whole"
            } else {
                "part"
            };
            while let Ok((mut stream, _)) = listener.accept() {
                std::thread::spawn(move || answer_part(&mut stream, NONE, ending, part));
            }
        });
    }
    let addr = world.relay_address(7001);
    for number in 0..REQUESTS {
        let answer = send_raw(&addr, "GET", "/read/a", &format!("req-{number}")).await;
        assert_eq!((answer.status, answer.body.as_str()), (200, "whole"));
    }
}

// A status that HTTP does not have was delivered.
#[test_case("000 None"; "zero")]
#[test_case("099 Low"; "below")]
#[test_case("600 High"; "just above")]
#[test_case("999 Highest"; "far above")]
#[test_case("2000 Long"; "four digits")]
#[actix_rt::test]
async fn status_of_no_answer_is_delivered(status: &'static str) {
    let world = world("early-status").await;
    let upstream = actix_rt::spawn(serve_raw(world.address(HOST), move |head| {
        let head = sealed_head(head, status);
        (head + "content-length: 4\r\n\r\nnone", End::Closed)
    }));
    let addr = world.relay_address(7001);
    for number in 0..REQUESTS {
        let answer = send_raw(&addr, "POST", "/switch/a", &format!("req-{number}")).await;
        assert!([502, 503].contains(&answer.status), "{answer:?}");
    }
    upstream.abort();
}

// The agent passed it on, too.
#[actix_rt::test]
async fn status_of_no_answer_behind_agent_is_delivered() {
    let builder = WorldBuilder::new("early-agent").gateways(1).engines(1);
    let mut world = builder.plains(1).start().await;
    let plain = world.first_plain();
    world.upstream(plain).kill();
    let addr = world.upstream_addr(plain);
    actix_rt::spawn(serve_raw(addr, |_| {
        let answer =
            "HTTP/1.1 600 High\r\ncontent-type: text/plain\r\ncontent-length: 4\r\n\r\nnone";
        (answer.into(), End::Closed)
    }));
    let caller = world.caller(0, LUZCENA_KEY);
    let answer = read_home_status(caller.addr(), LUZCENA_KEY).await;
    assert!((500..600).contains(&answer.status), "{answer:?}");
}

// What stands behind an answer without a body belongs to no answer.
#[test_case("204 No Content", "content-length: 5\r\n\r\nwhole"; "no content with a length")]
#[test_case("204 No Content", "transfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"; "no content in chunks")]
#[test_case("204 No Content", "\r\nwhole"; "no content with bytes behind")]
#[test_case("304 Not Modified", "content-length: 5\r\n\r\nwhole"; "not modified with a length")]
#[test_case("304 Not Modified", "content-length: 5\r\n\r\n"; "not modified that names a length")]
#[actix_rt::test]
async fn bytes_behind_answer_without_body_are_delivered(status: &'static str, rest: &'static str) {
    let world = world("early-none").await;
    let upstream = actix_rt::spawn(serve_raw(world.address(HOST), move |head| {
        (sealed_head(head, status) + rest, End::Closed)
    }));
    let addr = world.relay_address(7001);
    for number in 0..REQUESTS {
        let answer = send_raw(&addr, "GET", "/read/a", &format!("req-{number}")).await;
        assert!(
            answer.status > 0 && !answer.body.contains("whole"),
            "{answer:?}"
        );
        assert!(status.starts_with(&answer.status.to_string()), "{answer:?}");
    }
    upstream.abort();
}
