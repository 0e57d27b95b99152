//! Upstreams as queues with several servers, and gateways that choose among them.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use carawayrun::policy::{
    Ejection, InFlightCounts, PickRequest, Pool, Pools, RetryBudget, UpstreamCandidate, can_start,
    queue_limit,
};
use carawayrun::resource::{Config, TaskClass, UpstreamKey};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::truth::{exponential, normal};

/// Entry hosts.
const GATEWAYS: usize = 4;
/// Time between two reports of load, and until a loss is known, in seconds.
const REPORT_EVERY: f64 = 1.0;
/// Time on the network to an upstream of another data centre, in seconds.
const REMOTE: f64 = 0.002;
/// Attempts of one request at most.
const ATTEMPTS: usize = 3;
/// Share of the run before which nothing is counted.
const WARM_UP: f64 = 0.25;

/// What is served.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Work {
    /// Mean time in a slot, in seconds.
    pub(crate) service: f64,
    /// Median time from start to the first byte, in seconds.
    pub(crate) first: f64,
    /// Time a caller waits for the first byte, in milliseconds.
    pub(crate) budget_ms: u64,
    /// Shares of the classes, the most urgent first.
    pub(crate) shares: [f64; 3],
}

/// How a run is set up.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Setup {
    pub(crate) work: Work,
    /// Offered work as a multiple of the capacity.
    pub(crate) load: f64,
    /// Length of the run, in seconds.
    pub(crate) length: f64,
    /// Priorities, reserved slots and bounded queues.
    pub(crate) protected: bool,
    /// One data centre is lost half-way.
    pub(crate) loss: bool,
    pub(crate) seed: u64,
}

/// What the most urgent class saw.
#[derive(Debug, Clone, Default)]
pub(crate) struct Seen {
    waits: Vec<f64>,
    pub(crate) refused: f64,
}

impl Seen {
    pub(crate) fn p99(&self) -> f64 {
        let mut sorted = self.waits.clone();
        sorted.sort_by(f64::total_cmp);
        let index = (sorted.len() as f64 * 0.99) as usize;
        sorted.get(index).copied().unwrap_or(f64::NAN)
    }

    pub(crate) fn refused_share(&self) -> f64 {
        self.refused / (self.refused + self.waits.len() as f64)
    }
}

pub(crate) fn run(config: &Config, places: usize, setup: Setup) -> Seen {
    let mut simulation = Simulation::new(config, places, setup);
    simulation.run();
    simulation.seen
}

const CLASSES: [TaskClass; 3] = [TaskClass::Interactive, TaskClass::Normal, TaskClass::Batch];

#[derive(Debug, Clone, Copy)]
struct Job {
    class: usize,
    arrived: f64,
    gateway: usize,
    remote: f64,
}

#[derive(Debug)]
struct Station {
    key: UpstreamKey,
    place: usize,
    slots: u32,
    running: u32,
    queues: [VecDeque<Job>; 3],
    lost: bool,
}

impl Station {
    fn waiting(&self) -> u32 {
        self.queues.iter().map(VecDeque::len).sum::<usize>() as u32
    }
}

#[derive(Debug)]
struct Gateway {
    pools: Pools,
    flight: InFlightCounts,
    ejection: Ejection,
    budget: RetryBudget,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Arrival,
    Report,
    Loss,
    Finish { station: usize, gateway: usize },
}

// Times in whole microseconds, so that events have a total order.
type Event = Reverse<(u64, u64, Happening)>;

struct Simulation<'a> {
    config: &'a Config,
    setup: Setup,
    places: usize,
    pool: Pool,
    stations: Vec<Station>,
    gateways: Vec<Gateway>,
    events: BinaryHeap<Event>,
    number: u64,
    now: f64,
    rate: f64,
    rng: SmallRng,
    seen: Seen,
}

impl<'a> Simulation<'a> {
    fn new(config: &'a Config, places: usize, setup: Setup) -> Self {
        let stations: Vec<Station> = config
            .upstreams
            .iter()
            .enumerate()
            .map(|(index, (key, upstream))| Station {
                key,
                place: index % places,
                slots: upstream.spec.slots,
                running: 0,
                queues: Default::default(),
                lost: false,
            })
            .collect();
        let slots: u32 = stations.iter().map(|station| station.slots).sum();
        let service = config.services.key("engine").expect("the service exists");
        let gateway = || Gateway {
            pools: Pools::default(),
            flight: InFlightCounts::default(),
            ejection: Ejection::default(),
            budget: RetryBudget::default(),
        };
        Self {
            config,
            places,
            pool: Pool::Service(service),
            rate: setup.load * f64::from(slots) / setup.work.service,
            stations,
            gateways: (0..GATEWAYS).map(|_| gateway()).collect(),
            events: BinaryHeap::new(),
            number: 0,
            now: 0.0,
            rng: SmallRng::seed_from_u64(setup.seed),
            setup,
            seen: Seen::default(),
        }
    }

    fn run(&mut self) {
        self.schedule(0.0, Happening::Report);
        self.schedule(1e-6, Happening::Arrival);
        if self.setup.loss {
            self.schedule(self.setup.length / 2.0, Happening::Loss);
        }
        while let Some(Reverse((time, _, happening))) = self.events.pop() {
            self.now = time as f64 / 1e6;
            if self.now > self.setup.length {
                return;
            }
            match happening {
                Happening::Arrival => self.arrive(),
                Happening::Report => self.report(),
                Happening::Loss => self.lose(),
                Happening::Finish { station, gateway } => self.finish(station, gateway),
            }
        }
    }

    fn schedule(&mut self, after: f64, happening: Happening) {
        self.number += 1;
        let time = ((self.now + after) * 1e6) as u64;
        self.events.push(Reverse((time, self.number, happening)));
    }

    fn arrive(&mut self) {
        let next = exponential(1.0 / self.rate, &mut self.rng);
        self.schedule(next, Happening::Arrival);
        let job = Job {
            class: self.draw_class(),
            arrived: self.now,
            gateway: self.rng.random_range(0..GATEWAYS),
            remote: 0.0,
        };
        self.send(job);
    }

    fn draw_class(&mut self) -> usize {
        let [interactive, normal_share, _] = self.setup.work.shares;
        let draw: f64 = self.rng.random();
        usize::from(draw >= interactive) + usize::from(draw >= interactive + normal_share)
    }

    fn send(&mut self, mut job: Job) {
        let mut tried: Vec<UpstreamKey> = Vec::new();
        for attempt in 0..ATTEMPTS {
            if attempt > 0 && !self.gateways[job.gateway].budget.withdraw() {
                break;
            }
            let Some((index, spilled)) = self.choose(job.class, job.gateway, &tried) else {
                break;
            };
            job.remote = if spilled { REMOTE } else { 0.0 };
            if self.accept(index, job) {
                return;
            }
            tried.push(self.stations[index].key);
        }
        if job.class == 0 && self.counts(job.arrived) {
            self.seen.refused += 1.0;
        }
    }

    fn choose(
        &mut self,
        class: usize,
        gateway: usize,
        tried: &[UpstreamKey],
    ) -> Option<(usize, bool)> {
        let name = format!("dc{}", gateway % self.places);
        let choice = PickRequest {
            pool: self.pool,
            data_centre: &name,
            prefix: 0,
            budget_ms: self.setup.work.budget_ms,
            now_ms: (self.now * 1e3) as u64,
            urgent: class == 0,
            tried,
        };
        let Gateway {
            pools,
            flight,
            ejection,
            ..
        } = &self.gateways[gateway];
        let pick = pools.pick(&choice, flight, ejection, &mut self.rng)?;
        Some((pick.agent, pick.spilled))
    }

    // False where the upstream is lost or refuses; the job has not run then.
    fn accept(&mut self, index: usize, job: Job) -> bool {
        let now_ms = (self.now * 1e3) as u64;
        let station = &mut self.stations[index];
        let gateway = &mut self.gateways[job.gateway];
        if station.lost {
            gateway
                .ejection
                .record_attempt(station.key, true, 0.0, now_ms);
            return false;
        }
        let class = CLASSES[job.class];
        let free = if self.setup.protected {
            can_start(class, station.running, station.slots)
        } else {
            station.running < station.slots
        };
        let queue = if self.setup.protected { job.class } else { 0 };
        let limit = queue_limit(class, station.slots) as usize;
        if !free && self.setup.protected && station.queues[queue].len() >= limit {
            return false;
        }
        gateway
            .ejection
            .record_attempt(station.key, false, 1.0, now_ms);
        gateway.flight.record_start(station.key);
        if free {
            self.start(index, job);
        } else {
            station.queues[queue].push_back(job);
        }
        true
    }

    fn start(&mut self, index: usize, job: Job) {
        self.stations[index].running += 1;
        let first = self.setup.work.first * (0.4 * normal(&mut self.rng)).exp();
        // Log-normal with the mean of the work and a deviation of 0.5.
        let spread = (0.5 * normal(&mut self.rng) - 0.125).exp();
        let service = self.setup.work.service * spread;
        if job.class == 0 && self.counts(job.arrived) {
            let waited = self.now - job.arrived;
            self.seen.waits.push(waited + job.remote + first);
        }
        let gateway = job.gateway;
        self.schedule(
            service,
            Happening::Finish {
                station: index,
                gateway,
            },
        );
    }

    fn finish(&mut self, index: usize, gateway: usize) {
        let station = &mut self.stations[index];
        if station.lost {
            return;
        }
        station.running -= 1;
        self.gateways[gateway].flight.record_end(station.key);
        self.gateways[gateway].budget.deposit();
        while let Some(job) = self.next_job(index) {
            self.start(index, job);
        }
    }

    fn next_job(&mut self, index: usize) -> Option<Job> {
        let protected = self.setup.protected;
        let station = &mut self.stations[index];
        let (running, slots) = (station.running, station.slots);
        let mut queues = station.queues.iter_mut().zip(CLASSES);
        queues.find_map(|(queue, class)| {
            let free = if protected {
                can_start(class, running, slots)
            } else {
                running < slots
            };
            if free { queue.pop_front() } else { None }
        })
    }

    // Every gateway learns the load of all upstreams; lost ones leave the pools.
    fn report(&mut self) {
        self.schedule(REPORT_EVERY, Happening::Report);
        let now_ms = (self.now * 1e3) as u64;
        let open = self.stations.iter().enumerate();
        let candidates: Vec<UpstreamCandidate> = open
            .filter(|(_, station)| !station.lost)
            .map(|(agent, station)| self.candidate(agent, station, now_ms))
            .collect();
        for gateway in &mut self.gateways {
            gateway.pools = Pools::build(candidates.iter().cloned());
            gateway.flight.update_upstreams(&gateway.pools, now_ms);
        }
    }

    fn candidate(&self, agent: usize, station: &Station, now_ms: u64) -> UpstreamCandidate {
        let upstream = self.config.upstreams.get(station.key);
        let waiting = f64::from(station.waiting());
        let wait = waiting * self.setup.work.service / f64::from(station.slots);
        UpstreamCandidate {
            agent,
            upstream: station.key,
            data_centre: upstream
                .expect("stations are upstreams")
                .spec
                .data_centre
                .clone(),
            slots: station.slots,
            running: station.running,
            queued: station.waiting(),
            wait_ms: (wait * 1e3) as u32,
            report_ms: now_ms,
            pools: vec![self.pool],
        }
    }

    fn lose(&mut self) {
        for station in self
            .stations
            .iter_mut()
            .filter(|station| station.place == 0)
        {
            station.lost = true;
            station.queues.iter_mut().for_each(VecDeque::clear);
        }
    }

    fn counts(&self, arrived: f64) -> bool {
        arrived >= self.setup.length * WARM_UP
    }
}
