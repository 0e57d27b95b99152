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
const COPIES: usize = 2;

/// Weight of the time to read a part again: it also delays the requests behind
/// and takes the place of another part in the KV cache.
const READ_AGAIN: f64 = 6.0;

/// Delay that one request that generates adds, in milliseconds: a step of a
/// batch with it instead of without it.
const RUNNING_MS: f64 = 3.0;

/// Delay that a full share of failures counts as, in milliseconds: about a
/// failed attempt and the one after it.
const FAILING_MS: f64 = 1_000.0;

/// Advantage of an upstream in the same data centre, in milliseconds: a round
/// trip between data centres.
const NEAR_MS: f64 = 2.5;

/// An upstream that may run the request.
#[derive(Debug, Clone, Copy, Default)]
pub struct Candidate {
    /// Requests of all gateways that run there.
    pub running: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Time to read the prompts that wait there, in milliseconds.
    pub backlog_ms: f64,
    /// Share of recent attempts that failed, 0 to 1.
    pub failing: f64,
    /// Rank of it for the shared part; the greatest are its home.
    pub rank: u64,
    /// True in the gateway's own data centre.
    pub is_near: bool,
}

/// The rank of an upstream for a shared part.
pub fn rank(part: &str, upstream: &str) -> u64 {
    let mut hasher = FxHasher::default();
    part.hash(&mut hasher);
    upstream.hash(&mut hasher);
    // The hasher's low bits mix badly on short keys.
    hasher.finish().wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ hasher.finish().rotate_left(32)
}

/// Chooses the candidate with the least expected delay. `shared_ms` is the time
/// to read the part that its home need not read again; `noise` in 0..1
/// breaks ties, so that gateways with the same knowledge don't all agree.
pub fn choose(
    candidates: &[Candidate],
    shared_ms: f64,
    mut noise: impl FnMut() -> f64,
) -> Option<usize> {
    let home = home_rank(candidates);
    let cost = |candidate: &Candidate, noise: f64| {
        let running = f64::from(candidate.running);
        let fill = running / f64::from(candidate.slots.max(1));
        let read_again = if candidate.rank >= home {
            0.0
        } else {
            shared_ms * READ_AGAIN
        };
        let near = if candidate.is_near { NEAR_MS } else { 0.0 };
        candidate.backlog_ms
            + running * RUNNING_MS * (1.0 + fill)
            + candidate.failing * FAILING_MS
            + read_again
            + noise * NEAR_MS
            - near
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
fn home_rank(candidates: &[Candidate]) -> u64 {
    let mut top = [0; COPIES];
    for candidate in candidates {
        let mut rank = candidate.rank;
        for place in &mut top {
            if rank > *place {
                std::mem::swap(&mut rank, place);
            }
        }
    }
    top[COPIES - 1]
}
