//! Each request is billed exactly once.

use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use serde_json::json;
use test_case::test_case;

use crate::support::{Caller, LUZCENA_KEY, Traffic, WorldBuilder, eventually};

#[derive(Debug, Clone, Copy)]
enum Fault {
    KillGateway,
    FreezeGateway,
    KillAgent,
    TableDown,
    LoseTableAnswers,
}

#[test_case(21)]
#[test_case(22)]
#[test_case(23)]
#[test_case(24)]
#[test_case(25)]
#[actix_rt::test]
async fn each_answered_request_has_exactly_one_bill(seed: u64) {
    use Fault::{FreezeGateway, KillAgent, KillGateway, LoseTableAnswers, TableDown};
    let mut world = WorldBuilder::new("billing").gateways(3).start().await;
    let mut rng = StdRng::seed_from_u64(seed);
    // A gateway and an agent that die together lose what only they held; see
    // docs/PROMISES.md. So one of the two is drawn, with faults of the store.
    let mut faults = vec![TableDown, LoseTableAnswers];
    faults.push(
        *[KillGateway, FreezeGateway, KillAgent]
            .get(rng.random_range(0..3))
            .unwrap(),
    );
    faults.shuffle(&mut rng);
    eprintln!("seed {seed}: {faults:?}");

    let callers: Vec<Caller> = (0..6).map(|n| world.caller(n % 3, LUZCENA_KEY)).collect();
    let traffic = Traffic::spawn(&callers, |_| Caller::chat("scene", 4, true));
    traffic.more_succeed(30).await;
    for fault in &faults {
        match fault {
            KillGateway => world.gateways[1].kill(),
            FreezeGateway => world.gateways[1].freeze(),
            KillAgent => world.agents[0].kill(),
            TableDown => world.table_faults(&json!({"down": true})).await,
            LoseTableAnswers => world.table_faults(&json!({"loseAnswers": 4})).await,
        }
        traffic.more_succeed(rng.random_range(10..50)).await;
    }
    world.table_faults(&json!({})).await;
    traffic.more_succeed(30).await;
    // An answer may have lost its first attempt's usage with the agent. Its bill
    // waits for the word of the agent that takes the killed one's place.
    if faults.iter().any(|fault| matches!(fault, KillAgent)) {
        world.start_agent(0);
    }
    if faults.iter().any(|fault| matches!(fault, FreezeGateway)) {
        world.gateways[1].wake();
    }
    let exchanges = traffic.stop().await;
    let answered: Vec<String> = exchanges
        .iter()
        .filter(|exchange| exchange.answer.is_ok() && exchange.answer.is_whole())
        .map(|exchange| exchange.answer.request_id.clone())
        .collect();
    assert!(!answered.is_empty());
    eventually("every answered request has a bill", || async {
        let bills = world.bills().await;
        let missing: Vec<&String> = answered.iter().filter(|id| bills.count(id) == 0).collect();
        if !missing.is_empty() {
            eprintln!("without a bill: {missing:?}");
        }
        missing.is_empty()
    })
    .await;
    let bills = world.bills().await;
    assert_eq!(bills.doubled(), Vec::<String>::new());
}
