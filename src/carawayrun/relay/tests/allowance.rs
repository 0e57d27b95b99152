use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use test_case::test_case;

use crate::relay::allowance::{ColdTolerance, SendLogs, WINDOW, part};
use crate::relay::members::Members;

/// Window over which the users count requests.
const SECOND: Duration = Duration::from_secs(1);

/// Rate, multiple and slack of a customer.
const RATE: f64 = 14.0;
const TOLERANCE: ColdTolerance = ColdTolerance {
    multiple: 1.5,
    slack: 5.0,
};

const UPSTREAM: &str = "i-7f3a91c2";

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn addr(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], 7340))
}

/// Most sends in any second.
fn peak(sends: &[Duration]) -> usize {
    let mut sends = sends.to_vec();
    sends.sort_unstable();
    let in_second = |(index, begin): (usize, &Duration)| {
        let later = sends[index..].iter();
        later.take_while(|at| **at < *begin + SECOND).count()
    };
    sends.iter().enumerate().map(in_second).max().unwrap_or(0)
}

#[test_case(14.0, 1.5, 5.0, 24; "with slack")]
#[test_case(1.0, 1.0, 0.0, 1; "never none")]
fn allowance_is_below_the_bound(rate: f64, multiple: f64, slack: f64, expected: u32) {
    assert_eq!(ColdTolerance { multiple, slack }.allowance(rate), expected);
}

proptest! {
    // Each gateway kept its own count, and 23 of them sent 28 to 31 of 26 requests.
    #[test]
    fn parts_add_up_to_the_allowance(allowance in 1_u32..200, gateways in 1_usize..430) {
        let parts = (0..gateways).map(|rank| part(allowance, rank, gateways));
        prop_assert_eq!(parts.sum::<u32>(), allowance);
    }

    // Gateways forget one that is gone at different times.
    #[test]
    fn gateways_that_are_gone_make_no_part_greater(
        allowance in 1_u32..200,
        gateways in 1_usize..60,
        gone in prop::collection::vec(0_usize..4, 60),
    ) {
        // Of each gateway, how many that are gone it still counts, some of them before it.
        let parts = (0..gateways).map(|rank| {
            part(allowance, rank + gone[rank] / 2, gateways + gone[rank])
        });
        prop_assert!(parts.sum::<u32>() <= allowance);
    }
}

#[test]
fn part_is_free_again_after_the_window() {
    let mut logs = SendLogs::default();
    for ms in [0, 300] {
        assert!(logs.has_room(1, 2, millis(ms)));
        logs.record(1, millis(ms));
    }
    assert_eq!(logs.time_to_room(1, 2, millis(400)), Some(millis(700)));
    assert!(!logs.has_room(1, 2, WINDOW.saturating_sub(millis(1))));
    assert!(logs.has_room(1, 2, WINDOW));
    assert!(!logs.has_room(1, 0, WINDOW));
    assert_eq!(logs.time_to_room(1, 0, WINDOW), None);
    // A smaller part, as a gateway was added.
    assert_eq!(logs.time_to_room(1, 1, millis(400)), Some(millis(1_000)));
}

// The connection was opened between the record and the send, or the process was stopped.
#[test]
fn late_send_counts_from_its_first_byte() {
    let mut logs = SendLogs::default();
    logs.record(1, millis(0));
    assert!(logs.renew(1, millis(0), 1, millis(300)));
    assert!(!logs.has_room(1, 1, WINDOW));
    assert!(logs.has_room(1, 1, WINDOW + millis(300)));
    // Another request took the room of one that was held up for longer than the window.
    logs.record(1, millis(2_000));
    assert!(!logs.renew(1, millis(300), 1, millis(2_100)));
}

/// Interval of the relays' reports.
const REPORT_INTERVAL: u64 = 250;

/// Interval of the relays' reads of the store, after the second one.
const READ_INTERVAL: u64 = 30_000;

/// Time for which a relay that reaches neither the store nor the others serves requests.
const CUT_SERVICE: u64 = 4_250;

/// Time of one step.
const STEP: u64 = 25;

struct Process {
    members: Members,
    logs: SendLogs,
    started: u64,
    next_read: u64,
    /// True until it has written its row.
    is_new: bool,
}

struct Relay {
    process: Option<Process>,
    /// Time since which it reaches no other relay.
    cut_since: Option<u64>,
    /// True if it does not reach the store either.
    is_cut_from_store: bool,
}

impl Relay {
    fn reaches_store(&self) -> bool {
        self.cut_since.is_none() || !self.is_cut_from_store
    }

    fn serves(&self, now: u64) -> bool {
        let is_cut = self
            .cut_since
            .is_some_and(|since| now - since > CUT_SERVICE);
        !is_cut || self.reaches_store()
    }
}

/// Relays that send to one upstream as much as they may.
struct World {
    relays: Vec<Relay>,
    /// Addresses in the store.
    rows: BTreeMap<SocketAddr, u64>,
    /// Reports on their way: time of arrival, sender, receiver, whom the sender counts.
    reports: Vec<(u64, usize, usize, crate::peer::message::CountedRelays)>,
    sends: Vec<Duration>,
    now: u64,
    rng: SmallRng,
}

impl World {
    fn new(count: usize, seed: u64) -> Self {
        let mut world = Self {
            relays: Vec::new(),
            rows: BTreeMap::new(),
            reports: Vec::new(),
            sends: Vec::new(),
            now: 0,
            rng: SmallRng::seed_from_u64(seed),
        };
        for _ in 0..count {
            world.add();
        }
        world.pass(40_000);
        world
    }

    fn add(&mut self) {
        self.relays.push(Relay {
            process: None,
            cut_since: None,
            is_cut_from_store: false,
        });
        self.start(self.relays.len() - 1);
    }

    fn start(&mut self, number: usize) {
        self.relays[number].process = Some(Process {
            members: Members::default(),
            logs: SendLogs::default(),
            started: self.now,
            next_read: self.now,
            is_new: true,
        });
    }

    fn pass(&mut self, ms: u64) {
        for _ in 0..ms / STEP {
            self.now += STEP;
            self.deliver();
            for number in 0..self.relays.len() {
                self.step(number);
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.reports)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.reports = later;
        for (_, from, to, counted) in due {
            let is_cut = self.relays[to].cut_since.is_some();
            if let Some(process) = self.relays[to].process.as_mut().filter(|_| !is_cut) {
                let own_now = millis(now - process.started);
                process.members.record_report(addr(from), None, own_now);
                process
                    .members
                    .record_counted(addr(from), &counted, addr(to));
            }
        }
    }

    fn step(&mut self, number: usize) {
        let relay = &mut self.relays[number];
        let (reaches_store, serves) = (relay.reaches_store(), relay.serves(self.now));
        let is_cut = relay.cut_since.is_some();
        let Some(process) = &mut relay.process else {
            return;
        };
        let own = addr(number);
        let now = millis(self.now - process.started);
        if reaches_store && self.now >= process.next_read {
            let listed: Vec<SocketAddr> = self.rows.keys().copied().collect();
            let had_row = process.is_new && listed.contains(&own);
            process.members.record_listed(&listed, now);
            if had_row {
                process.members.record_own_row();
            }
            let interval = if process.is_new { 1_500 } else { READ_INTERVAL };
            process.next_read = self.now + interval;
            process.is_new = false;
            self.rows.insert(own, self.now);
        }
        process.members.expire(now);
        process.members.update_counted(own, now);
        let allowance = TOLERANCE.allowance(RATE);
        let part = process.members.part(own, UPSTREAM, allowance, now);
        // Reports go after the part was worked out anew.
        if !is_cut && (self.now - process.started) % REPORT_INTERVAL < STEP {
            let position = self.rng.random();
            let counted = process.members.counted(own, position, now);
            for to in (0..self.relays.len()).filter(|to| *to != number) {
                if self.rng.random_bool(0.9) {
                    let at = self.now + self.rng.random_range(0..400);
                    self.reports.push((at, number, to, counted.clone()));
                }
            }
        }
        let Some(process) = &mut self.relays[number].process else {
            return;
        };
        if serves && self.rng.random_bool(0.3) {
            while process.logs.has_room(1, part, now) {
                process.logs.record(1, now);
                self.sends.push(millis(self.now));
            }
        }
    }
}

/// What happens to a relay.
#[derive(Debug, Clone, Copy)]
enum Happening {
    Added { is_cut: bool },
    Killed(usize),
    Restarted(usize, u64),
    Cut(usize, bool),
    Reached(usize),
}

fn happening() -> impl Strategy<Value = Happening> {
    prop_oneof![
        any::<bool>().prop_map(|is_cut| Happening::Added { is_cut }),
        any::<usize>().prop_map(Happening::Killed),
        (any::<usize>(), 0_u64..3_000).prop_map(|(number, ms)| Happening::Restarted(number, ms)),
        (any::<usize>(), any::<bool>()).prop_map(|(number, store)| Happening::Cut(number, store)),
        any::<usize>().prop_map(Happening::Reached),
    ]
}

fn apply(world: &mut World, happening: Happening) {
    let count = world.relays.len();
    match happening {
        // A relay that was just added and reaches the store alone.
        Happening::Added { is_cut } => {
            world.add();
            world.relays[count].cut_since = is_cut.then_some(world.now);
        }
        Happening::Killed(number) => world.relays[number % count].process = None,
        Happening::Restarted(number, ms) => {
            let number = number % count;
            // Its row has been there for long enough for all to have read it.
            let is_known = world.relays[number]
                .process
                .as_ref()
                .is_some_and(|process| process.started + READ_INTERVAL + 2_000 < world.now);
            if is_known {
                world.relays[number].process = None;
                world.pass(ms);
                world.start(number);
            }
        }
        Happening::Cut(number, is_cut_from_store) => {
            let now = world.now;
            let relay = &mut world.relays[number % count];
            relay.cut_since = relay.cut_since.or(Some(now));
            relay.is_cut_from_store = is_cut_from_store;
        }
        Happening::Reached(number) => {
            let relay = &mut world.relays[number % count];
            (relay.cut_since, relay.is_cut_from_store) = (None, false);
        }
    }
}

// One of three is cut off, one is new and takes its part once the others have read its row.
#[test]
fn new_gateway_beside_one_that_is_cut_off_has_no_part() {
    let mut world = World::new(2, 1);
    world.relays[0].cut_since = Some(world.now);
    world.add();
    let part_of_new = |world: &World| {
        let process = world.relays[2].process.as_ref().expect("it runs");
        let now = millis(world.now - process.started);
        process.members.part(addr(2), UPSTREAM, 24, now)
    };
    world.pass(10_000);
    assert_eq!(part_of_new(&world), 0);
    // It serves the other services meanwhile.
    let process = world.relays[2].process.as_ref().expect("it runs");
    assert!(!process.members.is_starting(millis(10_000)));
    world.pass(30_000);
    assert_eq!(part_of_new(&world), 8);
    assert!(peak(&world.sends) <= 26);
}

// The others said in their reports that they count it.
#[test]
fn new_gateway_has_its_part_within_seconds() {
    let mut world = World::new(3, 2);
    world.add();
    world.pass(5_000);
    let process = world.relays[3].process.as_ref().expect("it runs");
    let now = millis(world.now - process.started);
    assert_eq!(process.members.part(addr(3), UPSTREAM, 24, now), 6);
}

// A restart under the same address has its part as soon as the window of the process before
// has passed, also where another relay is gone.
#[test]
fn restarted_gateway_does_not_wait_for_those_that_are_gone() {
    let mut world = World::new(3, 3);
    world.relays[0].process = None;
    world.relays[1].process = None;
    world.pass(500);
    world.start(1);
    world.pass(1_000);
    let part_of = |world: &World| {
        let process = world.relays[1].process.as_ref().expect("it runs");
        let now = millis(world.now - process.started);
        process.members.part(addr(1), UPSTREAM, 24, now)
    };
    assert_eq!(part_of(&world), 0);
    let process = world.relays[1].process.as_ref().expect("it runs");
    assert!(process.members.is_starting(millis(1_000)));
    world.pass(500);
    assert_eq!(part_of(&world), 8);
}

// The others may have ceased to count a relay that was cut off for long.
#[test]
fn gateway_that_was_cut_off_for_long_has_no_part() {
    let mut members = Members::default();
    members.record_listed(&[addr(0), addr(1)], millis(0));
    members.record_own_row();
    assert_eq!(members.part(addr(0), UPSTREAM, 24, WINDOW), 12);
    members.forget_counted(millis(70_000));
    members.update_counted(addr(0), millis(70_000));
    assert_eq!(members.part(addr(0), UPSTREAM, 24, millis(75_000)), 0);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    // Whatever the order of starts, kills, cuts, reports and reads.
    #[test]
    fn sum_of_relays_exceeds_the_allowance(
        happenings in prop::collection::vec((happening(), 0_u64..4_000), 0..14),
        count in 1_usize..6,
        seed in any::<u64>(),
    ) {
        let mut world = World::new(count, seed);
        for (happening, ms) in happenings {
            apply(&mut world, happening);
            world.pass(ms);
        }
        world.pass(3_000);
        let peak = peak(&world.sends);
        prop_assert!(peak <= 26, "{peak} of 26 in a second");
    }
}
