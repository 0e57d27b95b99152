//! Outcomes of all gateways, for quality estimates and roll-outs.
//!
//! Each gateway adds up its outcomes since its start and sends the sums to the
//! gateway that is home to them; that one merges them and sends the total back.
//! A lost message costs nothing, as the next carries the same sums and more.
//! Nothing is written to the table service.

mod sums;

use std::collections::BTreeMap;
use std::sync::Arc;

pub(super) use self::sums::{Cell, Sums};
use super::context::Context;
use super::event::{Event, Rating, RequestOutcome};
use super::owner::{Owner, live_gateways, owner};
use super::state::Role;
use super::time::Millis;
use crate::peer::NodeId;
use crate::peer::message::envelope::Body;
use crate::peer::message::{Envelope, EvidenceReport};
use crate::policy::Estimates;

/// What the home is chosen by; the same as for roll-outs.
pub(super) const SUBJECT: &str = "policy";

/// Shortest time between two reports.
const PERIOD: Millis = Millis(2_000);

/// Gateways for which the shortest period suffices; more report less often.
const GATEWAYS: u64 = 8;

/// Outcomes as this process knows them.
#[derive(Debug, Default)]
pub(super) struct Evidence {
    own: Sums,
    /// Of each gateway's life, where this process is the home.
    reports: BTreeMap<NodeId, Sums>,
    merged: Sums,
    /// The part of `merged` that the estimates hold.
    learned: Sums,
    estimates: Estimates,
    view: Arc<Estimates>,
    learned_time: Millis,
    next: Millis,
}

impl Evidence {
    pub(super) fn handle(&mut self, event: &Event, context: &mut Context) {
        match event {
            Event::RequestEnded(outcome) => self.answered(outcome, context),
            Event::AnswerRated(rating) => self.rated(rating),
            Event::MessageReceived(envelope) => self.received(envelope),
            Event::Tick => self.tick(context),
            _ => {}
        }
    }

    /// Sums over all gateways, as last known.
    pub(super) fn merged(&self) -> &Sums {
        &self.merged
    }

    /// What was learned of the versions.
    pub(super) fn estimates(&self) -> Arc<Estimates> {
        Arc::clone(&self.view)
    }

    fn answered(&mut self, outcome: &RequestOutcome, context: &Context) {
        if outcome.refused || outcome.version.is_empty() {
            return;
        }
        let slow = latency_ms(outcome, context).is_some_and(|limit| outcome.first_ms > limit);
        let tally = self.own.cell(Cell {
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

    fn rated(&mut self, rating: &Rating) {
        let tally = self.own.cell(Cell {
            version: rating.version.clone(),
            task: rating.task.clone(),
            compared: rating.compared,
        });
        tally.record_rating(rating.score);
    }

    fn received(&mut self, envelope: &Envelope) {
        let Some(Body::Evidence(report)) = &envelope.body else {
            return;
        };
        if report.sums.is_empty() {
            return;
        }
        let sums = Sums::of_message(&report.sums);
        if report.merged {
            self.merged = sums;
        } else if let Some(sender) = &envelope.sender {
            self.reports.entry(sender.into()).or_default().advance(sums);
        }
    }

    fn tick(&mut self, context: &mut Context) {
        if context.identity.role != Role::Gateway || context.now < self.next {
            return;
        }
        let count = live_gateways(context).count() as u64;
        self.next = context.now + Millis(PERIOD.0 * count.div_ceil(GATEWAYS).max(1));
        match owner(SUBJECT, context) {
            Some(Owner::Local) => self.merge(context),
            Some(Owner::Remote(addr)) => {
                self.reports.clear();
                context.send(&addr, report(&self.own, false));
            }
            None => {}
        }
        self.learn(context);
    }

    fn merge(&mut self, context: &mut Context) {
        let me = context.identity.node.clone();
        self.reports.insert(me, self.own.clone());
        let mut merged = Sums::default();
        self.reports.values().for_each(|sums| merged.add(sums));
        self.merged = merged;
        broadcast(&report(&self.merged, true), context);
    }

    // A new home starts without the sums of gateways that are gone; what was
    // learned from those stays.
    fn learn(&mut self, context: &mut Context) {
        let elapsed = context.now.since(self.learned_time);
        self.learned_time = context.now;
        self.estimates.decay(elapsed.0);
        let mut any = false;
        for (cell, tally) in self.merged.iter() {
            let news = *tally - self.learned.get(cell);
            let grown = news.answered >= 0.0 && news.rated >= 0.0;
            let Some(key) = context.config.versions.key(&cell.version) else {
                continue;
            };
            if grown && news.answered + news.rated > 0.0 {
                self.estimates.record_outcomes(key, &cell.task, &news);
                any = true;
            }
        }
        self.learned = self.merged.clone();
        if any {
            self.view = Arc::new(self.estimates.clone());
            context.view_changed = true;
        }
    }
}

/// Sends a body to all other live gateways.
pub(super) fn broadcast(body: &Body, context: &mut Context) {
    let me = &context.identity.node.name;
    let others = live_gateways(context).filter(|member| member.node.name != *me);
    let addrs: Vec<_> = others.map(|member| member.peer_addr.clone()).collect();
    for addr in addrs {
        context.send(&addr, body.clone());
    }
}

fn report(sums: &Sums, merged: bool) -> Body {
    Body::Evidence(EvidenceReport {
        sums: sums.to_message(),
        merged,
        suspended: Vec::new(),
        rollouts: Vec::new(),
    })
}

fn latency_ms(outcome: &RequestOutcome, context: &Context) -> Option<u64> {
    let service = context.config.services.by_name(&outcome.service)?;
    let tasks = &service.spec.tasks;
    let task = tasks.iter().find(|task| task.name == outcome.task)?;
    Some(task.latency_ms)
}
