//! Injection of planned faults.

use std::rc::Rc;
use std::time::Duration;

use serde_json::json;

use super::deployment::Deployment;
use super::history::FaultTarget;
use super::plan::{Fault, Misbehaviour};
use crate::support::Relay;

/// Delay of a slow store's answers, in milliseconds.
const STORE_DELAY_MS: u64 = 400;

/// Number of answers that a misbehaving upstream loses, cuts or crosses.
const FAULTY_ANSWERS: u32 = 4;

/// Time for which a slow upstream stays slow.
const SLOW_PERIOD: Duration = Duration::from_secs(3);

/// Injects a fault and, unless it is momentary, ends it after its time.
pub(crate) async fn inject_fault(deployment: Rc<Deployment>, fault: Fault) {
    match fault {
        Fault::KillRelay(relay) => deployment.kill_relay(relay).await,
        Fault::StopRelay(relay) => deployment.stop_relay(relay).await,
        Fault::FreezeRelay(relay, span) => deployment.freeze_relay(relay, span).await,
        Fault::SighupRelay(relay) => deployment.send_sighup(relay),
        Fault::KillAllRelays => {
            let kills = (0..deployment.sizes.relays).map(|relay| deployment.kill_relay(relay));
            futures_util::future::join_all(kills).await;
        }
        Fault::KillUpstream(upstream, span) => deployment.kill_upstream(upstream, span).await,
        Fault::FreezeUpstream(upstream, span) => deployment.freeze_upstream(upstream, span).await,
        Fault::DrainUpstream(upstream) => deployment.drain_upstream(upstream).await,
        Fault::Misbehave(upstream, kind) => inject_misbehaviour(&deployment, upstream, kind).await,
        Fault::LimitUpstream(upstream, limit, span) => {
            let limit = f64::from(limit) / 10.0;
            deployment.limit_upstream(upstream, limit, span).await;
        }
        Fault::RestUpstream(upstream, tenths, span) => {
            let rest = f64::from(tenths) / 10.0;
            deployment.rest_upstream(upstream, rest, span).await;
        }
        Fault::DepartUpstream(upstream) => deployment.depart_upstream(upstream).await,
        Fault::DeadlyRequests(span) => {
            deployment.sends_deadly.set(true);
            actix_rt::time::sleep(span).await;
            deployment.sends_deadly.set(false);
        }
        Fault::ClientLink(relay, passing, span) => {
            deployment
                .disturb_link(FaultTarget::ClientLink(relay), passing, span)
                .await;
        }
        Fault::StoreLink(relay, passing, span) => {
            deployment
                .disturb_link(FaultTarget::StoreLink(relay), passing, span)
                .await;
        }
        Fault::UpstreamLink(upstream, passing, span) => {
            deployment
                .disturb_link(FaultTarget::Upstream(upstream), passing, span)
                .await;
        }
        Fault::ResetLinks => deployment.disturb_connections(Relay::reset),
        Fault::SilenceLinks => deployment.disturb_connections(Relay::silence),
        Fault::StoreDown(span) => deployment.disturb_store(&json!({"down": true}), span).await,
        Fault::StoreSlow(span) => {
            deployment
                .disturb_store(&json!({"slowMs": STORE_DELAY_MS}), span)
                .await;
        }
        Fault::StoreFrozen(span) => deployment.freeze_store(span).await,
        Fault::StoreLosesAnswers => deployment.lose_store_answers().await,
        Fault::StoreDropsHistory => deployment.drop_store_history().await,
        Fault::StoreRestored(age, down) => deployment.restore_store(age, down).await,
        Fault::NewKey => deployment.add_key().await,
        Fault::RevokeKey => deployment.revoke_key().await,
    }
}

async fn inject_misbehaviour(deployment: &Deployment, upstream: usize, kind: Misbehaviour) {
    let faults = match kind {
        Misbehaviour::LosesAnswers => json!({"loseAnswers": FAULTY_ANSWERS}),
        Misbehaviour::CutsStreams => json!({"cutStreams": FAULTY_ANSWERS}),
        Misbehaviour::CrossesAnswers => json!({"crossAnswers": FAULTY_ANSWERS}),
        Misbehaviour::Slow(delay) => json!({"slowMs": delay.as_millis() as u64}),
    };
    deployment.set_upstream_faults(upstream, &faults).await;
    if matches!(kind, Misbehaviour::Slow(_)) {
        actix_rt::time::sleep(SLOW_PERIOD).await;
        deployment.set_upstream_faults(upstream, &json!({})).await;
    }
}
