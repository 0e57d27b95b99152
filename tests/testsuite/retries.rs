//! Repeats of requests by several relays as processes, counted where they arrive.

use std::time::Duration;

use awc::http::Method;
use serde_json::json;

use crate::support::platform::{API_KEY, PlatformWorld, config};

const RELAYS: usize = 2;

/// `retry_ratio` and `retry_slack` of the platform.
const RATIO: f64 = 0.9;
const SLACK: f64 = 58.0;

/// Requests to each relay; sent in less than `retry_window_s`.
const REQUESTS: usize = 400;

/// Upstreams that run requests and lose the answers.
const LOSING: usize = 6;

/// Registered upstreams that refuse connections.
const UNREACHABLE: usize = 5;

// A request whose first attempt found no connection sent once, and then once more
// without taking a retry from the budget.
#[actix_rt::test]
async fn repeats_exceed_budget_after_unreachable_upstream() {
    let mut world = PlatformWorld::start("repeats").await;
    for _ in 1..RELAYS {
        world.start_relay();
    }
    let mut written = config(5, &[API_KEY]);
    written["routes"][0]["max_attempts"] = json!(LOSING);
    world.put("op", "config", &written).await;
    for number in 0..LOSING {
        world.runner(&format!("app-{number}"), "app", &[]).await;
    }
    world.until_ready().await;
    world.change_settings("retry_slack = 600", &format!("retry_slack = {SLACK}"));
    for relay in 0..RELAYS {
        world.until_relay_logged(relay, "settings changed").await;
    }
    for number in 0..UNREACHABLE {
        let id = format!("gone-{number}");
        world.register(&id, "app", 100 + number).await;
    }
    for runner in 0..LOSING {
        let loses = json!({"loseAnswers": 1_000_000});
        world.faults(&world.runner_url(runner), &loses).await;
    }
    world.until_known(LOSING + UNREACHABLE).await;
    for number in 0..REQUESTS {
        for relay in 0..RELAYS {
            let id = format!("req-{relay}-{number}");
            let request = world.request_at(relay, Method::GET, "/read/a", &id);
            world.send(request, "").await;
        }
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
    let mut arrivals = 0;
    let mut arrived = std::collections::BTreeSet::new();
    for runner in 0..LOSING {
        arrivals += world.run_count(runner).await;
        arrived.extend(world.run_ids(runner).await);
    }
    let repeats = arrivals - arrived.len();
    let allowed = RATIO * (RELAYS * REQUESTS) as f64 + SLACK;
    assert!(repeats as f64 <= allowed, "{repeats} of {allowed}");
    // What is allowed is used.
    assert!(repeats as f64 >= allowed / 2.0, "{repeats} of {allowed}");
}
