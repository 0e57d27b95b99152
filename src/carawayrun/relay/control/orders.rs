//! Roll-out orders, their rows and their evidence in the control state.

use std::time::Duration;

use compact_str::CompactString;
use rustc_hash::FxHashMap;

use super::rollout::Rollout;
use super::{Effect, State};
use crate::relay::evidence::{Outcomes, RolloutEvidence};
use crate::relay::rollout::{RolloutOrder, RolloutRow};
use crate::relay::tally::{RouteEvidence, Tally, TallyKey};
use crate::relay::view::OutcomesView;

impl State {
    // Starts the roll-out of an order if it is newer than the known one, or goes on
    // with a roll-out whose order was only written again after a restore.
    pub(super) fn apply_order(
        &mut self,
        order: RolloutOrder,
        now: Duration,
        effects: &mut Vec<Effect>,
    ) {
        if self.has_stale_rows {
            // The rows say which version serves, so they come first.
            self.early_orders.push(order);
            return;
        }
        let service = order.service.clone();
        let known = self.rollouts.get(&service);
        if known.is_some_and(|known| known.order.id >= order.id) {
            return;
        }
        let id = order.id;
        let is_restored = self.is_recently_restored(now);
        let mut known = self.rollouts.remove(&service);
        let mut displaced = self.displaced.remove(&service);
        let repeated = known.take_if(|known| {
            (is_restored || known.order.id.era < id.era) && known.order.has_same_content(&order)
        });
        let repeated = repeated.or_else(|| {
            displaced.take_if(|other| is_restored && other.order.has_same_content(&order))
        });
        let rollout = match repeated {
            Some(mut rollout) => {
                rollout.renumber(id);
                rollout
            }
            None => self.new_rollout(order, known.as_ref(), now),
        };
        // The copy may hold the order before the known one, which is then written
        // again.
        let unconfirmed = known.filter(|known| known.order.id.era < id.era);
        if let Some(displaced) = unconfirmed.or(displaced) {
            self.displaced.insert(service.clone(), displaced);
        }
        self.rollouts.insert(service.clone(), rollout);
        self.adopt_row(&service, now);
        self.publish(effects);
    }

    // The row of the `known` roll-out is kept until the order's own row replaces it.
    pub(super) fn new_rollout(
        &self,
        order: RolloutOrder,
        known: Option<&Rollout>,
        now: Duration,
    ) -> Rollout {
        tracing::info!(
            service = %order.service,
            to = %order.to,
            limit_s = order.limit.as_secs_f64(),
            order = order.id.version,
            era = order.id.era,
            "roll-out ordered"
        );
        let stored = self.rows.get(&order.service).map(|(row, _)| row);
        let row = known.and_then(|known| known.row.as_ref()).or(stored);
        let sums = self.outcomes.iter();
        let sums = sums.filter(|((service, _), _)| *service == order.service);
        let baseline = sums.map(|((_, version), seen)| (version.clone(), *seen));
        let tallies = self.tallies.iter();
        let tallies = tallies.filter(|((service, ..), _)| *service == order.service);
        let route_baseline = tallies.map(|(key, seen)| (key.clone(), *seen));
        Rollout {
            route_baseline: route_baseline.collect(),
            own_routes: RouteEvidence::default(),
            tallied_at: Duration::ZERO,
            peer_routes: FxHashMap::default(),
            row: row.cloned(),
            started_at: Duration::ZERO,
            ordered_at: now,
            usual_load: 0.0,
            baseline: baseline.collect(),
            own: RolloutEvidence::default(),
            updated_at: Duration::ZERO,
            peers: FxHashMap::default(),
            regression: None,
            was_told: false,
            held: None,
            is_confirmed: true,
            order,
        }
    }

    pub(super) fn remove_order(&mut self, service: &str, effects: &mut Vec<Effect>) {
        if self.rollouts.remove(service).is_some() {
            tracing::info!(service, "roll-out order removed");
            self.publish(effects);
        }
    }

    // Records a roll-out's row in the store if it is newer than the known one. It is
    // kept if its order was not read yet: the tables are read concurrently.
    pub(super) fn apply_row(
        &mut self,
        row: RolloutRow,
        version: u64,
        now: Duration,
        effects: &mut Vec<Effect>,
    ) {
        let known = self.rows.get(&row.service);
        if known.is_some_and(|(_, known)| version <= *known) {
            return;
        }
        tracing::info!(
            service = %row.service,
            to = %row.to,
            phase = ?row.phase,
            row_version = version,
            order = row.order,
            "roll-out row read"
        );
        let service = row.service.clone();
        self.rows.insert(service.clone(), (row, version));
        self.adopt_row(&service, now);
        self.publish(effects);
    }

    // Passes the stored row of a service to its roll-out, if its order is known to
    // be in the store: rows of other orders may bear the same number.
    pub(super) fn adopt_row(&mut self, service: &str, now: Duration) {
        let rollout = self.rollouts.get_mut(service);
        let rollout = rollout.filter(|rollout| rollout.is_confirmed);
        if let Some((rollout, (row, _))) = rollout.zip(self.rows.get(service)) {
            rollout.adopt(row, now);
        }
    }

    // Replaces another gateway's evidence for the roll-out, if it has the same order.
    pub(super) fn set_peer_outcomes(&mut self, node: CompactString, outcomes: OutcomesView) {
        let rollout = self.rollouts.get_mut(&outcomes.service);
        if let Some(rollout) = rollout.filter(|rollout| rollout.order.id == outcomes.order) {
            if outcomes.is_withdrawn {
                rollout.withdraw_as_told(&node);
            }
            rollout.peer_routes.insert(node.clone(), outcomes.routes);
            rollout.peers.insert(node, outcomes.evidence);
        }
    }

    // Takes this gateway's total tallies and updates its evidence by route. The outcomes
    // that follow publish it.
    pub(super) fn update_tallies(&mut self, tallies: Vec<(TallyKey, Tally)>, now: Duration) {
        self.tallies.extend(tallies);
        for rollout in self.rollouts.values_mut() {
            rollout.update_routes(&self.tallies, now);
        }
    }

    // Takes this gateway's total outcomes and updates its evidence for each roll-out.
    pub(super) fn update_outcomes(
        &mut self,
        outcomes: Vec<(CompactString, CompactString, Outcomes)>,
        now: Duration,
        effects: &mut Vec<Effect>,
    ) {
        for (service, version, total) in outcomes {
            self.outcomes.insert((service, version), total);
        }
        for rollout in self.rollouts.values_mut() {
            let all = rollout.compare(&self.outcomes);
            let elapsed = now.saturating_sub(rollout.updated_at);
            rollout.own.update(all, elapsed);
            rollout.updated_at = now;
        }
        self.publish(effects);
    }
}
