//! A request of each kind is served from one end to the other.

use serde_json::json;
use test_case::test_case;

use crate::support::{
    ASSOCIATION_KEY, Call, Caller, LUZCENA_KEY, Ran, Traffic, WorldBuilder, eventually,
};

#[actix_rt::test]
async fn each_kind_of_request_is_served_and_billed_once() {
    let world = WorldBuilder::new("path").start().await;
    let caller = world.caller(0, LUZCENA_KEY);

    let stream = caller
        .send(Caller::chat("scene", 20, true).header("x-carawayrun-task", "plan"))
        .await;
    assert_eq!(
        (stream.status, stream.is_whole()),
        (200, true),
        "{}",
        stream.body
    );
    assert!(
        stream.text().contains(&stream.request_id),
        "{}",
        stream.body
    );

    let tweak = caller
        .send(Caller::chat("scene", 5, false).header("x-carawayrun-task", "tweak"))
        .await;
    assert_eq!(tweak.status, 200, "{}", tweak.body);
    assert!(tweak.text().contains(&tweak.version), "{}", tweak.body);

    let status = caller.send(Caller::get("/services/home/status")).await;
    assert_eq!(status.status, 200, "{}", status.body);

    let switch = caller
        .send(Caller::post("/services/home/switch", "{}").header("x-effect", "one"))
        .await;
    assert_eq!(switch.status, 200, "{}", switch.body);
    assert_eq!(world.effects(world.first_plain()).await["one"], 1);

    let answers = [stream, tweak, status, switch];
    for answer in &answers {
        eventually("the bill is in the table", || async {
            world.bills().await.count(&answer.request_id) == 1
        })
        .await;
    }
}

#[actix_rt::test]
async fn bad_requests_are_refused_with_a_stable_code() {
    let world = WorldBuilder::new("refusals").gateways(1).start().await;
    let luzcena = world.caller(0, LUZCENA_KEY);
    let association = world.caller(0, ASSOCIATION_KEY);
    let stranger = world.caller(0, "no-such-key");
    let engines_say =
        json!({"model": "scene", "max_tokens": "many", "messages": [{"content": "hi"}]});
    let cases: [(&Caller, Call, u16, &str); 9] = [
        (
            &luzcena,
            Caller::post("/v1/chat/completions", &engines_say.to_string()),
            400,
            "malformed_body",
        ),
        (
            &stranger,
            Caller::chat("scene", 2, false),
            401,
            "unknown_key",
        ),
        (
            &association,
            Caller::chat("scene-v2", 2, false),
            403,
            "forbidden_version",
        ),
        (
            &luzcena,
            Caller::chat("no-such-model", 2, false),
            404,
            "unknown_model",
        ),
        (
            &luzcena,
            Caller::post("/v1/chat/completions", "{"),
            400,
            "malformed_body",
        ),
        (
            &luzcena,
            Caller::post("/services/home/no-such-call", ""),
            404,
            "unknown_route",
        ),
        (
            &luzcena,
            Caller::post("/services/none/status", ""),
            403,
            "forbidden_service",
        ),
        (
            &luzcena,
            Caller::chat("scene", 2, false).header("x-carawayrun-deadline-ms", "0"),
            504,
            "deadline_expired",
        ),
        (
            &luzcena,
            Caller::chat("scene", 2, false).header("x-carawayrun-task", "no-such-task"),
            400,
            "unknown_task",
        ),
    ];
    for (caller, call, status, code) in cases {
        let answer = caller.send(call).await;
        assert_eq!(
            (answer.status, answer.code().as_str()),
            (status, code),
            "{}",
            answer.body
        );
        assert_eq!(answer.ran(), Ran::No, "{code}");
    }
}

#[test_case("agent")]
#[test_case("gateway")]
#[test_case("table")]
#[actix_rt::test]
async fn the_rest_serves_when_one_process_is_killed(victim: &str) {
    let mut world = WorldBuilder::new("kill-one").start().await;
    match victim {
        "agent" => world.agents[0].kill(),
        "gateway" => world.gateways[1].kill(),
        _ => world.table().kill(),
    }
    let caller = world.caller(0, LUZCENA_KEY);
    for _ in 0..20 {
        let answer = caller.send(Caller::chat("scene", 2, false)).await;
        assert_eq!(
            answer.status, 200,
            "after the kill of the {victim}: {}",
            answer.body
        );
        let status = caller.send(Caller::get("/services/home/status")).await;
        assert_eq!(
            status.status, 200,
            "after the kill of the {victim}: {}",
            status.body
        );
    }
}

#[actix_rt::test]
async fn the_rest_serves_when_one_after_the_other_is_killed_under_load() {
    let mut world = WorldBuilder::new("kill-all").start().await;
    let callers = [world.caller(0, LUZCENA_KEY), world.caller(0, LUZCENA_KEY)];
    let chats = Traffic::spawn(&callers, |_| Caller::chat("scene", 2, true));
    let reads = Traffic::spawn(&callers, |_| Caller::get("/services/home/status"));
    for victim in ["agent", "gateway", "table"] {
        match victim {
            "agent" => world.agents[0].kill(),
            "gateway" => world.gateways[1].kill(),
            _ => world.table().kill(),
        }
        chats.more_succeed(30).await;
        reads.more_succeed(30).await;
    }
    chats.stop().await;
    reads.stop().await;
}
