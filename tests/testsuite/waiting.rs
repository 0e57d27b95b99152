//! A relay before a plain service with few slots, as processes.

use std::time::{Duration, Instant};

use awc::http::{Method, StatusCode};
use serde_json::json;

use crate::support::platform::{API_KEY, PlatformWorld, config, send_aside};

/// Time that the upstream takes for a request, longer than a report's age, so that it has
/// a place for each slot and hardly more.
const WORK: Duration = Duration::from_millis(600);

/// Requests that the upstream runs at once.
const SLOTS: usize = 2;

/// Requests for its places and for some turns of them.
const BURST: usize = 14;

/// A relay before one upstream; reads are less urgent than switches.
async fn world(name: &str) -> PlatformWorld {
    let mut world = PlatformWorld::start_relays(name, 1).await;
    let mut config = config(5, &[API_KEY]);
    config["routes"][0]["priority"] = json!(2);
    config["routes"][1]["priority"] = json!(0);
    world.put("op", "config", &config).await;
    let arrivals = world.arrivals_path().to_string_lossy().into_owned();
    let work = WORK.as_millis().to_string();
    let more = ["--arrivals", &arrivals, "--work-ms", &work];
    let host = world.unregistered_runner("app-0", &more).await;
    let mut row = world.registration("app", host);
    row["batch_slots"] = json!(SLOTS);
    world.put("servers", "app-0", &row).await;
    world.until_ready().await;
    // The relay learns how long a place is held.
    assert_eq!(world.read("first").await, StatusCode::OK);
    world
}

/// Lets many reads come at once; returns when some wait.
async fn fill(world: &PlatformWorld) {
    for number in 0..BURST {
        send_aside(world.request(Method::GET, "/read/a", &format!("read-{number}")));
    }
    world
        .until(async |world| {
            let metrics = world.metrics().await;
            metrics.contains("carawayrun_queue_length{service=\"app\"}")
                && !metrics.contains("carawayrun_queue_length{service=\"app\"} 0")
        })
        .await;
}

fn arrived_before(world: &PlatformWorld, id: &str) -> usize {
    let arrivals = world.arrivals();
    let place = arrivals.iter().position(|arrival| arrival.id == id);
    let place = place.expect("it arrived");
    let before = arrivals[..place].iter();
    before
        .filter(|arrival| arrival.id.starts_with("read-"))
        .count()
}

// All were sent at once, and the upstream ran or refused them in the order they came.
#[actix_rt::test]
async fn urgent_request_goes_before_those_that_wait() {
    let world = world("waiting-urgent").await;
    fill(&world).await;
    let reply = world
        .send(world.request(Method::POST, "/switch/a", "urgent"), "")
        .await;
    assert_eq!(reply.status, StatusCode::OK);
    let before = arrived_before(&world, "urgent");
    assert!(before <= SLOTS * 2, "{before} reads went before it");
}

// A caller that leaves while its request waits is never sent on.
#[actix_rt::test]
async fn gone_caller_leaves_the_queue() {
    let world = world("waiting-gone").await;
    fill(&world).await;
    let leaving = world
        .request(Method::GET, "/read/a", "leaving")
        .timeout(Duration::from_millis(100));
    leaving.send().await.expect_err("it waits for longer");
    // The last of the burst is served or refused.
    world
        .until(async |world| {
            let metrics = world.metrics().await;
            metrics.contains("carawayrun_queue_length{service=\"app\"} 0")
        })
        .await;
    actix_rt::time::sleep(WORK).await;
    let arrivals = world.arrivals();
    assert!(arrivals.iter().all(|arrival| arrival.id != "leaving"));
}

// What can't have its turn in time is refused at once, and never reaches the upstream.
#[actix_rt::test]
async fn request_without_time_for_its_turn_is_refused_at_once() {
    let world = world("waiting-refused").await;
    fill(&world).await;
    let begun = Instant::now();
    let request = world
        .request(Method::POST, "/read/a", "hopeless")
        .insert_header(("x-carawayrun-deadline-ms", "900"));
    let reply = world.send(request, "").await;
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(
        begun.elapsed() < WORK,
        "refused after {:?}",
        begun.elapsed()
    );
    assert!(reply.retry_after.expect("a refusal names a time") > 0.0);
    let record = world.request_record(0, "hopeless").await;
    assert!(record.line.contains("no room"), "{}", record.line);
    actix_rt::time::sleep(Duration::from_secs(1)).await;
    let arrivals = world.arrivals();
    assert!(arrivals.iter().all(|arrival| arrival.id != "hopeless"));
}
