//! A planned stop cuts no request, and who leaves gets no new work.

use std::time::Duration;

use actix_rt::net::TcpStream;
use actix_rt::time::sleep;
use awc::http::Method;
use futures_util::future::join_all;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::{Value, json};
use test_case::test_case;
use tokio::io::AsyncWriteExt;

use crate::support::lengths::draw_ms;
use crate::support::raw::{RawAnswer, read_answer};
use crate::support::{
    Answer, Call, Caller, LUZCENA_KEY, Ran, Traffic, World, WorldBuilder, eventually, resource,
};

#[test_case("agent")]
#[test_case("gateway")]
#[actix_rt::test]
async fn a_graceful_stop_cuts_no_request(role: &str) {
    let mut world = WorldBuilder::new("stop")
        .engine_arg("--token-ms", "5")
        .start()
        .await;
    // Callers of gateway 1 see its listener close, as behind a balancer, so the
    // traffic that must not be cut is that of gateway 0 and all answers begun.
    let callers: Vec<Caller> = (0..6).map(|n| world.caller(n % 2, LUZCENA_KEY)).collect();
    let traffic = Traffic::spawn(&callers, |_| Caller::chat("scene", 40, true));
    traffic.more_succeed(10).await;
    let leaving = if role == "agent" {
        &mut world.agents[0]
    } else {
        &mut world.gateways[1]
    };
    leaving.terminate();
    traffic.more_succeed(30).await;
    eventually("the process ends", || {
        let ended = if role == "agent" {
            world.agents[0].ended()
        } else {
            world.gateways[1].ended()
        };
        async move { ended }
    })
    .await;
    for exchange in traffic.stop().await {
        let answer = &exchange.answer;
        // No answer at all is allowed only where the listener was closed
        // before the request was taken; a body that began must be whole.
        let refused = !answer.is_ok() && (role == "gateway" || !answer.code().is_empty());
        assert!(answer.is_whole() || refused, "{exchange:?}");
    }
    let left = if role == "agent" {
        &mut world.agents[0]
    } else {
        &mut world.gateways[1]
    };
    assert_eq!(left.exit_code(), Some(0));
}

fn switch(mark: &str) -> Call {
    Caller::post("/services/home/switch", "{}").header("x-effect", mark)
}

/// Number of calls with this mark that ran at the plain upstream.
async fn runs(world: &World, mark: &str) -> u64 {
    let effects = world.effects(world.first_plain()).await;
    effects[mark].as_u64().unwrap_or(0)
}

async fn total_runs(world: &World) -> usize {
    let effects = world.effects(world.first_plain()).await;
    effects.as_object().map_or(0, serde_json::Map::len)
}

// They were cut with the runs that had begun, and counted as possibly run.
#[actix_rt::test]
async fn waiting_runs_are_cut_at_the_end_of_the_agents_drain() {
    let world = WorldBuilder::new("stop-waiting")
        .engines(1)
        .plain_arg("--call-ms", "6000")
        .node_arg("--drain-s", "1")
        .start()
        .await;
    let marks: Vec<String> = (0..14).map(|number| format!("call-{number}")).collect();
    let calls = marks.iter().map(|mark| {
        let caller = world.caller(0, LUZCENA_KEY);
        let call = switch(mark);
        actix_rt::spawn(async move { caller.send(call).await })
    });
    let calls: Vec<_> = calls.collect();
    eventually("all slots are used", || async {
        total_runs(&world).await == 8
    })
    .await;
    let plain = world.first_plain();
    world.agents[plain].terminate();
    for (mark, answer) in marks.iter().zip(join_all(calls).await) {
        let answer = answer.expect("a caller does not panic");
        let has_run = runs(&world, mark).await > 0;
        let wanted = if has_run { Ran::Unknown } else { Ran::No };
        assert!(!answer.code().is_empty(), "{mark}: {answer:?}");
        assert_eq!(answer.ran(), wanted, "{mark}: {answer:?}");
    }
    assert_eq!(total_runs(&world).await, 8);
}

/// Sends a switch whose body comes in two pieces.
async fn upload(addr: String, mark: String, first: Duration, gap: Duration) -> RawAnswer {
    sleep(first).await;
    let mut stream = TcpStream::connect(addr).await.expect("the port is open");
    let head = format!(
        "POST /services/home/switch HTTP/1.1\r\nhost: gateway\r\nx-effect: {mark}\r\n\
         authorization: Bearer {LUZCENA_KEY}\r\ncontent-length: 2\r\n\r\n{{"
    );
    let sent = stream.write_all(head.as_bytes()).await;
    sent.expect("the gateway reads");
    sleep(gap).await;
    // A gateway that has answered reads no more.
    let _ = stream.write_all(b"}").await;
    read_answer(&mut stream).await
}

// Callers whose requests lasted longer than the drain had a closed connection for an answer.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[actix_rt::test]
async fn requests_end_without_an_answer_at_the_end_of_the_gateways_drain(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut world = WorldBuilder::new("stop-drain")
        .gateways(1)
        .engine_arg("--token-ms", "20")
        .plain_arg("--call-ms", "2500")
        .node_arg("--drain-s", "1")
        .gateway_arg("--linger-ms", "400")
        .start()
        .await;
    let mut draw = |mean_ms, max_ms| draw_ms(&mut rng, mean_ms, max_ms);
    let calls: Vec<(Duration, String, Option<Call>, Duration)> = (0..28)
        .map(|number| {
            let at = Duration::from_millis(draw(250.0, 700));
            let length = draw(1_200.0, 5_000);
            let words = 1 + (length / 20) as u32;
            let mark = format!("call-{number}");
            let call = match number % 4 {
                0 => Some(Caller::chat("scene", words, true)),
                1 => Some(Caller::chat("scene", words, false)),
                2 => Some(switch(&mark)),
                _ => None,
            };
            (at, mark, call, Duration::from_millis(length))
        })
        .collect();
    let caller = world.caller(0, LUZCENA_KEY);
    let (mut sent, mut uploads) = (Vec::new(), Vec::new());
    for (at, mark, call, length) in calls {
        let caller = caller.clone();
        let Some(call) = call else {
            let addr = caller.addr().to_owned();
            let upload = upload(addr, mark.clone(), at, length);
            uploads.push((mark, actix_rt::spawn(upload)));
            continue;
        };
        let task = async move {
            sleep(at).await;
            caller.send(call).await
        };
        sent.push((mark, actix_rt::spawn(task)));
    }
    sleep(Duration::from_millis(350)).await;
    world.gateways[0].terminate();
    let mut wrong = Vec::new();
    let (mut whole, mut failed) = (0, 0);
    for (mark, answer) in sent {
        let answer: Answer = answer.await.expect("a caller does not panic");
        let is_stream = answer.body.starts_with("data:");
        let is_whole = answer.is_ok() && (!is_stream || answer.is_whole());
        let is_failure = answer.ends_in_error() || !answer.code().is_empty();
        let is_true = answer.ran() != Ran::No || runs(&world, &mark).await == 0;
        whole += usize::from(is_whole);
        failed += usize::from(is_failure);
        if is_whole == is_failure || !is_true {
            wrong.push(format!("{mark}: {answer:?}"));
        }
    }
    for (mark, answer) in uploads {
        let answer = answer.await.expect("a caller does not panic");
        let body: Value = serde_json::from_str(&answer.body).unwrap_or_default();
        let says_not_run = body["error"]["ran"] == "no";
        let is_true = !says_not_run || runs(&world, &mark).await == 0;
        if !answer.is_whole || !is_true {
            wrong.push(format!("{mark}: {answer:?}"));
        }
    }
    println!(
        "seed {seed}: {whole} whole, {failed} failed, {} wrong",
        wrong.len()
    );
    assert!(wrong.is_empty(), "{wrong:#?}");
    assert!(whole > 0 && failed > 0, "{whole} and {failed}");
    eventually("the process ends", || {
        let ended = world.gateways[0].ended();
        async move { ended }
    })
    .await;
}

// The operator had no answer, and could not tell whether the change was made.
#[test_case(0)]
#[test_case(150)]
#[test_case(400)]
#[actix_rt::test]
async fn operators_change_is_cut_by_a_stop(after_ms: u64) {
    let mut world = WorldBuilder::new("stop-operator")
        .gateways(2)
        .engines(1)
        .gateway_arg("--linger-ms", "500")
        .start()
        .await;
    world.table_faults(&json!({"slowMs": 1000})).await;
    let team = json!([resource(
        "Team",
        "new-team",
        &json!({"keyDigests": [], "versions": [], "services": ["home"],
                "limits": {"rate": 1.0, "burst": 1.0, "concurrency": 1}}),
    )]);
    world.gateways[0].terminate();
    sleep(Duration::from_millis(after_ms)).await;
    let status = world
        .operator_send(0, Method::POST, "/apis/v1/apply", &team)
        .await;
    assert!((200..300).contains(&status), "{status}");
    eventually("the process ends", || {
        let ended = world.gateways[0].ended();
        async move { ended }
    })
    .await;
    assert_eq!(world.gateways[0].exit_code(), Some(0));
}
