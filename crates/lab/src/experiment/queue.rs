//! Discrete-event simulation of gateways and upstreams, where each upstream is
//! a queue with several servers.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use carawayrun::policy::{
    Ejection, InFlightCounts, PickRequest, Pool, Pools, RetryBudget, UpstreamCandidate, can_start,
    queue_limit,
};
use carawayrun::resource::{Config, TaskClass, UpstreamKey};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::truth::{sample_exponential, sample_normal};

/// Number of gateways.
const GATEWAYS: usize = 4;
/// Time between two load reports, in seconds. A loss is known at the next report.
const REPORT_INTERVAL_SECONDS: f64 = 1.0;
/// Network latency to an upstream of another data centre, in seconds.
const REMOTE_LATENCY_SECONDS: f64 = 0.002;
/// Most attempts per request.
const MAX_ATTEMPTS: usize = 3;
/// Share of the run at its start whose requests are not counted.
const WARM_UP_SHARE: f64 = 0.25;

/// Requests of a service.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Workload {
    /// Mean time for which a request occupies a slot, in seconds.
    pub(crate) service_time: f64,
    /// Median time from the start in a slot to the first byte, in seconds.
    pub(crate) first_byte_time: f64,
    /// Time that a client waits for the first byte, in milliseconds.
    pub(crate) budget_ms: u64,
    /// Shares of the requests by class, the most urgent first.
    pub(crate) class_shares: [f64; 3],
}

/// Parameters of a run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Setup {
    pub(crate) workload: Workload,
    /// Offered load as a multiple of the capacity.
    pub(crate) load: f64,
    /// Duration of the run, in seconds.
    pub(crate) duration: f64,
    /// True if upstreams use priorities, reserved slots and bounded queues.
    pub(crate) admission_control: bool,
    /// True if one data centre is lost half-way through the run.
    pub(crate) data_centre_loss: bool,
    pub(crate) seed: u64,
}

/// First-byte times and refusals of the most urgent class.
#[derive(Debug, Clone, Default)]
pub(crate) struct UrgentStats {
    // Times from arrival to the first byte, in seconds.
    first_byte_times: Vec<f64>,
    /// Number of requests that no upstream accepted.
    pub(crate) refused: f64,
}

impl UrgentStats {
    /// 99th percentile of the time to the first byte, in seconds.
    pub(crate) fn p99(&self) -> f64 {
        let mut sorted = self.first_byte_times.clone();
        sorted.sort_by(f64::total_cmp);
        let index = (sorted.len() as f64 * 0.99) as usize;
        sorted.get(index).copied().unwrap_or(f64::NAN)
    }

    pub(crate) fn refused_share(&self) -> f64 {
        self.refused / (self.refused + self.first_byte_times.len() as f64)
    }
}

/// Simulates a run and returns the statistics of the most urgent class.
pub(crate) fn simulate(config: &Config, data_centres: usize, setup: Setup) -> UrgentStats {
    let mut simulation = Simulation::new(config, data_centres, setup);
    simulation.run();
    simulation.stats
}

const CLASSES: [TaskClass; 3] = [TaskClass::Interactive, TaskClass::Normal, TaskClass::Batch];

#[derive(Debug, Clone, Copy)]
struct Job {
    class: usize,
    arrived_at: f64,
    gateway: usize,
    network_delay: f64,
}

/// One upstream: its slots, and a queue per class.
#[derive(Debug)]
struct Station {
    key: UpstreamKey,
    data_centre_index: usize,
    slots: u32,
    running: u32,
    queues: [VecDeque<Job>; 3],
    lost: bool,
}

impl Station {
    fn queued_count(&self) -> u32 {
        self.queues.iter().map(VecDeque::len).sum::<usize>() as u32
    }
}

#[derive(Debug)]
struct Gateway {
    pools: Pools,
    in_flight: InFlightCounts,
    ejection: Ejection,
    retry_budget: RetryBudget,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum EventKind {
    Arrival,
    Report,
    Loss,
    Finish { station: usize, gateway: usize },
}

// Time in whole microseconds, sequence number, and kind. Whole numbers give the
// events a total order.
type ScheduledEvent = Reverse<(u64, u64, EventKind)>;

struct Simulation<'a> {
    config: &'a Config,
    setup: Setup,
    data_centres: usize,
    pool: Pool,
    stations: Vec<Station>,
    gateways: Vec<Gateway>,
    events: BinaryHeap<ScheduledEvent>,
    sequence: u64,
    now: f64,
    rate: f64,
    rng: SmallRng,
    stats: UrgentStats,
}

impl<'a> Simulation<'a> {
    fn new(config: &'a Config, data_centres: usize, setup: Setup) -> Self {
        let stations: Vec<Station> = config
            .upstreams
            .iter()
            .enumerate()
            .map(|(index, (key, upstream))| Station {
                key,
                data_centre_index: index % data_centres,
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
            in_flight: InFlightCounts::default(),
            ejection: Ejection::default(),
            retry_budget: RetryBudget::default(),
        };
        Self {
            config,
            data_centres,
            pool: Pool::Service(service),
            rate: setup.load * f64::from(slots) / setup.workload.service_time,
            stations,
            gateways: (0..GATEWAYS).map(|_| gateway()).collect(),
            events: BinaryHeap::new(),
            sequence: 0,
            now: 0.0,
            rng: SmallRng::seed_from_u64(setup.seed),
            setup,
            stats: UrgentStats::default(),
        }
    }

    fn run(&mut self) {
        self.schedule(0.0, EventKind::Report);
        self.schedule(1e-6, EventKind::Arrival);
        if self.setup.data_centre_loss {
            self.schedule(self.setup.duration / 2.0, EventKind::Loss);
        }
        while let Some(Reverse((time, _, kind))) = self.events.pop() {
            self.now = time as f64 / 1e6;
            if self.now > self.setup.duration {
                return;
            }
            match kind {
                EventKind::Arrival => self.handle_arrival(),
                EventKind::Report => self.report_load(),
                EventKind::Loss => self.lose_data_centre(),
                EventKind::Finish { station, gateway } => self.finish_job(station, gateway),
            }
        }
    }

    fn schedule(&mut self, after: f64, kind: EventKind) {
        self.sequence += 1;
        let time = ((self.now + after) * 1e6) as u64;
        self.events.push(Reverse((time, self.sequence, kind)));
    }

    fn handle_arrival(&mut self) {
        let next = sample_exponential(1.0 / self.rate, &mut self.rng);
        self.schedule(next, EventKind::Arrival);
        let job = Job {
            class: self.draw_class(),
            arrived_at: self.now,
            gateway: self.rng.random_range(0..GATEWAYS),
            network_delay: 0.0,
        };
        self.send(job);
    }

    fn draw_class(&mut self) -> usize {
        let [interactive, normal_share, _] = self.setup.workload.class_shares;
        let draw: f64 = self.rng.random();
        usize::from(draw >= interactive) + usize::from(draw >= interactive + normal_share)
    }

    fn send(&mut self, mut job: Job) {
        let mut tried: Vec<UpstreamKey> = Vec::new();
        for attempt in 0..MAX_ATTEMPTS {
            if attempt > 0 && !self.gateways[job.gateway].retry_budget.withdraw() {
                break;
            }
            let Some((index, spilled)) = self.choose(job.class, job.gateway, &tried) else {
                break;
            };
            job.network_delay = if spilled { REMOTE_LATENCY_SECONDS } else { 0.0 };
            if self.try_accept(index, job) {
                return;
            }
            tried.push(self.stations[index].key);
        }
        if job.class == 0 && self.is_counted(job.arrived_at) {
            self.stats.refused += 1.0;
        }
    }

    fn choose(
        &mut self,
        class: usize,
        gateway: usize,
        tried: &[UpstreamKey],
    ) -> Option<(usize, bool)> {
        let name = format!("dc{}", gateway % self.data_centres);
        let request = PickRequest {
            pool: self.pool,
            data_centre: &name,
            prefix: 0,
            budget_ms: self.setup.workload.budget_ms,
            now_ms: (self.now * 1e3) as u64,
            urgent: class == 0,
            tried,
        };
        let Gateway {
            pools,
            in_flight,
            ejection,
            ..
        } = &self.gateways[gateway];
        let pick = pools.pick(&request, in_flight, ejection, &mut self.rng)?;
        Some((pick.agent, pick.spilled))
    }

    // Starts or queues the job. Returns false, without running it, if the upstream
    // is lost or its queue is full.
    fn try_accept(&mut self, index: usize, job: Job) -> bool {
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
        let free = if self.setup.admission_control {
            can_start(class, station.running, station.slots)
        } else {
            station.running < station.slots
        };
        let queue = if self.setup.admission_control {
            job.class
        } else {
            0
        };
        let limit = queue_limit(class, station.slots) as usize;
        if !free && self.setup.admission_control && station.queues[queue].len() >= limit {
            return false;
        }
        gateway
            .ejection
            .record_attempt(station.key, false, 1.0, now_ms);
        gateway.in_flight.record_start(station.key);
        if free {
            self.start_job(index, job);
        } else {
            station.queues[queue].push_back(job);
        }
        true
    }

    fn start_job(&mut self, index: usize, job: Job) {
        self.stations[index].running += 1;
        let first_byte_time =
            self.setup.workload.first_byte_time * (0.4 * sample_normal(&mut self.rng)).exp();
        // Log-normal with the workload's mean; its logarithm has a deviation of 0.5.
        let spread = (0.5 * sample_normal(&mut self.rng) - 0.125).exp();
        let service_time = self.setup.workload.service_time * spread;
        if job.class == 0 && self.is_counted(job.arrived_at) {
            let waited = self.now - job.arrived_at;
            self.stats
                .first_byte_times
                .push(waited + job.network_delay + first_byte_time);
        }
        let gateway = job.gateway;
        self.schedule(
            service_time,
            EventKind::Finish {
                station: index,
                gateway,
            },
        );
    }

    fn finish_job(&mut self, index: usize, gateway: usize) {
        let station = &mut self.stations[index];
        if station.lost {
            return;
        }
        station.running -= 1;
        self.gateways[gateway].in_flight.record_end(station.key);
        self.gateways[gateway].retry_budget.deposit();
        while let Some(job) = self.next_job(index) {
            self.start_job(index, job);
        }
    }

    fn next_job(&mut self, index: usize) -> Option<Job> {
        let admission_control = self.setup.admission_control;
        let station = &mut self.stations[index];
        let (running, slots) = (station.running, station.slots);
        let mut queues = station.queues.iter_mut().zip(CLASSES);
        queues.find_map(|(queue, class)| {
            let free = if admission_control {
                can_start(class, running, slots)
            } else {
                running < slots
            };
            if free { queue.pop_front() } else { None }
        })
    }

    // Updates every gateway with the load of all upstreams and removes lost
    // upstreams from the pools.
    fn report_load(&mut self) {
        self.schedule(REPORT_INTERVAL_SECONDS, EventKind::Report);
        let now_ms = (self.now * 1e3) as u64;
        let open = self.stations.iter().enumerate();
        let candidates: Vec<UpstreamCandidate> = open
            .filter(|(_, station)| !station.lost)
            .map(|(agent, station)| self.candidate(agent, station, now_ms))
            .collect();
        for gateway in &mut self.gateways {
            gateway.pools = Pools::build(candidates.iter().cloned());
            gateway.in_flight.update_upstreams(&gateway.pools, now_ms);
        }
    }

    fn candidate(&self, agent: usize, station: &Station, now_ms: u64) -> UpstreamCandidate {
        let upstream = self.config.upstreams.get(station.key);
        let queued = f64::from(station.queued_count());
        let wait = queued * self.setup.workload.service_time / f64::from(station.slots);
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
            queued: station.queued_count(),
            wait_ms: (wait * 1e3) as u32,
            report_ms: now_ms,
            pools: vec![self.pool],
        }
    }

    fn lose_data_centre(&mut self) {
        for station in self
            .stations
            .iter_mut()
            .filter(|station| station.data_centre_index == 0)
        {
            station.lost = true;
            station.queues.iter_mut().for_each(VecDeque::clear);
        }
    }

    // Returns true if the warm-up was over at the arrival.
    fn is_counted(&self, arrived_at: f64) -> bool {
        arrived_at >= self.setup.duration * WARM_UP_SHARE
    }
}
