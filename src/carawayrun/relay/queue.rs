//! Order of the requests that wait for room at the upstreams of a plain service.
//!
//! Load pattern: a burst at a service with few slots. Its upstreams know no order, and turn
//! away or serve late what is urgent and what is not alike. Beyond the room work waits at
//! the relay that took it. Each relay takes the part of the room that its demand has in
//! that of all relays, the most urgent rank first, so the order holds over all relays
//! without a coordinator.

use std::collections::BTreeMap;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelValue;
use rustc_hash::FxHashMap;
use slotmap::{SlotMap, new_key_type};

use super::moving_rate::MovingRate;
use super::shares::{self, Claim, TeamWeights};

new_key_type! {
    /// Key of a request that waits.
    pub struct Ticket;
}

/// Time until the other gateways hear of a place that was taken or freed.
pub(super) const REPORT_AGE: Duration = Duration::from_millis(250);

/// Most places of a plain upstream, as a multiple of its slots: as many again wait there,
/// so that a slot isn't idle where gateways choose unevenly.
const MAX_FILL: f64 = 2.0;

/// Most requests that wait for one service at one gateway. Each holds its body.
const MAX_WAITING: usize = 256;

/// Weight of the newest sample in the moving mean of the time for which places are held.
const HOLD_WEIGHT: f64 = 0.125;

/// Time over which arrivals are counted.
const ARRIVAL_WINDOW: Duration = Duration::from_secs(1);

/// Least part of the own rate that is expected to be left by those that go before:
/// arrivals vary.
const MIN_SPARE: f64 = 0.1;

/// Least part of a place that is expected for a request that has none now: what is more
/// urgent may become less.
const MIN_PART: f64 = 0.25;

/// A request that needs a place. Times are on the caller's clock.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Job {
    /// Urgency; zero is the most urgent.
    pub rank: u8,
    /// Digest of its team; zero for none.
    pub team: u32,
    /// Latest begin with which it meets its latency objective.
    pub due: Duration,
    /// Latest begin with which it can end within its time limit.
    pub latest: Duration,
    /// When it began to wait.
    pub arrived: Duration,
}

/// Rank and team of requests, the most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Class {
    /// Urgency; zero is the most urgent.
    pub rank: u8,
    /// Digest of the team; zero for none.
    pub team: u32,
}

impl Job {
    /// Its rank and team.
    pub fn class(&self) -> Class {
        Class {
            rank: self.rank,
            team: self.team,
        }
    }
}

/// Requests of one class.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Demand {
    /// Requests that hold a place.
    pub running: u32,
    /// Requests that wait for one.
    pub waiting: u32,
}

impl Demand {
    fn count(self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

/// What a gateway sees of a service's upstreams and of the other gateways.
#[derive(Debug, Clone, Default)]
pub struct Room {
    /// Free places of the upstreams that may be used; negative if more is in flight there.
    pub free: f64,
    /// Demand of the other gateways.
    pub others: BTreeMap<Class, Demand>,
    /// Number in 0..1 that rounds the own parts of the places, drawn by each gateway anew
    /// for each age of a report.
    pub rounding: f64,
    /// Weights of the teams that compete for places.
    pub weights: TeamWeights,
}

/// Own part of the places for one class.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Part {
    /// The demand of all gateways fits.
    All,
    /// So many places, or the fraction of one.
    Places(f64),
}

/// What becomes of a request that waited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It has a place.
    Start,
    /// It can't be served in time.
    Refuse(RefusalReason),
}

/// Why a request that needs a place is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(EncodeLabelValue)]
pub enum RefusalReason {
    /// It could not end within its time limit any more.
    TooLate,
    /// Those ahead of it take longer than it can wait.
    NoTurn,
    /// The queue is full.
    QueueFull,
}

/// Free places of an upstream: its slots, and what it works off in the age of a report,
/// less what is in flight; negative if that is more. `hold` is the time for which a place
/// is held.
pub fn free_places(slots: u32, in_flight: u32, hold: Option<Duration>) -> f64 {
    let turns = hold.map_or(f64::INFINITY, |hold| REPORT_AGE.div_duration_f64(hold));
    let slots = f64::from(slots);
    slots * (1.0 + turns).min(MAX_FILL) - f64::from(in_flight)
}

/// Requests of one gateway for one service: those that hold a place and those that wait
/// for one.
#[derive(Debug, Default)]
pub struct Queue {
    waiting: SlotMap<Ticket, Job>,
    running: BTreeMap<Class, u32>,
    arrivals: BTreeMap<Class, MovingRate>,
    hold: Option<f64>,
}

impl Queue {
    /// Takes a place at once where nothing as urgent waits and the demand of all gateways
    /// fits; returns false otherwise.
    pub fn try_begin(&mut self, job: &Job, room: &Room) -> bool {
        let arrivals = self.arrivals.entry(job.class());
        let arrivals = arrivals.or_insert_with(|| MovingRate::new(ARRIVAL_WINDOW));
        arrivals.record(1.0, job.arrived);
        let fits = self.fits(job, room);
        if fits {
            self.begin(job);
        }
        fits
    }

    /// Returns true if a request would get a place at once.
    pub fn fits(&self, job: &Job, room: &Room) -> bool {
        let is_first = self.waiting.values().all(|other| other.rank > job.rank);
        let demand = self.demand(room);
        let places = self.places(room);
        let before = demand.iter().filter(|(class, _)| class.rank <= job.rank);
        let before: u32 = before.map(|(_, (_, all))| all).sum();
        is_first && f64::from(before) + 1.0 <= places
    }

    /// Takes a place, whether or not there is room.
    pub fn begin(&mut self, job: &Job) {
        *self.running.entry(job.class()).or_default() += 1;
    }

    /// Frees the place of `job`, which held it for `held`.
    pub fn end(&mut self, job: &Job, held: Duration) {
        self.release(job);
        let newest = held.as_secs_f64();
        let mean = self.hold.get_or_insert(newest);
        *mean += HOLD_WEIGHT * (newest - *mean);
    }

    /// Frees the place of a request that was not sent, which tells nothing of how long
    /// places are held.
    pub fn release(&mut self, job: &Job) {
        if let Some(running) = self.running.get_mut(&job.class()) {
            *running = running.saturating_sub(1);
            if *running == 0 {
                self.running.remove(&job.class());
            }
        }
    }

    /// Lets a request wait.
    pub fn wait(&mut self, job: Job) -> Ticket {
        self.waiting.insert(job)
    }

    /// Removes a request that waits, if it still does.
    pub fn leave(&mut self, ticket: Ticket) {
        self.waiting.remove(ticket);
    }

    /// Number of requests that wait.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Usual time for which a place is held.
    pub fn hold(&self) -> Option<Duration> {
        self.hold.map(Duration::from_secs_f64)
    }

    /// Own demand.
    pub fn own_demand(&self) -> BTreeMap<Class, Demand> {
        let mut demand: BTreeMap<Class, Demand> = BTreeMap::new();
        for (class, running) in &self.running {
            demand.entry(*class).or_default().running = *running;
        }
        for job in self.waiting.values() {
            demand.entry(job.class()).or_default().waiting += 1;
        }
        demand
    }

    /// Starts what has room now and refuses what won't have any in time. Both no longer
    /// wait.
    pub fn decide(&mut self, room: &Room, now: Duration) -> Vec<(Ticket, Decision)> {
        if self.waiting.is_empty() {
            return Vec::new();
        }
        let parts = self.parts(room);
        let mut free = room.free;
        let mut ahead: FxHashMap<Class, usize> = FxHashMap::default();
        let mut decided = Vec::new();
        let mut kept = 0;
        for ticket in self.order(now) {
            let job = self.waiting[ticket];
            let class = job.class();
            let part = parts.get(&class).copied().unwrap_or(Part::Places(0.0));
            let ahead = ahead.entry(class).or_default();
            let decision = if part != Part::All && job.latest < now {
                Decision::Refuse(RefusalReason::TooLate)
            } else if *ahead == 0 && self.has_room(class, part, room, free) {
                free -= 1.0;
                self.begin(&job);
                Decision::Start
            } else if kept >= MAX_WAITING {
                Decision::Refuse(RefusalReason::QueueFull)
            } else if now + self.turn(&job, *ahead, part, now) > job.latest {
                Decision::Refuse(RefusalReason::NoTurn)
            } else {
                *ahead += 1;
                kept += 1;
                continue;
            };
            self.waiting.remove(ticket);
            decided.push((ticket, decision));
        }
        decided
    }

    /// Time until a new request of a class would begin.
    pub fn expected_wait(&self, room: &Room, class: Class) -> Duration {
        let ahead = self.waiting.values().filter(|job| job.class() == class);
        let ahead = ahead.count();
        if ahead == 0 {
            return Duration::ZERO;
        }
        let part = self.parts(room).get(&class).copied();
        self.rate(part.unwrap_or(Part::Places(0.0)))
            .map_or(Duration::ZERO, |rate| time_for(ahead, rate))
    }

    /// Own parts of the places, by class: dealt to the most urgent rank first, and in the
    /// rank that doesn't fit fairly among its teams by their weights, to each gateway by its
    /// demand.
    pub fn parts(&self, room: &Room) -> BTreeMap<Class, Part> {
        let demand: Vec<_> = self.demand(room).into_iter().collect();
        let mut left = self.places(room).max(0.0);
        let mut parts = BTreeMap::new();
        for rank in demand.chunk_by(|(one, _), (other, _)| one.rank == other.rank) {
            let claim = |class: &Class, all: u32| Claim {
                demand: f64::from(all),
                weight: room.weights.weight(class.team),
            };
            let claims = rank.iter().map(|(class, (_, all))| claim(class, *all));
            let claims: Vec<Claim> = claims.collect();
            let level = shares::fair_level(&claims, left);
            for ((class, (own, _)), claim) in rank.iter().zip(&claims) {
                let share = level * claim.weight;
                let part = if claim.demand <= share {
                    Part::All
                } else {
                    Part::Places(share * f64::from(*own) / claim.demand)
                };
                parts.insert(*class, part);
            }
            left = (left - claims.iter().map(|claim| claim.demand).sum::<f64>()).max(0.0);
        }
        parts
    }

    // True if one more request of a class has room. What fits begins beside less urgent
    // requests that run still; they get fewer places as soon as this is told.
    fn has_room(&self, class: Class, part: Part, room: &Room, free: f64) -> bool {
        let Part::Places(part) = part else {
            return true;
        };
        let running = self.running.get(&class).copied().unwrap_or_default();
        f64::from(running) + 1.0 <= (part + room.rounding).floor() && free >= 1.0
    }

    // Places of the upstreams that may be used, and of others that requests still hold.
    fn places(&self, room: &Room) -> f64 {
        let own: u32 = self.running.values().sum();
        let others: u32 = room.others.values().map(|demand| demand.running).sum();
        room.free + f64::from(own + others)
    }

    // Own demand for places and that of all gateways.
    fn demand(&self, room: &Room) -> BTreeMap<Class, (u32, u32)> {
        let mut demand: BTreeMap<Class, (u32, u32)> = BTreeMap::new();
        for (class, own) in self.own_demand() {
            demand.insert(class, (own.count(), own.count()));
        }
        for (class, others) in &room.others {
            demand.entry(*class).or_default().1 += others.count();
        }
        demand
    }

    // Rate at which own requests begin that have a part of the places, per second; `None`
    // where it is not known, or not limited.
    fn rate(&self, part: Part) -> Option<f64> {
        let Part::Places(part) = part else {
            return None;
        };
        self.hold.map(|hold| part.max(MIN_PART) / hold.max(0.001))
    }

    // Expected time until it is the turn of a request with `ahead` others of its class
    // before it. If it is late already, those that come and can be on time go before it.
    fn turn(&self, job: &Job, ahead: usize, part: Part, now: Duration) -> Duration {
        let Some(rate) = self.rate(part) else {
            return Duration::ZERO;
        };
        let arrivals = self.arrivals.get(&job.class()).filter(|_| job.due < now);
        let passing = arrivals.map_or(0.0, |arrivals| arrivals.per_second(now));
        time_for(ahead + 1, (rate - passing).max(rate * MIN_SPARE))
    }

    // All that waits, in the order in which it begins within its class.
    fn order(&self, now: Duration) -> Vec<Ticket> {
        let waiting = self.waiting.iter();
        let mut waiting: Vec<(Ticket, &Job)> = waiting.collect();
        waiting.sort_by_key(|(_, job)| {
            let is_late = job.due < now;
            let begin = if is_late { job.latest } else { job.due };
            (job.rank, is_late, begin, job.arrived)
        });
        waiting.into_iter().map(|(ticket, _)| ticket).collect()
    }
}

// Time in which `count` requests begin at `rate` a second.
fn time_for(count: usize, rate: f64) -> Duration {
    Duration::try_from_secs_f64(count as f64 / rate).unwrap_or(Duration::MAX / 4)
}
