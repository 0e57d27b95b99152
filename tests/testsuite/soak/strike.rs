//! Faults, carried out.

use std::rc::Rc;
use std::time::Duration;

use serde_json::json;

use super::history::Place;
use super::plan::{Fault, Misbehaviour};
use super::world::World;

/// Delay of a slow store's answers, in milliseconds.
const SLOW_MS: u64 = 400;

/// Answers that a misbehaving upstream spoils.
const SPOILED: u32 = 4;

/// Time for which a slow upstream stays slow.
const SLOW_FOR: Duration = Duration::from_secs(3);

/// Carries out a fault, and mends it when its time is over.
pub(crate) async fn strike(world: Rc<World>, fault: Fault) {
    match fault {
        Fault::KillRelay(relay) => world.kill_relay(relay).await,
        Fault::StopRelay(relay) => world.stop_relay(relay).await,
        Fault::FreezeRelay(relay, lasts) => world.freeze_relay(relay, lasts).await,
        Fault::HangUp(relay) => world.hang_up(relay),
        Fault::KillAllRelays => {
            let kills = (0..world.sizes.relays).map(|relay| world.kill_relay(relay));
            futures_util::future::join_all(kills).await;
        }
        Fault::KillUpstream(upstream, lasts) => world.kill_upstream(upstream, lasts).await,
        Fault::FreezeUpstream(upstream, lasts) => world.freeze_upstream(upstream, lasts).await,
        Fault::LeaveUpstream(upstream) => world.leave_upstream(upstream).await,
        Fault::Upstream(upstream, how) => misbehave(&world, upstream, how).await,
        Fault::ClientLink(relay, passing, lasts) => {
            world
                .strike_link(Place::ClientLink(relay), passing, lasts)
                .await;
        }
        Fault::StoreLink(relay, passing, lasts) => {
            world
                .strike_link(Place::StoreLink(relay), passing, lasts)
                .await;
        }
        Fault::UpstreamLink(upstream, passing, lasts) => {
            world
                .strike_link(Place::Upstream(upstream), passing, lasts)
                .await;
        }
        Fault::ResetLinks => world.reset_links(),
        Fault::StoreDown(lasts) => world.store_faults(&json!({"down": true}), lasts).await,
        Fault::StoreSlow(lasts) => {
            world.store_faults(&json!({"slowMs": SLOW_MS}), lasts).await;
        }
        Fault::StoreFrozen(lasts) => world.freeze_store(lasts).await,
        Fault::StoreLosesAnswers => world.store_loses().await,
        Fault::StoreForgets => world.store_forgets().await,
        Fault::NewKey => world.add_key().await,
        Fault::WithdrawKey => world.withdraw_key().await,
    }
}

async fn misbehave(world: &World, upstream: usize, how: Misbehaviour) {
    let faults = match how {
        Misbehaviour::LosesAnswers => json!({"loseAnswers": SPOILED}),
        Misbehaviour::CutsStreams => json!({"cutStreams": SPOILED}),
        Misbehaviour::CrossesAnswers => json!({"crossAnswers": SPOILED}),
        Misbehaviour::Slow(delay) => json!({"slowMs": delay.as_millis() as u64}),
    };
    world.misbehave(upstream, &faults).await;
    if matches!(how, Misbehaviour::Slow(_)) {
        actix_rt::time::sleep(SLOW_FOR).await;
        world.misbehave(upstream, &json!({})).await;
    }
}
