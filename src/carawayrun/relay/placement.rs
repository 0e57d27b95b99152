//! Choice of the upstream that runs a request.
//!
//! Load pattern: many gateways place work on the same engines, and each knows
//! only its own requests. Requests that share a prompt prefix go to the engines
//! that are expected to have it in their KV cache, and as long as none is known to, to the
//! same few, chosen by rendezvous hashing. A hot prefix spreads to other engines once the
//! backlog of these exceeds the cost of computing the prefix again.

use std::hash::{Hash, Hasher};

use rustc_hash::FxHasher;

/// Engines with affinity for a shared prefix; two, so that one may fail or be
/// full.
const AFFINITY_ENGINES: usize = 2;

/// Weight of the time to compute a prefix again: the prefill also delays the
/// requests behind it and evicts another prefix from the KV cache.
const PREFIX_MISS_WEIGHT: f64 = 6.0;

/// Delay added by one request that is generating, in milliseconds: the additional
/// time of a batch step.
const IN_FLIGHT_DELAY_MS: f64 = 3.0;

/// Delay added by each request beyond an upstream's slots, in milliseconds: the
/// remaining time of a short answer divided by the slots.
const QUEUED_DELAY_MS: f64 = 50.0;

/// Number of gateways that consider each upstream for a decision, on average.
const SAMPLES_PER_UPSTREAM: f64 = 2.0;

/// Minimum number of upstreams, besides the affinity engines, that one decision
/// considers on average.
const MIN_SAMPLES: f64 = 3.0;

/// Part of a prefix that an engine is expected to hold from which every decision considers
/// it.
const MIN_KEPT_SHARE: f64 = 0.5;

/// Delay that a failure rate of 1 counts as, in milliseconds: about a failed
/// attempt and the one after it.
const FAILURE_DELAY_MS: f64 = 1_000.0;

/// Advantage of an upstream in the same data centre, in milliseconds: a round
/// trip between data centres. Also the greatest random delay that
/// [`choose_candidate`] adds.
const LOCALITY_BONUS_MS: f64 = 2.5;

/// Minimum number of upstreams that a part of the traffic goes to, so that one that
/// fails or is slow by itself does not decide on its version.
const MIN_PARTIAL_UPSTREAMS: usize = 3;

/// Part of the time to generate an answer that counts as delay: events are passed on
/// as they come, so only a route's pauses and time limit depend on it.
const GENERATION_WEIGHT: f64 = 0.03;

/// Part of a prompt's prefill time that each request already generating there is
/// delayed by: a prompt is read in steps between their tokens.
const PREFILL_HARM_WEIGHT: f64 = 0.03;

/// What a request needs of an engine, in times at an engine of pace 1. All zero for
/// an upstream that is no engine.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Work {
    /// Prefill time of the shared prefix, which engines that hold it save, in milliseconds.
    pub prefix_ms: f64,
    /// Part of the prefix that affinity engines are taken to have lost where nothing is known
    /// of them, 0 to 1.
    pub affinity_loss: f64,
    /// Prefill time of the whole prompt, in milliseconds.
    pub prompt_ms: f64,
    /// Time to generate the answer, in milliseconds; zero if not known.
    pub generation_ms: f64,
    /// Tokens of the prompt and the expected answer.
    pub kv_tokens: u64,
}

/// Upstream that is considered for a request.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamCandidate {
    /// Index among all candidates; set by [`sample_candidates`].
    pub index: usize,
    /// Requests of all gateways in flight there.
    pub in_flight: u32,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Prefill time of the prompts that wait there, in milliseconds.
    pub backlog_ms: f64,
    /// Share of recent attempts that failed, 0 to 1.
    pub failure_rate: f64,
    /// Rendezvous hash with the shared prefix; the greatest have affinity. Zero
    /// without a prefix.
    pub affinity_rank: u64,
    /// Part of the shared prefix that it is expected to hold, 0 to 1.
    pub kept_share: f64,
    /// True if it is in the gateway's data centre.
    pub is_local: bool,
    /// Time of its steps relative to the usual one; 1 if not known or no engine.
    pub pace: f64,
    /// Tokens of the prompts and expected answers of the requests there.
    pub kv_tokens: u64,
    /// Tokens that its memory holds; `None` if not known or no engine.
    pub kv_capacity: Option<u32>,
}

impl Default for UpstreamCandidate {
    fn default() -> Self {
        Self {
            index: 0,
            in_flight: 0,
            slots: 0,
            backlog_ms: 0.0,
            failure_rate: 0.0,
            affinity_rank: 0,
            kept_share: 0.0,
            is_local: false,
            pace: 1.0,
            kv_tokens: 0,
            kv_capacity: None,
        }
    }
}

/// Rendezvous hash of a shared prefix and an upstream.
pub fn affinity_rank(prefix: &str, upstream: &str) -> u64 {
    let mut hasher = FxHasher::default();
    prefix.hash(&mut hasher);
    upstream.hash(&mut hasher);
    // The low bits of the hash mix poorly for short keys.
    hasher.finish().wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ hasher.finish().rotate_left(32)
}

/// Number of a new version's upstreams that get its traffic while it has `share` of
/// all.
///
/// Load pattern: the upstreams of a new version are idle beside those of the old one,
/// and a slow version answers as fast there as a good one does under load. With few
/// upstreams in use each has about the load of an old one.
pub fn count_partial_upstreams(upstreams: usize, share: f64) -> usize {
    let proportional = (upstreams as f64 * share).ceil() as usize;
    proportional.max(MIN_PARTIAL_UPSTREAMS).min(upstreams)
}

/// Selects the candidates that one decision considers: the affinity engines of
/// the prefix, those that probably hold it, and a random sample of the others.
///
/// Load pattern: between two reports all gateways see the same idle engine and
/// would all send requests to it. Each gateway samples different engines, and
/// fewer the more gateways there are, so that an idle engine gets only a few
/// requests in that time.
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
        let is_holder = candidate.kept_share >= MIN_KEPT_SHARE;
        if has_affinity || is_holder || random() < chance {
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
    /// Expected time until the prefill of a new request begins there, in
    /// milliseconds.
    pub fn wait_ms(&self) -> f64 {
        let queued = (f64::from(self.in_flight) + 1.0 - f64::from(self.slots)).max(0.0);
        (self.backlog_ms + queued * QUEUED_DELAY_MS) * self.pace
    }

    /// Returns true if its memory has room for a request, as far as it is known.
    pub fn has_room(&self, work: &Work) -> bool {
        let is_full = |capacity| self.kv_tokens + work.kv_tokens > u64::from(capacity);
        !self.kv_capacity.is_some_and(is_full)
    }

    /// Expected time until the first byte of an answer, in milliseconds.
    pub fn first_ms(&self, work: &Work) -> f64 {
        self.wait_ms() + work.prompt_ms * self.pace
    }
}

/// Chooses the candidate with the least expected delay, to the request and to those
/// already there. All times grow with an engine's pace, so an engine that is slower
/// gets fewer requests, and the short ones first. `noise` returns a random number in 0..1 for
/// each candidate, which adds a delay of up to `LOCALITY_BONUS_MS` (2.5 ms), so that gateways
/// with the same knowledge do not all choose the same engine.
pub fn choose_candidate(
    candidates: &[UpstreamCandidate],
    work: &Work,
    mut noise: impl FnMut() -> f64,
) -> Option<usize> {
    let min_rank = min_affinity_rank(candidates);
    let cost = |candidate: &UpstreamCandidate, noise: f64| {
        let in_flight = f64::from(candidate.in_flight);
        let fill = in_flight / f64::from(candidate.slots.max(1));
        let presumed_loss = if candidate.affinity_rank >= min_rank {
            work.affinity_loss
        } else {
            1.0
        };
        let lost_share = presumed_loss.min(1.0 - candidate.kept_share);
        let miss_delay = lost_share * work.prefix_ms * PREFIX_MISS_WEIGHT;
        let bonus = if candidate.is_local {
            LOCALITY_BONUS_MS
        } else {
            0.0
        };
        let own_prefill = (work.prompt_ms - work.prefix_ms).max(0.0);
        let at_usual_pace = in_flight * IN_FLIGHT_DELAY_MS * (1.0 + fill)
            + miss_delay
            + own_prefill * (1.0 + PREFILL_HARM_WEIGHT * in_flight)
            + work.generation_ms * GENERATION_WEIGHT;
        candidate.wait_ms()
            + at_usual_pace * candidate.pace
            + candidate.failure_rate * FAILURE_DELAY_MS
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

// Least rank of the affinity engines.
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
