//! Planned stops while answers take drawn times, as processes.

use std::rc::Rc;
use std::time::Duration;

use actix_rt::net::TcpStream;
use actix_rt::task::JoinHandle;
use futures_util::future::join_all;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::io::AsyncWriteExt;
use tokio::time::{Instant, sleep_until};

use crate::support::now_ms;
use crate::support::paced::{EVENTS, Runs, paced_path, serve_paced};
use crate::support::platform::{API_KEY, PlatformWorld, config};
use crate::support::raw::{RawAnswer, events, read_answer, request_head};

/// `grace_s` of the platform.
const GRACE_MS: u64 = 8_000;

/// Time after SIGTERM until which a request may be sent that is cut in the last sixth of the
/// grace period.
const EXCUSED_MS: u64 = 3_000;

/// Time after SIGTERM until which clients send requests, and the time between two.
const SENDING_MS: u64 = 7_600;
const INTERVAL_MS: u64 = 40;

/// Hosts of the upstreams.
const HOSTS: std::ops::Range<usize> = 60..66;

/// Requests whose answers the relay has seen before it stops.
const EARLIER: u32 = 30;

/// Longest time of an answer.
const LONGEST_S: f64 = 5.0;

/// Mean of the drawn times, in seconds.
const MEAN_S: f64 = 1.2;

fn draw(random: &mut StdRng) -> Duration {
    let share: f64 = random.random();
    Duration::from_secs_f64((-MEAN_S * (1.0 - share).ln()).min(LONGEST_S))
}

/// What became of one request.
struct Sent {
    id: String,
    path: String,
    /// Time at which its last byte was sent, in milliseconds since the Unix epoch.
    sent_ms: u64,
    /// None where the port was closed.
    answer: Option<RawAnswer>,
}

async fn send(addr: String, path: String, id: String, at: Instant) -> Sent {
    sleep_until(at).await;
    let mut sent = Sent {
        id,
        path,
        sent_ms: now_ms(),
        answer: None,
    };
    let Ok(mut stream) = TcpStream::connect(&addr).await else {
        return sent;
    };
    let head = request_head("POST", &sent.path, &sent.id) + "content-length: 0\r\n\r\n";
    // An answer may be there all the same.
    let _ = stream.write_all(head.as_bytes()).await;
    sent.sent_ms = now_ms();
    sent.answer = Some(read_answer(&mut stream).await);
    sent
}

async fn join(tasks: Vec<JoinHandle<Sent>>) -> Vec<Sent> {
    let joined = join_all(tasks).await.into_iter();
    joined
        .map(|sent| sent.expect("a client does not panic"))
        .collect()
}

async fn world(name: &str, relays: usize) -> (PlatformWorld, Runs) {
    let world = PlatformWorld::start_relays(name, relays).await;
    world.put("op", "config", &config(5, &[API_KEY])).await;
    let runs = Runs::default();
    for host in HOSTS {
        let address = world.address(host);
        actix_rt::spawn(serve_paced(address, 95, Rc::clone(&runs)));
        world.register(&format!("llm-{host}"), "llm", host).await;
    }
    world.until_known(HOSTS.len()).await;
    (world, runs)
}

/// Judges a request that the relay has accepted; returns what is wrong.
fn judge(world: &PlatformWorld, sent: &Sent, runs: &Runs) -> Option<String> {
    let answer = sent.answer.as_ref()?;
    let has_run = runs.borrow().contains(&sent.id);
    let is_sound = match answer.status {
        200 => answer.is_whole && answer.body == events(1, EVENTS) && has_run,
        503 => {
            answer.is_whole
                && !has_run
                && answer.head.contains("retry-after: ")
                && answer.head.contains("connection: close")
        }
        _ => false,
    };
    if is_sound {
        return None;
    }
    let draining = world.logged_at(0, "relay draining");
    let record = world.logged_request(0, &sent.id);
    // By the relay's own time, as the test may wait for a processor.
    let read_ms = match &record {
        Some(record) => record
            .ended_ms
            .saturating_sub(record.took.as_millis() as u64),
        None => sent.sent_ms,
    };
    let read_ms = read_ms.saturating_sub(draining);
    let ended_ms = record
        .map_or(0, |record| record.ended_ms)
        .saturating_sub(draining);
    let is_excused = read_ms <= EXCUSED_MS && ended_ms >= GRACE_MS - GRACE_MS / 6;
    let (id, path, status) = (&sent.id, &sent.path, answer.status);
    (!is_excused)
        .then(|| format!("{id} {path}: {status}, read at {read_ms} ms, ended at {ended_ms} ms"))
}

// It was expected to end in time by its route's mean, and did not.
#[actix_rt::test]
async fn stream_taken_late_is_cut() {
    let mut random = StdRng::seed_from_u64(5_301);
    let (mut world, runs) = world("drawn", 2).await;
    let addr = world.relay_address(7001);
    let mut spawn = |id: String, at: Instant| {
        let path = paced_path("/stream/", draw(&mut random));
        actix_rt::spawn(send(addr.clone(), path, id, at))
    };
    let now = Instant::now();
    let earlier = (0..EARLIER).map(|number| spawn(format!("before-{number}"), now));
    let earlier = join(earlier.collect()).await;
    let answers = earlier.iter().filter_map(|sent| sent.answer.as_ref());
    assert!(answers.filter(|answer| answer.is_whole).count() > 20);
    let begun = Instant::now();
    let tasks = (0..SENDING_MS / INTERVAL_MS).map(|number| {
        let at = begun + Duration::from_millis(number * INTERVAL_MS);
        spawn(format!("late-{number}"), at)
    });
    let tasks = tasks.collect();
    world.relay().terminate();
    let sent = join(tasks).await;
    world.until_ended().await;
    let wrong: Vec<_> = sent
        .iter()
        .filter_map(|sent| judge(&world, sent, &runs))
        .collect();
    assert!(
        wrong.is_empty(),
        "{} of {}: {wrong:#?}",
        wrong.len(),
        sent.len()
    );
    let answered = |status| {
        let answers = sent.iter().filter_map(|sent| sent.answer.as_ref());
        answers.filter(|answer| answer.status == status).count()
    };
    let (served, refused) = (answered(200), answered(503));
    assert!(served > 20 && refused > 20, "{served} and {refused}");
}
