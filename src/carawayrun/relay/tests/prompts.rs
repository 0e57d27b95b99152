use std::collections::VecDeque;
use std::time::Duration;

use prost::Message;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use test_case::test_case;

use crate::peer::message::RelayReport;
use crate::relay::placement::{
    UpstreamCandidate, Work, affinity_rank, choose_candidate, sample_candidates,
};
use crate::relay::prompts::{
    AFFINITY_LOSS, CacheSpace, KeptPrompts, PartKey, PromptPart, PromptSend,
};

const SERVICE: &str = "engines";

/// Memory of 400,000 tokens that is filled in 20 s.
const SPACE: CacheSpace = CacheSpace {
    tokens: 400_000.0,
    intake: 20_000.0,
};

/// Room for all copies that a report carries at most.
const REPORT_BYTES: usize = 300;

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn part(id: &str, tokens: u32) -> PromptPart {
    PromptPart {
        key: PartKey::of(SERVICE, "large", id),
        tokens,
    }
}

fn send(parts: &[PromptPart], engine: u64) -> PromptSend<'_> {
    PromptSend {
        service: SERVICE,
        engine,
        parts,
        kv_tokens: 12_000,
        space: SPACE,
    }
}

#[test]
fn engine_holds_what_it_was_just_sent() {
    let mut prompts = KeptPrompts::default();
    let parts = [part("a", 800), part("b", 400)];
    prompts.record_send(&send(&parts, 1), seconds(10));
    let expected = |engine| prompts.expected_tokens(&parts, engine, &SPACE, seconds(10));
    assert!((expected(1) - 1_200.0).abs() < 1.0);
    assert!(expected(2).abs() < f64::EPSILON);
    assert_eq!(prompts.holders(&parts), [1]);
}

// Another prompt that begins with the same part uses it again at the engines that hold it.
#[test]
fn beginning_of_another_prompt_is_held_too() {
    let mut prompts = KeptPrompts::default();
    prompts.record_send(&send(&[part("a", 800), part("b", 400)], 1), seconds(10));
    let other = [part("a", 800), part("c", 900)];
    let kept = prompts.expected_tokens(&other, 1, &SPACE, seconds(10));
    assert!((kept - 800.0).abs() < 1.0, "{kept:.0} tokens");
}

#[test_case(5, 0.9, 1.0; "a quarter of the memory was filled since")]
#[test_case(20, 0.4, 0.6; "all of it")]
#[test_case(60, 0.0, 0.02; "three times as much")]
fn copy_is_evicted_as_memory_fills(age: u64, least: f64, most: f64) {
    let mut prompts = KeptPrompts::default();
    let parts = [part("a", 1_000)];
    prompts.record_send(&send(&parts, 1), seconds(10));
    let kept = prompts.expected_tokens(&parts, 1, &SPACE, seconds(10 + age));
    let share = kept / 1_000.0;
    assert!((least..=most).contains(&share), "{share:.3} is left");
}

// The memory that requests in progress need is not there for other parts.
#[test]
fn full_engine_holds_nothing() {
    let mut prompts = KeptPrompts::default();
    let parts = [part("a", 1_000)];
    prompts.record_send(&send(&parts, 1), seconds(10));
    let full = CacheSpace {
        tokens: -100.0,
        ..SPACE
    };
    assert!(prompts.expected_tokens(&parts, 1, &full, seconds(11)).abs() < f64::EPSILON);
}

#[test]
fn crashed_engine_holds_nothing() {
    let mut prompts = KeptPrompts::default();
    let parts = [part("a", 1_000)];
    prompts.record_send(&send(&parts, 1), seconds(10));
    prompts.record_send(&send(&parts, 2), seconds(10));
    prompts.forget(1);
    assert_eq!(prompts.holders(&parts), [2]);
    let told = prompts.take_untold(REPORT_BYTES);
    assert!(told.iter().all(|copy| copy.incarnation == 2));
}

// A report carries new copies, and not each use of one.
#[test]
fn copies_are_told_once_until_memory_has_moved_on() {
    let mut prompts = KeptPrompts::default();
    let parts = [part("a", 1_000)];
    for second in 10..14 {
        prompts.record_send(&send(&parts, 1), seconds(second));
    }
    assert_eq!(prompts.take_untold(REPORT_BYTES).len(), 1);
    prompts.record_send(&send(&parts, 1), seconds(16));
    assert_eq!(prompts.take_untold(REPORT_BYTES).len(), 1);
}

// A longer report would not be received at all.
#[test]
fn copies_wait_for_a_report_with_room() {
    let mut prompts = KeptPrompts::default();
    for number in 0..4 {
        prompts.record_send(
            &send(&[part(&number.to_string(), 1_000)], number),
            seconds(10),
        );
    }
    assert!(prompts.take_untold(10).is_empty());
    let report = RelayReport {
        copies: prompts.take_untold(40),
        ..RelayReport::default()
    };
    assert_eq!(report.copies.len(), 2);
    assert!(report.encoded_len() <= 40);
    assert_eq!(prompts.take_untold(REPORT_BYTES).len(), 2);
}

#[test]
fn other_gateways_hear_of_copies() {
    let (mut first, mut second) = (KeptPrompts::default(), KeptPrompts::default());
    let parts = [part("a", 800), part("b", 400)];
    first.record_send(&send(&parts, 1), seconds(10));
    second.receive(&first.take_untold(REPORT_BYTES), seconds(10));
    let kept = second.expected_tokens(&parts, 1, &SPACE, seconds(10));
    assert!((kept - 1_200.0).abs() < 1.0, "{kept:.0} tokens");
    // What was heard a moment ago is not told again.
    second.record_send(&send(&parts, 1), seconds(11));
    assert!(second.take_untold(REPORT_BYTES).is_empty());
}

#[test]
fn memory_of_copies_is_bounded() {
    let mut prompts = KeptPrompts::default();
    let hot = [part("hot", 1_000)];
    for engine in 0..100 {
        prompts.record_send(&send(&hot, engine), seconds(1 + engine));
    }
    assert_eq!(prompts.holders(&hot), [96, 97, 98, 99]);
    for number in 0..10_000 {
        let parts = [part(&number.to_string(), 1_000)];
        prompts.record_send(&send(&parts, 1), seconds(200));
    }
    assert!(prompts.holders(&[part("9999", 1_000)]).is_empty());
    // Parts without use make room.
    let late = [part("late", 1_000)];
    prompts.record_send(&send(&late, 1), seconds(300));
    assert_eq!(prompts.holders(&late), [1]);
}

/// Engine that keeps the parts used last, and reads prompts one after the other.
#[derive(Default)]
struct Engine {
    /// Parts with their tokens, the one used last in front.
    kept: VecDeque<(usize, u32)>,
    busy_until: f64,
    ends: Vec<f64>,
}

const CAPACITY: u32 = 120_000;
const TOKENS_PER_MS: f64 = 66.0;
const GATEWAYS: usize = 12;
const ENGINES: usize = 24;

impl Engine {
    /// Takes a prompt in; returns true if its shared part was there.
    fn take(&mut self, prefix: usize, shared: u32, own: u32, unique: usize) -> bool {
        let place = self.kept.iter().position(|(kept, _)| *kept == prefix);
        if let Some(place) = place {
            self.kept.remove(place);
        }
        self.kept.push_front((unique, own));
        self.kept.push_front((prefix, shared));
        let mut sum = 0;
        let fits = self.kept.iter().take_while(|(_, tokens)| {
            sum += tokens;
            sum <= CAPACITY
        });
        let count = fits.count();
        self.kept.truncate(count);
        place.is_some()
    }
}

/// What a replay came to.
#[derive(Debug)]
struct Replayed {
    /// Share of requests whose shared part was kept.
    hits: f64,
    mean_first_ms: f64,
    /// Share of requests that began after 300 ms.
    late: f64,
    /// Prompts read at the busiest engine relative to the mean.
    busiest: f64,
}

/// Sends 30 s of requests with drawn prefixes, a few of them hot, from gateways that report
/// every 250 ms. With `knows_copies` false they decide as before: by affinity alone.
fn replay(seed: u64, per_second: f64, knows_copies: bool) -> Replayed {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut choices = SmallRng::seed_from_u64(9);
    let mut engines: Vec<Engine> = (0..ENGINES).map(|_| Engine::default()).collect();
    let mut gateways: Vec<KeptPrompts> = (0..GATEWAYS).map(|_| KeptPrompts::default()).collect();
    let mut read = [0.0; ENGINES];
    let (mut now, mut reported) = (0.0, 0.0);
    let (mut count, mut hits, mut late, mut first_sum) = (0, 0, 0, 0.0);
    while now < 30_000.0 {
        now += -(1.0 - rng.random::<f64>()).ln() * 1_000.0 / per_second;
        let clock = Duration::from_secs_f64(now / 1_000.0);
        // The lower the number, the more often it is drawn.
        let prefix = (150.0 * rng.random::<f64>().powi(3)) as usize;
        let own = rng.random_range(500..6_000);
        let shared = 3_000;
        let gateway = rng.random_range(0..GATEWAYS);
        if now - reported > 250.0 {
            reported = now;
            for sender in 0..GATEWAYS {
                let told = gateways[sender].take_untold(REPORT_BYTES);
                let others = gateways.iter_mut().enumerate();
                for (_, other) in others.filter(|(other, _)| *other != sender) {
                    other.receive(&told, clock);
                }
            }
        }
        let prompts = &mut gateways[gateway];
        let name = format!("prefix-{prefix}");
        let parts = [part(&name, shared)];
        let intake = prompts.sent_per_second(SERVICE, clock) * GATEWAYS as f64 / ENGINES as f64;
        let space = CacheSpace {
            tokens: f64::from(CAPACITY),
            intake,
        };
        let candidates = engines.iter_mut().enumerate().map(|(index, engine)| {
            engine.ends.retain(|end| *end > now);
            let kept = prompts.expected_tokens(&parts, index as u64, &space, clock);
            UpstreamCandidate {
                slots: 64,
                in_flight: engine.ends.len() as u32,
                backlog_ms: (engine.busy_until - now).max(0.0),
                affinity_rank: affinity_rank(&name, &format!("i-{index}")),
                kept_share: if knows_copies {
                    kept / f64::from(shared)
                } else {
                    0.0
                },
                ..UpstreamCandidate::default()
            }
        });
        let candidates: Vec<UpstreamCandidate> = candidates.collect();
        let work = Work {
            prefix_ms: f64::from(shared) / TOKENS_PER_MS,
            affinity_loss: if knows_copies { AFFINITY_LOSS } else { 0.0 },
            prompt_ms: f64::from(shared + own) / TOKENS_PER_MS,
            ..Work::default()
        };
        let sampled = sample_candidates(&candidates, GATEWAYS, || choices.random());
        let chosen = choose_candidate(&sampled, &work, || choices.random()).unwrap();
        let index = sampled[chosen].index;
        let sent = PromptSend {
            service: SERVICE,
            engine: index as u64,
            parts: &parts,
            kv_tokens: u64::from(shared + own),
            space,
        };
        prompts.record_send(&sent, clock);
        let engine = &mut engines[index];
        count += 1;
        let is_hit = engine.take(prefix, shared, own, 1_000 + count);
        let tokens = if is_hit { own } else { shared + own };
        let read_ms = f64::from(tokens) / TOKENS_PER_MS;
        let first = engine.busy_until.max(now) + read_ms;
        engine.busy_until = first;
        engine.ends.push(first + 1_500.0);
        read[index] += read_ms;
        hits += usize::from(is_hit);
        late += usize::from(first - now > 300.0);
        first_sum += first - now;
    }
    let mean_read = read.iter().sum::<f64>() / ENGINES as f64;
    Replayed {
        hits: hits as f64 / count as f64,
        mean_first_ms: first_sum / count as f64,
        late: late as f64 / count as f64,
        busiest: read.iter().copied().fold(0.0, f64::max) / mean_read,
    }
}

// A relay did not know what the engines beside the affinity engines hold.
#[test_case(21, 150.0; "moderate load")]
#[test_case(22, 300.0; "high load")]
#[test_case(23, 420.0; "near the limit")]
fn known_copies_are_used_again(seed: u64, per_second: f64) {
    let before = replay(seed, per_second, false);
    let after = replay(seed, per_second, true);
    println!("before {before:?}, after {after:?}");
    assert!(
        after.hits > before.hits
            && after.mean_first_ms < before.mean_first_ms
            && after.late <= before.late,
        "before {before:?}, after {after:?}"
    );
}

// Known copies must not draw all requests to a few engines.
#[test_case(24, 150.0, 2.0; "moderate load, where a hot prefix stays at few engines")]
#[test_case(25, 250.0, 1.5; "high load")]
fn engines_are_no_less_evenly_loaded(seed: u64, per_second: f64, most: f64) {
    let before = replay(seed, per_second, false).busiest;
    let after = replay(seed, per_second, true).busiest;
    assert!(
        after <= before && after < most,
        "the busiest engine reads {after:.2} of the mean, before {before:.2}"
    );
}
