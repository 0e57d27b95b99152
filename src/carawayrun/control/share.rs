//! Team limits shared between gateways without a call to the table service.
//!
//! Each team has a gateway that is home to its limits. Every gateway tells the
//! home its demand, and the home answers with a share: a part of the limit is
//! divided evenly, so that a new caller is let in anywhere at once, and the
//! rest by demand. A gateway that gets no answer falls back to an even part.

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
const PERIOD: Millis = Millis(1_000);

/// Gateways for which the shortest period suffices; more report less often.
const GATEWAYS: u64 = 32;

/// Periods that a granted share holds without another one.
const TTL_PERIODS: u64 = 5;

/// Part of a limit that is divided evenly.
const EVEN_PART: f64 = 0.2;

/// Weight of the newest period in the demand.
const NEWEST_WEIGHT: f64 = 0.5;

/// Demand below which a gateway counts as having none, in requests a second.
const LEAST_DEMAND: f64 = 0.05;

/// Demand and shares of this gateway, and of all gateways for the teams that
/// it is home to.
#[derive(Debug, Default)]
pub(super) struct Shares {
    counts: BTreeMap<CompactString, u32>,
    demand: BTreeMap<CompactString, f64>,
    asked: BTreeMap<CompactString, BTreeMap<CompactString, Asked>>,
    granted: BTreeMap<CompactString, Granted>,
    next: Millis,
}

// A gateway's demand, in requests a second.
#[derive(Debug, Clone, Copy)]
struct Asked {
    rate: f64,
    time: Millis,
}

// A part of a team's limits, in 0..=1.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Granted {
    part: f64,
    until: Millis,
}

impl Shares {
    pub(super) fn handle(&mut self, event: &Event, context: &mut Context) {
        match event {
            Event::RequestEnded(outcome) => self.count(outcome),
            Event::MessageReceived(envelope) => self.received(envelope, context),
            Event::Tick if context.identity.role == Role::Gateway && context.now >= self.next => {
                self.next = context.now + period(context);
                self.tick(context);
            }
            _ => {}
        }
    }

    /// This gateway's part of every team's limits.
    pub(super) fn views(&self, context: &Context) -> FxHashMap<TeamKey, LimitShareView> {
        let even = 1.0 / live_gateways(context).count().max(1) as f64;
        let teams = context.config.teams.iter();
        teams
            .map(|(key, team)| {
                let granted = self.granted.get(&team.name);
                let fresh = granted.filter(|granted| context.now < granted.until);
                let part = fresh.map_or(even, |granted| granted.part);
                (key, view(&team.spec.limits, part))
            })
            .collect()
    }

    fn count(&mut self, outcome: &RequestOutcome) {
        *self.counts.entry(outcome.team.clone()).or_default() += 1;
    }

    fn received(&mut self, envelope: &Envelope, context: &mut Context) {
        let Some(sender) = &envelope.sender else {
            return;
        };
        match &envelope.body {
            Some(Body::Demand(demand)) => {
                let gateway = CompactString::from(&sender.name);
                let answer = self.answer(&gateway, demand, context);
                context.send(&envelope.reply_addr.as_str().into(), Body::Share(answer));
            }
            Some(Body::Share(share)) => self.take(share, context),
            _ => {}
        }
    }

    fn tick(&mut self, context: &mut Context) {
        let seconds = period(context).0 as f64 / 1_000.0;
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
        let me = context.identity.node.name.clone();
        let share = self.answer(&me, &own, context);
        self.take(&share, context);
        for (addr, teams) in remote {
            context.send(&addr, Body::Demand(message::Demand { teams }));
        }
        let now = context.now;
        let lapsed = self.granted.values().any(|granted| granted.until <= now);
        self.granted.retain(|_, granted| granted.until > now);
        context.view_changed |= lapsed;
    }

    // Of all teams: a gateway without demand has to give its part up.
    fn update_demand(&mut self, seconds: f64, context: &Context) {
        let counts = std::mem::take(&mut self.counts);
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

    // Notes a gateway's demand and grants it its parts.
    fn answer(
        &mut self,
        gateway: &CompactString,
        demand: &message::Demand,
        context: &Context,
    ) -> message::Share {
        let count = live_gateways(context).count().max(1) as f64;
        let ttl = ttl(context);
        let teams = demand.teams.iter().filter_map(|wanted| {
            let team = context.config.teams.by_name(&wanted.team)?;
            let asked = self.asked.entry(team.name.clone()).or_default();
            let time = context.now;
            let rate = wanted.rate;
            asked.insert(gateway.clone(), Asked { rate, time });
            asked.retain(|_, asked| time.since(asked.time) < ttl);
            let part = part(rate, asked, count);
            Some(TeamShare {
                team: wanted.team.clone(),
                rate: team.spec.limits.rate * part,
                concurrency: f64::from(team.spec.limits.concurrency) * part,
            })
        });
        message::Share {
            teams: teams.collect(),
            ttl_ms: ttl.0 as u32,
        }
    }

    fn take(&mut self, share: &message::Share, context: &mut Context) {
        let until = context.now + Millis(u64::from(share.ttl_ms));
        for team in &share.teams {
            let Some(known) = context.config.teams.by_name(&team.team) else {
                continue;
            };
            let part = team.rate / known.spec.limits.rate.max(f64::MIN_POSITIVE);
            let part = part.clamp(0.0, 1.0);
            let new = Granted { part, until };
            let old = self.granted.insert(known.name.clone(), new);
            context.view_changed |= old.is_none_or(|old| (old.part - part).abs() > 0.01);
        }
    }
}

fn period(context: &Context) -> Millis {
    let count = live_gateways(context).count() as u64;
    Millis(PERIOD.0 * count.div_ceil(GATEWAYS).max(1))
}

fn ttl(context: &Context) -> Millis {
    Millis(period(context).0 * TTL_PERIODS)
}

// The even part, and the rest by demand.
fn part(rate: f64, asked: &BTreeMap<CompactString, Asked>, count: f64) -> f64 {
    let total: f64 = asked.values().map(|asked| asked.rate).sum();
    if total < LEAST_DEMAND {
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
