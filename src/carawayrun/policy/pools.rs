//! Load balancing: picks the upstream that runs a request.
//!
//! Upstreams of the gateway's own data centre are preferred. Among them, two
//! random ones and the one with affinity to the prompt prefix are compared by
//! load, so the cost of a pick doesn't depend on the number of upstreams, except
//! for one binary search on the affinity ring. Other data centres are considered
//! once the request would have to wait in the local one.

use compact_str::CompactString;
use rand::Rng;
use rustc_hash::FxHashMap;
use slotmap::SecondaryMap;

use super::ejection::Ejection;
use super::in_flight::InFlightCounts;
use super::locality::{Locality, locality_for};
use crate::resource::{ServiceKey, UpstreamKey, VersionKey};

/// Random upstreams compared for a request.
const RANDOM_CHOICES: usize = 2;
/// Random upstreams compared for a request that a person waits for.
const URGENT_RANDOM_CHOICES: usize = 8;
/// Largest number of random draws per data centre. After them the best upstream
/// drawn is accepted, even if it is ejected.
const MAX_DRAWS: usize = 12;
/// Load that prefix affinity makes up for, as a share of an upstream's slots.
const PREFIX_LOAD_BONUS: f64 = 0.3;
/// Load above which a request has to wait, as a share of an upstream's slots.
const FULL_LOAD: f64 = 1.0;
/// Load by which an upstream of another data centre has to be lower, as a share of
/// its slots.
const REMOTE_LOAD_MARGIN: f64 = 0.25;
/// Share of the time budget that a request may wait in a queue before other data
/// centres are considered.
const MAX_WAIT_SHARE: f64 = 0.25;
/// Age at which a load report has a weight of 1/e, in milliseconds.
const REPORT_DECAY_MS: f64 = 2_000.0;
/// Duration of the slow start of a new or readmitted upstream, in milliseconds.
const SLOW_START_MS: f64 = 10_000.0;
/// Share of its slots with which an upstream begins its slow start.
const SLOW_START_MIN_SHARE: f64 = 0.1;

/// Identifies a set of upstreams that can run the same requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Pool {
    /// The upstreams that have a version warm.
    Version(VersionKey),
    /// The upstreams of a plain service.
    Service(ServiceKey),
}

/// An upstream that takes new work, with the load it last reported.
#[derive(Debug, Clone)]
pub struct UpstreamCandidate {
    /// Position of its agent in the caller's own list.
    pub agent: usize,
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Its data centre.
    pub data_centre: CompactString,
    /// Number of requests it runs concurrently.
    pub slots: u32,
    /// Requests that occupy a slot, as last reported.
    pub running: u32,
    /// Requests that wait in its queue, as last reported.
    pub queued: u32,
    /// Expected wait of a new request in milliseconds, as last reported.
    pub wait_ms: u32,
    /// Time of the load report, in milliseconds.
    pub report_ms: u64,
    /// Pools it belongs to.
    pub pools: Vec<Pool>,
}

/// A request that needs an upstream.
#[derive(Debug, Clone, Copy)]
pub struct PickRequest<'a> {
    /// The pool to pick from.
    pub pool: Pool,
    /// The gateway's data centre.
    pub data_centre: &'a str,
    /// Identifier of the prompt prefix, or zero for none.
    pub prefix: u64,
    /// Time left until the first byte is due, in milliseconds.
    pub budget_ms: u64,
    /// Current time, in milliseconds.
    pub now_ms: u64,
    /// Whether a person waits for the answer. Such a request skips ahead of the
    /// queue.
    pub urgent: bool,
    /// Upstreams that were already tried for this request and are left out.
    pub tried: &'a [UpstreamKey],
}

/// The upstream picked for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pick {
    /// Position of its agent in the caller's own list.
    pub agent: usize,
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Whether it belongs to another data centre than the gateway.
    pub spilled: bool,
    /// Expected wait in its queue, in milliseconds.
    pub wait_ms: u32,
}

/// The upstreams that take new work, by version or service and data centre.
#[derive(Debug, Clone, Default)]
pub struct Pools {
    members: SecondaryMap<UpstreamKey, Member>,
    pools: FxHashMap<Pool, Vec<Locality>>,
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
struct ScoredUpstream {
    upstream: UpstreamKey,
    load: f64,
    wait_ms: f64,
    ejected: bool,
}

impl Pools {
    /// Builds the pools from the upstreams that take new work.
    pub fn build(candidates: impl IntoIterator<Item = UpstreamCandidate>) -> Self {
        let mut pools = Self::default();
        for candidate in candidates {
            pools.add(&candidate);
        }
        for locality in pools.pools.values_mut().flatten() {
            locality.sort();
        }
        pools
    }

    /// Number of upstreams in a pool.
    pub fn len(&self, pool: Pool) -> usize {
        self.pools.get(&pool).map_or(0, |localities| {
            localities
                .iter()
                .map(|locality| locality.upstreams.len())
                .sum()
        })
    }

    /// Whether a pool has no upstream.
    pub fn is_empty(&self, pool: Pool) -> bool {
        !self.pools.contains_key(&pool)
    }

    /// Picks the upstream for a request. Returns `None` if the pool is empty or all
    /// of its upstreams were tried.
    pub fn pick(
        &self,
        request: &PickRequest<'_>,
        in_flight: &InFlightCounts,
        ejection: &Ejection,
        rng: &mut impl Rng,
    ) -> Option<Pick> {
        let localities = self.pools.get(&request.pool)?;
        let selection = Selection {
            pools: self,
            request,
            in_flight,
            ejection,
        };
        let local = localities
            .iter()
            .find(|locality| locality.data_centre == request.data_centre)
            .and_then(|locality| selection.best_in(locality, rng));
        let best = match local {
            Some(local) if !selection.must_wait(&local) => local,
            local => selection.best_with_spillover(localities, local, rng)?,
        };
        self.to_pick(request, localities, &best)
    }

    /// Whether an upstream belongs to any pool.
    pub(crate) fn contains(&self, upstream: UpstreamKey) -> bool {
        self.members.contains_key(upstream)
    }

    /// The upstreams of all pools.
    pub(crate) fn upstreams(&self) -> impl Iterator<Item = UpstreamKey> {
        self.members.keys()
    }

    /// Time of an upstream's last load report, in milliseconds.
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
            let localities = self.pools.entry(*pool).or_default();
            locality_for(localities, &candidate.data_centre).add(candidate.upstream);
        }
    }

    fn to_pick(
        &self,
        request: &PickRequest<'_>,
        localities: &[Locality],
        best: &ScoredUpstream,
    ) -> Option<Pick> {
        let member = self.members.get(best.upstream)?;
        let local = localities
            .iter()
            .find(|locality| locality.data_centre == request.data_centre)
            .is_some_and(|locality| locality.upstreams.binary_search(&best.upstream).is_ok());
        Some(Pick {
            agent: member.agent,
            upstream: best.upstream,
            spilled: !local,
            wait_ms: best.wait_ms as u32,
        })
    }
}

// Inputs of one pick.
struct Selection<'a> {
    pools: &'a Pools,
    request: &'a PickRequest<'a>,
    in_flight: &'a InFlightCounts,
    ejection: &'a Ejection,
}

impl Selection<'_> {
    fn best_in(&self, locality: &Locality, rng: &mut impl Rng) -> Option<ScoredUpstream> {
        let mut best = locality
            .affinity_upstream(self.request.prefix)
            .and_then(|upstream| self.score(upstream))
            .map(with_prefix_bonus);
        let choices = if self.request.urgent {
            URGENT_RANDOM_CHOICES
        } else {
            RANDOM_CHOICES
        };
        let mut drawn = 0;
        for _ in 0..MAX_DRAWS {
            let index = rng.random_range(0..locality.upstreams.len());
            let Some(scored) = self.score(locality.upstreams[index]) else {
                continue;
            };
            drawn += usize::from(!scored.ejected);
            best = Some(better_upstream(best, scored));
            if drawn == choices {
                return best;
            }
        }
        best.or_else(|| self.first_untried(locality))
    }

    fn best_with_spillover(
        &self,
        localities: &[Locality],
        local: Option<ScoredUpstream>,
        rng: &mut impl Rng,
    ) -> Option<ScoredUpstream> {
        let mut best = local.map(|local| ScoredUpstream {
            load: local.load - REMOTE_LOAD_MARGIN * f64::from(u8::from(local.load <= FULL_LOAD)),
            ..local
        });
        for locality in localities {
            if locality.data_centre == self.request.data_centre {
                continue;
            }
            if let Some(scored) = self.best_in(locality, rng) {
                best = Some(better_upstream(best, scored));
            }
        }
        best
    }

    fn must_wait(&self, scored: &ScoredUpstream) -> bool {
        let max_wait_ms = self.request.budget_ms as f64 * MAX_WAIT_SHARE;
        scored.ejected || scored.load > FULL_LOAD || scored.wait_ms > max_wait_ms
    }

    // Scans all upstreams, for the case that every draw hit one that was tried.
    fn first_untried(&self, locality: &Locality) -> Option<ScoredUpstream> {
        locality.upstreams.iter().find_map(|key| self.score(*key))
    }

    fn score(&self, upstream: UpstreamKey) -> Option<ScoredUpstream> {
        if self.request.tried.contains(&upstream) {
            return None;
        }
        let member = self.pools.members.get(upstream)?;
        let age_ms = self.request.now_ms.saturating_sub(member.report_ms) as f64;
        let report_weight = (-age_ms / REPORT_DECAY_MS).exp();
        let own = f64::from(self.in_flight.count(upstream));
        let queued = if self.request.urgent {
            0.0
        } else {
            member.queued
        };
        let reported = member.running + queued + self.in_flight.change_since_report(upstream);
        let expected = report_weight * reported.max(0.0) + (1.0 - report_weight) * own;
        let slots = member.slots * self.slow_start_share(upstream);
        Some(ScoredUpstream {
            upstream,
            load: (expected + 1.0) / slots,
            wait_ms: if self.request.urgent {
                0.0
            } else {
                f64::from(member.wait_ms) * report_weight
            },
            ejected: self.ejection.is_ejected(upstream, self.request.now_ms),
        })
    }

    // Share of its slots with which an upstream counts during its slow start.
    fn slow_start_share(&self, upstream: UpstreamKey) -> f64 {
        let first_seen_ms = self.in_flight.since_ms(upstream);
        let readmitted_ms = self.ejection.readmitted_ms(upstream).unwrap_or(0);
        let since_ms = first_seen_ms.max(readmitted_ms);
        if since_ms == 0 {
            return 1.0;
        }
        let age_ms = self.request.now_ms.saturating_sub(since_ms) as f64;
        (age_ms / SLOW_START_MS).clamp(SLOW_START_MIN_SHARE, 1.0)
    }
}

// Prefix affinity counts only below `FULL_LOAD`, where the request does not
// have to wait.
fn with_prefix_bonus(scored: ScoredUpstream) -> ScoredUpstream {
    if scored.load >= FULL_LOAD {
        return scored;
    }
    ScoredUpstream {
        load: scored.load - PREFIX_LOAD_BONUS,
        ..scored
    }
}

// Prefers upstreams that are not ejected, then the lower load.
fn better_upstream(best: Option<ScoredUpstream>, other: ScoredUpstream) -> ScoredUpstream {
    match best {
        Some(best) if (best.ejected, best.load) <= (other.ejected, other.load) => best,
        _ => other,
    }
}
