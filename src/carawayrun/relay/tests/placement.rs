use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::relay::placement::{Candidate, choose, rank, sample};

fn engine(name: &str, part: &str) -> Candidate {
    Candidate {
        slots: 48,
        rank: rank(part, name),
        ..Candidate::default()
    }
}

fn engines(part: &str) -> Vec<Candidate> {
    (0..18).map(|n| engine(&format!("i-{n}"), part)).collect()
}

#[test]
fn requests_with_a_part_go_where_it_was_read() {
    let first = choose(&engines("plan"), 150.0, || 0.5).unwrap();
    for _ in 0..10 {
        assert_eq!(choose(&engines("plan"), 150.0, || 0.5), Some(first));
    }
}

#[test]
fn parts_are_spread_over_the_engines() {
    let homes: std::collections::BTreeSet<usize> = (0..200)
        .filter_map(|part| choose(&engines(&format!("part-{part}")), 150.0, || 0.5))
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
        let index = choose(&engines, 60.0, || 0.5).unwrap();
        engines[index].running += 1;
        engines[index].backlog_ms += 20.0;
        used.insert(index);
    }
    assert!(
        used.len() >= 10,
        "the hot part is on {} engines",
        used.len()
    );
}

// A grey upstream that fails most of its requests gets little.
#[test]
fn an_upstream_that_fails_is_left_to_the_last() {
    let mut engines = engines("a");
    let home = choose(&engines, 150.0, || 0.5).unwrap();
    engines[home].failing = 0.5;
    assert_ne!(choose(&engines, 150.0, || 0.5), Some(home));
}

#[test]
fn without_candidates_there_is_no_choice() {
    assert_eq!(choose(&[], 0.0, || 0.5), None);
}

// Twenty-seven gateways decide on the same reports: the one idle engine of
// forty-nine must not get all of their requests.
#[test]
fn many_gateways_do_not_all_choose_the_idle_engine() {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut engines: Vec<Candidate> = (0..49).map(|n| engine(&format!("i-{n}"), "a")).collect();
    for engine in &mut engines {
        engine.rank = 0;
        engine.backlog_ms = 200.0;
    }
    engines[13].backlog_ms = 0.0;
    let mut chosen = 0;
    for _ in 0..27 {
        let looked_at = sample(&engines, 27, || rng.random());
        let index = choose(&looked_at, 0.0, || rng.random()).unwrap();
        chosen += u32::from(looked_at[index].index == 13);
    }
    assert!((1..=6).contains(&chosen), "{chosen} of 27 chose it");
}

#[test]
fn a_gateway_alone_looks_at_all() {
    let looked_at = sample(&engines("a"), 1, || 0.99);
    assert_eq!(looked_at.len(), 18);
}

#[test]
fn the_home_of_a_part_is_always_looked_at() {
    let engines = engines("a");
    let looked_at = sample(&engines, 100, || 0.99);
    let best = engines.iter().map(|engine| engine.rank).max().unwrap();
    assert!(looked_at.iter().any(|engine| engine.rank == best));
}

#[test]
fn an_upstream_without_a_free_slot_is_avoided() {
    let mut pair = vec![engine("i-1", "a"), engine("i-2", "a")];
    pair[0].slots = 6;
    pair[1].slots = 6;
    pair[0].running = 6;
    pair[1].running = 5;
    pair[1].backlog_ms = 30.0;
    assert_eq!(choose(&pair, 0.0, || 0.5), Some(1));
}
