//! A caller gets the whole of its own answer, or an explicit error.

use serde_json::json;
use test_case::test_case;

use crate::support::{Caller, Exchange, LUZCENA_KEY, Traffic, World, WorldBuilder};

const WORDS: u32 = 40;

#[test_case(json!({"cutStreams": 5}); "cut")]
#[test_case(json!({"crossAnswers": 5}); "crossed")]
#[test_case(json!({"slowMs": 200}); "late")]
#[test_case(json!({"cutStreams": 3, "crossAnswers": 3}); "cut and crossed")]
#[actix_rt::test]
async fn no_answer_is_short_or_another_requests(faults: serde_json::Value) {
    let world = WorldBuilder::new("answers").start().await;
    let traffic = streams(&world);
    traffic.more_succeed(10).await;
    world.upstream_faults(0, &faults).await;
    traffic.more_succeed(60).await;
    let exchanges = traffic.stop().await;
    check_answers(&exchanges);
}

#[actix_rt::test]
async fn no_answer_is_short_when_agent_and_engine_are_killed() {
    let mut world = WorldBuilder::new("answers-kill")
        .engine_arg("--token-ms", "5")
        .start()
        .await;
    let traffic = streams(&world);
    traffic.more_succeed(10).await;
    world.agents[0].kill();
    traffic.more_succeed(20).await;
    world.start_agent(0);
    traffic.more_succeed(20).await;
    world.upstream(1).kill();
    traffic.more_succeed(20).await;
    check_answers(&traffic.stop().await);
}

#[actix_rt::test]
async fn no_answer_is_short_when_the_way_to_an_agent_is_cut() {
    let world = WorldBuilder::new("answers-hop")
        .engine_arg("--token-ms", "5")
        .start()
        .await;
    let traffic = streams(&world);
    for _ in 0..3 {
        traffic.more_succeed(10).await;
        world.relays[0].cut();
        traffic.more_succeed(10).await;
        world.relays[0].mend();
    }
    check_answers(&traffic.stop().await);
}

fn streams(world: &World) -> Traffic {
    let callers: Vec<Caller> = (0..6).map(|n| world.caller(n % 2, LUZCENA_KEY)).collect();
    Traffic::spawn(&callers, |_| {
        Caller::chat("scene", WORDS, true).header("x-carawayrun-task", "plan")
    })
}

/// An answer with its end marker must be whole and its own; one without must
/// say that it failed.
fn check_answers(exchanges: &[Exchange]) {
    let mut whole = 0;
    for Exchange { mark, answer, .. } in exchanges {
        if answer.status != 200 {
            let comes_back = !matches!(answer.status, 429 | 503) || answer.retry_after;
            assert!(
                comes_back,
                "{mark}: not told when to come back: {}",
                answer.body
            );
            assert!(
                !answer.code().is_empty(),
                "{mark}: an error without a code: {}",
                answer.body
            );
            continue;
        }
        if answer.is_whole() {
            let text = answer.text();
            assert!(
                text.contains(&answer.request_id),
                "{mark}: not its own: {text}"
            );
            assert!(!text.contains("another-request"), "{mark}: crossed: {text}");
            assert_eq!(
                text.split_whitespace().count() as u32,
                2 + WORDS,
                "{mark}: not whole: {text}"
            );
            whole += 1;
        } else {
            let says = answer
                .events()
                .iter()
                .any(|event| event["error"]["code"].is_string());
            assert!(
                says,
                "{mark}: a short answer that says nothing: {}",
                answer.body
            );
        }
    }
    assert!(whole > 0, "no answer was whole");
}
