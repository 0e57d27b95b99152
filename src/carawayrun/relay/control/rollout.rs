//! One roll-out, as a gateway follows it.

use std::time::Duration;

use compact_str::CompactString;
use rustc_hash::FxHashMap;

use super::Effect;
use crate::relay::rollout::{self, Comparison, Order, Outcomes, Phase, RolloutRow, Seen};
use crate::relay::view::{OutcomesView, RolloutView};

#[derive(Debug)]
pub(super) struct Rollout {
    pub(super) order: Order,
    /// The row in the store, with its version; none before it was read.
    pub(super) row: Option<(RolloutRow, u64)>,
    /// When the row of this order was first read.
    pub(super) begun_at: Duration,
    /// Own outcomes by version when the order was read.
    pub(super) before: FxHashMap<CompactString, Outcomes>,
    pub(super) own: Seen,
    /// When the own outcomes were last taken in.
    pub(super) seen_at: Duration,
    pub(super) others: FxHashMap<CompactString, Seen>,
    /// True once the evidence seen here was enough to withdraw it, also before
    /// the store knows.
    pub(super) is_bad: bool,
}

impl Rollout {
    pub(super) fn current(&self) -> Option<&(RolloutRow, u64)> {
        self.row
            .as_ref()
            .filter(|(row, _)| row.order == self.order.version)
    }

    pub(super) fn is_open(&self) -> bool {
        self.current().is_none_or(|(row, _)| row.phase.is_open())
    }

    pub(super) fn view(&self, exposure_share: f64) -> RolloutView {
        // Before the roll-out has begun the new version takes nothing.
        let phase = self.current().map(|(row, _)| row.phase);
        let phase = phase.map(|phase| match phase {
            Phase::Canary | Phase::Spread if self.is_bad => Phase::Reverted,
            phase => phase,
        });
        RolloutView {
            service: self.order.service.clone(),
            to: self.order.to.clone(),
            share: phase.map_or(0.0, |phase| rollout::share(phase, exposure_share)),
            withdrawn: self.withdrawn(),
            begun_at: self.begun_at,
        }
    }

    pub(super) fn withdrawn(&self) -> Vec<CompactString> {
        let row = self.row.as_ref();
        let mut versions = row.map(|(row, _)| row.all_withdrawn()).unwrap_or_default();
        if self.current().is_none() {
            versions.retain(|version| *version != self.order.to);
        }
        let is_open = self.current().is_some_and(|(row, _)| row.phase.is_open());
        if self.is_bad && is_open {
            versions.push(self.order.to.clone());
        }
        versions
    }

    pub(super) fn outcomes(&self) -> OutcomesView {
        OutcomesView {
            service: self.order.service.clone(),
            order: self.order.version,
            seen: self.own,
        }
    }

    // Own outcomes since the order, by old and new version.
    pub(super) fn compare(
        &self,
        outcomes: &FxHashMap<(CompactString, CompactString), Outcomes>,
    ) -> Comparison {
        let mut all = Comparison::default();
        for ((service, version), seen) in outcomes {
            if *service != self.order.service {
                continue;
            }
            let before = self.before.get(version).copied().unwrap_or_default();
            let since = Outcomes {
                answered: seen.answered - before.answered,
                failed: seen.failed - before.failed,
                slow: seen.slow - before.slow,
            };
            if *version == self.order.to {
                all.new.add(&since);
            } else {
                all.old.add(&since);
            }
        }
        all
    }

    // Withdraws a bad version at this gateway, whether or not the store is
    // there; true where that is news.
    pub(super) fn judge(&mut self) -> bool {
        let is_open = self.current().is_some_and(|(row, _)| row.phase.is_open());
        let is_news = is_open && !self.is_bad && self.seen().is_bad();
        self.is_bad |= is_news;
        is_news
    }

    pub(super) fn seen(&self) -> Seen {
        let mut sum = self.own;
        for other in self.others.values() {
            sum.add(other);
        }
        sum
    }

    pub(super) fn tick(&mut self, store_now: Option<Duration>, turn: Duration) -> Vec<Effect> {
        let mut effects = Vec::new();
        let version = self.row.as_ref().map_or(0, |(_, version)| *version);
        let Some(now) = store_now else {
            return effects;
        };
        let Some((row, _)) = self.current() else {
            let before = self.row.as_ref().map(|(row, _)| row);
            let row = rollout::begin(&self.order, before, now);
            return vec![Effect::MoveRollout(row, version)];
        };
        // The turns are apart, so that mostly one gateway writes; evidence
        // against a version is acted on at once.
        let seen = self.seen();
        let phase = rollout::due(&self.order, row, &seen, now.saturating_sub(turn));
        if let Some(phase) = phase {
            let mut row = row.clone();
            row.phase = phase;
            tracing::info!(
                service = %row.service,
                to = %row.to,
                phase = ?phase,
                new_answered = seen.all.new.answered,
                new_failed = seen.all.new.failed,
                new_slow = seen.all.new.slow,
                old_answered = seen.all.old.answered,
                old_failed = seen.all.old.failed,
                old_slow = seen.all.old.slow,
                gateways = self.others.len() + 1,
                "roll-out is due to move on"
            );
            effects.push(Effect::MoveRollout(row, version));
        }
        effects
    }
}
