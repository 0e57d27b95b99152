//! A planned stop cuts no request, and who leaves gets no new work.

use futures_util::future::join_all;
use test_case::test_case;

use crate::support::{Call, Caller, LUZCENA_KEY, Ran, Traffic, World, WorldBuilder, eventually};

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
    effects.as_object().map_or(0, |marks| marks.len())
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
