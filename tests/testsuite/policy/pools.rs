//! The choice of an upstream, and ejection that never empties a pool.

use carawayrun::policy::{Ejection, InFlightCounts, PickRequest, Pool, Pools};
use carawayrun::resource::UpstreamKey;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::world::{DATA_CENTRES, World, candidates, model};

const SEED: u64 = 12;

fn world(upstreams: usize) -> World {
    World::new(&[model("middle", 100, 0.85)], &["middle"], upstreams)
}

fn choice<'a>(world: &World, tried: &'a [UpstreamKey]) -> PickRequest<'a> {
    PickRequest {
        pool: Pool::Version(world.version("middle")),
        data_centre: DATA_CENTRES[0],
        prefix: 0,
        budget_ms: 2_000,
        now_ms: 100,
        urgent: false,
        tried,
    }
}

#[test]
fn the_near_data_centre_comes_first() {
    let world = world(30);
    let mut rng = SmallRng::seed_from_u64(SEED);
    for _ in 0..200 {
        let pick = world
            .pools
            .pick(
                &choice(&world, &[]),
                &InFlightCounts::default(),
                &Ejection::default(),
                &mut rng,
            )
            .unwrap();
        let upstream = world.config.upstreams.get(pick.upstream).unwrap();
        assert_eq!(upstream.spec.data_centre, DATA_CENTRES[0]);
        assert!(!pick.spilled);
    }
}

#[test]
fn a_full_data_centre_spills_over() {
    let world = world(30);
    let mut flight = InFlightCounts::default();
    for (key, upstream) in world.config.upstreams.iter() {
        if upstream.spec.data_centre == DATA_CENTRES[0] {
            (0..upstream.spec.slots).for_each(|_| flight.record_start(key));
        }
    }
    let mut rng = SmallRng::seed_from_u64(SEED);
    let pick = world
        .pools
        .pick(
            &choice(&world, &[]),
            &flight,
            &Ejection::default(),
            &mut rng,
        )
        .unwrap();
    assert!(pick.spilled);
}

#[test]
fn requests_of_one_prefix_meet_at_one_upstream_until_it_is_full() {
    let world = world(30);
    let mut flight = InFlightCounts::default();
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut choice = choice(&world, &[]);
    choice.prefix = 99;
    let mut picks = Vec::new();
    for _ in 0..6 {
        let pick = world
            .pools
            .pick(&choice, &flight, &Ejection::default(), &mut rng)
            .unwrap();
        flight.record_start(pick.upstream);
        picks.push(pick.upstream);
    }
    assert_eq!(picks[0], picks[1]);
    assert!(
        picks.iter().any(|pick| *pick != picks[0]),
        "the home never overflowed"
    );
}

#[test]
fn a_new_upstream_starts_slowly() {
    let world = world(30);
    let mut all = candidates(&world.config, 0);
    let newest = all.pop().unwrap();
    let mut flight = InFlightCounts::default();
    flight.update_upstreams(&Pools::build(all), 1);
    flight.update_upstreams(&world.pools, 1_000_000);
    // Every other upstream runs one request, and still the new one is spared.
    for key in world.upstreams() {
        if key != newest.upstream {
            flight.record_start(key);
        }
    }
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut choice = choice(&world, &[]);
    choice.data_centre = &newest.data_centre;
    choice.now_ms = 1_000_100;
    for _ in 0..100 {
        let pick = world
            .pools
            .pick(&choice, &flight, &Ejection::default(), &mut rng)
            .unwrap();
        assert_ne!(pick.upstream, newest.upstream);
    }
}

#[test]
fn a_failing_upstream_is_ejected_and_comes_back() {
    let world = world(6);
    let keys = world.upstreams();
    let mut ejection = Ejection::default();
    for key in &keys {
        ejection.record_attempt(*key, false, 1.0, 0);
    }
    for _ in 0..5 {
        ejection.record_attempt(keys[0], true, 0.0, 1_000);
    }
    assert!(ejection.is_ejected(keys[0], 1_001));
    assert!(!ejection.is_ejected(keys[0], 20_000));
}

#[test]
fn a_peak_that_slows_all_upstreams_ejects_none() {
    let world = world(12);
    let keys = world.upstreams();
    let mut ejection = Ejection::default();
    for round in 0..200_u32 {
        let ratio = 1.0 + f64::from(round) / 10.0;
        for key in &keys {
            ejection.record_attempt(*key, false, ratio, u64::from(round));
        }
    }
    assert!(keys.iter().all(|key| !ejection.is_ejected(*key, 200)));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: proptest::test_runner::RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn ejection_never_empties_a_pool(
        size in 1..12_usize,
        outcomes in proptest::collection::vec((0..12_usize, any::<bool>(), 0.5..20.0_f64), 0..400),
        seed in any::<u64>(),
    ) {
        let world = world(size);
        let keys = world.upstreams();
        let mut ejection = Ejection::default();
        let mut rng = SmallRng::seed_from_u64(seed);
        for (time, (index, failed, ratio)) in outcomes.into_iter().enumerate() {
            let now_ms = time as u64;
            ejection.record_attempt(keys[index % size], failed, ratio, now_ms);
            let out = keys.iter().filter(|key| ejection.is_ejected(**key, now_ms)).count();
            prop_assert!(out <= size / 2, "{out} of {size} are ejected");
            let choice = PickRequest { now_ms, ..choice(&world, &[]) };
            let pick = world.pools.pick(&choice, &InFlightCounts::default(), &ejection, &mut rng);
            prop_assert!(pick.is_some());
        }
    }

    #[test]
    fn a_retry_goes_to_another_upstream_while_there_is_one(
        size in 1..12_usize,
        tried in proptest::collection::vec(0..12_usize, 0..12),
        seed in any::<u64>(),
    ) {
        let world = world(size);
        let keys = world.upstreams();
        let tried: Vec<UpstreamKey> = tried.into_iter().map(|index| keys[index % size]).collect();
        let left = keys.iter().any(|key| !tried.contains(key));
        let mut rng = SmallRng::seed_from_u64(seed);
        let pick = world.pools.pick(
            &choice(&world, &tried), &InFlightCounts::default(), &Ejection::default(), &mut rng,
        );
        prop_assert_eq!(pick.is_some(), left);
        prop_assert!(pick.is_none_or(|pick| !tried.contains(&pick.upstream)));
    }
}
