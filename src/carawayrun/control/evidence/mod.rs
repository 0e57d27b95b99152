//! Outcomes of all gateways, for quality estimates and roll-outs.
//!
//! Each gateway sums its outcomes since its start and sends the sums to their
//! owner, which merges them and sends the total back. Sums are cumulative, so
//! the next message makes up for a lost one. Nothing is written to the table
//! service.

mod sums;

use std::collections::BTreeMap;
use std::sync::Arc;

pub(super) use self::sums::{OutcomeKey, OutcomeSums};
use super::context::Context;
use super::event::{Event, Rating, RequestOutcome};
use super::owner::{Owner, live_gateways, owner};
use super::state::Role;
use super::time::Millis;
use crate::peer::NodeId;
use crate::peer::message::envelope::Body;
use crate::peer::message::{Envelope, EvidenceReport};
use crate::policy::Estimates;

/// Subject whose owner merges outcomes; the same as for roll-outs.
pub(super) const POLICY_SUBJECT: &str = "policy";

/// Shortest time between two reports of a gateway.
const REPORT_INTERVAL: Millis = Millis(2_000);

/// Number of gateways up to which each reports every [`REPORT_INTERVAL`]. The
/// interval grows with their number beyond that.
const GATEWAYS_PER_INTERVAL: u64 = 8;

/// Outcome sums and the estimates learned from them.
#[derive(Debug, Default)]
pub(super) struct Evidence {
    own: OutcomeSums,
    /// Sums by incarnation of a gateway; only kept by the owner.
    reports: BTreeMap<NodeId, OutcomeSums>,
    merged: OutcomeSums,
    /// The merged sums that `estimates` already includes.
    learned: OutcomeSums,
    estimates: Estimates,
    published: Arc<Estimates>,
    learned_at: Millis,
    next_report: Millis,
}

impl Evidence {
    pub(super) fn handle(&mut self, event: &Event, context: &mut Context) {
        match event {
            Event::RequestEnded(outcome) => self.record_outcome(outcome, context),
            Event::AnswerRated(rating) => self.record_rating(rating),
            Event::MessageReceived(envelope) => self.handle_message(envelope),
            Event::Tick => self.tick(context),
            _ => {}
        }
    }

    /// Latest sums over all gateways.
    pub(super) fn merged_sums(&self) -> &OutcomeSums {
        &self.merged
    }

    /// Latest quality estimates of the versions.
    pub(super) fn estimates(&self) -> Arc<Estimates> {
        Arc::clone(&self.published)
    }

    fn record_outcome(&mut self, outcome: &RequestOutcome, context: &Context) {
        if outcome.refused || outcome.version.is_empty() {
            return;
        }
        let slow = latency_limit_ms(outcome, context).is_some_and(|limit| outcome.first_ms > limit);
        let tally = self.own.tally_mut(OutcomeKey {
            version: outcome.version.clone(),
            task: outcome.task.clone(),
            compared: outcome.compared,
        });
        tally.record_answer(outcome.failed, slow);
        tally.record_measurements(
            outcome.first_ms,
            outcome.total_ms,
            outcome.completion_tokens,
        );
    }

    fn record_rating(&mut self, rating: &Rating) {
        let tally = self.own.tally_mut(OutcomeKey {
            version: rating.version.clone(),
            task: rating.task.clone(),
            compared: rating.compared,
        });
        tally.record_rating(rating.score);
    }

    fn handle_message(&mut self, envelope: &Envelope) {
        let Some(Body::Evidence(report)) = &envelope.body else {
            return;
        };
        if report.sums.is_empty() {
            return;
        }
        let sums = OutcomeSums::from_message(&report.sums);
        if report.merged {
            self.merged = sums;
        } else if let Some(sender) = &envelope.sender {
            self.reports
                .entry(sender.into())
                .or_default()
                .merge_newer(sums);
        }
    }

    fn tick(&mut self, context: &mut Context) {
        if context.identity.role != Role::Gateway || context.now < self.next_report {
            return;
        }
        let count = live_gateways(context).count() as u64;
        self.next_report =
            context.now + Millis(REPORT_INTERVAL.0 * count.div_ceil(GATEWAYS_PER_INTERVAL).max(1));
        match owner(POLICY_SUBJECT, context) {
            Some(Owner::Local) => self.merge_reports(context),
            Some(Owner::Remote(addr)) => {
                self.reports.clear();
                context.send(&addr, report_body(&self.own, false));
            }
            None => {}
        }
        self.update_estimates(context);
    }

    fn merge_reports(&mut self, context: &mut Context) {
        let own_node = context.identity.node.clone();
        self.reports.insert(own_node, self.own.clone());
        let mut merged = OutcomeSums::default();
        self.reports.values().for_each(|sums| merged.add(sums));
        self.merged = merged;
        broadcast(&report_body(&self.merged, true), context);
    }

    // Updates the estimates with outcomes since the last update. A new owner
    // lacks the sums of gateways that are gone, so sums may shrink; the estimates
    // keep what they learned from them.
    fn update_estimates(&mut self, context: &mut Context) {
        let elapsed = context.now.since(self.learned_at);
        self.learned_at = context.now;
        self.estimates.decay(elapsed.0);
        let mut has_changed = false;
        for (key, tally) in self.merged.iter() {
            let delta = *tally - self.learned.get(key);
            let has_grown = delta.answered >= 0.0 && delta.rated >= 0.0;
            let Some(version) = context.config.versions.key(&key.version) else {
                continue;
            };
            if has_grown && delta.answered + delta.rated > 0.0 {
                self.estimates.record_outcomes(version, &key.task, &delta);
                has_changed = true;
            }
        }
        self.learned = self.merged.clone();
        if has_changed {
            self.published = Arc::new(self.estimates.clone());
            context.view_changed = true;
        }
    }
}

/// Sends `body` to all other live gateways.
pub(super) fn broadcast(body: &Body, context: &mut Context) {
    let own_name = &context.identity.node.name;
    let others = live_gateways(context).filter(|member| member.node.name != *own_name);
    let addrs: Vec<_> = others.map(|member| member.peer_addr.clone()).collect();
    for addr in addrs {
        context.send(&addr, body.clone());
    }
}

fn report_body(sums: &OutcomeSums, merged: bool) -> Body {
    Body::Evidence(EvidenceReport {
        sums: sums.to_message(),
        merged,
        suspended: Vec::new(),
        rollouts: Vec::new(),
    })
}

fn latency_limit_ms(outcome: &RequestOutcome, context: &Context) -> Option<u64> {
    let service = context.config.services.by_name(&outcome.service)?;
    let tasks = &service.spec.tasks;
    let task = tasks.iter().find(|task| task.name == outcome.task)?;
    Some(task.latency_ms)
}
