//! Sound upstreams that pause, before or within an answer.

use std::time::Duration;

use actix_rt::net::{TcpListener, TcpStream};
use awc::http::{Method, StatusCode};
use futures_util::future::join_all;
use serde_json::json;
use test_case::test_case;
use tokio::io::AsyncWriteExt;

use crate::support::lengths::{Runs, start_upstream};
use crate::support::platform::{API_KEY, PlatformWorld, Reply, config};
use crate::support::raw::{events, read_head};

/// Hosts of the engines that this test itself plays.
const HOSTS: [usize; 2] = [60, 61];

/// Pause within a stream: longer than one after which it is resumed elsewhere.
const PAUSE: Duration = Duration::from_millis(3_200);

/// Answers each request with a stream that pauses.
async fn serve(mut stream: TcpStream) -> Option<()> {
    let head = read_head(&mut stream).await?;
    let id = head.field("x-carawayrun-request-id")?;
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-carawayrun-request-id: {id}\r\ncontent-type: text/event-stream\r\n\
         x-carawayrun-response-seal: seal\r\nx-carawayrun-confidence: 95\r\n\
         content-length: {}\r\n\r\n",
        events(1, 8).len()
    );
    let begun = head + &events(1, 3);
    stream.write_all(begun.as_bytes()).await.ok()?;
    actix_rt::time::sleep(PAUSE).await;
    stream.write_all(events(4, 8).as_bytes()).await.ok()
}

async fn accept(addr: String) {
    let listener = TcpListener::bind(&addr).await.expect("the engine binds");
    while let Ok((stream, _)) = listener.accept().await {
        actix_rt::spawn(serve(stream));
    }
}

// The connections of the client and of the engine were closed 2.5 s into the pause, with
// nothing better to follow.
#[test_case(false, 2; "not resumable")]
#[test_case(true, 1; "no other engine")]
#[actix_rt::test]
async fn paused_stream_is_cut(resumable: bool, engines: usize) {
    let world = PlatformWorld::start("paused").await;
    let mut config = config(5, &[API_KEY]);
    config["routes"][2]["stream_resume"] = json!(resumable);
    world.put("op", "config", &config).await;
    for host in &HOSTS[..engines] {
        actix_rt::spawn(accept(world.address(*host)));
        world.register(&format!("llm-{host}"), "llm", *host).await;
    }
    world.until_known(engines).await;
    let request = world.request(Method::GET, "/stream/plan", "req-1");
    let reply = world.send(request, "").await;
    assert_eq!(reply.status, StatusCode::OK);
    assert_eq!(reply.body, Some(events(1, 8)));
}

/// Silence before a sound answer: longer than one after which it is asked for elsewhere.
const SILENCE_MS: u64 = 4_500;

async fn silent_world(name: &str, runs: &Runs) -> PlatformWorld {
    let world = PlatformWorld::start(name).await;
    world.put("op", "config", &config(5, &[API_KEY])).await;
    start_upstream(&world, "app", HOSTS[0], runs).await;
    world.until_known(1).await;
    world
}

async fn read_slowly(world: &PlatformWorld, id: &str) -> Reply {
    let path = format!("/read/{SILENCE_MS}");
    let request = world.request(Method::GET, &path, id);
    world.send(request, "").await
}

// The connection to a sound upstream was closed for another attempt, which was then refused
// for lack of budget: the client had 502.
#[actix_rt::test]
async fn silent_request_is_cut_without_a_retry_left() {
    let runs = Runs::default();
    let mut world = silent_world("silent-budget", &runs).await;
    start_upstream(&world, "app", HOSTS[1], &runs).await;
    world.until_known(2).await;
    world.change_settings("retry_ratio = 0.9", "retry_ratio = 0.0");
    world.change_settings("retry_slack = 600", "retry_slack = 1");
    world.relay().hang_up();
    world.until_logged("settings changed").await;
    let reply = read_slowly(&world, "req-1").await;
    assert_eq!(reply.status, StatusCode::OK, "{reply:?}");
    assert_eq!(runs.borrow()["req-1"], 1);
}

// The same where the relay stops before another attempt would end.
#[actix_rt::test]
async fn silent_request_is_cut_without_time_for_a_retry() {
    let runs = Runs::default();
    let mut world = silent_world("silent-drain", &runs).await;
    // The relay learns what the route takes, from one upstream.
    let ids: Vec<String> = (0..8).map(|number| format!("before-{number}")).collect();
    let before = ids.iter().map(|id| read_slowly(&world, id));
    for reply in join_all(before).await {
        assert_eq!(reply.status, StatusCode::OK, "{reply:?}");
    }
    start_upstream(&world, "app", HOSTS[1], &runs).await;
    world.until_known(2).await;
    world.relay().terminate();
    actix_rt::time::sleep(Duration::from_secs(2)).await;
    let reply = read_slowly(&world, "req-1").await;
    assert_eq!(reply.status, StatusCode::OK, "{reply:?}");
    assert_eq!(runs.borrow()["req-1"], 1);
}

// Its upstream was given no time: the request was sent to one after the other at once, or,
// with one alone, the relay asked each millisecond whether there was another.
#[test_case(1)]
#[test_case(2)]
#[actix_rt::test]
async fn request_without_an_objective_runs_at_all_upstreams(upstreams: usize) {
    let runs = Runs::default();
    let mut world = PlatformWorld::start("no-objective").await;
    let mut config = config(5, &[API_KEY]);
    let route = config["routes"][0].as_object_mut();
    route.expect("a route is an object").remove("objective_ms");
    world.put("op", "config", &config).await;
    for host in &HOSTS[..upstreams] {
        start_upstream(&world, "app", *host, &runs).await;
    }
    world.until_known(upstreams).await;
    let before = world.relay().processor_ticks();
    let reply = read_slowly(&world, "req-1").await;
    let after = world.relay().processor_ticks();
    assert_eq!(reply.status, StatusCode::OK, "{reply:?}");
    assert_eq!(runs.borrow()["req-1"], 1);
    let used = after.expect("it runs") - before.expect("it runs");
    println!("{upstreams} upstreams: {used} ticks");
    assert!(used < SILENCE_MS / 40, "{used} ticks of {SILENCE_MS} ms");
}
