//! Which upstream runs a request.
//!
//! Load pattern: many gateways place work on the same engines, each knowing
//! only its own. Requests that share a part of their prompt go to the same few
//! engines, chosen by rendezvous hashing, as these have the part in their KV
//! cache; a hot part spreads to others once its engines have more waiting than
//! reading the part again would take.

use std::hash::{Hash, Hasher};

use rustc_hash::FxHasher;

/// Engines that keep a shared part warm; two, so that one may fail or fill up.
const AFFINITY_ENGINES: usize = 2;

/// Weight of the time to read a part again: it also delays the requests behind
/// and takes the place of another part in the KV cache.
const PREFIX_MISS_WEIGHT: f64 = 6.0;

/// Delay that one request that generates adds, in milliseconds: a step of a
/// batch with it instead of without it.
const IN_FLIGHT_DELAY_MS: f64 = 3.0;

/// Delay that each request beyond its slots adds to an upstream, in
/// milliseconds: the rest of a short answer's time over the slots.
const QUEUED_DELAY_MS: f64 = 50.0;

/// Upstreams that the gateways look at together for one decision, in multiples
/// of the upstreams: each is looked at by two.
const SAMPLES_PER_UPSTREAM: f64 = 2.0;

/// Upstreams that one decision looks at besides the home, on average.
const MIN_SAMPLES: f64 = 3.0;

/// Delay that a full share of failures counts as, in milliseconds: about a
/// failed attempt and the one after it.
const FAILURE_DELAY_MS: f64 = 1_000.0;

/// Advantage of an upstream in the same data centre, in milliseconds: a round
/// trip between data centres.
const LOCALITY_BONUS_MS: f64 = 2.5;

/// An upstream that may run the request.
#[derive(Debug, Clone, Copy, Default)]
pub struct UpstreamCandidate {
    /// Its place among all candidates; set by [`sample_candidates`].
    pub index: usize,
    /// Requests of all gateways that run there.
    pub in_flight: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Time to read the prompts that wait there, in milliseconds.
    pub backlog_ms: f64,
    /// Share of recent attempts that failed, 0 to 1.
    pub failure_rate: f64,
    /// Rank of it for the shared part; the greatest are its home.
    pub affinity_rank: u64,
    /// True in the gateway's own data centre.
    pub is_local: bool,
}

/// The rank of an upstream for a shared part.
pub fn affinity_rank(prefix: &str, upstream: &str) -> u64 {
    let mut hasher = FxHasher::default();
    prefix.hash(&mut hasher);
    upstream.hash(&mut hasher);
    // The hasher's low bits mix badly on short keys.
    hasher.finish().wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ hasher.finish().rotate_left(32)
}

/// The candidates that one decision looks at: the home of the part, and others
/// at random.
///
/// Load pattern: between two reports all gateways see the same idle engine, and
/// would all send there. Each looks at other engines, the fewer the more
/// gateways there are, so that an idle one gets a few requests in that time.
pub fn sample_candidates(
    candidates: &[UpstreamCandidate],
    gateways: usize,
    mut random: impl FnMut() -> f64,
) -> Vec<UpstreamCandidate> {
    let min_rank = min_affinity_rank(candidates);
    let others = SAMPLES_PER_UPSTREAM * candidates.len() as f64 / gateways.max(1) as f64;
    let chance = others.max(MIN_SAMPLES) / candidates.len().max(1) as f64;
    let mut sampled = Vec::with_capacity(candidates.len());
    for (index, candidate) in candidates.iter().enumerate() {
        let has_affinity = candidate.affinity_rank > 0 && candidate.affinity_rank >= min_rank;
        if has_affinity || random() < chance {
            sampled.push(UpstreamCandidate {
                index,
                ..*candidate
            });
        }
    }
    if sampled.is_empty() && !candidates.is_empty() {
        let index = (random() * candidates.len() as f64) as usize;
        let index = index.min(candidates.len() - 1);
        sampled.push(UpstreamCandidate {
            index,
            ..candidates[index]
        });
    }
    sampled
}

impl UpstreamCandidate {
    /// Time until a request that goes there now begins to be read, in
    /// milliseconds.
    pub fn wait_ms(&self) -> f64 {
        let queued = (f64::from(self.in_flight) + 1.0 - f64::from(self.slots)).max(0.0);
        self.backlog_ms + queued * QUEUED_DELAY_MS
    }
}

/// Chooses the candidate with the least expected delay. `shared_ms` is the time
/// to read the part that its home need not read again; `noise` in 0..1
/// breaks ties, so that gateways with the same knowledge don't all agree.
pub fn choose_candidate(
    candidates: &[UpstreamCandidate],
    prefix_ms: f64,
    mut noise: impl FnMut() -> f64,
) -> Option<usize> {
    let min_rank = min_affinity_rank(candidates);
    let cost = |candidate: &UpstreamCandidate, noise: f64| {
        let in_flight = f64::from(candidate.in_flight);
        let fill = in_flight / f64::from(candidate.slots.max(1));
        let miss_delay = if candidate.affinity_rank >= min_rank {
            0.0
        } else {
            prefix_ms * PREFIX_MISS_WEIGHT
        };
        let bonus = if candidate.is_local {
            LOCALITY_BONUS_MS
        } else {
            0.0
        };
        candidate.wait_ms()
            + in_flight * IN_FLIGHT_DELAY_MS * (1.0 + fill)
            + candidate.failure_rate * FAILURE_DELAY_MS
            + miss_delay
            + noise * LOCALITY_BONUS_MS
            - bonus
    };
    let mut best: Option<(usize, f64)> = None;
    for (index, candidate) in candidates.iter().enumerate() {
        let cost = cost(candidate, noise());
        if best.is_none_or(|(_, least)| cost < least) {
            best = Some((index, cost));
        }
    }
    best.map(|(index, _)| index)
}

// The least rank that still belongs to the part's home.
fn min_affinity_rank(candidates: &[UpstreamCandidate]) -> u64 {
    let mut top = [0; AFFINITY_ENGINES];
    for candidate in candidates {
        let mut rank = candidate.affinity_rank;
        for place in &mut top {
            if rank > *place {
                std::mem::swap(&mut rank, place);
            }
        }
    }
    top[AFFINITY_ENGINES - 1]
}
