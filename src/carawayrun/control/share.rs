//! Distribution of team limits over the gateways, without calls to the table
//! service.
//!
//! One gateway owns the limits of a team. Every gateway reports its demand to
//! the owner, which answers with a limit share: a part of the limit is divided
//! evenly, so that any gateway can admit a new caller at once, and the rest in
//! proportion to demand. A gateway that gets no answer falls back to an even
//! share.

use std::collections::BTreeMap;

use compact_str::CompactString;
use rustc_hash::FxHashMap;

use super::context::Context;
use super::event::{Event, RequestOutcome};
use super::owner::{Owner, live_gateways, owner};
use super::state::Role;
use super::time::Millis;
use super::view::LimitShareView;
use crate::peer::message::envelope::Body;
use crate::peer::message::{self, Envelope, TeamDemand, TeamShare};
use crate::resource::{Limits, TeamKey};

/// Shortest time between two reports of demand.
const REPORT_PERIOD: Millis = Millis(1_000);

/// Gateways per multiple of the report period: the period grows with the number
/// of gateways, which bounds an owner's load.
const GATEWAYS_PER_PERIOD: u64 = 32;

/// Report periods for which a granted share stays valid.
const TTL_PERIODS: u64 = 5;

/// Fraction of a limit that is divided evenly.
const EVEN_PART: f64 = 0.2;

/// Weight of the newest period in the moving average of the demand.
const NEWEST_WEIGHT: f64 = 0.5;

/// Total demand below which a limit is divided evenly, in requests a second.
const MIN_DEMAND: f64 = 0.05;

/// Demand and limit shares of this gateway, and the demand of all gateways for
/// the teams whose limits it owns.
#[derive(Debug, Default)]
pub(super) struct LimitShares {
    request_counts: BTreeMap<CompactString, u32>,
    demand: BTreeMap<CompactString, f64>,
    demands: BTreeMap<CompactString, BTreeMap<CompactString, GatewayDemand>>,
    granted: BTreeMap<CompactString, GrantedShare>,
    next_report: Millis,
}

// A gateway's demand, in requests a second.
#[derive(Debug, Clone, Copy)]
struct GatewayDemand {
    rate: f64,
    time: Millis,
}

// A fraction of a team's limits, in 0..=1.
#[derive(Debug, Clone, Copy, PartialEq)]
struct GrantedShare {
    part: f64,
    until: Millis,
}

impl LimitShares {
    pub(super) fn handle(&mut self, event: &Event, context: &mut Context) {
        match event {
            Event::RequestEnded(outcome) => self.count_request(outcome),
            Event::MessageReceived(envelope) => self.receive(envelope, context),
            Event::Tick
                if context.identity.role == Role::Gateway && context.now >= self.next_report =>
            {
                self.next_report = context.now + report_period(context);
                self.tick(context);
            }
            _ => {}
        }
    }

    /// This gateway's share of every team's limits.
    pub(super) fn views(&self, context: &Context) -> FxHashMap<TeamKey, LimitShareView> {
        let even = 1.0 / live_gateways(context).count().max(1) as f64;
        let teams = context.config.teams.iter();
        teams
            .map(|(key, team)| {
                let granted = self.granted.get(&team.name);
                let valid = granted.filter(|granted| context.now < granted.until);
                let part = valid.map_or(even, |granted| granted.part);
                (key, view(&team.spec.limits, part))
            })
            .collect()
    }

    fn count_request(&mut self, outcome: &RequestOutcome) {
        *self.request_counts.entry(outcome.team.clone()).or_default() += 1;
    }

    fn receive(&mut self, envelope: &Envelope, context: &mut Context) {
        let Some(sender) = &envelope.sender else {
            return;
        };
        match &envelope.body {
            Some(Body::Demand(demand)) => {
                let gateway = CompactString::from(&sender.name);
                let grant = self.grant(&gateway, demand, context);
                context.send(&envelope.reply_addr.as_str().into(), Body::Share(grant));
            }
            Some(Body::Share(share)) => self.apply_grant(share, context),
            _ => {}
        }
    }

    fn tick(&mut self, context: &mut Context) {
        let seconds = report_period(context).0 as f64 / 1_000.0;
        self.update_demand(seconds, context);
        let mut remote: BTreeMap<CompactString, Vec<TeamDemand>> = BTreeMap::new();
        let mut own = message::Demand::default();
        for (team, rate) in &self.demand {
            let demand = TeamDemand {
                team: team.to_string(),
                rate: *rate,
                running: 0,
            };
            match owner(team, context) {
                Some(Owner::Local) => own.teams.push(demand),
                Some(Owner::Remote(addr)) => remote.entry(addr).or_default().push(demand),
                None => {}
            }
        }
        let local_name = context.identity.node.name.clone();
        let share = self.grant(&local_name, &own, context);
        self.apply_grant(&share, context);
        for (addr, teams) in remote {
            context.send(&addr, Body::Demand(message::Demand { teams }));
        }
        let now = context.now;
        let expired = self.granted.values().any(|granted| granted.until <= now);
        self.granted.retain(|_, granted| granted.until > now);
        context.view_changed |= expired;
    }

    // Updates all teams, since a gateway without demand has to report that too,
    // to give up its share.
    fn update_demand(&mut self, seconds: f64, context: &Context) {
        let counts = std::mem::take(&mut self.request_counts);
        let teams = &context.config.teams;
        self.demand.retain(|name, _| teams.key(name).is_some());
        for (_, team) in teams.iter() {
            self.demand.entry(team.name.clone()).or_default();
        }
        for (team, rate) in &mut self.demand {
            let newest = f64::from(counts.get(team).copied().unwrap_or(0)) / seconds;
            *rate += NEWEST_WEIGHT * (newest - *rate);
        }
    }

    // Records a gateway's demand and grants its shares.
    fn grant(
        &mut self,
        gateway: &CompactString,
        demand: &message::Demand,
        context: &Context,
    ) -> message::Share {
        let count = live_gateways(context).count().max(1) as f64;
        let ttl = share_ttl(context);
        let teams = demand.teams.iter().filter_map(|requested| {
            let team = context.config.teams.by_name(&requested.team)?;
            let demands = self.demands.entry(team.name.clone()).or_default();
            let time = context.now;
            let rate = requested.rate;
            demands.insert(gateway.clone(), GatewayDemand { rate, time });
            demands.retain(|_, known| time.since(known.time) < ttl);
            let part = share_part(rate, demands, count);
            Some(TeamShare {
                team: requested.team.clone(),
                rate: team.spec.limits.rate * part,
                concurrency: f64::from(team.spec.limits.concurrency) * part,
            })
        });
        message::Share {
            teams: teams.collect(),
            ttl_ms: ttl.0 as u32,
        }
    }

    fn apply_grant(&mut self, share: &message::Share, context: &mut Context) {
        let until = context.now + Millis(u64::from(share.ttl_ms));
        for team in &share.teams {
            let Some(known) = context.config.teams.by_name(&team.team) else {
                continue;
            };
            let part = team.rate / known.spec.limits.rate.max(f64::MIN_POSITIVE);
            let part = part.clamp(0.0, 1.0);
            let new = GrantedShare { part, until };
            let old = self.granted.insert(known.name.clone(), new);
            context.view_changed |= old.is_none_or(|old| (old.part - part).abs() > 0.01);
        }
    }
}

fn report_period(context: &Context) -> Millis {
    let count = live_gateways(context).count() as u64;
    Millis(REPORT_PERIOD.0 * count.div_ceil(GATEWAYS_PER_PERIOD).max(1))
}

// Returns the time for which a granted limit share is valid. The owner forgets
// a gateway's demand at the same age.
fn share_ttl(context: &Context) -> Millis {
    Millis(report_period(context).0 * TTL_PERIODS)
}

// Sums the even part and the part by demand.
fn share_part(rate: f64, demands: &BTreeMap<CompactString, GatewayDemand>, count: f64) -> f64 {
    let total: f64 = demands.values().map(|demand| demand.rate).sum();
    if total < MIN_DEMAND {
        return 1.0 / count;
    }
    EVEN_PART / count + (1.0 - EVEN_PART) * rate / total
}

fn view(limits: &Limits, part: f64) -> LimitShareView {
    LimitShareView {
        rate: limits.rate * part,
        burst: limits.burst * part,
        concurrency: f64::from(limits.concurrency) * part,
    }
}
