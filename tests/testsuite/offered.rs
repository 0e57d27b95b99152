//! Requests that offer another protocol.

use test_case::test_case;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::support::platform::{API_KEY, PlatformWorld, config};
use crate::support::raw::{read_answer, request_head};

// A request without a body was read as one without an end, and got 408 after 15 s.
#[test_case("GET", "upgrade", "websocket", ""; "websocket")]
#[test_case("GET", "Upgrade, close", "websocket", ""; "websocket and close")]
#[test_case("GET", "upgrade, http2-settings", "h2c", ""; "cleartext http 2")]
#[test_case("POST", "upgrade", "websocket", "body"; "websocket with a body")]
#[actix_rt::test]
async fn offer_of_another_protocol_is_read_as_endless_body(
    method: &str,
    connection: &str,
    protocol: &str,
    body: &str,
) {
    let mut world = PlatformWorld::start("offered").await;
    world.put("op", "config", &config(5, &[API_KEY])).await;
    world.runner("app-1", "app", &[]).await;
    world.until_ready().await;
    let stream = TcpStream::connect(world.relay_address(7001)).await;
    let mut stream = stream.expect("the relay accepts");
    let head = request_head(method, "/read/a", "req-1");
    let length = if body.is_empty() {
        String::new()
    } else {
        format!("content-length: {}\r\n", body.len())
    };
    let offer = format!("connection: {connection}\r\nupgrade: {protocol}\r\n");
    let request = format!("{head}{offer}{length}\r\n{body}");
    let sent = stream.write_all(request.as_bytes()).await;
    sent.expect("the relay takes a request");
    let answer = read_answer(&mut stream).await;
    assert_eq!((answer.status, answer.is_whole), (200, true), "{answer:?}");
    assert_eq!(world.runs(0, "req-1").await.len(), 1);
}
