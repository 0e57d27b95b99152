//! Answers with neither a length nor chunks, which end with their connection.

use awc::http::{Method, StatusCode};
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::support::platform::{API_KEY, PlatformWorld, config};

/// Host of the upstream that this test itself plays.
const HOST: usize = 60;

/// Events of a whole stream of the stand-in.
const EVENTS: u32 = 8;

/// How an answer ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Closed,
    Reset,
}

fn events(count: u32) -> String {
    let events = (1..=count).map(|number| format!("id: {number}\ndata: word {number}\n\n"));
    events.collect()
}

/// Answers each request with `body`, then ends the connection.
async fn serve(addr: String, kind: &'static str, body: String, end: End) {
    let listener = TcpListener::bind(&addr).await.expect("the upstream binds");
    while let Ok((stream, _)) = listener.accept().await {
        actix_rt::spawn(answer(stream, kind, body.clone(), end));
    }
}

async fn answer(mut stream: TcpStream, kind: &str, body: String, end: End) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let Ok(byte) = stream.read_u8().await else {
            return;
        };
        head.push(byte);
    }
    let head = String::from_utf8_lossy(&head).to_lowercase();
    let id = head
        .lines()
        .find_map(|line| line.strip_prefix("x-carawayrun-request-id: "));
    let id = id.unwrap_or_default();
    let head = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: {kind}\r\nx-carawayrun-request-id: {id}\r\n\
         x-carawayrun-response-seal: seal\r\nx-carawayrun-confidence: 95\r\n\r\n"
    );
    let sent = stream.write_all((head + &body).as_bytes()).await;
    if sent.is_ok() && end == End::Reset {
        // The answer must arrive before the reset discards it.
        actix_rt::time::sleep(std::time::Duration::from_millis(50)).await;
        stream
            .set_zero_linger()
            .expect("the socket takes the option");
    }
}

async fn world(name: &str, service: &str) -> PlatformWorld {
    let mut world = PlatformWorld::start(name).await;
    world.put("op", "config", &config(5, &[API_KEY])).await;
    world.register("unframed", service, HOST).await;
    world.runner("framed", service, &[]).await;
    world.until_known(2).await;
    world
}

// An engine that ended after the head of its answer made an empty stream, complete.
#[test_case(events(EVENTS), End::Closed; "whole")]
#[test_case(events(3) + "id: 4\ndata: wo", End::Closed; "closed within an event")]
#[test_case(events(3), End::Reset; "reset after an event")]
#[test_case(String::new(), End::Closed; "closed before the first event")]
#[actix_rt::test]
async fn broken_off_stream_taken_for_whole(body: String, end: End) {
    let world = world("unframed-stream", "llm").await;
    let addr = world.address(HOST);
    let upstream = actix_rt::spawn(serve(addr, "text/event-stream", body, end));
    for number in 0..6 {
        let request = world.request(Method::GET, "/stream/plan", &format!("req-{number}"));
        let reply = world.send(request, "").await;
        assert_eq!(reply.status, StatusCode::OK);
        assert_eq!(reply.body, Some(events(EVENTS)), "{number}");
    }
    upstream.abort();
}

#[test_case(End::Closed; "whole")]
#[test_case(End::Reset; "reset")]
#[actix_rt::test]
async fn broken_off_answer_taken_for_whole(end: End) {
    let world = world("unframed-answer", "app").await;
    let addr = world.address(HOST);
    let upstream = actix_rt::spawn(serve(addr, "text/plain", "whole\n".into(), end));
    let mut whole = 0;
    for number in 0..12 {
        let id = format!("req-{number}");
        let reply = world
            .send(world.request(Method::GET, "/read/a", &id), "")
            .await;
        assert_eq!(reply.status, StatusCode::OK);
        whole += usize::from(reply.body.as_deref() == Some("whole\n"));
    }
    assert_eq!(whole > 0, end == End::Closed, "{whole}");
    upstream.abort();
}
