use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use slotmap::SecondaryMap;
use test_case::test_case;

use crate::peer::message::{Node, RelayReport, ServiceDemand};
use crate::relay::loads::{PeerLoads, name_digest};
use crate::relay::queue::{
    Class, Decision, Demand, Job, Part, Queue, RefusalReason, Room, Ticket, free_places,
};
use crate::relay::shares::TeamWeights;

/// Time between two steps of a replay.
const STEP: Duration = Duration::from_millis(5);

const GATEWAYS: usize = 23;

/// Upstreams of the replayed service, their slots, and the requests that each queues before
/// it turns others away.
const UPSTREAMS: usize = 3;
const SLOTS: usize = 6;
const MAX_QUEUED: usize = 24;

/// Time between two reports of a gateway, in steps.
const REPORT_STEPS: usize = 50;

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn job(rank: u8, due_ms: u64, latest_ms: u64) -> Job {
    Job {
        rank,
        team: 0,
        due: millis(due_ms),
        latest: millis(latest_ms),
        arrived: Duration::ZERO,
    }
}

const fn class(rank: u8) -> Class {
    Class { rank, team: 0 }
}

/// Places of the part for a class, of which `own` requests are there.
fn places(queue: &Queue, room: &Room, class: Class) -> f64 {
    match queue.parts(room).get(&class) {
        Some(Part::All) => {
            let own = queue.own_demand();
            own.get(&class).map_or(0.0, |own| f64::from(own.waiting))
        }
        Some(Part::Places(places)) => *places,
        None => 0.0,
    }
}

fn is_near(one: f64, other: f64) -> bool {
    (one - other).abs() < 1e-6
}

fn room(free: f64) -> Room {
    Room {
        free,
        ..Room::default()
    }
}

fn demand(running: u32, waiting: u32) -> Demand {
    Demand { running, waiting }
}

/// Begins as many jobs as fit, and lets the others wait; returns their tickets.
fn fill(queue: &mut Queue, room: &Room, jobs: &[Job]) -> Vec<Ticket> {
    let waiting = jobs.iter().filter_map(|job| {
        let has_begun = queue.try_begin(job, room);
        (!has_begun).then(|| queue.wait(*job))
    });
    waiting.collect()
}

fn started(decided: &[(Ticket, Decision)]) -> Vec<Ticket> {
    let started = decided.iter().filter(|(_, it)| *it == Decision::Start);
    started.map(|(ticket, _)| *ticket).collect()
}

#[test]
fn nothing_waits_while_there_is_room() {
    let mut queue = Queue::default();
    for free in (1..=8).rev() {
        assert!(queue.try_begin(&job(1, 300, 4_000), &room(f64::from(free))));
    }
    assert!(!queue.try_begin(&job(1, 300, 4_000), &room(0.0)));
}

// The places belong to the more urgent ones, although others hold them still.
#[test]
fn more_urgent_request_begins_beside_others() {
    let mut queue = Queue::default();
    assert!(queue.try_begin(&job(1, 300, 4_000), &room(1.0)));
    assert!(queue.try_begin(&job(0, 300, 4_000), &room(0.0)));
    assert!(!queue.try_begin(&job(0, 300, 4_000), &room(-1.0)));
}

#[test]
fn most_urgent_begins_first_and_is_refused_last() {
    let mut queue = Queue::default();
    let first = job(0, 300, 4_000);
    assert!(queue.try_begin(&first, &room(1.0)));
    let jobs = [job(1, 300, 4_000), job(0, 900, 4_000), job(1, 200, 4_000)];
    let tickets = fill(&mut queue, &room(0.0), &jobs);
    assert!(queue.decide(&room(0.0), millis(10)).is_empty());
    // The less urgent ones can't have their turn in time any more, the urgent one can.
    queue.end(&first, millis(100));
    let decided = queue.decide(&room(1.0), millis(3_900));
    let refused = Decision::Refuse(RefusalReason::NoTurn);
    let wanted = [
        (tickets[1], Decision::Start),
        (tickets[0], refused),
        (tickets[2], refused),
    ];
    assert_eq!(decided, wanted);
    assert_eq!(queue.waiting_count(), 0);
}

#[test]
fn late_requests_are_behind_those_that_can_be_on_time() {
    let mut queue = Queue::default();
    let first = job(1, 300, 4_000);
    assert!(queue.try_begin(&first, &room(1.0)));
    let jobs = [job(1, 300, 4_000), job(1, 800, 4_400), job(1, 600, 4_200)];
    let tickets = fill(&mut queue, &room(0.0), &jobs);
    queue.end(&first, millis(60));
    assert_eq!(
        started(&queue.decide(&room(1.0), millis(500))),
        [tickets[2]]
    );
}

#[test]
fn hopeless_request_is_refused_at_once_only_without_room() {
    let hopeless = job(1, 100, 100);
    let mut queue = Queue::default();
    assert!(queue.try_begin(&hopeless, &room(1.0)));
    assert!(!queue.try_begin(&hopeless, &room(0.0)));
    queue.wait(hopeless);
    let decided = queue.decide(&room(0.0), millis(200));
    assert_eq!(decided[0].1, Decision::Refuse(RefusalReason::TooLate));
    queue.wait(hopeless);
    let decided = queue.decide(&room(1.0), millis(200));
    assert_eq!(decided[0].1, Decision::Start);
}

#[test]
fn gone_caller_leaves_the_queue() {
    let mut queue = Queue::default();
    let first = job(1, 300, 4_000);
    assert!(queue.try_begin(&first, &room(1.0)));
    let jobs = [job(1, 300, 4_000), job(1, 300, 4_000)];
    let tickets = fill(&mut queue, &room(0.0), &jobs);
    queue.leave(tickets[0]);
    assert_eq!(queue.own_demand()[&class(1)], demand(1, 1));
    queue.end(&first, millis(60));
    assert_eq!(started(&queue.decide(&room(1.0), millis(60))), [tickets[1]]);
}

// The sum over all gateways holds without a coordinator, the most urgent rank first.
#[test]
fn parts_of_all_gateways_add_up_to_the_places() {
    let mut rng = StdRng::seed_from_u64(58);
    for _ in 0..50 {
        let gateways = rng.random_range(2..30);
        let sum_places = f64::from(rng.random_range(6..200));
        let counts: Vec<[u32; 3]> = (0..gateways)
            .map(|_| std::array::from_fn(|_| rng.random_range(0..40)))
            .collect();
        let sum: u32 = counts.iter().flatten().sum();
        let part = |own: &[u32; 3]| {
            let mut queue = Queue::default();
            let mut others = BTreeMap::new();
            for rank in 0..3 {
                let all: u32 = counts.iter().map(|counts| counts[rank]).sum();
                others.insert(class(rank as u8), demand(0, all - own[rank]));
                for _ in 0..own[rank] {
                    queue.wait(job(rank as u8, 300, 4_000));
                }
            }
            let room = Room {
                others,
                ..room(sum_places)
            };
            let parts = (0..3).map(|rank| places(&queue, &room, class(rank)));
            parts.sum::<f64>()
        };
        let parts: f64 = counts.iter().map(part).sum();
        let wanted = sum_places.min(f64::from(sum));
        assert!(is_near(parts, wanted), "{parts} of {wanted}");
    }
}

#[test]
fn more_urgent_work_of_others_goes_first() {
    let mut queue = Queue::default();
    queue.wait(job(2, 300, 4_000));
    let room = Room {
        others: BTreeMap::from([(class(0), demand(4, 16))]),
        ..room(16.0)
    };
    assert!(is_near(places(&queue, &room, class(2)), 0.0));
}

fn report(number: u64, waiting: u32) -> RelayReport {
    RelayReport {
        node: Some(Node {
            name: "a".into(),
            incarnation: 1,
        }),
        number,
        demands: vec![ServiceDemand {
            service: 7,
            rank: 1,
            team: 0,
            running: 0,
            waiting,
        }],
        ..RelayReport::default()
    }
}

// What a relay that died had told holds its part of the places for a few seconds, as does
// what is told by one whose reports are lost.
#[test]
fn demand_of_a_relay_that_died_is_forgotten() {
    let mut loads = PeerLoads::default();
    loads.receive(&report(1, 20), millis(0));
    loads.receive(&report(2, 10), millis(100));
    assert_eq!(
        loads.demand(7, millis(100)).get(&class(1)),
        Some(&demand(0, 10))
    );
    let mut queue = Queue::default();
    for _ in 0..10 {
        queue.wait(job(1, 300, 4_000));
    }
    let seen = |loads: &PeerLoads, now| Room {
        others: loads.demand(7, now),
        ..room(10.0)
    };
    let before = seen(&loads, millis(100));
    assert!(is_near(places(&queue, &before, class(1)), 5.0));
    loads.expire(millis(3_200));
    let after = seen(&loads, millis(3_200));
    assert!(is_near(places(&queue, &after, class(1)), 10.0));
}

#[test_case(0, None, 12.0; "unknown")]
#[test_case(0, Some(50), 12.0; "short work is bounded")]
#[test_case(4, Some(500), 5.0; "longer work")]
#[test_case(13, Some(50), -1.0; "more than its places")]
fn upstream_has_places_for_a_report_s_age(in_flight: u32, hold_ms: Option<u64>, free: f64) {
    let seen = free_places(6, in_flight, hold_ms.map(millis));
    assert!(is_near(seen, free), "{seen}");
}

/// A request of a replayed load. Times are since its begin.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    at: Duration,
    job: Job,
    /// Time in a slot.
    work: Duration,
    objective: Duration,
    limit: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// Within its objective, or after it.
    Served {
        is_late: bool,
    },
    Refused,
    /// An upstream turned it away.
    Shed,
    /// Its caller had left when it ended.
    InVain,
}

/// Whether requests wait at gateways, or are sent on at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sending {
    AtOnce,
    InOrder,
}

struct Upstream {
    queued: VecDeque<usize>,
    /// Requests and when they end.
    running: Vec<(usize, Duration)>,
}

struct Gateway {
    queue: Queue,
    waiting: SecondaryMap<Ticket, usize>,
    in_flight: Vec<u32>,
    /// What it told last.
    told: (BTreeMap<Class, Demand>, Vec<u32>),
    rounding: f64,
}

/// Gateways before the upstreams of one service, as far as the order of requests needs
/// them.
struct Replay {
    arrivals: Vec<Arrival>,
    ends: Vec<Option<End>>,
    gateways: Vec<Gateway>,
    upstreams: Vec<Upstream>,
    sending: Sending,
    rng: StdRng,
    now: Duration,
}

impl Replay {
    fn run(&mut self) -> Vec<End> {
        let mut next = 0;
        for step in 0.. {
            self.now += STEP;
            while next < self.arrivals.len() && self.arrivals[next].at <= self.now {
                self.arrive(next);
                next += 1;
            }
            self.work();
            for index in 0..self.gateways.len() {
                if step % REPORT_STEPS == index % REPORT_STEPS {
                    let gateway = &mut self.gateways[index];
                    gateway.told = (gateway.queue.own_demand(), gateway.in_flight.clone());
                    gateway.rounding = self.rng.random();
                }
                self.decide(index);
            }
            if next == self.arrivals.len() && self.ends.iter().all(Option::is_some) {
                break;
            }
        }
        self.ends.iter().flatten().copied().collect()
    }

    fn arrive(&mut self, index: usize) {
        let gateway = self.rng.random_range(0..self.gateways.len());
        let job = self.arrivals[index].job;
        let room = self.room(gateway);
        let queue = &mut self.gateways[gateway].queue;
        if self.sending == Sending::AtOnce {
            queue.begin(&job);
            self.send(gateway, index);
        } else if queue.try_begin(&job, &room) {
            self.send(gateway, index);
        } else {
            let ticket = queue.wait(job);
            self.gateways[gateway].waiting.insert(ticket, index);
        }
    }

    fn decide(&mut self, gateway: usize) {
        let room = self.room(gateway);
        let decided = self.gateways[gateway].queue.decide(&room, self.now);
        for (ticket, decision) in decided {
            let index = self.gateways[gateway].waiting.remove(ticket);
            let index = index.expect("it waited");
            match decision {
                Decision::Start => self.send(gateway, index),
                Decision::Refuse(_) => self.ends[index] = Some(End::Refused),
            }
        }
    }

    // Sends a request to the better of two upstreams, as its gateway sees them.
    fn send(&mut self, gateway: usize, index: usize) {
        let mut pick = || self.rng.random_range(0..self.upstreams.len());
        let (one, other) = (pick(), pick());
        let seen = |upstream| self.seen(gateway, upstream);
        let upstream = if seen(one) <= seen(other) { one } else { other };
        if self.upstreams[upstream].queued.len() >= MAX_QUEUED {
            self.finish(gateway, index, Duration::ZERO, End::Shed);
            return;
        }
        self.gateways[gateway].in_flight[upstream] += 1;
        self.arrivals[index].job.arrived = self.now;
        self.upstreams[upstream]
            .queued
            .push_back(index | gateway << 32);
    }

    fn finish(&mut self, gateway: usize, index: usize, held: Duration, end: End) {
        let job = self.arrivals[index].job;
        self.gateways[gateway].queue.end(&job, held);
        self.ends[index] = Some(end);
    }

    fn work(&mut self) {
        for number in 0..self.upstreams.len() {
            let upstream = &mut self.upstreams[number];
            let (ended, running): (Vec<_>, Vec<_>) = upstream
                .running
                .drain(..)
                .partition(|(_, end)| *end <= self.now);
            upstream.running = running;
            while upstream.running.len() < SLOTS {
                let Some(packed) = upstream.queued.pop_front() else {
                    break;
                };
                let work = self.arrivals[packed & 0xFFFF_FFFF].work;
                upstream.running.push((packed, self.now + work));
            }
            for (packed, at) in ended {
                let (index, gateway) = (packed & 0xFFFF_FFFF, packed >> 32);
                self.gateways[gateway].in_flight[number] -= 1;
                let arrival = self.arrivals[index];
                let took = at.saturating_sub(arrival.at);
                let end = if took > arrival.limit {
                    End::InVain
                } else {
                    End::Served {
                        is_late: took > arrival.objective,
                    }
                };
                let held = at.saturating_sub(arrival.job.arrived);
                self.finish(gateway, index, held, end);
            }
        }
    }

    // Requests at an upstream, as a gateway sees them.
    fn seen(&self, gateway: usize, upstream: usize) -> u32 {
        let others = self.gateways.iter().enumerate();
        let others = others.filter(|(index, _)| *index != gateway);
        let others: u32 = others.map(|(_, other)| other.told.1[upstream]).sum();
        others + self.gateways[gateway].in_flight[upstream]
    }

    fn room(&self, gateway: usize) -> Room {
        let own = &self.gateways[gateway];
        let mut room = Room {
            rounding: own.rounding,
            ..Room::default()
        };
        let others = self.gateways.iter().enumerate();
        for (_, other) in others.filter(|(index, _)| *index != gateway) {
            for (class, told) in &other.told.0 {
                let sum = room.others.entry(*class).or_default();
                sum.running += told.running;
                sum.waiting += told.waiting;
            }
        }
        for upstream in 0..self.upstreams.len() {
            let in_flight = self.seen(gateway, upstream);
            room.free += free_places(SLOTS as u32, in_flight, own.queue.hold());
        }
        room
    }
}

fn replay(arrivals: &[Arrival], sending: Sending) -> Vec<End> {
    let gateway = |_| Gateway {
        queue: Queue::default(),
        waiting: SecondaryMap::new(),
        in_flight: vec![0; UPSTREAMS],
        told: (BTreeMap::new(), vec![0; UPSTREAMS]),
        rounding: 0.5,
    };
    let upstream = |_| Upstream {
        queued: VecDeque::new(),
        running: Vec::new(),
    };
    let mut replay = Replay {
        arrivals: arrivals.to_vec(),
        ends: vec![None; arrivals.len()],
        gateways: (0..GATEWAYS).map(gateway).collect(),
        upstreams: (0..UPSTREAMS).map(upstream).collect(),
        sending,
        rng: StdRng::seed_from_u64(3),
        now: Duration::ZERO,
    };
    replay.run()
}

/// Share of the requests for which `holds`, of those that `counts` picks.
fn share(
    arrivals: &[Arrival],
    ends: &[End],
    counts: impl Fn(&Arrival) -> bool,
    holds: impl Fn(End) -> bool,
) -> f64 {
    let picked: Vec<End> = arrivals
        .iter()
        .zip(ends)
        .filter(|(arrival, _)| counts(arrival))
        .map(|(_, end)| *end)
        .collect();
    let held = picked.iter().filter(|end| holds(**end)).count();
    held as f64 / picked.len() as f64
}

const HOT_TEAM: u32 = 1;

const ON_TIME: End = End::Served { is_late: false };

/// Requests at a plain service: `rates` by rank and team, for some seconds.
fn plain_arrivals(rng: &mut StdRng, rates: &[(u8, u32, f64)]) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for (rank, team, rate) in rates {
        let mut at = 0.0;
        loop {
            at -= rng.random::<f64>().max(1e-9).ln() / rate;
            if at > 6.0 {
                break;
            }
            let at = Duration::from_secs_f64(at);
            let work = millis(rng.random_range(30..90));
            arrivals.push(Arrival {
                at,
                job: Job {
                    rank: *rank,
                    team: *team,
                    due: at + millis(200),
                    latest: at + millis(3_960),
                    arrived: at,
                },
                work,
                objective: millis(300),
                limit: millis(4_000),
            });
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

// Load pattern: a burst at a plain service of 18 slots, 300 requests a second. Of what is
// sent on at once some is turned away and most is late, whether urgent or not. The urgent
// requests fit alone, and their callers must not wait.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn urgent_requests_of_a_burst_are_on_time(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let urgent = rng.random_range(150.0..200.0);
    let other = rng.random_range(200.0..400.0);
    let arrivals = plain_arrivals(&mut rng, &[(0, 0, urgent), (1, 0, other)]);
    let on_time = |sending| {
        let ends = replay(&arrivals, sending);
        let is_urgent = |arrival: &Arrival| arrival.job.rank == 0;
        share(&arrivals, &ends, is_urgent, |end| end == ON_TIME)
    };
    let (before, after) = (on_time(Sending::AtOnce), on_time(Sending::InOrder));
    assert!(after >= 0.95, "{after} on time, {before} before");
}

// Load pattern: one of six teams sends many times its usual. The others want less than
// their share of the places, and get all they want.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn team_that_sends_much_takes_no_room_of_the_others(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let usual = rng.random_range(15.0..25.0);
    let mut rates: Vec<(u8, u32, f64)> = (2..7).map(|team| (1, team, usual)).collect();
    rates.push((1, HOT_TEAM, rng.random_range(350.0..500.0)));
    let arrivals = plain_arrivals(&mut rng, &rates);
    let on_time = |sending| {
        let ends = replay(&arrivals, sending);
        let is_usual = |arrival: &Arrival| arrival.job.team != HOT_TEAM;
        share(&arrivals, &ends, is_usual, |end| end == ON_TIME)
    };
    let (before, after) = (on_time(Sending::AtOnce), on_time(Sending::InOrder));
    assert!(after >= 0.95, "{after} on time, {before} before");
}

// Load pattern: three teams compete for 33 places, two of which want far more than there
// is, at gateways with unlike parts of their requests. The one that wants little gets all
// of it, and the others what is left by their weights, over all gateways.
#[test_case(1.0, 1.0, 15.0, 15.0; "alike")]
#[test_case(2.0, 1.0, 20.0, 10.0; "twice the weight")]
#[test_case(1.0, 0.2, 25.0, 5.0; "a fifth of the weight")]
#[test_case(0.5, 0.25, 20.0, 10.0; "both below the usual")]
fn places_go_by_weight(first: f64, second: f64, first_places: f64, second_places: f64) {
    let weights = TeamWeights::new([("first", first), ("second", second)]);
    let teams = ["first", "second", "small"].map(name_digest);
    let class = |team| Class { rank: 1, team };
    let waiting = [[100, 10, 0], [20, 50, 2], [5, 100, 1]];
    let mut parts = [0.0; 3];
    for own in waiting {
        let mut queue = Queue::default();
        let mut others = BTreeMap::new();
        for (index, team) in teams.into_iter().enumerate() {
            let all: u32 = waiting.iter().map(|counts| counts[index]).sum();
            others.insert(class(team), demand(0, all - own[index]));
            for _ in 0..own[index] {
                let job = job(1, 300, 4_000);
                queue.wait(Job { team, ..job });
            }
        }
        let room = Room {
            others,
            weights: weights.clone(),
            ..room(33.0)
        };
        for (part, team) in parts.iter_mut().zip(teams) {
            *part += places(&queue, &room, class(team));
        }
    }
    let expected = [first_places, second_places, 3.0];
    for (part, expected) in parts.into_iter().zip(expected) {
        assert!((part - expected).abs() < 1e-3, "{part} of {expected}");
    }
}

// Each half of the gateways knows only itself, so that both take all places: the service
// has up to twice as many requests as places, and what is urgent still goes first.
#[test]
fn half_of_the_gateways_take_twice_the_places_at_most() {
    let part = |others_waiting| {
        let mut queue = Queue::default();
        for _ in 0..10 {
            queue.wait(job(1, 300, 4_000));
        }
        let room = Room {
            others: BTreeMap::from([(class(1), demand(0, others_waiting))]),
            ..room(50.0)
        };
        places(&queue, &room, class(1))
    };
    let (all, half) = (part(190), part(90));
    assert!(is_near(all * 20.0, 50.0));
    assert!(is_near(half * 20.0, 100.0));
}
