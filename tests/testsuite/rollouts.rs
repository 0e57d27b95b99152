//! Exposure to a bad version is bounded, and control work outlives its holder.

use awc::http::Method;
use serde_json::{Value, json};

use crate::support::{
    Caller, Exchange, LUZCENA_KEY, Traffic, World, WorldBuilder, eventually, resource,
};

/// Most answers of the new version before it is judged, as in the manifest.
const MAX_EXPOSURE: usize = 200;

/// Callers, each with one request in flight; gateways learn of each other's
/// exposure a moment late.
const CALLERS: usize = 6;

#[actix_rt::test]
async fn a_bad_version_is_withdrawn_by_itself() {
    let world = WorldBuilder::new("rollout-bad").start().await;
    let traffic = roll_out_bad(&world).await;
    withdrawn(&world, 0).await;
    let exposed = count_new(&traffic.stop().await);
    assert!(
        exposed <= MAX_EXPOSURE + CALLERS,
        "{exposed} requests saw the bad version"
    );
    no_new_work(&world, 0).await;
}

#[actix_rt::test]
async fn another_gateway_takes_up_a_roll_out_whose_holder_is_killed() {
    let mut world = WorldBuilder::new("rollout-holder")
        .gateways(3)
        .start()
        .await;
    let traffic = roll_out_bad(&world).await;
    traffic.more_answered(10).await;
    let holder = holder(&world).await;
    world.gateways[holder].kill();
    let other = (holder + 1) % 3;
    withdrawn(&world, other).await;
    traffic.stop().await;
    no_new_work(&world, other).await;
}

#[actix_rt::test]
async fn a_frozen_holder_that_wakes_changes_nothing() {
    let world = WorldBuilder::new("rollout-frozen")
        .gateways(3)
        .start()
        .await;
    let traffic = roll_out_bad(&world).await;
    traffic.more_answered(10).await;
    let holder = holder(&world).await;
    world.gateways[holder].freeze();
    let other = (holder + 1) % 3;
    withdrawn(&world, other).await;
    let changes = world.rows("config/change/").await.len();
    world.gateways[holder].wake();
    eventually("the woken holder follows", || async {
        phase(&world, holder).await == "withdrawn"
    })
    .await;
    traffic.stop().await;
    assert_eq!(world.rows("config/change/").await.len(), changes);
}

/// Starts a roll-out to a version whose every answer fails.
async fn roll_out_bad(world: &World) -> Traffic {
    let mut candidate = world.operator_get(0, "/apis/v1/Version/scene-v2").await;
    candidate["spec"]["phase"] = json!("candidate");
    let put = world
        .operator_send(0, Method::PUT, "/apis/v1/Version/scene-v2", &candidate)
        .await;
    assert!(put < 300, "{put}");
    for engine in 0..2 {
        let bad = json!({"badVersion": "scene-v2", "badFailures": 1.0});
        world.upstream_faults(engine, &bad).await;
    }
    let rollout = json!({
        "model": "scene", "from": "scene-v1", "to": "scene-v2", "steps": [0.2, 0.5, 1.0],
        "maxExposure": MAX_EXPOSURE, "tolerance": 0.05, "errorRate": 0.01,
    });
    world
        .apply(&json!([resource("Rollout", "scene-up", &rollout)]))
        .await;
    world.in_force(3).await;
    let gateways = world.gateways.len();
    let callers: Vec<Caller> = (0..CALLERS)
        .map(|n| world.caller(n % gateways, LUZCENA_KEY))
        .collect();
    Traffic::spawn(&callers, |_| Caller::chat("scene", 2, false))
}

async fn withdrawn(world: &World, gateway: usize) {
    eventually("the bad version is withdrawn", || async {
        phase(world, gateway).await == "withdrawn"
    })
    .await;
}

async fn phase(world: &World, gateway: usize) -> Value {
    let found = world
        .operator_get(gateway, "/apis/v1/Version/scene-v2")
        .await;
    found["spec"]["phase"].clone()
}

/// The gateway that holds the roll-out's row.
async fn holder(world: &World) -> usize {
    eventually("the roll-out has a holder", || async {
        holder_name(world).await.is_some()
    })
    .await;
    let name = holder_name(world).await.expect("there is a holder");
    let number = name
        .trim_start_matches("gw-")
        .split('.')
        .next()
        .expect("a number");
    number.parse().expect("gateways are numbered")
}

async fn holder_name(world: &World) -> Option<String> {
    let rows = world.rows("work/rollouts").await;
    let holder = rows.first().map(|row| row["value"]["holder"].clone())?;
    holder
        .as_str()
        .filter(|name| name.starts_with("gw-"))
        .map(str::to_owned)
}

/// Answers, good or bad, that the new version gave.
fn count_new(exchanges: &[Exchange]) -> usize {
    exchanges
        .iter()
        .filter(|exchange| exchange.answer.version == "scene-v2")
        .count()
}

async fn no_new_work(world: &World, gateway: usize) {
    for _ in 0..30 {
        let answer = world
            .caller(gateway, LUZCENA_KEY)
            .send(Caller::chat("scene", 2, false))
            .await;
        assert_eq!(
            (answer.status, answer.version.as_str()),
            (200, "scene-v1"),
            "{}",
            answer.body
        );
    }
}
