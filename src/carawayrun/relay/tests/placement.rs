use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use test_case::test_case;

use crate::relay::placement::{
    UpstreamCandidate, Work, affinity_rank, choose_candidate, count_partial_upstreams,
    sample_candidates,
};

// The idle upstreams of a slow version answered as fast as the loaded ones of the old
// version. Seen on bvrra-letters-grown, day hasty of seed 7113.
#[test_case(42, 0.0585, 3; "about the load of an old upstream each")]
#[test_case(160, 0.0585, 10; "many upstreams")]
#[test_case(9, 0.09, 3; "not fewer than three")]
#[test_case(2, 0.3, 2; "not more than there are")]
#[test_case(18, 1.0, 18; "all for all traffic")]
fn new_version_is_judged_on_idle_upstreams(upstreams: usize, share: f64, expected: usize) {
    assert_eq!(count_partial_upstreams(upstreams, share), expected);
}

fn prefix_work(prefix_ms: f64) -> Work {
    Work {
        prefix_ms,
        ..Work::default()
    }
}

fn engine(name: &str, prefix: &str) -> UpstreamCandidate {
    UpstreamCandidate {
        slots: 48,
        affinity_rank: affinity_rank(prefix, name),
        ..UpstreamCandidate::default()
    }
}

fn engines(prefix: &str) -> Vec<UpstreamCandidate> {
    (0..18).map(|n| engine(&format!("i-{n}"), prefix)).collect()
}

#[test]
fn requests_with_shared_prefix_use_same_engine() {
    let first = choose_candidate(&engines("plan"), &prefix_work(150.0), || 0.5).unwrap();
    for _ in 0..10 {
        assert_eq!(
            choose_candidate(&engines("plan"), &prefix_work(150.0), || 0.5),
            Some(first)
        );
    }
}

#[test]
fn prefixes_are_spread_over_engines() {
    let engines_used: std::collections::BTreeSet<usize> = (0..200)
        .filter_map(|prefix| {
            choose_candidate(
                &engines(&format!("part-{prefix}")),
                &prefix_work(150.0),
                || 0.5,
            )
        })
        .collect();
    assert!(
        engines_used.len() >= 16,
        "200 prefixes have affinity for {} engines",
        engines_used.len()
    );
}

// The affinity engines of a hot prefix fill up until computing it again elsewhere
// is faster.
#[test]
fn hot_prefix_spreads_when_affinity_engines_are_busy() {
    let mut engines = engines("hot");
    let mut used = std::collections::BTreeSet::new();
    for _ in 0..200 {
        let index = choose_candidate(&engines, &prefix_work(60.0), || 0.5).unwrap();
        engines[index].in_flight += 1;
        engines[index].backlog_ms += 20.0;
        used.insert(index);
    }
    assert!(
        used.len() >= 10,
        "the hot prefix is on {} engines",
        used.len()
    );
}

// A partly failing upstream gets few requests.
#[test]
fn failing_upstream_is_avoided() {
    let mut engines = engines("a");
    let affinity = choose_candidate(&engines, &prefix_work(150.0), || 0.5).unwrap();
    engines[affinity].failure_rate = 0.5;
    assert_ne!(
        choose_candidate(&engines, &prefix_work(150.0), || 0.5),
        Some(affinity)
    );
}

#[test]
fn no_candidates_yield_none() {
    assert_eq!(choose_candidate(&[], &prefix_work(0.0), || 0.5), None);
}

// 27 gateways decide on the same reports and must not send all of their requests
// to the one idle engine of 49.
#[test]
fn concurrent_gateways_do_not_all_choose_idle_engine() {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut engines: Vec<UpstreamCandidate> =
        (0..49).map(|n| engine(&format!("i-{n}"), "a")).collect();
    for engine in &mut engines {
        engine.affinity_rank = 0;
        engine.backlog_ms = 200.0;
    }
    engines[13].backlog_ms = 0.0;
    let mut chosen = 0;
    for _ in 0..27 {
        let sampled = sample_candidates(&engines, 27, || rng.random());
        let index = choose_candidate(&sampled, &prefix_work(0.0), || rng.random()).unwrap();
        chosen += u32::from(sampled[index].index == 13);
    }
    assert!((1..=6).contains(&chosen), "{chosen} of 27 chose it");
}

#[test]
fn single_gateway_samples_all_candidates() {
    let sampled = sample_candidates(&engines("a"), 1, || 0.99);
    assert_eq!(sampled.len(), 18);
}

#[test]
fn affinity_engine_is_always_sampled() {
    let engines = engines("a");
    let sampled = sample_candidates(&engines, 100, || 0.99);
    let best = engines
        .iter()
        .map(|engine| engine.affinity_rank)
        .max()
        .unwrap();
    assert!(sampled.iter().any(|engine| engine.affinity_rank == best));
}

#[test]
fn upstream_without_free_slot_is_avoided() {
    let mut pair = vec![engine("i-1", "a"), engine("i-2", "a")];
    pair[0].slots = 6;
    pair[1].slots = 6;
    pair[0].in_flight = 6;
    pair[1].in_flight = 5;
    pair[1].backlog_ms = 30.0;
    assert_eq!(choose_candidate(&pair, &prefix_work(0.0), || 0.5), Some(1));
}

// A request that doesn't fit in an engine's memory brings the engine down.
#[test_case(90_000, 10_000, true; "it fits")]
#[test_case(90_001, 10_000, false; "one token too many")]
#[test_case(0, 100_001, false; "larger than the whole memory")]
fn engine_without_memory_has_no_room(there: u64, needed: u64, expected: bool) {
    let engine = UpstreamCandidate {
        kv_tokens: there,
        kv_capacity: Some(100_000),
        ..UpstreamCandidate::default()
    };
    let work = Work {
        kv_tokens: needed,
        ..Work::default()
    };
    assert_eq!(engine.has_room(&work), expected);
    let unknown = UpstreamCandidate {
        kv_capacity: None,
        ..engine
    };
    assert!(unknown.has_room(&work));
}
