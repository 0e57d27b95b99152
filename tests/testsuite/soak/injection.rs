//! Faults, carried out.

use std::rc::Rc;
use std::time::Duration;

use serde_json::json;

use super::deployment::Deployment;
use super::history::FaultTarget;
use super::plan::{Fault, Misbehaviour};

/// Delay of a slow store's answers, in milliseconds.
const STORE_DELAY_MS: u64 = 400;

/// Answers that a misbehaving upstream spoils.
const FAULTY_ANSWERS: u32 = 4;

/// Time for which a slow upstream stays slow.
const SLOW_PERIOD: Duration = Duration::from_secs(3);

/// Carries out a fault, and mends it when its time is over.
pub(crate) async fn inject_fault(deployment: Rc<Deployment>, fault: Fault) {
    match fault {
        Fault::KillRelay(relay) => deployment.kill_relay(relay).await,
        Fault::StopRelay(relay) => deployment.stop_relay(relay).await,
        Fault::FreezeRelay(relay, duration) => deployment.freeze_relay(relay, duration).await,
        Fault::SighupRelay(relay) => deployment.send_sighup(relay),
        Fault::KillAllRelays => {
            let kills = (0..deployment.sizes.relays).map(|relay| deployment.kill_relay(relay));
            futures_util::future::join_all(kills).await;
        }
        Fault::KillUpstream(upstream, duration) => {
            deployment.kill_upstream(upstream, duration).await
        }
        Fault::FreezeUpstream(upstream, duration) => {
            deployment.freeze_upstream(upstream, duration).await
        }
        Fault::DrainUpstream(upstream) => deployment.drain_upstream(upstream).await,
        Fault::MisbehaveUpstream(upstream, misbehaviour) => {
            inject_misbehaviour(&deployment, upstream, misbehaviour).await
        }
        Fault::ClientLink(relay, passing, duration) => {
            deployment
                .inject_link_fault(FaultTarget::ClientLink(relay), passing, duration)
                .await;
        }
        Fault::StoreLink(relay, passing, duration) => {
            deployment
                .inject_link_fault(FaultTarget::StoreLink(relay), passing, duration)
                .await;
        }
        Fault::UpstreamLink(upstream, passing, duration) => {
            deployment
                .inject_link_fault(FaultTarget::Upstream(upstream), passing, duration)
                .await;
        }
        Fault::ResetLinks => deployment.reset_links(),
        Fault::StoreDown(duration) => {
            deployment
                .inject_store_faults(&json!({"down": true}), duration)
                .await
        }
        Fault::StoreSlow(duration) => {
            deployment
                .inject_store_faults(&json!({"slowMs": STORE_DELAY_MS}), duration)
                .await;
        }
        Fault::StoreFrozen(duration) => deployment.freeze_store(duration).await,
        Fault::StoreLosesAnswers => deployment.lose_store_answers().await,
        Fault::StoreDropsHistory => deployment.drop_store_history().await,
        Fault::NewKey => deployment.add_key().await,
        Fault::RevokeKey => deployment.revoke_key().await,
    }
}

async fn inject_misbehaviour(deployment: &Deployment, upstream: usize, misbehaviour: Misbehaviour) {
    let faults = match misbehaviour {
        Misbehaviour::LosesAnswers => json!({"loseAnswers": FAULTY_ANSWERS}),
        Misbehaviour::CutsStreams => json!({"cutStreams": FAULTY_ANSWERS}),
        Misbehaviour::CrossesAnswers => json!({"crossAnswers": FAULTY_ANSWERS}),
        Misbehaviour::Slow(delay) => json!({"slowMs": delay.as_millis() as u64}),
    };
    deployment.set_upstream_faults(upstream, &faults).await;
    if matches!(misbehaviour, Misbehaviour::Slow(_)) {
        actix_rt::time::sleep(SLOW_PERIOD).await;
        deployment.set_upstream_faults(upstream, &json!({})).await;
    }
}
