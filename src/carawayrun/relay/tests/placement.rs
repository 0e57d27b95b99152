use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::relay::placement::{
    UpstreamCandidate, affinity_rank, choose_candidate, sample_candidates,
};

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
fn requests_with_a_part_go_where_it_was_read() {
    let first = choose_candidate(&engines("plan"), 150.0, || 0.5).unwrap();
    for _ in 0..10 {
        assert_eq!(
            choose_candidate(&engines("plan"), 150.0, || 0.5),
            Some(first)
        );
    }
}

#[test]
fn parts_are_spread_over_the_engines() {
    let homes: std::collections::BTreeSet<usize> = (0..200)
        .filter_map(|prefix| choose_candidate(&engines(&format!("prefix-{prefix}")), 150.0, || 0.5))
        .collect();
    assert!(
        homes.len() >= 16,
        "200 parts live on {} engines",
        homes.len()
    );
}

// A hot key: its home fills up until reading the part again elsewhere is faster.
#[test]
fn a_hot_part_spreads_once_its_home_is_busy() {
    let mut engines = engines("hot");
    let mut used = std::collections::BTreeSet::new();
    for _ in 0..200 {
        let index = choose_candidate(&engines, 60.0, || 0.5).unwrap();
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

// A grey upstream that fails most of its requests gets little.
#[test]
fn an_upstream_that_fails_is_left_to_the_last() {
    let mut engines = engines("a");
    let affinity = choose_candidate(&engines, 150.0, || 0.5).unwrap();
    engines[affinity].failure_rate = 0.5;
    assert_ne!(choose_candidate(&engines, 150.0, || 0.5), Some(affinity));
}

#[test]
fn without_candidates_there_is_no_choice() {
    assert_eq!(choose_candidate(&[], 0.0, || 0.5), None);
}

// Twenty-seven gateways decide on the same reports: the one idle engine of
// forty-nine must not get all of their requests.
#[test]
fn many_gateways_do_not_all_choose_the_idle_engine() {
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
        let index = choose_candidate(&sampled, 0.0, || rng.random()).unwrap();
        chosen += u32::from(sampled[index].index == 13);
    }
    assert!((1..=6).contains(&chosen), "{chosen} of 27 chose it");
}

#[test]
fn a_gateway_alone_looks_at_all() {
    let sampled = sample_candidates(&engines("a"), 1, || 0.99);
    assert_eq!(sampled.len(), 18);
}

#[test]
fn the_home_of_a_part_is_always_looked_at() {
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
fn an_upstream_without_a_free_slot_is_avoided() {
    let mut pair = vec![engine("i-1", "a"), engine("i-2", "a")];
    pair[0].slots = 6;
    pair[1].slots = 6;
    pair[0].in_flight = 6;
    pair[1].in_flight = 5;
    pair[1].backlog_ms = 30.0;
    assert_eq!(choose_candidate(&pair, 0.0, || 0.5), Some(1));
}
