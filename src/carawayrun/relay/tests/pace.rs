use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use test_case::test_case;

use crate::relay::pace::{Paces, StreamGaps, StreamSample};
use crate::relay::placement::{UpstreamCandidate, Work, choose_candidate, sample_candidates};

const SERVICE: &str = "engines";
const MODELS: [(&str, f64); 2] = [("small", 27.0), ("large", 270.0)];

fn sample(model: &str, engine: u64, step_ms: f64) -> StreamSample<'_> {
    StreamSample {
        service: SERVICE,
        model,
        engine,
        step_ms,
        generation_ms: step_ms * 40.0,
        tokens: 280,
        is_reference: true,
    }
}

/// Paces of engines with drawn speeds, after `streams` streams each a second apart.
struct World {
    paces: Paces,
    now: Duration,
    /// Step time of each engine relative to the fastest.
    steps: Vec<f64>,
    rng: SmallRng,
}

impl World {
    /// One in four engines is about half as fast; all vary a little.
    fn new(seed: u64, engines: usize) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let steps = (0..engines).map(|engine| {
            let usual = if engine % 4 == 0 { 2.18 } else { 1.0 };
            usual * rng.random_range(0.95..1.05)
        });
        Self {
            paces: Paces::default(),
            now: Duration::from_secs(100),
            steps: steps.collect(),
            rng,
        }
    }

    /// A stream of each engine and a drawn model, with 15 of 100 slowed down 2.5 times.
    fn stream_each(&mut self) {
        for engine in 0..self.steps.len() {
            let (model, usual) = MODELS[self.rng.random_range(0..MODELS.len())];
            let noise = if self.rng.random_bool(0.15) { 2.5 } else { 1.0 };
            let step_ms = usual * self.steps[engine] * noise * self.rng.random_range(0.9..1.1);
            self.paces
                .record(&sample(model, engine as u64, step_ms), self.now);
        }
        self.now += Duration::from_millis(500);
    }

    fn pace(&self, engine: usize) -> f64 {
        self.paces.pace(engine as u64, self.now)
    }
}

// An engine half as fast seemed like any other. Seen on almaty-catchup-grown, quiet-1.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn slow_engines_are_told_from_fast_ones(seed: u64) {
    let mut world = World::new(seed, 46);
    for _ in 0..16 {
        world.stream_each();
    }
    let slow = (0..46).filter(|engine| engine % 4 == 0);
    let fast = (0..46).filter(|engine| engine % 4 != 0);
    let least_slow = slow
        .map(|engine| world.pace(engine))
        .fold(f64::MAX, f64::min);
    let most_fast = fast.map(|engine| world.pace(engine)).fold(0.0, f64::max);
    assert!(
        least_slow > most_fast,
        "the fastest slow engine has pace {least_slow:.2}, the slowest fast one {most_fast:.2}"
    );
}

#[test]
fn one_slow_stream_moves_an_engine_by_a_third_at_most() {
    let mut world = World::new(4, 46);
    for _ in 0..4 {
        world.stream_each();
    }
    let unknown = 1_000;
    world
        .paces
        .record(&sample("small", unknown, 27.0 * 50.0), world.now);
    let pace = world.paces.pace(unknown, world.now);
    assert!((1.0..1.34).contains(&pace), "its pace is {pace:.2}");
}

// Streams of a model seen for the first time tell nothing: there is no usual gap.
#[test]
fn unknown_engine_and_model_have_pace_one() {
    let mut paces = Paces::default();
    let now = Duration::from_secs(1);
    assert!((paces.pace(1, now) - 1.0).abs() < f64::EPSILON);
    paces.record(&sample("small", 1, 900.0), now);
    assert!((paces.pace(1, now) - 1.0).abs() < f64::EPSILON);
}

#[test]
fn pace_is_forgotten_in_time() {
    let mut world = World::new(5, 46);
    for _ in 0..16 {
        world.stream_each();
    }
    assert!(world.pace(0) > 1.4, "a slow engine is known");
    world.now += Duration::from_secs(90);
    assert!(world.pace(0) < 1.05, "it is as unknown 90 s later");
}

// Prompts of others are read between the events, and the engine stands for half a second.
#[test]
fn long_steps_and_a_short_stop_do_not_count() {
    let mut gaps = StreamGaps::default();
    let mut now = Duration::ZERO;
    gaps.record(1, now);
    for event in 0..40 {
        let gap = match event {
            10 => 500,
            _ if event % 3 == 0 => 90,
            _ => 27,
        };
        now += Duration::from_millis(gap);
        gaps.record(1, now);
    }
    assert_eq!(gaps.step_ms(), Some(27.0));
}

#[test]
fn short_streams_tell_nothing() {
    let mut gaps = StreamGaps::default();
    for event in 0..4 {
        gaps.record(1, Duration::from_millis(event * 500));
    }
    assert_eq!(gaps.step_ms(), None);
}

// Each gateway sees one stream in many.
#[test]
fn gateways_add_up_what_they_see() {
    let mut world = World::new(6, 46);
    let mut other = Paces::default();
    for _ in 0..16 {
        world.stream_each();
        for _ in 0..4 {
            let told = world.paces.take_untold();
            assert!(told.len() <= 16, "a report has {} engines", told.len());
            other.receive(&told, world.now);
        }
    }
    for engine in 0..46 {
        let (own, theirs) = (world.pace(engine), other.pace(engine as u64, world.now));
        assert!(
            (own / theirs - 1.0).abs() < 0.05,
            "engine {engine} has pace {own:.2} here and {theirs:.2} there"
        );
    }
}

#[test]
fn version_under_evaluation_does_not_become_usual() {
    let mut world = World::new(7, 46);
    for _ in 0..8 {
        world.stream_each();
    }
    let before = world.paces.generation_ms(SERVICE, "small", 280);
    for engine in 100..140 {
        let slow = StreamSample {
            is_reference: false,
            ..sample("small", engine, 270.0)
        };
        world.paces.record(&slow, world.now);
    }
    let after = world.paces.generation_ms(SERVICE, "small", 280);
    assert!(
        (after / before - 1.0).abs() < 1e-9,
        "{before} is now {after}"
    );
}

/// Request of a replayed load.
#[derive(Clone, Copy)]
struct Arrival {
    at_ms: f64,
    work: Work,
}

/// Arrivals of short and long prompts, one in three for a model ten times as slow.
fn draw_arrivals(rng: &mut SmallRng, per_second: f64) -> Vec<Arrival> {
    let mut at_ms = 0.0;
    let arrivals = std::iter::from_fn(|| {
        at_ms += -(1.0 - rng.random::<f64>()).ln() * 1_000.0 / per_second;
        let tokens = if rng.random_bool(0.3) {
            rng.random_range(1_000.0..14_000.0)
        } else {
            rng.random_range(100.0..1_800.0)
        };
        let model = if rng.random_bool(0.33) { 10.0 } else { 1.0 };
        let prompt_ms = tokens / 66.0 * model;
        let generation_ms = rng.random_range(10.0..80.0) * 27.0 * model;
        let work = Work {
            prompt_ms,
            generation_ms,
            ..Work::default()
        };
        Some(Arrival { at_ms, work })
    });
    arrivals
        .take_while(|arrival| arrival.at_ms < 30_000.0)
        .collect()
}

#[derive(Clone, Default)]
struct Engine {
    /// End of the last prompt's prefill, in milliseconds.
    busy_until: f64,
    /// Ends of the requests there, in milliseconds.
    ends: Vec<f64>,
    prompts_ms: f64,
}

/// What a replay came to.
struct Replayed {
    /// Share of requests that began after 2 s.
    late: f64,
    /// Mean time to the end, in milliseconds.
    mean_end_ms: f64,
    /// Median of expected over seen time to the first byte.
    ratio: f64,
    /// Prompts read at a slow engine relative to a fast one.
    slow_share: f64,
}

/// Sends `arrivals` to engines whose prompts are read one after the other. With
/// `knows_pace` false it decides as before: by counts and prompts alone.
fn replay(world: &World, arrivals: &[Arrival], knows_pace: bool) -> Replayed {
    let mut rng = SmallRng::seed_from_u64(9);
    let mut engines = vec![Engine::default(); world.steps.len()];
    let (mut late, mut end_sum) = (0, 0.0);
    let mut ratios = Vec::new();
    for arrival in arrivals {
        let now = arrival.at_ms;
        let candidates = engines.iter_mut().enumerate().map(|(index, engine)| {
            engine.ends.retain(|end| *end > now);
            let backlog_ms = (engine.busy_until - now).max(0.0) / world.steps[index];
            UpstreamCandidate {
                slots: 64,
                in_flight: engine.ends.len() as u32,
                backlog_ms,
                pace: if knows_pace { world.pace(index) } else { 1.0 },
                ..UpstreamCandidate::default()
            }
        });
        let candidates: Vec<UpstreamCandidate> = candidates.collect();
        let sampled = sample_candidates(&candidates, 20, || rng.random());
        let work = if knows_pace {
            arrival.work
        } else {
            Work::default()
        };
        let chosen = choose_candidate(&sampled, &work, || rng.random()).unwrap();
        let candidate = &sampled[chosen];
        let index = candidate.index;
        let (engine, step) = (&mut engines[index], world.steps[index]);
        let first = engine.busy_until.max(now) + arrival.work.prompt_ms * step;
        engine.busy_until = first;
        engine.prompts_ms += arrival.work.prompt_ms;
        let end = first + arrival.work.generation_ms * step;
        engine.ends.push(end);
        late += usize::from(first - now > 2_000.0);
        end_sum += end - now;
        ratios.push(candidate.first_ms(&arrival.work) / (first - now));
    }
    ratios.sort_by(f64::total_cmp);
    let mean_prompts = |is_slow: bool| {
        let chosen = engines.iter().enumerate();
        let chosen = chosen.filter(|(index, _)| (index % 4 == 0) == is_slow);
        let prompts: Vec<f64> = chosen.map(|(_, engine)| engine.prompts_ms).collect();
        prompts.iter().sum::<f64>() / prompts.len() as f64
    };
    Replayed {
        late: late as f64 / arrivals.len() as f64,
        mean_end_ms: end_sum / arrivals.len() as f64,
        ratio: ratios[ratios.len() / 2],
        slow_share: mean_prompts(true) / mean_prompts(false),
    }
}

fn known_world(seed: u64) -> World {
    let mut world = World::new(seed, 46);
    for _ in 0..20 {
        world.stream_each();
    }
    world
}

// Engines of unlike speed got the same number of requests. The callers' aim is an answer
// that begins within 2 s.
#[test_case(11, 90.0; "moderate load")]
#[test_case(12, 120.0; "high load")]
#[test_case(13, 140.0; "near the limit")]
fn fewer_answers_are_late_where_paces_are_known(seed: u64, per_second: f64) {
    let mut world = known_world(seed);
    let arrivals = draw_arrivals(&mut world.rng, per_second);
    let before = replay(&world, &arrivals, false);
    let after = replay(&world, &arrivals, true);
    assert!(
        after.late <= before.late && after.mean_end_ms < before.mean_end_ms,
        "late {:.3}, before {:.3}; mean end {:.0} ms, before {:.0} ms",
        after.late,
        before.late,
        after.mean_end_ms,
        before.mean_end_ms
    );
}

// A full fleet needs its slow engines too: half as fast, about half of the work.
#[test_case(14)]
#[test_case(15)]
fn slow_engine_gets_about_half_of_work_under_full_load(seed: u64) {
    let mut world = known_world(seed);
    let arrivals = draw_arrivals(&mut world.rng, 220.0);
    let share = replay(&world, &arrivals, true).slow_share;
    assert!(
        (0.3..0.7).contains(&share),
        "it gets {share:.2} of a fast one's work"
    );
}

// What is expected is what comes, at engines of known speeds.
#[test_case(16)]
#[test_case(17)]
fn expected_first_byte_is_within_a_quarter_of_seen(seed: u64) {
    let mut world = known_world(seed);
    let arrivals = draw_arrivals(&mut world.rng, 100.0);
    let ratio = replay(&world, &arrivals, true).ratio;
    assert!(
        (0.75..1.33).contains(&ratio),
        "expected over seen is {ratio:.2}"
    );
}
