//! An accepted configuration takes effect everywhere and never reverts.

use std::cell::Cell;
use std::rc::Rc;

use awc::http::Method;
use serde_json::{Value, json};
use test_case::test_case;

use crate::support::{
    ASSOCIATION_KEY, Caller, CasOp, CasSpec, LUZCENA_KEY, Recorder, World, WorldBuilder,
    eventually, resource,
};

const TEAM: &str = "/apis/v1/Team/contested";

#[test_case(json!({}); "no fault")]
#[test_case(json!({"loseAnswers": 6}); "answers lost after the write")]
#[test_case(json!({"slowMs": 50}); "slow")]
#[actix_rt::test]
async fn concurrent_writes_of_operators_are_linearizable(faults: Value) {
    let world = Rc::new(WorldBuilder::new("race").engines(1).start().await);
    let created = world
        .operator_send(0, Method::PUT, TEAM, &contested(0, 0))
        .await;
    assert!((200..300).contains(&created), "{created}");
    let history = Recorder::new();
    world.table_faults(&faults).await;
    let operators =
        (0..4).map(|operator| actix_rt::spawn(race(Rc::clone(&world), operator, history.clone())));
    for task in operators.collect::<Vec<_>>() {
        task.await.expect("an operator does not panic");
    }
    world.table_faults(&json!({})).await;
    let accepted = history.accepted();
    assert!(accepted > 0, "no write was accepted");
    let rows = world.rows("config/resource/Team/contested").await;
    let last = value_of(&rows[0]["value"]);
    history.call(99, CasOp::Read { value: last });
    history.response(99, CasOp::Read { value: last });
    assert!(history.is_linearizable::<CasSpec>(), "{history:?}");
}

/// Writes the contested team four times by compare-and-set.
async fn race(world: Rc<World>, operator: usize, history: Recorder<CasOp>) {
    for round in 0..4 {
        let gateway = operator % 2;
        let found = world.operator_get(gateway, TEAM).await;
        // Without the version of a read, the write would be unconditional.
        if found.is_null() {
            continue;
        }
        let resource_version = found["metadata"]["resourceVersion"].as_u64().unwrap_or(0);
        let expected = value_of(&found);
        let value = (operator * 100 + round + 1) as u64;
        history.call(operator, CasOp::Unknown { expected, value });
        let status = world
            .operator_send(
                gateway,
                Method::PUT,
                TEAM,
                &contested(value, resource_version),
            )
            .await;
        let outcome = match status {
            200..300 => CasOp::Accepted { expected, value },
            409 => CasOp::Conflict { expected },
            503 => CasOp::Refused,
            _ => CasOp::Unknown { expected, value },
        };
        history.response(operator, outcome);
    }
}

/// A team whose burst limit holds the value of the compare-and-set register.
fn contested(value: u64, resource_version: u64) -> Value {
    let mut team = resource(
        "Team",
        "contested",
        &json!({
            "keyDigests": [format!("{:064x}", 0x00c0_ffee)],
            "versions": ["scene-v1"],
            "limits": {"rate": 10.0, "burst": value + 1, "concurrency": 10},
        }),
    );
    if resource_version > 0 {
        team["metadata"]["resourceVersion"] = json!(resource_version);
    }
    team
}

fn value_of(team: &Value) -> u64 {
    team["spec"]["limits"]["burst"]
        .as_f64()
        .map_or(0, |burst| burst as u64 - 1)
}

#[actix_rt::test]
async fn withdrawal_takes_effect_on_all_gateways_during_a_store_outage() {
    let world = Rc::new(WorldBuilder::new("withdraw").start().await);
    let watching = watch_generations(&world);
    let mut version = world.operator_get(0, "/apis/v1/Version/scene-v1").await;
    version["spec"]["phase"] = json!("withdrawn");
    let status = world
        .operator_send(0, Method::PUT, "/apis/v1/Version/scene-v1", &version)
        .await;
    world.table_faults(&json!({"down": true})).await;
    assert!((200..300).contains(&status), "{status}");
    let generation = world.operator_get(0, "/apis/v1/status").await["generation"]
        .as_u64()
        .unwrap();
    world.in_force(generation).await;
    // No gateway serves the version any more, neither by its name nor as the
    // cheapest version of the model.
    for gateway in 0..2 {
        let named = world
            .caller(gateway, LUZCENA_KEY)
            .send(Caller::chat("scene-v1", 2, false))
            .await;
        assert_eq!(named.code(), "withdrawn", "{}", named.body);
        let any = world
            .caller(gateway, LUZCENA_KEY)
            .send(Caller::chat("scene", 2, false))
            .await;
        assert_eq!(any.version, "scene-v2", "{}", any.body);
        let only = world
            .caller(gateway, ASSOCIATION_KEY)
            .send(Caller::chat("scene", 2, false))
            .await;
        assert!(
            !only.is_ok(),
            "the team's only version is withdrawn: {}",
            only.body
        );
    }
    watching.stop().await;
}

#[actix_rt::test]
async fn restarted_gateway_gets_the_configuration_during_a_store_outage() {
    let mut world = WorldBuilder::new("restart").start().await;
    let generation = world.operator_get(0, "/apis/v1/status").await["generation"]
        .as_u64()
        .unwrap();
    world.table_faults(&json!({"down": true})).await;
    world.gateways[1].kill();
    world.start_gateway(1);
    world.in_force(generation).await;
    let caller = world.caller(1, LUZCENA_KEY);
    eventually("the restarted gateway serves", || async {
        caller.send(Caller::chat("scene", 2, false)).await.is_ok()
    })
    .await;
}

/// Polls the generation of each gateway and fails if one goes back.
fn watch_generations(world: &Rc<World>) -> GenerationWatch {
    let running = Rc::new(Cell::new(true));
    let polls = (0..world.gateways.len()).map(|gateway| {
        let world = Rc::clone(world);
        let running = Rc::clone(&running);
        actix_rt::spawn(async move {
            let mut last = 0;
            while running.get() {
                let status = world.operator_get(gateway, "/apis/v1/status").await;
                let generation = status["generation"].as_u64().unwrap_or(last);
                assert!(
                    generation >= last,
                    "gateway {gateway} went from {last} to {generation}"
                );
                last = generation;
            }
        })
    });
    GenerationWatch {
        tasks: polls.collect(),
        running,
    }
}

struct GenerationWatch {
    tasks: Vec<actix_rt::task::JoinHandle<()>>,
    running: Rc<Cell<bool>>,
}

impl GenerationWatch {
    async fn stop(self) {
        self.running.set(false);
        for task in self.tasks {
            task.await.expect("no generation went back");
        }
    }
}

#[actix_rt::test]
async fn write_during_a_store_outage_is_refused_without_effect() {
    let world = WorldBuilder::new("outage-write").engines(1).start().await;
    let before = world.rows("config/head").await;
    world.table_faults(&json!({"down": true})).await;
    let status = world
        .operator_send(0, Method::PUT, TEAM, &contested(1, 0))
        .await;
    assert_eq!(status, 503);
    world.table_faults(&json!({})).await;
    eventually("the store answers again", || async {
        !world.rows("config/head").await.is_empty()
    })
    .await;
    assert_eq!(world.rows("config/head").await, before);
}
