//! A session keeps its version.

use awc::http::Method;
use serde_json::json;
use test_case::test_case;

use crate::support::{Answer, Caller, LUZCENA_KEY, World, WorldBuilder, eventually, resource};

#[test_case(true; "by the token of the answer")]
#[test_case(false; "by the caller's own id")]
#[actix_rt::test]
async fn a_session_keeps_its_version_through_roll_out_kill_and_restart(by_token: bool) {
    let mut world = WorldBuilder::new("sessions").gateways(3).start().await;
    let mut sessions: Vec<Session> = Vec::new();
    for number in 0..12 {
        let answer = chat(&world, number % 3, &format!("own-{number}")).await;
        assert_eq!(answer.status, 200, "{}", answer.body);
        let token = if by_token {
            answer.session
        } else {
            format!("own-{number}")
        };
        sessions.push(Session {
            token,
            version: answer.version,
        });
    }
    roll_out(&world, 0.5).await;
    check(&world, &sessions).await;
    world.gateways[2].kill();
    world.start_gateway(2);
    world.in_force(2).await;
    world.agents_open().await;
    check(&world, &sessions).await;
}

#[actix_rt::test]
async fn a_withdrawal_ends_the_session_and_says_so() {
    let world = WorldBuilder::new("sessions-withdrawn").start().await;
    let first = chat(&world, 0, "own").await;
    let path = format!("/apis/v1/Version/{}", first.version);
    let mut version = world.operator_get(0, &path).await;
    version["spec"]["phase"] = json!("withdrawn");
    assert!(world.operator_send(0, Method::PUT, &path, &version).await < 300);
    world.in_force(2).await;
    let next = chat(&world, 1, &first.session).await;
    assert_eq!(next.status, 200, "{}", next.body);
    assert_ne!(next.version, first.version);
    assert!(
        !next.session_moved.is_empty(),
        "the answer says that the session moved"
    );
}

#[derive(Debug)]
struct Session {
    token: String,
    version: String,
}

async fn chat(world: &World, gateway: usize, session: &str) -> Answer {
    let call = Caller::chat("scene", 2, false).header("x-carawayrun-session", session);
    world.caller(gateway, LUZCENA_KEY).send(call).await
}

async fn roll_out(world: &World, share: f64) {
    let rollout = resource(
        "Rollout",
        "scene-up",
        &json!({
            "model": "scene", "from": "scene-v1", "to": "scene-v2", "steps": [share],
            "maxExposure": 1000, "tolerance": 0.1, "errorRate": 0.01,
        }),
    );
    world.apply(&json!([rollout])).await;
    world.in_force(2).await;
    // Only a split that is under way can tear a session from its version.
    for gateway in 0..3 {
        let caller = world.caller(gateway, LUZCENA_KEY);
        eventually("the new version takes traffic", || async {
            let answer = caller.send(Caller::chat("scene", 2, false)).await;
            answer.version == "scene-v2"
        })
        .await;
    }
}

async fn check(world: &World, sessions: &[Session]) {
    for gateway in 0..3 {
        for session in sessions {
            let answer = chat(world, gateway, &session.token).await;
            assert_eq!(answer.status, 200, "{}", answer.body);
            assert_eq!(
                answer.version, session.version,
                "gateway {gateway}, {session:?}"
            );
        }
    }
}
