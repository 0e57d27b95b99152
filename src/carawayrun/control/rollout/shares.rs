//! Traffic shares of roll-outs: the owner's reports to the other gateways, and
//! the view that the traffic threads get.

use std::collections::BTreeMap;

use compact_str::CompactString;

use super::Rollouts;
use crate::control::context::Context;
use crate::control::evidence::broadcast;
use crate::control::time::Millis;
use crate::control::view::{RolloutPhase, RolloutView};
use crate::peer::message::envelope::Body;
use crate::peer::message::{Envelope, EvidenceReport, RolloutShare};
use crate::resource::VersionKey;

/// Time after which an unchanged report to the other gateways is repeated.
const REPORT_REPEAT_PERIOD: Millis = Millis(4_000);

/// Age above which a received share sends no more requests to a new version.
const MAX_SHARE_AGE: Millis = Millis(10_000);

/// The last report that was sent to the other gateways.
#[derive(Debug)]
pub(super) struct SentReport {
    pub(super) report: EvidenceReport,
    pub(super) time: Millis,
}

/// Traffic share of a roll-out's new version.
#[derive(Debug, Clone, Copy)]
pub(super) struct TrafficShare {
    /// Fraction of the old version's new sessions and requests that goes to the
    /// new version, in 0..=1.
    pub(super) part: f64,
    pub(super) phase: RolloutPhase,
    /// When it was received or evaluated.
    pub(super) time: Millis,
}

impl Rollouts {
    /// The roll-outs for the view. A share that is too old becomes zero unless
    /// the roll-out is complete.
    pub(in crate::control) fn views(&self, context: &Context) -> Vec<RolloutView> {
        let rollouts = context.config.rollouts.iter();
        rollouts
            .filter_map(|(key, rollout)| {
                let known = self.shares.get(&rollout.name)?;
                let stale = context.now.since(known.time) > MAX_SHARE_AGE;
                let unproven = known.phase != RolloutPhase::Complete;
                let share = if stale && unproven { 0.0 } else { known.part };
                Some(RolloutView {
                    key,
                    phase: known.phase,
                    share,
                })
            })
            .collect()
    }

    /// Versions that get no new requests, whatever the configuration says.
    pub(in crate::control) fn suspended(&self, context: &Context) -> Vec<VersionKey> {
        let names = self.suspended.keys();
        names
            .filter_map(|name| context.config.versions.key(name))
            .collect()
    }

    pub(super) fn receive_report(&mut self, envelope: &Envelope, context: &mut Context) {
        let Some(Body::Evidence(report)) = &envelope.body else {
            return;
        };
        if !report.merged || !report.sums.is_empty() {
            return;
        }
        let names = report
            .suspended
            .iter()
            .map(|name| (name.as_str().into(), None));
        let suspended: BTreeMap<CompactString, Option<u64>> = names.collect();
        context.publish_now |= suspended
            .keys()
            .any(|name| !self.suspended.contains_key(name));
        self.suspended = suspended;
        for received in &report.rollouts {
            let share = TrafficShare {
                part: received.share,
                phase: phase(received),
                time: context.now,
            };
            self.shares.insert(received.name.as_str().into(), share);
        }
        context.view_changed = true;
    }

    pub(super) fn broadcast_report(&mut self, context: &mut Context) {
        let rollouts = self.shares.iter().map(|(name, share)| RolloutShare {
            name: name.to_string(),
            share: share.part,
            compared: matches!(share.phase, RolloutPhase::Running | RolloutPhase::Paused),
            complete: share.phase == RolloutPhase::Complete,
            withdrawn: share.phase == RolloutPhase::Withdrawn,
        });
        let report = EvidenceReport {
            sums: Vec::new(),
            merged: true,
            suspended: self.suspended.keys().map(ToString::to_string).collect(),
            rollouts: rollouts.collect(),
        };
        let time = context.now;
        let known = self.last_report.as_ref().is_some_and(|last| {
            last.report == report && time.since(last.time) < REPORT_REPEAT_PERIOD
        });
        if !known {
            broadcast(&Body::Evidence(report.clone()), context);
            self.last_report = Some(SentReport { report, time });
        }
    }
}

fn phase(received: &RolloutShare) -> RolloutPhase {
    if received.withdrawn {
        RolloutPhase::Withdrawn
    } else if received.complete {
        RolloutPhase::Complete
    } else {
        RolloutPhase::Running
    }
}
