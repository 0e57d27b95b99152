//! Plans use only permitted versions and report the reason of the choice.

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

fn three_models() -> Vec<Model> {
    vec![
        model("small", 10, 0.6),
        model("middle", 100, 0.85),
        model("large", 400, 0.9),
    ]
}

#[test]
fn cheapest_version_that_meets_the_target_is_planned() {
    let world = World::new(&three_models(), &["small", "middle", "large"], 6);
    let planned = plan(&world.request("stream"), &world.context(), &mut rng()).unwrap();
    assert_eq!(world.name(planned.steps[0].version), "middle");
    assert_eq!(planned.explanation.reason, Reason::Cheapest);
}

#[test]
fn best_version_is_planned_if_none_meets_the_target() {
    let world = World::new(&three_models(), &["small", "middle", "large"], 6);
    let mut request = world.request("stream");
    request.quality = Some(0.99);
    let planned = plan(&request, &world.context(), &mut rng()).unwrap();
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
fn batch_task_gets_a_cascade_with_a_gate() {
    let models = [model("small", 10, 0.79), model("large", 400, 0.95)];
    let world = World::new(&models, &["small", "large"], 6);
    let planned = plan(&world.request("note"), &world.context(), &mut rng()).unwrap();
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
fn streamed_answer_gets_no_cascade() {
    let models = [model("small", 10, 0.79), model("large", 400, 0.95)];
    let world = World::new(&models, &["small", "large"], 6);
    let planned = plan(&world.request("stream"), &world.context(), &mut rng()).unwrap();
    assert_eq!(planned.steps.len(), 1);
}

#[test]
fn pinned_session_keeps_its_version_below_the_target() {
    let world = World::new(&three_models(), &["small", "middle", "large"], 6);
    let mut request = world.request("stream");
    request.pinned = Some(world.version("small"));
    let planned = plan(&request, &world.context(), &mut rng()).unwrap();
    assert_eq!(world.name(planned.steps[0].version), "small");
    assert_eq!(planned.explanation.reason, Reason::Pinned);
}

#[test]
fn withdrawn_version_loses_its_pinned_sessions() {
    let mut models = three_models();
    models[0].phase = Phase::Withdrawn;
    let world = World::new(&models, &["small", "middle", "large"], 6);
    let mut request = world.request("stream");
    request.pinned = Some(world.version("small"));
    let planned = plan(&request, &world.context(), &mut rng()).unwrap();
    assert_eq!(world.name(planned.steps[0].version), "middle");
    assert!(planned.explanation.unpinned);
}

#[test_case("nothing", &["small"], PlanError::UnknownModel; "no such model")]
#[test_case("large", &["small"], PlanError::ForbiddenVersion; "not permitted")]
fn request_without_a_permitted_version_is_refused(
    model: &str,
    permitted: &[&str],
    code: PlanError,
) {
    let world = World::new(&three_models(), permitted, 6);
    let mut request = world.request("stream");
    request.model = model;
    let refused = plan(&request, &world.context(), &mut rng()).unwrap_err();
    assert_eq!(refused, code);
}

#[test]
fn version_without_warm_upstreams_is_refused() {
    let world = World::new(&three_models(), &["small"], 0);
    let refused = plan(&world.request("stream"), &world.context(), &mut rng()).unwrap_err();
    assert_eq!(refused, PlanError::NoUpstream);
}

#[test]
fn roll_out_gets_its_share_of_new_work() {
    const REQUESTS: u32 = 10_000;
    let mut models = three_models();
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
    let mut split_requests = 0;
    for _ in 0..REQUESTS {
        let planned = plan(&world.request("stream"), &world.context(), &mut rng).unwrap();
        assert!(planned.steps[0].compared);
        split_requests += u32::from(planned.steps[0].version == fresh);
    }
    let share = f64::from(split_requests) / f64::from(REQUESTS);
    assert!((share - 0.2).abs() < 0.02, "share was {share}");
}

#[test]
fn exploration_is_limited_to_its_share() {
    const REQUESTS: u32 = 10_000;
    let models = [model("unknown", 10, 0.78), model("large", 400, 0.95)];
    let mut world = World::new(&models, &["unknown", "large"], 6);
    world.estimates.reset(world.version("unknown"));
    let mut rng = rng();
    let mut explored = 0;
    for _ in 0..REQUESTS {
        let planned = plan(&world.request("stream"), &world.context(), &mut rng).unwrap();
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
    fn plans_exclude_forbidden_withdrawn_and_suspended_versions(
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
        let mut request = world.request(if note { "note" } else { "stream" });
        request.pinned = pinned.map(|index| world.version(NAMES[index]));
        let mut rng = SmallRng::seed_from_u64(seed);
        for _ in 0..20 {
            let Ok(planned) = plan(&request, &world.context(), &mut rng) else { break };
            for step in &planned.steps {
                let name = world.name(step.version);
                let index = NAMES.iter().position(|other| *other == name).unwrap();
                prop_assert!(permitted[index] && !withdrawn[index] && !suspended[index]);
            }
        }
    }
}
