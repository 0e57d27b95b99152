//! Picking of upstreams, and ejection that never empties a pool.

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

fn pick_request<'a>(world: &World, tried: &'a [UpstreamKey]) -> PickRequest<'a> {
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
fn local_data_centre_is_preferred() {
    let world = world(30);
    let mut rng = SmallRng::seed_from_u64(SEED);
    for _ in 0..200 {
        let pick = world
            .pools
            .pick(
                &pick_request(&world, &[]),
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
fn full_data_centre_spills_over() {
    let world = world(30);
    let mut in_flight = InFlightCounts::default();
    for (key, upstream) in world.config.upstreams.iter() {
        if upstream.spec.data_centre == DATA_CENTRES[0] {
            (0..upstream.spec.slots).for_each(|_| in_flight.record_start(key));
        }
    }
    let mut rng = SmallRng::seed_from_u64(SEED);
    let pick = world
        .pools
        .pick(
            &pick_request(&world, &[]),
            &in_flight,
            &Ejection::default(),
            &mut rng,
        )
        .unwrap();
    assert!(pick.spilled);
}

#[test]
fn prefix_affinity_holds_until_the_upstream_is_full() {
    let world = world(30);
    let mut in_flight = InFlightCounts::default();
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut pick_request = pick_request(&world, &[]);
    pick_request.prefix = 99;
    let mut picks = Vec::new();
    for _ in 0..6 {
        let pick = world
            .pools
            .pick(&pick_request, &in_flight, &Ejection::default(), &mut rng)
            .unwrap();
        in_flight.record_start(pick.upstream);
        picks.push(pick.upstream);
    }
    assert_eq!(picks[0], picks[1]);
    assert!(
        picks.iter().any(|pick| *pick != picks[0]),
        "the upstream with prefix affinity never overflowed"
    );
}

#[test]
fn new_upstream_gets_a_slow_start() {
    let world = world(30);
    let mut all = candidates(&world.config, 0);
    let newest = all.pop().unwrap();
    let mut in_flight = InFlightCounts::default();
    in_flight.update_upstreams(&Pools::build(all), 1);
    in_flight.update_upstreams(&world.pools, 1_000_000);
    // Every other upstream runs one request, and the new one still gets none.
    for key in world.upstreams() {
        if key != newest.upstream {
            in_flight.record_start(key);
        }
    }
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut pick_request = pick_request(&world, &[]);
    pick_request.data_centre = &newest.data_centre;
    pick_request.now_ms = 1_000_100;
    for _ in 0..100 {
        let pick = world
            .pools
            .pick(&pick_request, &in_flight, &Ejection::default(), &mut rng)
            .unwrap();
        assert_ne!(pick.upstream, newest.upstream);
    }
}

#[test]
fn failing_upstream_is_ejected_and_readmitted() {
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
fn latency_peak_of_all_upstreams_ejects_none() {
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
            let ejected = keys.iter().filter(|key| ejection.is_ejected(**key, now_ms)).count();
            prop_assert!(ejected <= size / 2, "{ejected} of {size} are ejected");
            let pick_request = PickRequest { now_ms, ..pick_request(&world, &[]) };
            let pick = world.pools.pick(&pick_request, &InFlightCounts::default(), &ejection, &mut rng);
            prop_assert!(pick.is_some());
        }
    }

    #[test]
    fn retry_picks_an_untried_upstream_while_there_is_one(
        size in 1..12_usize,
        tried in proptest::collection::vec(0..12_usize, 0..12),
        seed in any::<u64>(),
    ) {
        let world = world(size);
        let keys = world.upstreams();
        let tried: Vec<UpstreamKey> = tried.into_iter().map(|index| keys[index % size]).collect();
        let any_untried = keys.iter().any(|key| !tried.contains(key));
        let mut rng = SmallRng::seed_from_u64(seed);
        let pick = world.pools.pick(
            &pick_request(&world, &tried), &InFlightCounts::default(), &Ejection::default(), &mut rng,
        );
        prop_assert_eq!(pick.is_some(), any_untried);
        prop_assert!(pick.is_none_or(|pick| !tried.contains(&pick.upstream)));
    }
}
