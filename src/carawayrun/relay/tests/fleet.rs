use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use compact_str::{CompactString, format_compact};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::SlotMap;
use test_case::test_case;

use crate::peer::message::UpstreamLimit;
use crate::relay::evacuation::Evacuation;
use crate::relay::fleet::{Fleet, UpstreamQuery};
use crate::relay::loads::upstream_digest;
use crate::relay::members::Members;
use crate::relay::placement::Work;
use crate::relay::prompts::{AFFINITY_LOSS, PartKey, PromptPart};
use crate::relay::rate_limit::LimitNotice;
use crate::relay::restarts::{DOUBT_TIME, RESTART_LAG};
use crate::relay::rests::Incarnation;
use crate::relay::rollout::OrderId;
use crate::relay::sessions::VersionInput;
use crate::relay::view::{RolloutView, Upstream, UpstreamKey, View};

const SERVICE: &str = "app";

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A fleet with the registrations that it follows.
struct World {
    fleet: Fleet,
    upstreams: SlotMap<UpstreamKey, Upstream>,
    now: Duration,
    rng: SmallRng,
}

impl World {
    /// Registers `count` upstreams.
    fn new(count: u64) -> Self {
        let mut world = Self {
            fleet: Fleet::default(),
            upstreams: SlotMap::with_key(),
            now: Duration::from_mins(1),
            rng: SmallRng::seed_from_u64(1),
        };
        for number in 0..count {
            world.register(number, 1);
        }
        world
    }

    fn update(&mut self) {
        let view = View {
            upstreams: Arc::new(self.upstreams.clone()),
            ..View::default()
        };
        self.fleet.update(&view, self.now);
    }

    /// Registers an incarnation of an upstream; an earlier one is gone.
    fn register(&mut self, number: u64, born_ms: u64) -> UpstreamKey {
        let name = format_compact!("app-{number}");
        self.upstreams.retain(|_, other| other.name != name);
        let key = self.upstreams.insert(Upstream {
            name,
            born_ms,
            service: CompactString::const_new(SERVICE),
            addr: SocketAddr::from(([10, 0, 0, number as u8], 7000)),
            data_centre: CompactString::const_new("a"),
            version: CompactString::const_new("v1"),
            slots: 8,
            is_leaving: false,
        });
        self.update();
        key
    }

    fn key(&self, number: u64) -> UpstreamKey {
        let name = format_compact!("app-{number}");
        let mut known = self.upstreams.iter();
        let found = known.find(|(_, upstream)| upstream.name == name);
        found.expect("it is registered").0
    }

    fn incarnation(&self, key: UpstreamKey) -> Incarnation {
        Incarnation::of(&self.upstreams[key])
    }

    fn pass(&mut self, time: Duration) {
        self.now += time;
        // The traffic thread does so several times a second.
        self.fleet.own_departures(self.now);
    }

    /// Upstreams that get some of many requests.
    fn used(&mut self) -> Vec<UpstreamKey> {
        let query = query(&[]);
        let mut used = Vec::new();
        for _ in 0..200 {
            let chosen = self
                .fleet
                .choose_upstream(&query, &[], "a", self.now, &mut self.rng);
            let key = chosen.map(|expected| expected.key);
            used.extend(key.filter(|key| !used.contains(key)));
        }
        used
    }

    fn is_used(&mut self, key: UpstreamKey) -> bool {
        self.used().contains(&key)
    }
}

/// What an upstream says of itself.
#[derive(Debug, Clone, Copy)]
enum Word {
    Leaves,
    Rests(Duration),
}

impl Word {
    fn say(self, world: &mut World, key: UpstreamKey) {
        let now = world.now;
        world.fleet.record_answer(key);
        match self {
            Self::Leaves => world.fleet.record_departure(key, now),
            Self::Rests(rest) => world.fleet.record_rest(key, rest, now),
        };
    }
}

const LEAVES: Word = Word::Leaves;
const RESTS: Word = Word::Rests(Duration::from_mins(1));

// A rest that the process before had asked for held for the next one to its end, and its
// word that it leaves for 5 s.
#[test_case(LEAVES; "leaving")]
#[test_case(RESTS; "resting")]
fn restarted_upstream_is_bound_by_earlier_process(said: Word) {
    let mut world = World::new(2);
    let before = world.key(0);
    said.say(&mut world, before);
    assert!(!world.is_used(before));
    world.pass(millis(200));
    let after = world.register(0, 2);
    // It may be its own word, and there is another one.
    assert!(!world.is_used(after));
    assert_eq!(world.fleet.take_restarted().len(), 1);
    assert_eq!(world.fleet.take_restarted().len(), 0);
    world.fleet.record_answer(after);
    assert!(world.is_used(after));
}

// It says nothing, so a time must do.
#[test_case(LEAVES; "leaving")]
#[test_case(RESTS; "resting")]
fn restarted_upstream_that_does_not_answer_is_never_used(said: Word) {
    let mut world = World::new(2);
    let before = world.key(0);
    said.say(&mut world, before);
    let after = world.register(0, 2);
    world.pass(DOUBT_TIME.saturating_sub(millis(1)));
    assert!(!world.is_used(after));
    world.pass(millis(1));
    assert!(world.is_used(after));
}

// All requests were refused until the last word of the processes before had ended.
#[test_case(LEAVES; "leaving")]
#[test_case(RESTS; "resting")]
fn service_is_refused_after_all_its_upstreams_restarted(said: Word) {
    let mut world = World::new(2);
    for number in 0..2 {
        let before = world.key(number);
        said.say(&mut world, before);
    }
    assert!(world.used().is_empty());
    let after = world.register(1, 2);
    assert_eq!(world.used(), [after]);
}

// The new process leaves or rests already when its restart becomes known.
#[test_case(LEAVES; "leaving")]
#[test_case(RESTS; "resting")]
fn word_before_known_restart_is_lost(said: Word) {
    let mut world = World::new(2);
    let before = world.key(0);
    said.say(&mut world, before);
    let after = world.register(0, 2);
    world.pass(millis(5));
    said.say(&mut world, after);
    world.pass(DOUBT_TIME);
    assert!(!world.is_used(after));
}

// What was said longer ago than a restart may be unknown is the earlier process's word.
#[test_case(RESTART_LAG.saturating_sub(millis(1)), false; "a moment ago")]
#[test_case(RESTART_LAG, true; "longer ago")]
fn old_word_casts_doubt_on_restarted_upstream(lag: Duration, is_used: bool) {
    let mut world = World::new(2);
    let before = world.key(0);
    LEAVES.say(&mut world, before);
    world.pass(lag);
    let after = world.register(0, 2);
    assert_eq!(world.is_used(after), is_used);
}

fn reported_limit(upstream: &World, key: UpstreamKey, limit: f64) -> UpstreamLimit {
    UpstreamLimit {
        upstream: upstream_digest(&upstream.upstreams[key].name),
        limit: Some(limit),
        age_ms: 100,
        incarnation: upstream.incarnation(key).digest(),
    }
}

// A relay without a share of the limit never hears from the new process that there is
// none, and the relays that could tell it never knew one.
#[test]
fn limit_of_earlier_process_in_a_report_binds_restarted_upstream() {
    let mut world = World::new(1);
    let members = Members::default();
    let own = SocketAddr::from(([10, 0, 1, 1], 7340));
    let before = world.key(0);
    let told = reported_limit(&world, before, 0.5);
    let now = world.now;
    world.fleet.record_peer_limits(&[told], &members, own, now);
    assert_eq!(world.fleet.limit(before), Some(0.5));
    let after = world.register(0, 2);
    // From a relay that doesn't know of the restart yet.
    world.fleet.record_peer_limits(&[told], &members, own, now);
    assert_eq!(world.fleet.limit(after), None);
    let own_limit = LimitNotice {
        limit: Some(4.0),
        at: world.now,
        is_own: true,
    };
    world.fleet.record_limit(after, own_limit, &members, own);
    let reported = world.fleet.own_limits(now);
    assert_eq!(reported[0].incarnation, world.incarnation(after).digest());
}

/// What happens to the first of two upstreams.
#[derive(Debug, Clone, Copy)]
enum Happening {
    /// It says so in an answer.
    Says(bool, u64),
    /// Another relay reports that it leaves.
    Reported,
    /// It answers and says nothing of itself.
    Answers,
    /// It starts again, which becomes known after a while; what it says meanwhile is
    /// taken for the word of the process before.
    Restarts(u64),
    /// Its registration lapses and returns, as around a restore of the store.
    Lapses(u64),
    /// Another upstream gets its address; it answers that it is another one.
    Displaced,
    Passes(u64),
}

fn happening() -> impl Strategy<Value = Happening> {
    prop_oneof![
        (any::<bool>(), 1_u64..9_000).prop_map(|(rests, ms)| Happening::Says(rests, ms)),
        Just(Happening::Reported),
        Just(Happening::Answers),
        (0_u64..4_000).prop_map(Happening::Restarts),
        (0_u64..4_000).prop_map(Happening::Lapses),
        Just(Happening::Displaced),
        (0_u64..8_000).prop_map(Happening::Passes),
    ]
}

/// Applies what happens; returns the key of the upstream's present incarnation.
fn apply(world: &mut World, happening: Happening, born_ms: &mut u64) -> UpstreamKey {
    let key = world.key(0);
    let now = world.now;
    match happening {
        Happening::Says(true, ms) => Word::Rests(millis(ms)).say(world, key),
        Happening::Says(false, _) => LEAVES.say(world, key),
        Happening::Reported => {
            let digest = world.incarnation(key).digest();
            world.fleet.record_peer_departures(&[digest], now);
        }
        Happening::Answers => world.fleet.record_answer(key),
        Happening::Restarts(lag) => {
            world.pass(millis(lag));
            *born_ms += 1;
            return world.register(0, *born_ms);
        }
        Happening::Lapses(ms) => {
            world.upstreams.remove(key);
            world.update();
            world.pass(millis(ms));
            return world.register(0, *born_ms);
        }
        Happening::Displaced => {
            let health = world.fleet.health_mut(key);
            health.expect("it is registered").record_displaced(now);
        }
        Happening::Passes(ms) => world.pass(millis(ms)),
    }
    key
}

proptest! {
    // After any order of answers, reports, restarts, lapses and takeovers, an upstream
    // that starts again and says nothing is in use within that time, and at once where
    // no other one is left; one that says something is not.
    #[test]
    fn restarted_upstream_is_used_in_time_and_a_bound_one_is_not(
        happenings in prop::collection::vec(happening(), 0..40),
        has_other in any::<bool>(),
        rests in any::<bool>(),
    ) {
        let mut world = World::new(1 + u64::from(has_other));
        let mut born_ms = 1;
        for happening in happenings {
            apply(&mut world, happening, &mut born_ms);
        }
        let key = apply(&mut world, Happening::Restarts(0), &mut born_ms);
        if has_other {
            world.pass(DOUBT_TIME);
        }
        prop_assert!(world.is_used(key));
        apply(&mut world, Happening::Says(rests, 60_000), &mut born_ms);
        world.pass(millis(50_000));
        prop_assert!(!world.is_used(key));
        let key = apply(&mut world, Happening::Lapses(500), &mut born_ms);
        prop_assert!(!world.is_used(key));
    }
}

/// Time after an order from which it must be obeyed.
const EVACUATION_LIMIT: Duration = Duration::from_secs(5);

/// Boot clock when the orders of the tests are read.
const READ_AT: Duration = Duration::from_secs(100);

impl World {
    fn move_to(&mut self, number: u64, data_centre: &'static str) {
        let key = self.key(number);
        self.upstreams[key].data_centre = CompactString::const_new(data_centre);
        self.update();
    }

    /// Orders data centres out; `age` is the time since the orders were read.
    fn evacuate(&mut self, data_centres: &[&str], age: Duration) {
        let orders = data_centres.iter().map(|name| Evacuation {
            data_centre: CompactString::from(*name),
            id: OrderId::default(),
            read_at: READ_AT,
            ordered_after: Some(READ_AT),
        });
        let orders: Vec<Evacuation> = orders.collect();
        self.fleet
            .update_evacuations(&orders, Some(EVACUATION_LIMIT), READ_AT + age);
    }

    /// Number of so many choices at a third data centre that fall on an upstream.
    fn choices(&mut self, key: UpstreamKey, count: usize) -> usize {
        let query = query(&[]);
        let chosen = (0..count).filter(|_| {
            let chosen = self
                .fleet
                .choose_upstream(&query, &[], "c", self.now, &mut self.rng);
            chosen.is_some_and(|chosen| chosen.key == key)
        });
        chosen.count()
    }
}

fn query(excluded: &[UpstreamKey]) -> UpstreamQuery<'_> {
    UpstreamQuery {
        service: SERVICE,
        version_input: VersionInput::default(),
        required_version: None,
        prefix: None,
        parts: &[],
        work: Work::default(),
        kv_capacity: None,
        excluded,
        allows_ejected: true,
    }
}

#[test]
fn evacuated_upstream_gets_less_and_then_nothing() {
    let mut world = World::new(2);
    world.move_to(1, "b");
    let evacuated = world.key(1);
    let before = world.choices(evacuated, 1_000);
    world.evacuate(&["b"], EVACUATION_LIMIT / 4);
    let meanwhile = world.choices(evacuated, 1_000);
    assert!(meanwhile > 0 && meanwhile < before, "{meanwhile}, {before}");
    world.evacuate(&["b"], EVACUATION_LIMIT / 2);
    assert_eq!(world.choices(evacuated, 1_000), 0);
    assert!(!world.fleet.accepts(evacuated, world.now));
    assert!(world.fleet.is_evacuated(evacuated));
    world.evacuate(&[], EVACUATION_LIMIT);
    assert!(world.choices(evacuated, 1_000) > meanwhile);
}

#[test]
fn evacuated_upstream_is_no_last_resort() {
    let mut world = World::new(2);
    world.move_to(1, "b");
    let (other, evacuated) = (world.key(0), world.key(1));
    world.evacuate(&["b"], EVACUATION_LIMIT);
    for _ in 0..20 {
        let now = world.now;
        let health = world.fleet.health_mut(other);
        health.expect("it is registered").record_unreachable(now);
    }
    assert!(!world.is_used(evacuated));
    let excluded = [other];
    let query = query(&excluded);
    let chosen = world
        .fleet
        .choose_upstream(&query, &[], "a", world.now, &mut world.rng);
    assert!(chosen.is_none());
}

#[test]
fn only_upstreams_left_serve_until_their_share_is_zero() {
    let mut world = World::new(2);
    world.evacuate(&["a"], EVACUATION_LIMIT.mul_f64(0.499));
    assert_eq!(world.used().len(), 2);
    world.evacuate(&["a"], EVACUATION_LIMIT / 2);
    assert!(world.used().is_empty());
    assert_eq!(world.fleet.time_to_token(SERVICE, world.now), None);
}

#[test]
fn orders_have_no_effect_without_limit() {
    let mut world = World::new(2);
    let order = Evacuation {
        data_centre: CompactString::const_new("a"),
        id: OrderId::default(),
        read_at: READ_AT,
        ordered_after: None,
    };
    world.fleet.update_evacuations(&[order], None, READ_AT * 2);
    assert_eq!(world.used().len(), 2);
}

#[test]
fn restarted_upstream_in_evacuated_data_centre_is_not_asked() {
    let mut world = World::new(2);
    world.move_to(1, "b");
    let before = world.key(1);
    world.fleet.record_departure(before, world.now);
    world.evacuate(&["b"], EVACUATION_LIMIT);
    world.register(1, 2);
    world.move_to(1, "b");
    assert!(world.fleet.take_restarted().is_empty());
}

// The version's traffic goes to as many upstreams as if those were not there.
#[test_case(Duration::ZERO; "from the order on")]
#[test_case(EVACUATION_LIMIT; "once nothing is sent there")]
fn part_of_new_version_is_counted_without_evacuated(age: Duration) {
    let mut world = World::new(12);
    for number in 0..10 {
        let key = world.key(number);
        world.upstreams[key].version = CompactString::const_new("v2");
    }
    for number in 0..5 {
        world.move_to(number, "b");
    }
    world.evacuate(&["b"], age);
    let rollout = RolloutView {
        service: CompactString::const_new(SERVICE),
        to: CompactString::const_new("v2"),
        order: OrderId::default(),
        is_open: true,
        share: 0.4,
        session_share: 0.4,
        moves_sessions: true,
        withdrawn: Vec::new(),
        started_at: Duration::ZERO,
    };
    let mut used = Vec::new();
    for _ in 0..400 {
        let query = query(&[]);
        let rollouts = std::slice::from_ref(&rollout);
        let chosen = world
            .fleet
            .choose_upstream(&query, rollouts, "a", world.now, &mut world.rng);
        let key = chosen.expect("five are left").key;
        if !used.contains(&key) {
            used.push(key);
        }
    }
    assert_eq!(used.len(), 3);
    let places = used.iter().map(|key| &world.upstreams[*key].data_centre);
    assert!(places.clone().all(|place| place == "a"));
}

// An engine that was sent the prompt is chosen again, also if it has no affinity, until it
// starts again.
#[test]
fn restarted_engine_holds_no_prompts() {
    let mut world = World::new(18);
    let parts = [PromptPart {
        key: PartKey::of(SERVICE, "large", "5c1e07a2"),
        tokens: 5_000,
    }];
    let capacity = 400_000;
    let choose = |world: &mut World| {
        let query = UpstreamQuery {
            prefix: Some(CompactString::const_new("5c1e07a2 large")),
            parts: &parts,
            work: Work {
                prefix_ms: 75.0,
                affinity_loss: AFFINITY_LOSS,
                prompt_ms: 180.0,
                ..Work::default()
            },
            kv_capacity: Some(capacity),
            ..query(&[])
        };
        let (now, rng) = (world.now, &mut world.rng);
        let chosen = world.fleet.choose_upstream(&query, &[], "a", now, rng);
        chosen.unwrap()
    };
    let with_affinity: Vec<UpstreamKey> = (0..50).map(|_| choose(&mut world).key).collect();
    let other = (0..18).find(|number| !with_affinity.contains(&world.key(*number)));
    let number = other.unwrap();
    let key = world.key(number);
    let now = world.now;
    world
        .fleet
        .record_prompt(key, &parts, 12_000, capacity, now);
    let chosen = choose(&mut world);
    assert_eq!(chosen.key, key);
    assert!(chosen.kept_tokens > 4_900.0);
    let restarted = world.register(number, 2);
    let chosen = choose(&mut world);
    assert_ne!(chosen.key, restarted);
    assert!(chosen.kept_tokens.abs() < f64::EPSILON);
}
