//! Which upstream runs a request.
//!
//! An upstream of the gateway's own data centre comes first. Among those, two
//! random ones and the one that is home to the prompt prefix are compared by
//! load, so a choice costs the same whatever the number of upstreams, but for
//! one binary search on the ring of prefix homes. Another data centre is tried
//! once the own one would make the request wait.

use compact_str::CompactString;
use rand::Rng;
use rustc_hash::FxHashMap;
use slotmap::SecondaryMap;

use super::ejection::Ejection;
use super::in_flight::InFlightCounts;
use super::locality::{Place, place_of};
use crate::resource::{ServiceKey, UpstreamKey, VersionKey};

/// Random upstreams compared in a choice.
const CHOICES: usize = 2;
/// Random upstreams compared for a request that a person waits for.
const URGENT_CHOICES: usize = 8;
/// Random draws before ejected upstreams are accepted.
const MOST_DRAWS: usize = 12;
/// Load that a warm prefix is worth, as a share of an upstream's slots.
const PREFIX_BONUS: f64 = 0.3;
/// Load above which an upstream makes a request wait, as a share of its slots.
const FULL: f64 = 1.0;
/// Load that another data centre has to be lower by, as a share of slots.
const REMOTE_MARGIN: f64 = 0.25;
/// Part of the time budget that may pass in a queue before another data
/// centre is tried.
const WAIT_SHARE: f64 = 0.25;
/// Age at which reported load counts for 1/e, in milliseconds.
const REPORT_AGE_MS: f64 = 2_000.0;
/// Time over which a new upstream reaches its full share, in milliseconds.
const SLOW_START_MS: f64 = 10_000.0;
/// Least share of its slots a new upstream counts with.
const SLOW_START_LEAST: f64 = 0.1;

/// What upstreams are chosen from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Pool {
    /// The upstreams that have a version warm.
    Version(VersionKey),
    /// The upstreams of a plain service.
    Service(ServiceKey),
}

/// An upstream that may be chosen, as the gateway knows it.
#[derive(Debug, Clone)]
pub struct UpstreamCandidate {
    /// Position of its agent in the caller's own list.
    pub agent: usize,
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Data centre it stands in.
    pub data_centre: CompactString,
    /// Requests it runs at once.
    pub slots: u32,
    /// Requests in its slots, as last reported.
    pub running: u32,
    /// Requests that wait before it, as last reported.
    pub queued: u32,
    /// Expected wait of a new request in milliseconds, as last reported.
    pub wait_ms: u32,
    /// When the load was reported, in milliseconds.
    pub report_ms: u64,
    /// Pools it belongs to.
    pub pools: Vec<Pool>,
}

/// One choice to be made.
#[derive(Debug, Clone, Copy)]
pub struct PickRequest<'a> {
    /// Where to choose.
    pub pool: Pool,
    /// The gateway's data centre.
    pub data_centre: &'a str,
    /// Identifies the prompt prefix; zero for none.
    pub prefix: u64,
    /// Time left for the first byte, in milliseconds.
    pub budget_ms: u64,
    /// The time, in milliseconds.
    pub now_ms: u64,
    /// True where a person waits: the request goes before those that are queued.
    pub urgent: bool,
    /// Upstreams that were tried for this request.
    pub tried: &'a [UpstreamKey],
}

/// A chosen upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pick {
    /// Position of its agent in the caller's own list.
    pub agent: usize,
    /// The upstream.
    pub upstream: UpstreamKey,
    /// True where it stands in another data centre.
    pub spilled: bool,
    /// Expected wait in its queue, in milliseconds.
    pub wait_ms: u32,
}

/// The upstreams that take new work, by version or service and data centre.
#[derive(Debug, Clone, Default)]
pub struct Pools {
    members: SecondaryMap<UpstreamKey, Member>,
    pools: FxHashMap<Pool, Vec<Place>>,
}

#[derive(Debug, Clone, Copy)]
struct Member {
    agent: usize,
    slots: f64,
    running: f64,
    queued: f64,
    wait_ms: u32,
    report_ms: u64,
}

#[derive(Debug, Clone, Copy)]
struct Scored {
    upstream: UpstreamKey,
    load: f64,
    wait_ms: f64,
    ejected: bool,
}

impl Pools {
    /// Pools of the upstreams that take new work.
    pub fn build(candidates: impl IntoIterator<Item = UpstreamCandidate>) -> Self {
        let mut pools = Self::default();
        for candidate in candidates {
            pools.add(&candidate);
        }
        for place in pools.pools.values_mut().flatten() {
            place.seal();
        }
        pools
    }

    /// Number of upstreams in a pool.
    pub fn len(&self, pool: Pool) -> usize {
        self.pools.get(&pool).map_or(0, |places| {
            places.iter().map(|place| place.upstreams.len()).sum()
        })
    }

    /// True where a pool has no upstream.
    pub fn is_empty(&self, pool: Pool) -> bool {
        !self.pools.contains_key(&pool)
    }

    /// The upstream for one request; none where every upstream of the pool was
    /// tried or there is none.
    pub fn pick(
        &self,
        choice: &PickRequest<'_>,
        flight: &InFlightCounts,
        ejection: &Ejection,
        rng: &mut impl Rng,
    ) -> Option<Pick> {
        let places = self.pools.get(&choice.pool)?;
        let round = Round {
            pools: self,
            choice,
            flight,
            ejection,
        };
        let near = places
            .iter()
            .find(|place| place.data_centre == choice.data_centre)
            .and_then(|place| round.best(place, rng));
        let best = match near {
            Some(near) if !round.waits(&near) => near,
            near => round.spill(places, near, rng)?,
        };
        self.to_pick(choice, places, &best)
    }

    /// True where an upstream is in a pool.
    pub(crate) fn contains(&self, upstream: UpstreamKey) -> bool {
        self.members.contains_key(upstream)
    }

    /// All upstreams of all pools.
    pub(crate) fn upstreams(&self) -> impl Iterator<Item = UpstreamKey> {
        self.members.keys()
    }

    /// When an upstream last reported its load, in milliseconds.
    pub(crate) fn report_ms(&self, upstream: UpstreamKey) -> u64 {
        self.members
            .get(upstream)
            .map_or(0, |member| member.report_ms)
    }

    fn add(&mut self, candidate: &UpstreamCandidate) {
        let member = Member {
            agent: candidate.agent,
            slots: f64::from(candidate.slots.max(1)),
            running: f64::from(candidate.running),
            queued: f64::from(candidate.queued),
            wait_ms: candidate.wait_ms,
            report_ms: candidate.report_ms,
        };
        self.members.insert(candidate.upstream, member);
        for pool in &candidate.pools {
            let places = self.pools.entry(*pool).or_default();
            place_of(places, &candidate.data_centre).add(candidate.upstream);
        }
    }

    fn to_pick(&self, choice: &PickRequest<'_>, places: &[Place], best: &Scored) -> Option<Pick> {
        let member = self.members.get(best.upstream)?;
        let near = places
            .iter()
            .find(|place| place.data_centre == choice.data_centre)
            .is_some_and(|place| place.upstreams.binary_search(&best.upstream).is_ok());
        Some(Pick {
            agent: member.agent,
            upstream: best.upstream,
            spilled: !near,
            wait_ms: best.wait_ms as u32,
        })
    }
}

// What stays the same while one choice is made.
struct Round<'a> {
    pools: &'a Pools,
    choice: &'a PickRequest<'a>,
    flight: &'a InFlightCounts,
    ejection: &'a Ejection,
}

impl Round<'_> {
    fn best(&self, place: &Place, rng: &mut impl Rng) -> Option<Scored> {
        let mut best = place
            .home(self.choice.prefix)
            .and_then(|home| self.score(home))
            .map(with_bonus);
        let wanted = if self.choice.urgent {
            URGENT_CHOICES
        } else {
            CHOICES
        };
        let mut drawn = 0;
        for _ in 0..MOST_DRAWS {
            let index = rng.random_range(0..place.upstreams.len());
            let Some(scored) = self.score(place.upstreams[index]) else {
                continue;
            };
            drawn += usize::from(!scored.ejected);
            best = Some(better(best, scored));
            if drawn == wanted {
                return best;
            }
        }
        best.or_else(|| self.first_left(place))
    }

    fn spill(&self, places: &[Place], near: Option<Scored>, rng: &mut impl Rng) -> Option<Scored> {
        let mut best = near.map(|near| Scored {
            load: near.load - REMOTE_MARGIN * f64::from(u8::from(near.load <= FULL)),
            ..near
        });
        for place in places {
            if place.data_centre == self.choice.data_centre {
                continue;
            }
            if let Some(scored) = self.best(place, rng) {
                best = Some(better(best, scored));
            }
        }
        best
    }

    fn waits(&self, scored: &Scored) -> bool {
        let patience_ms = self.choice.budget_ms as f64 * WAIT_SHARE;
        scored.ejected || scored.load > FULL || scored.wait_ms > patience_ms
    }

    // Every draw hit an upstream that was tried; look at all of them.
    fn first_left(&self, place: &Place) -> Option<Scored> {
        place.upstreams.iter().find_map(|key| self.score(*key))
    }

    fn score(&self, upstream: UpstreamKey) -> Option<Scored> {
        if self.choice.tried.contains(&upstream) {
            return None;
        }
        let member = self.pools.members.get(upstream)?;
        let age_ms = self.choice.now_ms.saturating_sub(member.report_ms) as f64;
        let trust = (-age_ms / REPORT_AGE_MS).exp();
        let own = f64::from(self.flight.in_flight(upstream));
        let queued = if self.choice.urgent {
            0.0
        } else {
            member.queued
        };
        let reported = member.running + queued + self.flight.change_since_report(upstream);
        let expected = trust * reported.max(0.0) + (1.0 - trust) * own;
        let slots = member.slots * self.ramp(upstream);
        Some(Scored {
            upstream,
            load: (expected + 1.0) / slots,
            wait_ms: if self.choice.urgent {
                0.0
            } else {
                f64::from(member.wait_ms) * trust
            },
            ejected: self.ejection.is_ejected(upstream, self.choice.now_ms),
        })
    }

    // Share of its slots that a new or returned upstream counts with.
    fn ramp(&self, upstream: UpstreamKey) -> f64 {
        let known_ms = self.flight.known_since_ms(upstream);
        let returned_ms = self.ejection.readmitted_ms(upstream).unwrap_or(0);
        let since_ms = known_ms.max(returned_ms);
        if since_ms == 0 {
            return 1.0;
        }
        let age_ms = self.choice.now_ms.saturating_sub(since_ms) as f64;
        (age_ms / SLOW_START_MS).clamp(SLOW_START_LEAST, 1.0)
    }
}

// A warm prefix helps only while the request would not wait for it.
fn with_bonus(scored: Scored) -> Scored {
    if scored.load >= FULL {
        return scored;
    }
    Scored {
        load: scored.load - PREFIX_BONUS,
        ..scored
    }
}

fn better(best: Option<Scored>, other: Scored) -> Scored {
    match best {
        Some(best) if (best.ejected, best.load) <= (other.ejected, other.load) => best,
        _ => other,
    }
}
