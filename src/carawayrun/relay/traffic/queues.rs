//! Queues of the requests that wait for room at services' upstreams.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use rustc_hash::FxHashMap;
use slotmap::SecondaryMap;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::Traffic;
use crate::peer::message::ServiceDemand;
use crate::relay::catalog::Route;
use crate::relay::loads::name_digest;
use crate::relay::queue::{
    Class, Decision, Demand, Job, Queue, REPORT_AGE, RefusalReason, Room, Ticket,
};

/// Most entries of a report for demands, to leave room for the rest of a datagram.
const MAX_REPORTED: usize = 40;

/// Most classes of requests of a service that are told by team.
const MAX_TEAMS: usize = 30;

/// Longest `Retry-After` of a request that found no room: what is told of the queue holds
/// no longer.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Queues by service.
pub(super) type Queues = FxHashMap<CompactString, ServiceQueue>;

/// Requests that need upstreams of one service.
#[derive(Default)]
pub(super) struct ServiceQueue {
    queue: Queue,
    waiters: SecondaryMap<Ticket, Waiter>,
    /// Places that were taken and whose requests were not sent yet, so that no upstream
    /// counts them.
    unsent: u32,
    /// Rounding of the own part of the places, and until when it holds.
    rounding: f64,
    rounded_until: Duration,
}

struct Waiter {
    job: Job,
    turn: oneshot::Sender<Result<Place, NoPlace>>,
}

/// Place of a request at a service's upstreams, which is free again when dropped.
pub(in crate::relay) struct Place {
    traffic: Rc<Traffic>,
    service: CompactString,
    job: Job,
    since: Instant,
    has_waited: bool,
    is_sent: bool,
}

impl Place {
    /// Records that its request is in flight at an upstream, which counts it from now on.
    pub(super) fn sent(mut self) -> Self {
        self.record_send();
        self
    }

    fn record_send(&mut self) {
        if !std::mem::replace(&mut self.is_sent, true) {
            self.traffic.forget_unsent(&self.service);
        }
    }

    /// True if the request waited for it.
    pub(in crate::relay) fn has_waited(&self) -> bool {
        self.has_waited
    }
}

/// A request that is refused since it would get no place in time.
#[derive(Debug, Clone, Copy)]
pub(in crate::relay) struct NoPlace {
    pub(in crate::relay) reason: RefusalReason,
    /// Time after which there may be room.
    pub(in crate::relay) retry_after: Duration,
}

impl Drop for Place {
    fn drop(&mut self) {
        let was_sent = self.is_sent;
        self.record_send();
        let mut queues = self.traffic.queues.borrow_mut();
        if let Some(queue) = queues.get_mut(&self.service) {
            if was_sent {
                queue.queue.end(&self.job, self.since.elapsed());
            } else {
                queue.queue.release(&self.job);
            }
        }
        drop(queues);
        self.traffic.serve_queue(&self.service);
    }
}

/// Ticket of a request that waits; leaves the queue when dropped.
struct WaitGuard<'a> {
    traffic: &'a Traffic,
    service: &'a str,
    ticket: Ticket,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let mut queues = self.traffic.queues.borrow_mut();
        if let Some(queue) = queues.get_mut(self.service) {
            queue.queue.leave(self.ticket);
            queue.waiters.remove(self.ticket);
            self.traffic
                .metrics
                .set_queue_length(self.service, queue.queue.waiting_count());
        }
    }
}

impl Traffic {
    /// Takes a place at a service's upstreams, and waits for it if there is no room.
    ///
    /// # Errors
    ///
    /// [`NoPlace`] if the request can't be served in time.
    pub(in crate::relay) async fn take_place(
        self: &Rc<Self>,
        service: &str,
        job: Job,
    ) -> Result<Place, NoPlace> {
        let (ticket, turn) = {
            let mut queues = self.queues.borrow_mut();
            if !queues.contains_key(service) {
                queues.insert(service.into(), ServiceQueue::default());
            }
            let queue = queues.get_mut(service).expect("it was just inserted");
            // Without upstreams the request ends at once, as the choice of one shows.
            let Some(room) = self.room(service, queue) else {
                queue.queue.begin(&job);
                return Ok(self.place(service, queue, job, false));
            };
            if queue.queue.try_begin(&job, &room) {
                return Ok(self.place(service, queue, job, false));
            }
            let ticket = queue.queue.wait(job);
            let (sender, receiver) = oneshot::channel();
            queue.waiters.insert(ticket, Waiter { job, turn: sender });
            (ticket, receiver)
        };
        let _guard = WaitGuard {
            traffic: self,
            service,
            ticket,
        };
        self.serve_queue(service);
        let begun = Instant::now();
        let turn = turn.await;
        self.metrics.record_queued(begun.elapsed());
        turn.unwrap_or(Err(NoPlace {
            reason: RefusalReason::TooLate,
            retry_after: Duration::ZERO,
        }))
    }

    /// Returns true if a request would get a place at a service's upstreams at once.
    pub(in crate::relay) fn has_place(&self, service: &str, job: &Job) -> bool {
        let mut queues = self.queues.borrow_mut();
        let Some(queue) = queues.get_mut(service) else {
            return true;
        };
        let room = self.room(service, queue);
        room.is_none_or(|room| queue.queue.fits(job, &room))
    }

    /// Number of requests that wait for a service.
    pub(in crate::relay) fn waiting_count(&self, service: &str) -> usize {
        let queues = self.queues.borrow();
        let queue = queues.get(service);
        queue.map_or(0, |queue| queue.queue.waiting_count())
    }

    /// Starts and refuses what waits, as the room allows.
    pub(in crate::relay) fn serve_queues(self: &Rc<Self>) {
        let queues = self.queues.borrow();
        let waiting = queues.iter().filter(|(_, queue)| !queue.waiters.is_empty());
        let services: Vec<CompactString> = waiting.map(|(service, _)| service.clone()).collect();
        drop(queues);
        for service in services {
            self.serve_queue(&service);
        }
    }

    fn serve_queue(self: &Rc<Self>, service: &str) {
        let mut queues = self.queues.borrow_mut();
        let Some(queue) = queues.get_mut(service) else {
            return;
        };
        if queue.waiters.is_empty() {
            return;
        }
        // Where no upstream is left, what waits ends as the choice of one shows.
        let room = self.room(service, queue).unwrap_or(Room {
            free: f64::INFINITY,
            ..Room::default()
        });
        let mut unclaimed = Vec::new();
        for (ticket, decision) in queue.queue.decide(&room, self.now()) {
            let Some(Waiter { job, turn }) = queue.waiters.remove(ticket) else {
                continue;
            };
            let told = match decision {
                Decision::Start => Ok(self.place(service, queue, job, true)),
                Decision::Refuse(reason) => {
                    let clear = queue.queue.expected_wait(&room, job.class());
                    let wait = clear.max(REPORT_AGE).min(MAX_RETRY_AFTER);
                    self.metrics.record_queue_refusal(service, reason);
                    Err(NoPlace {
                        reason,
                        retry_after: wait.mul_f64(1.0 + self.random()),
                    })
                }
            };
            unclaimed.extend(turn.send(told).err());
        }
        self.metrics
            .set_queue_length(service, queue.queue.waiting_count());
        // A place that nobody took frees itself, which needs the queues.
        drop(queues);
        drop(unclaimed);
    }

    fn place(
        self: &Rc<Self>,
        service: &str,
        queue: &mut ServiceQueue,
        job: Job,
        has_waited: bool,
    ) -> Place {
        queue.unsent += 1;
        Place {
            traffic: Rc::clone(self),
            service: service.into(),
            job,
            since: Instant::now(),
            has_waited,
            is_sent: false,
        }
    }

    fn forget_unsent(&self, service: &str) {
        if let Some(queue) = self.queues.borrow_mut().get_mut(service) {
            queue.unsent = queue.unsent.saturating_sub(1);
        }
    }

    // What is seen of a service's upstreams and of the other gateways' demand; `None` if
    // no upstream may be used.
    fn room(&self, service: &str, queue: &mut ServiceQueue) -> Option<Room> {
        let now = self.now();
        if now >= queue.rounded_until {
            queue.rounding = self.random();
            queue.rounded_until = now + REPORT_AGE;
        }
        let hold = queue.queue.hold();
        let view = self.view();
        self.fleet(&view, |fleet, _| {
            let free = fleet.free_places(service, hold, now)?;
            let digest = name_digest(service);
            let loads = &fleet.peer_loads;
            Some(Room {
                free: free - f64::from(queue.unsent),
                others: loads.demand(digest, now),
                rounding: queue.rounding,
                weights: self.shared.settings.load().team_weights.clone(),
            })
        })
    }

    /// Own demand for services, for the other gateways: the services that wait first, and
    /// by team only where something waits.
    pub(in crate::relay) fn own_demands(&self) -> Vec<ServiceDemand> {
        let queues = self.queues.borrow();
        let mut services: Vec<_> = queues.iter().collect();
        services.sort_by_key(|(_, queue)| std::cmp::Reverse(queue.queue.waiting_count()));
        let demands = services.into_iter().flat_map(|(service, queue)| {
            let service = name_digest(service);
            let mut told: BTreeMap<Class, Demand> = BTreeMap::new();
            let own = queue.queue.own_demand();
            let by_team = own.len() <= MAX_TEAMS && self.is_waited_for(service, queue);
            for (class, demand) in own {
                let team = if by_team { class.team } else { 0 };
                let sum = told.entry(Class { team, ..class }).or_default();
                sum.running += demand.running;
                sum.waiting += demand.waiting;
            }
            told.into_iter().map(move |(class, demand)| ServiceDemand {
                service,
                rank: u32::from(class.rank),
                team: class.team,
                running: demand.running,
                waiting: demand.waiting,
            })
        });
        demands.take(MAX_REPORTED).collect()
    }

    // True if a request of any gateway waits for a service.
    fn is_waited_for(&self, service: u32, queue: &ServiceQueue) -> bool {
        if queue.queue.waiting_count() > 0 {
            return true;
        }
        let fleet = self.fleet.borrow();
        let others = fleet.peer_loads.demand(service, self.now());
        others.values().any(|demand| demand.waiting > 0)
    }

    /// Time within which answers of a route are expected to end once they have a place, if
    /// any was seen.
    pub(in crate::relay) fn run_time(&self, route: &Route) -> Option<Duration> {
        self.run_times.borrow().expected(&route.name, true)
    }
}
