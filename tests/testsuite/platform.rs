//! A relay on the users' platform, as separate processes.

use awc::http::{Method, StatusCode};
use serde_json::json;
use test_case::test_case;

use crate::support::platform::{API_KEY, PlatformWorld, config};

/// Memory of the smallest hosts of the users' platform.
const MAX_PEAK_KB: u64 = 88 * 1024;

async fn world(name: &str) -> PlatformWorld {
    let mut world = PlatformWorld::start(name).await;
    world.put("op", "config", &config(5, &[API_KEY])).await;
    world.runner("app-1", "app", &[]).await;
    world.runner("llm-1", "llm", &[]).await;
    world.until_ready().await;
    world
}

fn events() -> String {
    let events = (1..=8).map(|n| format!("id: {n}\ndata: word {n}\n\n"));
    events.collect()
}

#[actix_rt::test]
async fn nothing_is_ready_before_a_configuration_is_known() {
    let world = PlatformWorld::start("unready").await;
    assert!(!world.is_ready().await);
}

#[actix_rt::test]
async fn a_request_passes_whole_with_the_teams_name_in_place_of_its_key() {
    let world = world("whole").await;
    let request = world
        .request(Method::POST, "/switch/scene", "req-1")
        .insert_header(("x-carawayrun-tenant", "forged"))
        .insert_header(("x-carawayrun-hold", "forged"))
        .insert_header(("kv-from", "forged"));
    let reply = world.send(request, "on").await;
    assert_eq!(reply.status, StatusCode::OK);
    assert_eq!(reply.body.as_deref(), Some("app-1 ran req-1\n"));
    let runs = world.runs(0, "req-1").await;
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0]["tenant"], "shops");
    assert_eq!(runs[0]["body"], "on");
    assert_eq!(runs[0]["forged"], json!([]));
}

// A service without any upstream took the wait for upstreams' limits, of seconds.
#[actix_rt::test]
async fn a_request_without_an_upstream_is_told_to_return_soon() {
    let mut world = PlatformWorld::start("no-upstream").await;
    world.put("op", "config", &config(5, &[API_KEY])).await;
    world.runner("llm-1", "llm", &[]).await;
    world.until_ready().await;
    let request = world.request(Method::GET, "/read/a", "req-1");
    let reply = world.send(request, "").await;
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    let wait = reply.retry_after.expect("it says when to return");
    assert!((0.25..=0.75).contains(&wait), "{wait}");
}

#[actix_rt::test]
async fn a_wrong_key_and_an_unknown_path_are_refused() {
    let world = world("refused").await;
    let request = world
        .request(Method::GET, "/read/a", "req-1")
        .insert_header(("authorization", "Token nobody"));
    assert_eq!(
        world.send(request, "").await.status,
        StatusCode::UNAUTHORIZED
    );
    let request = world.request(Method::GET, "/nowhere", "req-2");
    assert_eq!(world.send(request, "").await.status, StatusCode::NOT_FOUND);
}

#[actix_rt::test]
async fn a_call_that_may_have_run_is_not_sent_again() {
    let mut world = world("once").await;
    world.runner("app-2", "app", &[]).await;
    world.until_ready().await;
    let lose = json!({"loseAnswers": 1});
    world.faults(&world.runner_url(0), &lose).await;
    world.faults(&world.runner_url(2), &lose).await;
    let request = world.request(Method::POST, "/switch/scene", "req-1");
    let reply = world.send(request, "on").await;
    assert_eq!(reply.status, StatusCode::BAD_GATEWAY);
    let runs = world.runs(0, "req-1").await.len() + world.runs(2, "req-1").await.len();
    assert_eq!(runs, 1);
}

#[actix_rt::test]
async fn a_read_whose_answers_are_lost_is_sent_again() {
    let mut world = world("again").await;
    world.runner("app-2", "app", &[]).await;
    world.runner("app-3", "app", &[]).await;
    world.until_ready().await;
    // Two of the three lose it, and a third attempt is allowed.
    for index in [0, 2] {
        let lose = json!({"loseAnswers": 1});
        world.faults(&world.runner_url(index), &lose).await;
    }
    assert_eq!(world.read("req-1").await, StatusCode::OK);
}

#[actix_rt::test]
async fn a_stream_goes_on_elsewhere_after_the_last_whole_event() {
    let mut world = world("resume").await;
    world.runner("llm-2", "llm", &[]).await;
    let cut = json!({"cutStreams": 1});
    world.faults(&world.runner_url(1), &cut).await;
    world.faults(&world.runner_url(2), &cut).await;
    world.runner("llm-3", "llm", &[]).await;
    world.until_ready().await;
    let request = world.request(Method::POST, "/stream/plan", "req-1");
    let reply = world.send(request, "plan").await;
    assert_eq!(reply.body, Some(events()));
}

// An engine in trouble sent bytes without an end that were no event: the relay kept
// all of them, or waited for the deadline as long as a byte came now and then.
#[test_case("floodStreams"; "flooded")]
#[test_case("trickleStreams"; "trickling")]
#[actix_rt::test]
async fn stream_without_events_is_not_ended(fault: &str) {
    let mut world = world(fault).await;
    world.runner("llm-2", "llm", &[]).await;
    let faults = json!({ fault: 1 });
    world.faults(&world.runner_url(1), &faults).await;
    world.faults(&world.runner_url(2), &faults).await;
    world.runner("llm-3", "llm", &[]).await;
    world.until_ready().await;
    let mut resumed = 0;
    for number in 0..8 {
        let id = format!("req-{number}");
        let request = world.request(Method::POST, "/stream/plan", &id);
        let reply = world.send(request, "plan").await;
        assert_eq!(reply.body, Some(events()), "{id}");
        let mut runs = 0;
        for runner in 1..=3 {
            runs += world.runs(runner, &id).await.len();
        }
        resumed += usize::from(runs > 1);
    }
    assert!(resumed > 0, "no stream began at an engine in trouble");
    let peak_kb = world.relay().peak_kb().expect("the relay runs");
    assert!(peak_kb < MAX_PEAK_KB, "{peak_kb} KB");
}

#[actix_rt::test]
async fn a_doubtful_answer_is_dropped_for_the_larger_models() {
    let mut world = PlatformWorld::start("cascade").await;
    world.put("op", "config", &config(5, &[API_KEY])).await;
    let doubts = ["--confidence", "10"];
    world.runner("llm-1", "llm", &doubts).await;
    world.runner("llm-2", "llm", &doubts).await;
    world.until_ready().await;
    let request = world.request(Method::POST, "/stream/plan", "req-1");
    assert_eq!(world.send(request, "plan").await.body, Some(events()));
    let mut models = Vec::new();
    for index in 0..2 {
        for run in world.runs(index, "req-1").await {
            models.push(run["model"].as_str().unwrap_or_default().to_owned());
        }
    }
    models.sort();
    assert_eq!(models, ["large", "small"]);
}

// Found by the soak, seed 125: the doubtful answer was dropped, and then no
// upstream had room for the larger model.
#[actix_rt::test]
async fn a_doubtful_answer_is_delivered_where_no_better_one_comes() {
    let mut world = PlatformWorld::start("held").await;
    world.put("op", "config", &config(5, &[API_KEY])).await;
    world.runner("llm-1", "llm", &["--confidence", "10"]).await;
    world.runner("llm-2", "llm", &["--slots", "0"]).await;
    world.until_ready().await;
    let request = world.request(Method::POST, "/stream/plan", "req-1");
    let reply = world.send(request, "plan").await;
    assert_eq!(reply.status, StatusCode::OK);
    assert_eq!(reply.body, Some(events()));
}

// Found on reading: the last failure of the larger model replaced the answer.
#[actix_rt::test]
async fn a_doubtful_answer_goes_before_a_failure_of_the_better_model() {
    let mut world = PlatformWorld::start("held-fail").await;
    world.put("op", "config", &config(5, &[API_KEY])).await;
    for index in 0..3 {
        let id = format!("llm-{index}");
        world.runner(&id, "llm", &["--confidence", "10"]).await;
        let fails = json!({"badVersion": "large"});
        world.faults(&world.runner_url(index), &fails).await;
    }
    world.until_ready().await;
    let request = world.request(Method::POST, "/stream/plan", "req-1");
    let reply = world.send(request, "plan").await;
    assert_eq!(reply.status, StatusCode::OK);
    assert_eq!(reply.body, Some(events()));
}

#[actix_rt::test]
async fn an_answer_to_another_request_is_not_delivered() {
    let world = world("crossed").await;
    world
        .faults(&world.runner_url(0), &json!({"crossAnswers": 1}))
        .await;
    let request = world.request(Method::POST, "/switch/scene", "req-1");
    let reply = world.send(request, "on").await;
    assert_eq!(reply.status, StatusCode::BAD_GATEWAY);
}

#[actix_rt::test]
async fn an_address_that_another_upstream_took_over_runs_nothing() {
    let world = world("reused").await;
    // The registration names an upstream that is gone; app-1 has its address.
    world.register("app-0", "app", 10).await;
    for number in 0..8 {
        let id = format!("req-{number}");
        let request = world.request(Method::POST, "/switch/scene", &id);
        let reply = world.send(request, "on").await;
        assert_eq!(reply.status, StatusCode::OK);
        assert_eq!(world.runs(0, &id).await.len(), 1);
    }
}

// Half of the upstreams crashed, and others took their addresses before the
// registrations lapsed: requests gave up after four of them.
#[actix_rt::test]
async fn many_addresses_that_others_took_over_cost_no_request() {
    let world = world("displaced").await;
    for number in 0..5 {
        world.register(&format!("gone-{number}"), "app", 10).await;
    }
    world.until_known(7).await;
    for number in 0..10 {
        let id = format!("req-{number}");
        let request = world.request(Method::POST, "/switch/scene", &id);
        assert_eq!(world.send(request, "on").await.status, StatusCode::OK);
        assert_eq!(world.runs(0, &id).await.len(), 1);
        // Longer than one that has no room is left alone.
        actix_rt::time::sleep(std::time::Duration::from_millis(200)).await;
    }
}

#[actix_rt::test]
async fn a_newer_configuration_is_in_force_also_after_the_history_was_dropped() {
    let world = world("config").await;
    world.post_store("/drop-history").await;
    world.put("op", "config", &config(9, &["key-two"])).await;
    world
        .until(async |world| world.read("req-1").await == StatusCode::UNAUTHORIZED)
        .await;
    // An older one that is written later changes nothing.
    world.put("op", "config", &config(7, &[API_KEY])).await;
    let request = world
        .request(Method::GET, "/read/a", "req-2")
        .insert_header(("authorization", "Token key-two"));
    assert_eq!(world.send(request, "").await.status, StatusCode::OK);
}

#[actix_rt::test]
async fn a_store_that_is_down_stops_keys_in_time_and_is_found_again() {
    let world = world("outage").await;
    let store = world.store_url("");
    world.faults(&store, &json!({"down": true})).await;
    let request = world.request(Method::GET, "/read/a", "req-1");
    assert_eq!(world.send(request, "").await.status, StatusCode::OK);
    world
        .until(async |world| world.read("req-2").await == StatusCode::SERVICE_UNAVAILABLE)
        .await;
    assert!(!world.is_ready().await);
    let request = world.request(Method::GET, "/read/a", "req-3");
    assert!(world.send(request, "").await.retry_after.is_some());
    world.faults(&store, &json!({"down": false})).await;
    world.until_ready().await;
    let request = world.request(Method::GET, "/read/a", "req-4");
    assert_eq!(world.send(request, "").await.status, StatusCode::OK);
}

// Seen in the recorded day of mwlsa-lathe: requests failed after three
// objectives though the only upstream answered a little later.
#[actix_rt::test]
async fn a_slow_answer_is_waited_for_where_there_is_no_other_upstream() {
    let world = world("slow").await;
    let slow = json!({"slowMs": 3500});
    world.faults(&world.runner_url(0), &slow).await;
    assert_eq!(world.read("req-1").await, StatusCode::OK);
    assert_eq!(world.runs(0, "req-1").await.len(), 1);
}

#[actix_rt::test]
async fn an_upstream_that_is_gone_costs_a_read_nothing() {
    let mut world = world("gone").await;
    world.runner("app-2", "app", &[]).await;
    world.until_ready().await;
    world.stop_runner(0);
    for number in 0..6 {
        let request = world.request(Method::GET, "/read/a", &format!("req-{number}"));
        assert_eq!(world.send(request, "").await.status, StatusCode::OK);
    }
}

#[actix_rt::test]
async fn the_metrics_tell_what_was_served() {
    let world = world("metrics").await;
    assert_eq!(world.read("req-1").await, StatusCode::OK);
    let metrics = world.metrics().await;
    let counted = "carawayrun_requests_total{outcome=\"answered\",status=\"200\"} 1";
    assert!(metrics.contains(counted), "{metrics}");
    assert!(metrics.contains("carawayrun_config_version 5"), "{metrics}");
    assert!(
        metrics.contains("carawayrun_request_seconds_count 1"),
        "{metrics}"
    );
}

#[actix_rt::test]
async fn a_registration_that_is_not_usable_hides_no_other() {
    let world = world("bad-row").await;
    world.put("servers", "broken", &json!({"service": 7})).await;
    world.put("servers", "odd", &json!("text")).await;
    let request = world.request(Method::GET, "/read/a", "req-1");
    assert_eq!(world.send(request, "").await.status, StatusCode::OK);
}

#[actix_rt::test]
async fn a_relay_that_is_told_to_stop_says_so_first_and_ends_well() {
    let mut world = world("stop").await;
    world.relay().terminate();
    world.until(async |world| !world.is_ready().await).await;
    let request = world.request(Method::GET, "/read/a", "req-1");
    assert_eq!(world.send(request, "").await.status, StatusCode::OK);
    let begun = std::time::Instant::now();
    while !world.relay().ended() {
        assert!(
            begun.elapsed().as_secs() < 8,
            "the relay goes on after its grace"
        );
        actix_rt::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    assert_eq!(world.relay().exit_code(), Some(0));
}

#[actix_rt::test]
async fn changed_settings_are_taken_over_with_and_without_a_signal() {
    let mut world = world("settings").await;
    world.change_settings("revoke_ms = 5000", "revoke_ms = 6000");
    world.until_logged("settings changed").await;
    world.change_settings("grace_s = 8", "grace_s = 0");
    world.relay().hang_up();
    world
        .until_logged("bounds.grace_s` must be more than zero")
        .await;
    assert_eq!(world.read("req-1").await, StatusCode::OK);
}

#[test]
fn a_relay_with_wrong_settings_says_so_in_one_line_and_ends() {
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_carawayrun"))
        .args(["relay", "--settings", "/nowhere/node.toml"])
        .output()
        .expect("the program runs");
    let errors = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2));
    assert_eq!(errors.lines().count(), 1, "{errors}");
    assert!(errors.contains("/nowhere/node.toml"), "{errors}");
}
