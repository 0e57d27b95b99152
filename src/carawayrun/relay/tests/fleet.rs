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
use crate::relay::fleet::{Fleet, UpstreamQuery};
use crate::relay::loads::upstream_digest;
use crate::relay::members::Members;
use crate::relay::placement::Work;
use crate::relay::rate_limit::LimitNotice;
use crate::relay::restarts::{DOUBT_TIME, RESTART_LAG};
use crate::relay::rests::Incarnation;
use crate::relay::sessions::VersionInput;
use crate::relay::view::{Upstream, UpstreamKey, View};

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
        let query = UpstreamQuery {
            service: SERVICE,
            version_input: VersionInput::default(),
            required_version: None,
            prefix: None,
            work: Work::default(),
            kv_capacity: None,
            excluded: &[],
            allows_ejected: true,
        };
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
