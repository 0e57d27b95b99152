//! Connections that clients keep, at the moments at which a relay closes them.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::sleep;
use futures_util::future::join_all;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use test_case::test_case;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::support::lengths::{KeptClient, Runs, Sent, draw_ms, start_upstream};
use crate::support::platform::{API_KEY, PlatformWorld, config};
use crate::support::raw::{read_framed, request_head};

const IDLE_MS: u64 = 500;

async fn world(name: &str, runs: &Runs) -> PlatformWorld {
    let world = PlatformWorld::start(name).await;
    let mut config = config(5, &[API_KEY]);
    config["limits"]["idle_timeout_ms"] = json!(IDLE_MS);
    config["services"][0]["max_connections"] = json!(100);
    world.put("op", "config", &config).await;
    start_upstream(&world, "app", 60, runs).await;
    start_upstream(&world, "llm", 61, runs).await;
    world.until_known(2).await;
    world
}

/// A request without an answer was not passed on, nor was one that is refused.
fn check(sent: &[Sent], runs: &Runs) {
    let runs = runs.borrow();
    let wrong = sent.iter().filter(|sent| {
        let runs = runs.get(&sent.id).copied().unwrap_or(0);
        match sent.answer.status {
            200 => !sent.answer.is_whole || runs == 0,
            503 => !sent.answer.is_whole || runs > 0,
            0 => runs > 0,
            _ => true,
        }
    });
    let wrong: Vec<&Sent> = wrong.collect();
    assert!(
        wrong.is_empty(),
        "{} of {}: {wrong:#?}",
        wrong.len(),
        sent.len()
    );
}

fn count(sent: &[Sent], status: u16) -> usize {
    let answers = sent.iter().filter(|sent| sent.answer.status == status);
    answers.count()
}

// Requests that cross the close of an idle connection.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[actix_rt::test]
async fn request_at_the_moment_of_the_idle_close_is_lost(seed: u64) {
    let runs = Runs::default();
    let world = world("kept-idle", &runs).await;
    let opened = Rc::new(Cell::new(0));
    let clients = (0..24).map(|client| {
        let mut rng = StdRng::seed_from_u64(seed * 100 + client);
        let mut kept = KeptClient::new(world.relay_address(7001));
        let opened = Rc::clone(&opened);
        async move {
            let mut sent = Vec::new();
            for turn in 0..12 {
                let path = ["/read/5", "/switch/5"][rng.random_range(0..2)];
                let id = format!("idle-{client}-{turn}");
                sent.extend(kept.send("POST", path, &id).await);
                let gap = rng.random_range(IDLE_MS * 1_000 - 2_500..IDLE_MS * 1_000 + 4_000);
                sleep(Duration::from_micros(gap)).await;
            }
            opened.set(opened.get() + kept.opened);
            sent
        }
    });
    let sent: Vec<Sent> = join_all(clients).await.into_iter().flatten().collect();
    check(&sent, &runs);
    let (served, crossed) = (count(&sent, 200), count(&sent, 0));
    println!("seed {seed}: {served} served, {crossed} crossed the close");
    // Some connections lasted over several requests, and some did not.
    assert!(
        served > 100 && opened.get() > 30 && opened.get() < 288,
        "{served} and {}",
        opened.get()
    );
}

// The relay closes idle connections within a drain while their clients go on.
#[test_case(1)]
#[test_case(2)]
#[actix_rt::test]
async fn request_on_a_kept_connection_is_lost_in_a_drain(seed: u64) {
    let runs = Runs::default();
    let mut world = world("kept-drain", &runs).await;
    let is_running = Rc::new(Cell::new(true));
    let clients = (0..32).map(|client| {
        let mut rng = StdRng::seed_from_u64(seed * 100 + client);
        let mut kept = KeptClient::new(world.relay_address(7001));
        let is_running = Rc::clone(&is_running);
        let task = async move {
            let mut sent = Vec::new();
            for turn in 0.. {
                if !is_running.get() {
                    break;
                }
                let route = ["read", "switch", "stream"][rng.random_range(0..3)];
                let path = format!("/{route}/{}", draw_ms(&mut rng, 100.0, 900));
                let id = format!("drain-{client}-{turn}");
                match kept.send("POST", &path, &id).await {
                    Some(request) => sent.push(request),
                    None => break,
                }
                sleep(Duration::from_millis(rng.random_range(0..IDLE_MS))).await;
            }
            sent
        };
        actix_rt::spawn(task)
    });
    let clients: Vec<_> = clients.collect();
    sleep(Duration::from_secs(1)).await;
    world.relay().terminate();
    // Past the closing of idle connections and of the port.
    sleep(Duration::from_millis(4_500)).await;
    is_running.set(false);
    let sent = join_all(clients).await.into_iter();
    let sent: Vec<Sent> = sent
        .flat_map(|sent| sent.expect("a client does not panic"))
        .collect();
    world.until_ended().await;
    check(&sent, &runs);
    println!(
        "seed {seed}: {} served, {} refused, {} unread",
        count(&sent, 200),
        count(&sent, 503),
        count(&sent, 0)
    );
    assert!(count(&sent, 200) > 100);
}

// A half-closed connection can't be told from a closed one before something is written:
// its client counts as gone.
#[actix_rt::test]
async fn half_closed_connection_keeps_its_upstream_at_work() {
    let runs = Runs::default();
    let world = world("kept-half", &runs).await;
    let mut stream = TcpStream::connect(world.relay_address(7001))
        .await
        .expect("the relay accepts");
    for (id, length) in [("first", 5), ("second", 2_000)] {
        let head = request_head("GET", &format!("/read/{length}"), id) + "\r\n";
        let sent = stream.write_all(head.as_bytes()).await;
        sent.expect("the relay reads");
        if id == "first" {
            assert_eq!(read_framed(&mut stream).await.status, 200);
        }
    }
    world
        .until(async |_| runs.borrow().contains_key("second"))
        .await;
    stream.shutdown().await.expect("the client half-closes");
    let answer = read_framed(&mut stream).await;
    assert_eq!((answer.status, answer.is_whole), (0, false), "{answer:?}");
    let record = world.request_record(0, "second").await;
    assert!(record.line.contains("client gone"), "{}", record.line);
    assert!(record.took < Duration::from_millis(1_500), "{record:?}");
}
