//! A non-idempotent request runs at most once, and what callers are told of it
//! is true.

use std::collections::HashMap;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde_json::json;
use test_case::test_case;
use todc_utils::specifications::Specification;

use crate::support::{
    Call, Caller, Exchange, LUZCENA_KEY, Ran, Span, Traffic, World, WorldBuilder, is_linearizable,
};

/// A call that may run once: what its caller was told.
#[derive(Debug, Clone, PartialEq, Eq)]
enum OnceOp {
    /// It ran, now or by an earlier call with the same key, with this answer.
    Ran(String),
    /// It did not run and never will; other calls with the key still may.
    NotRun,
    /// Not told.
    Unknown,
    /// The upstream's count at the end of the test.
    Count(u64),
}

#[derive(Debug)]
struct OnceSpec;

impl Specification for OnceSpec {
    /// The answer of the only run, once it is known.
    type State = Option<String>;
    type Operation = OnceOp;

    fn init() -> Self::State {
        None
    }

    fn apply(op: &OnceOp, state: &Self::State) -> (bool, Self::State) {
        let first = state;
        match op {
            OnceOp::Ran(answer) => (
                first.as_ref().is_none_or(|first| first == answer),
                Some(answer.clone()),
            ),
            OnceOp::NotRun | OnceOp::Unknown => (true, first.clone()),
            OnceOp::Count(0) => (first.is_none(), first.clone()),
            OnceOp::Count(count) => (*count == 1, first.clone()),
        }
    }
}

/// Faults that strike while switches are sent.
#[derive(Debug, Clone, Copy)]
enum Fault {
    KillAgent,
    KillGateway,
    FreezeAgent,
    FreezeUpstream,
    LoseUpstreamAnswers,
    LoseTableAnswers,
    TableDown,
    CutAgent,
}

const FAULTS: [Fault; 8] = [
    Fault::KillAgent,
    Fault::KillGateway,
    Fault::FreezeAgent,
    Fault::FreezeUpstream,
    Fault::LoseUpstreamAnswers,
    Fault::LoseTableAnswers,
    Fault::TableDown,
    Fault::CutAgent,
];

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
#[test_case(5)]
#[test_case(6)]
#[test_case(7)]
#[test_case(8)]
#[actix_rt::test]
async fn switches_without_a_key_run_at_most_once(seed: u64) {
    let mut world = WorldBuilder::new("once").plains(2).start().await;
    let traffic = switches(&world, switch);
    strike(&mut world, &traffic, seed).await;
    check(&world, &traffic.stop().await, whole_mark).await;
}

#[test_case(11)]
#[test_case(12)]
#[test_case(13)]
#[test_case(14)]
#[test_case(15)]
#[test_case(16)]
#[test_case(17)]
#[test_case(18)]
#[actix_rt::test]
async fn switches_with_a_key_run_at_most_once_over_all_repeats(seed: u64) {
    let mut world = WorldBuilder::new("once-key").plains(2).start().await;
    // Eight callers repeat each key, through both gateways.
    let traffic = switches(&world, |mark| {
        switch(turn(mark)).header("idempotency-key", turn(mark))
    });
    strike(&mut world, &traffic, seed).await;
    check(&world, &traffic.stop().await, turn).await;
}

#[actix_rt::test]
async fn a_repeated_key_gets_the_first_answer() {
    let world = WorldBuilder::new("once-repeat").plains(2).start().await;
    let call = || switch("lamp").header("idempotency-key", "lamp");
    let first = world.caller(0, LUZCENA_KEY).send(call()).await;
    let again = world.caller(1, LUZCENA_KEY).send(call()).await;
    assert_eq!(first.status, 200, "{}", first.body);
    assert_eq!((again.status, &again.body), (200, &first.body));
    let other =
        Caller::post("/services/home/switch", "{\"on\":false}").header("idempotency-key", "lamp");
    let reused = world.caller(0, LUZCENA_KEY).send(other).await;
    assert_eq!(
        (reused.code().as_str(), reused.ran()),
        ("key_reused", Ran::No),
        "{}",
        reused.body
    );
    assert_eq!(count(&world, "lamp").await, 1);
}

fn switch(effect: &str) -> Call {
    Caller::post("/services/home/switch", "{}")
        .header("x-effect", effect)
        .header("x-carawayrun-deadline-ms", "3000")
}

fn switches(world: &World, make: impl Fn(&str) -> Call + Clone + 'static) -> Traffic {
    let callers: Vec<Caller> = (0..8).map(|n| world.caller(n % 2, LUZCENA_KEY)).collect();
    Traffic::spawn(&callers, make)
}

/// Lets two faults, drawn by `seed`, overlap and pass.
async fn strike(world: &mut World, traffic: &Traffic, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let plain = world.first_plain();
    let faults: Vec<Fault> = FAULTS.choose_multiple(&mut rng, 2).copied().collect();
    eprintln!("seed {seed}: {faults:?}");
    traffic.more_succeed(20).await;
    for fault in &faults {
        begin(world, *fault, plain, rng.random_range(3..30)).await;
        traffic.more_answered(rng.random_range(10..40)).await;
    }
    for fault in &faults {
        end(world, *fault, plain).await;
    }
    traffic.more_succeed(20).await;
}

async fn begin(world: &mut World, fault: Fault, plain: usize, lost: u32) {
    match fault {
        Fault::KillAgent => world.agents[plain].kill(),
        Fault::KillGateway => world.gateways[1].kill(),
        Fault::FreezeAgent => world.agents[plain].freeze(),
        Fault::FreezeUpstream => world.upstream(plain).freeze(),
        Fault::LoseUpstreamAnswers => {
            world
                .upstream_faults(plain, &json!({"loseAnswers": lost}))
                .await;
        }
        Fault::LoseTableAnswers => world.table_faults(&json!({"loseAnswers": lost})).await,
        Fault::TableDown => world.table_faults(&json!({"down": true})).await,
        Fault::CutAgent => world.relays[plain].cut(),
    }
}

async fn end(world: &mut World, fault: Fault, plain: usize) {
    match fault {
        Fault::KillAgent => world.start_agent(plain),
        Fault::KillGateway => world.start_gateway(1),
        Fault::FreezeAgent => world.agents[plain].wake(),
        Fault::FreezeUpstream => world.upstream(plain).wake(),
        Fault::LoseUpstreamAnswers => {}
        Fault::CutAgent => world.relays[plain].mend(),
        Fault::LoseTableAnswers | Fault::TableDown => world.table_faults(&json!({})).await,
    }
}

/// Checks the history of each effect against [`OnceSpec`].
async fn check(world: &World, exchanges: &[Exchange], effect_of: fn(&str) -> &str) {
    let mut histories: HashMap<&str, Vec<Span<OnceOp>>> = HashMap::new();
    for Exchange {
        mark,
        called,
        answered,
        answer,
    } in exchanges
    {
        let operation = match answer.ran() {
            Ran::Yes => OnceOp::Ran(answer.body.clone()),
            Ran::No => OnceOp::NotRun,
            Ran::Unknown => OnceOp::Unknown,
        };
        let span = Span {
            called: *called,
            answered: *answered,
            operation,
        };
        histories.entry(effect_of(mark)).or_default().push(span);
    }
    let counts = all_counts(world).await;
    let end = exchanges
        .iter()
        .map(|exchange| exchange.answered)
        .max()
        .unwrap_or(0);
    for (effect, mut spans) in histories {
        let found = counts.get(effect).copied().unwrap_or(0);
        let all_refused = spans.iter().all(|span| span.operation == OnceOp::NotRun);
        assert!(
            !all_refused || found == 0,
            "{effect}: told not run, ran {found} times"
        );
        let count = OnceOp::Count(found);
        spans.push(Span {
            called: end + 1,
            answered: end + 2,
            operation: count,
        });
        assert!(
            is_linearizable::<OnceSpec>(&spans),
            "{effect}: ran {found} times: {spans:?}"
        );
    }
}

fn whole_mark(mark: &str) -> &str {
    mark
}

/// The turn of a mark `CALLER-TURN`: the same for all callers.
fn turn(mark: &str) -> &str {
    mark.split_once('-').map_or(mark, |(_, turn)| turn)
}

async fn all_counts(world: &World) -> HashMap<String, u64> {
    let mut counts = HashMap::new();
    for plain in world.first_plain()..world.agents.len() {
        let effects = world.effects(plain).await;
        for (effect, count) in effects.as_object().into_iter().flatten() {
            *counts.entry(effect.clone()).or_default() += count.as_u64().unwrap_or(0);
        }
    }
    counts
}

async fn count(world: &World, effect: &str) -> u64 {
    all_counts(world).await.get(effect).copied().unwrap_or(0)
}
