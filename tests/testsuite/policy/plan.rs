//! Plans never name a version that may not be used, and explain themselves.

use carawayrun::policy::{PlanError, Reason, Split, plan};
use carawayrun::resource::Phase;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use test_case::test_case;

use super::world::{Model, World, model};

const SEED: u64 = 11;

fn rng() -> SmallRng {
    SmallRng::seed_from_u64(SEED)
}

fn three() -> Vec<Model> {
    vec![
        model("small", 10, 0.6),
        model("middle", 100, 0.85),
        model("large", 400, 0.9),
    ]
}

#[test]
fn the_cheapest_version_that_meets_the_target_answers() {
    let world = World::new(&three(), &["small", "middle", "large"], 6);
    let planned = plan(&world.ask("stream"), &world.situation(), &mut rng()).unwrap();
    assert_eq!(world.name(planned.steps[0].version), "middle");
    assert_eq!(planned.explanation.reason, Reason::Cheapest);
}

#[test]
fn the_best_version_answers_where_none_meets_the_target() {
    let world = World::new(&three(), &["small", "middle", "large"], 6);
    let mut ask = world.ask("stream");
    ask.quality = Some(0.99);
    let planned = plan(&ask, &world.situation(), &mut rng()).unwrap();
    assert_eq!(world.name(planned.steps[0].version), "large");
    assert_eq!(planned.explanation.reason, Reason::BestEffort);
    assert!(
        planned
            .explanation
            .to_string()
            .contains("no permitted version meets")
    );
}

#[test]
fn a_task_that_can_wait_tries_a_cheaper_version_behind_a_gate() {
    let models = [model("small", 10, 0.79), model("large", 400, 0.95)];
    let world = World::new(&models, &["small", "large"], 6);
    let planned = plan(&world.ask("note"), &world.situation(), &mut rng()).unwrap();
    let names: Vec<&str> = planned
        .steps
        .iter()
        .map(|step| world.name(step.version))
        .collect();
    assert_eq!(names, ["small", "large"]);
    assert!(planned.steps[0].gate.is_some());
    assert!(planned.steps[1].gate.is_none());
}

#[test]
fn a_stream_never_waits_for_a_gate() {
    let models = [model("small", 10, 0.79), model("large", 400, 0.95)];
    let world = World::new(&models, &["small", "large"], 6);
    let planned = plan(&world.ask("stream"), &world.situation(), &mut rng()).unwrap();
    assert_eq!(planned.steps.len(), 1);
}

#[test]
fn a_session_keeps_its_version_even_below_the_target() {
    let world = World::new(&three(), &["small", "middle", "large"], 6);
    let mut ask = world.ask("stream");
    ask.pinned = Some(world.version("small"));
    let planned = plan(&ask, &world.situation(), &mut rng()).unwrap();
    assert_eq!(world.name(planned.steps[0].version), "small");
    assert_eq!(planned.explanation.reason, Reason::Pinned);
}

#[test]
fn a_withdrawn_version_loses_its_sessions() {
    let mut models = three();
    models[0].phase = Phase::Withdrawn;
    let world = World::new(&models, &["small", "middle", "large"], 6);
    let mut ask = world.ask("stream");
    ask.pinned = Some(world.version("small"));
    let planned = plan(&ask, &world.situation(), &mut rng()).unwrap();
    assert_eq!(world.name(planned.steps[0].version), "middle");
    assert!(planned.explanation.unpinned);
}

#[test_case("nothing", &["small"], PlanError::UnknownModel; "no such model")]
#[test_case("large", &["small"], PlanError::ForbiddenVersion; "not permitted")]
fn a_request_that_no_version_may_answer_is_refused(
    model: &str,
    permitted: &[&str],
    code: PlanError,
) {
    let world = World::new(&three(), permitted, 6);
    let mut ask = world.ask("stream");
    ask.model = model;
    let refused = plan(&ask, &world.situation(), &mut rng()).unwrap_err();
    assert_eq!(refused, code);
}

#[test]
fn a_version_without_warm_upstreams_is_refused() {
    let world = World::new(&three(), &["small"], 0);
    let refused = plan(&world.ask("stream"), &world.situation(), &mut rng()).unwrap_err();
    assert_eq!(refused, PlanError::NoUpstream);
}

#[test]
fn a_roll_out_draws_its_share_of_new_work() {
    const REQUESTS: u32 = 10_000;
    let mut models = three();
    models.push(model("fresh", 100, 0.85));
    models[3].phase = Phase::Candidate;
    let mut world = World::new(&models, &["small", "middle", "large", "fresh"], 6);
    let fresh = world.version("fresh");
    world.splits.push(Split {
        from: world.version("middle"),
        to: fresh,
        share: 0.2,
        compared: true,
    });
    let mut rng = rng();
    let mut drawn = 0;
    for _ in 0..REQUESTS {
        let planned = plan(&world.ask("stream"), &world.situation(), &mut rng).unwrap();
        assert!(planned.steps[0].compared);
        drawn += u32::from(planned.steps[0].version == fresh);
    }
    let share = f64::from(drawn) / f64::from(REQUESTS);
    assert!((share - 0.2).abs() < 0.02, "share was {share}");
}

#[test]
fn exploration_stays_within_its_share() {
    const REQUESTS: u32 = 10_000;
    let models = [model("unknown", 10, 0.78), model("large", 400, 0.95)];
    let mut world = World::new(&models, &["unknown", "large"], 6);
    world.estimates.reset(world.version("unknown"));
    let mut rng = rng();
    let mut explored = 0;
    for _ in 0..REQUESTS {
        let planned = plan(&world.ask("stream"), &world.situation(), &mut rng).unwrap();
        explored += u32::from(planned.explanation.reason == Reason::Explored);
    }
    assert!(explored > 0);
    assert!(explored <= REQUESTS * 3 / 100, "{explored} were explored");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128,
        rng_seed: proptest::test_runner::RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_plan_holds_a_forbidden_or_withdrawn_version(
        permitted in proptest::collection::vec(any::<bool>(), 5),
        withdrawn in proptest::collection::vec(any::<bool>(), 5),
        suspended in proptest::collection::vec(any::<bool>(), 5),
        qualities in proptest::collection::vec(0.3..0.99_f64, 5),
        pinned in proptest::option::of(0..5_usize),
        note in any::<bool>(),
        seed in any::<u64>(),
    ) {
        const NAMES: [&str; 5] = ["a", "b", "c", "d", "e"];
        let models: Vec<Model> = (0..5)
            .map(|index| Model {
                phase: if withdrawn[index] { Phase::Withdrawn } else { Phase::Active },
                ..model(NAMES[index], 10 + 40 * index as u64, qualities[index])
            })
            .collect();
        let allowed: Vec<&str> = (0..5).filter(|&i| permitted[i]).map(|i| NAMES[i]).collect();
        let mut world = World::new(&models, &allowed, 3);
        world.suspended = (0..5).filter(|&i| suspended[i]).map(|i| world.version(NAMES[i])).collect();
        world.splits = vec![Split {
            from: world.version("a"),
            to: world.version("b"),
            share: 0.5,
            compared: true,
        }];
        let mut ask = world.ask(if note { "note" } else { "stream" });
        ask.pinned = pinned.map(|index| world.version(NAMES[index]));
        let mut rng = SmallRng::seed_from_u64(seed);
        for _ in 0..20 {
            let Ok(planned) = plan(&ask, &world.situation(), &mut rng) else { break };
            for step in &planned.steps {
                let name = world.name(step.version);
                let index = NAMES.iter().position(|other| *other == name).unwrap();
                prop_assert!(permitted[index] && !withdrawn[index] && !suspended[index]);
            }
        }
    }
}
