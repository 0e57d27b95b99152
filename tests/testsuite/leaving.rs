//! An upstream that is leaving receives no new work.

use awc::http::Method;
use serde_json::json;
use test_case::test_case;

use crate::support::{Caller, LUZCENA_KEY, World, WorldBuilder, eventually};

/// How an upstream leaves.
#[derive(Debug, Clone, Copy)]
enum Leave {
    /// Its agent is told to stop while it serves a long stream.
    AgentStops,
    /// The platform lists its host as leaving.
    HostLeaves,
    /// An operator drains it.
    Drained,
    /// Its agent is frozen, so nobody announces anything.
    AgentFrozen,
}

#[test_case(Leave::AgentStops; "its agent stops")]
#[test_case(Leave::HostLeaves; "its host is listed as leaving")]
#[test_case(Leave::Drained; "an operator drains it")]
#[test_case(Leave::AgentFrozen; "its agent is frozen")]
#[actix_rt::test]
async fn a_leaving_upstream_gets_no_new_work(how: Leave) {
    let world = WorldBuilder::new("leaving")
        .engine_arg("--token-ms", "20")
        .start()
        .await;
    let long = actix_rt::spawn(long_stream(world.caller(0, LUZCENA_KEY)));
    leave(&world, how).await;
    for gateway in 0..2 {
        eventually("the gateway knows", || async {
            is_closed(&world, gateway).await
        })
        .await;
        for _ in 0..20 {
            let answer = world
                .caller(gateway, LUZCENA_KEY)
                .send(Caller::chat("scene", 2, false))
                .await;
            assert_eq!(answer.status, 200, "{}", answer.body);
            assert_eq!(answer.upstream, "scene-1", "after the gateway knew");
        }
    }
    if matches!(how, Leave::AgentFrozen) {
        world.agents[0].wake();
    }
    long.await.expect("the long stream ends");
}

async fn leave(world: &World, how: Leave) {
    match how {
        Leave::AgentStops => world.agents[0].terminate(),
        Leave::HostLeaves => world.list_hosts(Some("agent-scene-0")).await,
        Leave::Drained => {
            let path = "/apis/v1/Upstream/scene-0";
            let mut upstream = world.operator_get(0, path).await;
            upstream["spec"]["drain"] = json!(true);
            assert!(world.operator_send(0, Method::PUT, path, &upstream).await < 300);
        }
        Leave::AgentFrozen => world.agents[0].freeze(),
    }
}

// An agent that ended is gone from the list, or closed until it is forgotten.
async fn is_closed(world: &World, gateway: usize) -> bool {
    let status = world.operator_get(gateway, "/apis/v1/status").await;
    let agents = status["agents"].as_array().cloned().unwrap_or_default();
    let leaving = agents.iter().find(|agent| agent["upstream"] == "scene-0");
    leaving.is_none_or(|agent| agent["open"] == false)
}

/// What was begun before is finished whole, wherever it runs.
async fn long_stream(caller: Caller) {
    let call = Caller::chat("scene", 100, true).header("x-carawayrun-task", "plan");
    let answer = caller.send(call).await;
    assert!(answer.is_whole(), "{}", answer.body);
}
