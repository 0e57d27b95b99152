//! Plan of the faults of a soak and their times, which depends only on the seed, the
//! duration and the sizes.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use crate::support::{Junk, Passing};

/// Time between the starts of two faults. Most faults last longer, so they overlap.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 100..900;

/// Time between two restores of the store.
const RESTORE_INTERVAL_MS: std::ops::Range<u64> = 3_000..12_000;

/// Time between two upstreams that name a limit, and time for which they do so.
const LIMIT_INTERVAL_MS: std::ops::Range<u64> = 2_000..8_000;
const LIMIT_DURATION_MS: std::ops::Range<u64> = 5_000..12_000;

/// Time between two moments at which open connections go silent.
const SILENCE_INTERVAL_MS: std::ops::Range<u64> = 1_500..9_000;

/// Time between two upstreams that ask for rest, and the time that they name, in tenths of
/// a second.
const REST_INTERVAL_MS: std::ops::Range<u64> = 800..5_000;
const REST_TENTHS: std::ops::Range<u32> = 6..40;

/// Time between two upstreams that say that they leave.
const DEPARTURE_INTERVAL_MS: std::ops::Range<u64> = 2_000..9_000;

/// Time between two upstreams whose answers are spoiled.
const JUNK_INTERVAL_MS: std::ops::Range<u64> = 1_000..6_000;

/// What spoils answers: bytes without an end, or an earlier answer once more. The latter
/// name a request, as on a new connection an answer without an id is the present one.
const JUNK: [Junk; 10] = [
    endless("HTTP/1.1 100 Continue\r\n\r\n", true),
    endless("HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n", true),
    endless("\r\n", true),
    endless("x", true),
    endless("0", false),
    endless("1;x", false),
    endless("1\r\n\n\r\n", false),
    endless("6\r\n: on\n\n\r\n", false),
    Junk {
        bytes: "HTTP/1.1 503 Service Unavailable\r\nx-carawayrun-request-id: earlier\r\n\
            x-carawayrun-not-executed: full\r\ncontent-length: 0\r\n\r\n",
        comes_first: true,
        is_endless: false,
    },
    Junk {
        bytes: "HTTP/1.1 421 Misdirected Request\r\nx-carawayrun-request-id: earlier\r\n\
            content-length: 0\r\n\r\n",
        comes_first: false,
        is_endless: false,
    },
];

const fn endless(bytes: &'static str, comes_first: bool) -> Junk {
    Junk {
        bytes,
        comes_first,
        is_endless: true,
    }
}

/// Limits that upstreams name, in requests per ten seconds.
const LIMITS: std::ops::Range<u32> = 5..60;

/// Age of the copy from which the store is restored.
const COPY_AGE_MS: std::ops::Range<u64> = 500..5_000;

/// Time for which the store is down before it is restored.
const RESTORE_DOWN_MS: std::ops::Range<u64> = 50..2_000;

/// Time for which a fault lasts.
const FAULT_DURATION_MS: std::ops::Range<u64> = 200..4_000;

/// A fault; the numbers are indices of relays or upstreams.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Fault {
    KillRelay(usize),
    StopRelay(usize),
    FreezeRelay(usize, Duration),
    SighupRelay(usize),
    KillAllRelays,
    KillUpstream(usize, Duration),
    FreezeUpstream(usize, Duration),
    /// The upstream is registered as draining, ends, and another one takes its address.
    DrainUpstream(usize),
    Misbehave(usize, Misbehaviour),
    /// The upstream names this many requests per ten seconds as its limit.
    LimitUpstream(usize, u32, Duration),
    /// The upstream turns requests away and asks for so many tenths of a second of rest.
    RestUpstream(usize, u32, Duration),
    /// The upstream says in its answers that it leaves, while its registration stays, and
    /// ends later.
    DepartUpstream(usize),
    /// Callers send requests that crash each upstream.
    DeadlyRequests(Duration),
    ClientLink(usize, Passing, Duration),
    StoreLink(usize, Passing, Duration),
    UpstreamLink(usize, Passing, Duration),
    ResetLinks,
    /// Open connections of all links go silent for good; new ones work.
    SilenceLinks,
    StoreDown(Duration),
    StoreSlow(Duration),
    StoreFrozen(Duration),
    StoreLosesAnswers,
    StoreDropsHistory,
    /// The store is down for the second time and comes back from a copy that is as
    /// old as the first.
    StoreRestored(Duration, Duration),
    NewKey,
    RevokeKey,
}

/// Fault of an upstream's next answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Misbehaviour {
    LosesAnswers,
    CutsStreams,
    CrossesAnswers,
    Slow(Duration),
}

/// Numbers of relays and upstreams of a soak.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Sizes {
    pub(crate) relays: usize,
    pub(crate) upstreams: usize,
}

/// Returns the faults of a seed, each with its time since the start.
pub(crate) fn plan_faults(seed: u64, duration: Duration, sizes: Sizes) -> Vec<(Duration, Fault)> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut plan = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += Duration::from_millis(rng.random_range(FAULT_INTERVAL_MS));
        if at >= duration {
            break;
        }
        plan.push((at, random_fault(&mut rng, sizes)));
    }
    plan.extend(plan_restores(seed, duration));
    plan.extend(plan_limits(seed, duration, sizes));
    plan.extend(plan_silences(seed, duration));
    plan.extend(plan_rests(seed, duration, sizes));
    plan.extend(plan_departures(seed, duration, sizes));
    plan.extend(plan_junk(seed, duration, sizes));
    plan.extend(plan_deadly_requests(seed, duration));
    plan.sort_by_key(|(at, _)| *at);
    plan
}

// Restores and the kinds below have random numbers of their own, so that the other faults
// of a seed stay the same.
fn plan_restores(seed: u64, duration: Duration) -> Vec<(Duration, Fault)> {
    let mut rng = StdRng::seed_from_u64(!seed);
    let mut millis = |range| Duration::from_millis(rng.random_range(range));
    let mut plan = Vec::new();
    let mut at = millis(RESTORE_INTERVAL_MS);
    while at < duration {
        let fault = Fault::StoreRestored(millis(COPY_AGE_MS), millis(RESTORE_DOWN_MS));
        plan.push((at, fault));
        at += millis(RESTORE_INTERVAL_MS);
    }
    plan
}

fn plan_limits(seed: u64, duration: Duration, sizes: Sizes) -> Vec<(Duration, Fault)> {
    let mut rng = StdRng::seed_from_u64(!seed.rotate_left(32));
    let mut plan = Vec::new();
    let mut at = Duration::from_millis(rng.random_range(LIMIT_INTERVAL_MS));
    while at < duration {
        let upstream = rng.random_range(0..sizes.upstreams);
        let limit = rng.random_range(LIMITS);
        let span = Duration::from_millis(rng.random_range(LIMIT_DURATION_MS));
        plan.push((at, Fault::LimitUpstream(upstream, limit, span)));
        at += Duration::from_millis(rng.random_range(LIMIT_INTERVAL_MS));
    }
    plan
}

fn plan_silences(seed: u64, duration: Duration) -> Vec<(Duration, Fault)> {
    let mut rng = StdRng::seed_from_u64(seed.rotate_left(16));
    let mut pause = || Duration::from_millis(rng.random_range(SILENCE_INTERVAL_MS));
    let mut plan = Vec::new();
    let mut at = pause();
    while at < duration {
        plan.push((at, Fault::SilenceLinks));
        at += pause();
    }
    plan
}

fn plan_rests(seed: u64, duration: Duration, sizes: Sizes) -> Vec<(Duration, Fault)> {
    let mut rng = StdRng::seed_from_u64(seed.rotate_left(24));
    let mut plan = Vec::new();
    let mut at = Duration::from_millis(rng.random_range(REST_INTERVAL_MS));
    while at < duration {
        let upstream = rng.random_range(0..sizes.upstreams);
        let rest = rng.random_range(REST_TENTHS);
        let span = Duration::from_millis(rng.random_range(FAULT_DURATION_MS));
        plan.push((at, Fault::RestUpstream(upstream, rest, span)));
        at += Duration::from_millis(rng.random_range(REST_INTERVAL_MS));
    }
    plan
}

fn plan_departures(seed: u64, duration: Duration, sizes: Sizes) -> Vec<(Duration, Fault)> {
    let mut rng = StdRng::seed_from_u64(seed.rotate_left(40));
    let mut plan = Vec::new();
    let mut at = Duration::from_millis(rng.random_range(DEPARTURE_INTERVAL_MS));
    while at < duration {
        plan.push((
            at,
            Fault::DepartUpstream(rng.random_range(0..sizes.upstreams)),
        ));
        at += Duration::from_millis(rng.random_range(DEPARTURE_INTERVAL_MS));
    }
    plan
}

fn plan_junk(seed: u64, duration: Duration, sizes: Sizes) -> Vec<(Duration, Fault)> {
    let mut rng = StdRng::seed_from_u64(seed.rotate_left(56));
    let mut plan = Vec::new();
    let mut at = Duration::from_millis(rng.random_range(JUNK_INTERVAL_MS));
    while at < duration {
        let upstream = rng.random_range(0..sizes.upstreams);
        let junk = *JUNK.choose(&mut rng).expect("there are some");
        let span = Duration::from_millis(rng.random_range(FAULT_DURATION_MS));
        plan.push((
            at,
            Fault::UpstreamLink(upstream, Passing::Spoiled(junk), span),
        ));
        at += Duration::from_millis(rng.random_range(JUNK_INTERVAL_MS));
    }
    plan
}

/// Number of relays that are stopped at once after the faults of a seed: several or all, in
/// one seed of four.
pub(crate) fn stops_together(seed: u64, sizes: Sizes) -> Option<usize> {
    let several = sizes.relays.div_ceil(2);
    let count = if seed.is_multiple_of(8) {
        sizes.relays
    } else {
        several
    };
    seed.is_multiple_of(4).then_some(count)
}

/// Whether callers of a seed send requests that crash upstreams: those of one in three.
pub(crate) fn has_deadly_requests(seed: u64) -> bool {
    seed % 3 == 1
}

// From a moment of the first half on.
fn plan_deadly_requests(seed: u64, duration: Duration) -> Option<(Duration, Fault)> {
    let mut rng = StdRng::seed_from_u64(seed.rotate_left(48));
    let at = duration.mul_f64(rng.random_range(0.05..0.5));
    let fault = Fault::DeadlyRequests(duration.saturating_sub(at));
    has_deadly_requests(seed).then_some((at, fault))
}

fn random_fault(rng: &mut StdRng, sizes: Sizes) -> Fault {
    let relay = rng.random_range(0..sizes.relays);
    let upstream = rng.random_range(0..sizes.upstreams);
    let duration = Duration::from_millis(rng.random_range(FAULT_DURATION_MS));
    let passing = random_passing(rng);
    match rng.random_range(0..26) {
        0 | 1 => Fault::KillRelay(relay),
        2 | 3 => Fault::StopRelay(relay),
        4 => Fault::FreezeRelay(relay, duration),
        5 => Fault::SighupRelay(relay),
        6 => Fault::KillAllRelays,
        7 => Fault::KillUpstream(upstream, duration),
        8 => Fault::FreezeUpstream(upstream, duration),
        9 | 10 => Fault::DrainUpstream(upstream),
        11..=13 => Fault::Misbehave(upstream, random_misbehaviour(rng)),
        14 => Fault::ClientLink(relay, passing, duration),
        15 | 16 => Fault::StoreLink(relay, passing, duration),
        17 | 18 => Fault::UpstreamLink(upstream, passing, duration),
        19 => Fault::ResetLinks,
        20 => Fault::StoreDown(duration),
        21 => Fault::StoreSlow(duration),
        22 => Fault::StoreFrozen(duration),
        23 => *[Fault::StoreLosesAnswers, Fault::StoreDropsHistory]
            .choose(rng)
            .expect("there are two"),
        24 => Fault::NewKey,
        _ => Fault::RevokeKey,
    }
}

fn random_passing(rng: &mut StdRng) -> Passing {
    match rng.random_range(0..4) {
        0 => Passing::Refusing,
        1 => Passing::Delayed(Duration::from_millis(rng.random_range(20..600))),
        2 => Passing::Silent,
        _ => Passing::NoAnswers,
    }
}

fn random_misbehaviour(rng: &mut StdRng) -> Misbehaviour {
    match rng.random_range(0..4) {
        0 => Misbehaviour::LosesAnswers,
        1 => Misbehaviour::CutsStreams,
        2 => Misbehaviour::CrossesAnswers,
        _ => Misbehaviour::Slow(Duration::from_millis(rng.random_range(100..2_500))),
    }
}
