use crate::relay::placement::{Candidate, choose, rank};

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
