//! A planned stop cuts no request, and who leaves gets no new work.

use test_case::test_case;

use crate::support::{Caller, LUZCENA_KEY, Traffic, WorldBuilder, eventually};

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
