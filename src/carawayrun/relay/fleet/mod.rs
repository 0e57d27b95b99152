//! Upstreams of the traffic thread: idle connections, own load and health.

mod allowances;
mod evacuations;
mod kept;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use rand::Rng;
use rand::rngs::SmallRng;
use rustc_hash::FxHashMap;
use slotmap::{SecondaryMap, SlotMap};

use self::kept::count_tokens;
use crate::peer::message::{UpstreamLimit, UpstreamLoad};
use crate::relay::allowance::{ColdTolerance, SendLogs};
use crate::relay::catalog::Catalog;
use crate::relay::connection::UpstreamConnection;
use crate::relay::departures::Departures;
use crate::relay::health::Health;
use crate::relay::loads::{PeerLoads, upstream_digest};
use crate::relay::members::{Division, Members};
use crate::relay::pace::Paces;
use crate::relay::placement::{
    UpstreamCandidate, Work, affinity_rank, choose_candidate, count_partial_upstreams,
    sample_candidates,
};
use crate::relay::prompts::{KeptPrompts, PromptPart};
use crate::relay::queue::free_places;
use crate::relay::rate_limit::{LimitNotice, RateLimiter, RateShare};
use crate::relay::restarts::{RESTART_LAG, Restarts};
use crate::relay::rests::{Incarnation, Rests};
use crate::relay::sessions::{VersionInput, uses_new_version};
use crate::relay::view::{RolloutView, Upstream, UpstreamKey, View};

/// Maximum number of idle connections per upstream.
const MAX_IDLE_CONNECTIONS: usize = 12;

/// Idle time after which a connection is not used for requests that run at most
/// once: they can't be retried if the upstream closes the connection meanwhile.
const MAX_ONCE_IDLE_TIME: Duration = Duration::from_millis(700);

/// Time for which the end of a limit is reported, so that gateways without a share
/// hear of it: some reports may be lost.
const ENDED_LIMIT_TTL: Duration = Duration::from_secs(10);

/// Most limits in a report, to leave room for the rest of a datagram.
const MAX_REPORTED_LIMITS: usize = 32;

/// Most upstreams, also former ones, whose last incarnations are remembered.
const MAX_INCARNATIONS: usize = 16_384;

/// Requirements of a request on its upstream.
#[derive(Debug)]
pub(super) struct UpstreamQuery<'a> {
    pub(super) service: &'a str,
    pub(super) version_input: VersionInput<'a>,
    /// Version on which a stream must be resumed.
    pub(super) required_version: Option<&'a str>,
    /// Shared prompt prefix, with the name of the model.
    pub(super) prefix: Option<CompactString>,
    /// Parts of the shared prompt prefix, in their order.
    pub(super) parts: &'a [PromptPart],
    pub(super) work: Work,
    /// Tokens that an engine's memory holds, if known.
    pub(super) kv_capacity: Option<u32>,
    pub(super) excluded: &'a [UpstreamKey],
    /// True if an ejected upstream is acceptable when no other is left.
    pub(super) allows_ejected: bool,
}

/// What is expected of a request at the upstream chosen for it, in milliseconds from
/// now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Expectation {
    pub(super) key: UpstreamKey,
    /// Time until the prefill of its prompt begins.
    pub(super) wait_ms: f64,
    /// Time until the first byte of the answer.
    pub(super) expected_first_ms: f64,
    /// Time of the engine's steps relative to the usual one.
    pub(super) pace: f64,
    /// Tokens of the shared prefix that it probably holds.
    pub(super) kept_tokens: f64,
}

impl UpstreamState {
    fn update_share(&mut self, upstream: &Upstream, members: &Members, own_addr: SocketAddr) {
        if let Some(limit) = self.limiter.limit() {
            self.share = members.rate_share(own_addr, &upstream.name, limit);
        }
    }
}

/// Runtime state of the upstreams of one view.
#[derive(Default)]
pub(super) struct Fleet {
    upstreams: Arc<SlotMap<UpstreamKey, Upstream>>,
    states: SecondaryMap<UpstreamKey, UpstreamState>,
    by_service: FxHashMap<CompactString, Vec<UpstreamKey>>,
    rests: Rests,
    departures: Departures,
    restarts: Restarts,
    /// Data centres that are ordered out, with their present shares of their usual requests.
    evacuated: Vec<(CompactString, f64)>,
    catalog: Option<Arc<Catalog>>,
    /// Gateways for which the parts were worked out; `None` if they are out of date.
    division: Option<Division>,
    /// Tolerance for which the allowances were worked out.
    tolerance: Option<ColdTolerance>,
    /// Requests a second that upstreams take from all gateways, by service.
    allowances: FxHashMap<CompactString, u32>,
    /// Own sends to upstreams with an allowance.
    sends: SendLogs,
    /// Last known incarnation by the key of the upstream in reports.
    incarnations: FxHashMap<u32, Incarnation>,
    /// Load that the other gateways placed on the upstreams.
    pub(super) peer_loads: PeerLoads,
    /// Paces of the engines.
    pub(super) paces: Paces,
    /// Prompt parts that the engines hold.
    pub(super) prompts: KeptPrompts,
}

#[derive(Default)]
struct UpstreamState {
    in_flight: u32,
    backlog_ms: f64,
    kv_tokens: u64,
    /// Key of the upstream in reports.
    digest: u32,
    incarnation: Incarnation,
    health: Health,
    limiter: RateLimiter,
    /// This gateway's share of the upstream's limit.
    share: RateShare,
    /// This gateway's part of the upstream's allowance, if it has one.
    part: Option<u32>,
    idle: Vec<UpstreamConnection>,
}

impl Fleet {
    /// Updates the upstreams to those of a newer view.
    pub(super) fn update(&mut self, view: &View, now: Duration) {
        if Arc::ptr_eq(&self.upstreams, &view.upstreams) {
            return;
        }
        self.upstreams = Arc::clone(&view.upstreams);
        self.division = None;
        self.by_service.clear();
        if self.incarnations.len() > MAX_INCARNATIONS {
            self.incarnations.clear();
        }
        self.states
            .retain(|key, _| view.upstreams.contains_key(key));
        self.restarts.retain(|key| view.upstreams.contains_key(key));
        for (key, upstream) in view.upstreams.iter() {
            let keys = self.by_service.entry(upstream.service.clone());
            keys.or_default().push(key);
            if let Some(state) = self.states.entry(key) {
                let state = state.or_default();
                state.digest = upstream_digest(&upstream.name);
                let has_allowance = self.allowances.contains_key(&upstream.service);
                state.part = state.part.or(has_allowance.then_some(0));
                state.incarnation = Incarnation::of(upstream);
                let after = state.incarnation;
                let before = self.incarnations.insert(state.digest, after);
                if let Some(before) = before.filter(|before| *before != after) {
                    self.prompts.forget(before.digest());
                }
                let spoke_at = before.filter(|before| *before != after).and_then(|before| {
                    let rest = self.rests.asked_at(before, now);
                    rest.max(self.departures.heard_at(before))
                });
                if spoke_at.is_some_and(|at| at + RESTART_LAG > now) {
                    self.restarts.record(key, now);
                }
            }
        }
    }

    pub(super) fn upstream(&self, key: UpstreamKey) -> Option<&Upstream> {
        self.upstreams.get(key)
    }

    /// Chooses an upstream and returns what is expected of the request there; `None` if
    /// no suitable upstream is known.
    pub(super) fn choose_upstream(
        &self,
        query: &UpstreamQuery<'_>,
        rollouts: &[RolloutView],
        data_centre: &str,
        now: Duration,
        rng: &mut SmallRng,
    ) -> Option<Expectation> {
        // After the choice of the version, as a request must not change it for a limit.
        let eligible = self.eligible_for(query, rollouts, now);
        let eligible = self.shift_evacuated(eligible, rng).into_iter();
        let within_limits: Vec<UpstreamKey> =
            eligible.filter(|key| self.has_token(*key, now)).collect();
        let is_doubtful = |key: &UpstreamKey| self.restarts.is_doubtful(*key, now);
        let not_ejected = within_limits.iter().copied();
        let not_ejected = not_ejected.filter(|key| !self.is_ejected(*key, now));
        let (doubtful, mut keys): (Vec<UpstreamKey>, Vec<UpstreamKey>) =
            not_ejected.partition(is_doubtful);
        if keys.is_empty() {
            keys = doubtful;
        }
        if keys.is_empty() && query.allows_ejected {
            keys = within_limits;
        }
        let keys = self.hold_back_returning(keys, now, rng);
        let candidates = keys
            .iter()
            .map(|key| (*key, self.candidate(*key, query, data_centre, now)));
        let mut candidates: Vec<(UpstreamKey, UpstreamCandidate)> = candidates.collect();
        self.estimate_kept(&mut candidates, query, now);
        let work = &query.work;
        let any_has_room = candidates.iter().any(|(_, other)| other.has_room(work));
        let candidates = candidates.into_iter();
        let (keys, candidates): (Vec<UpstreamKey>, Vec<UpstreamCandidate>) = candidates
            .filter(|(_, candidate)| !any_has_room || candidate.has_room(work))
            .unzip();
        let gateways = self.peer_loads.gateway_count() + 1;
        let mut sampled = sample_candidates(&candidates, gateways, || rng.random());
        for candidate in &mut sampled {
            let engine = self.states[keys[candidate.index]].incarnation.digest();
            candidate.pace = self.paces.pace(engine, now);
        }
        let index = choose_candidate(&sampled, work, || rng.random())?;
        let chosen = &sampled[index];
        Some(Expectation {
            key: keys[chosen.index],
            wait_ms: chosen.wait_ms(),
            expected_first_ms: chosen.first_ms(work),
            pace: chosen.pace,
            kept_tokens: chosen.kept_share * count_tokens(query.parts),
        })
    }

    fn eligible_for(
        &self,
        query: &UpstreamQuery<'_>,
        rollouts: &[RolloutView],
        now: Duration,
    ) -> Vec<UpstreamKey> {
        let known = self.by_service.get(query.service);
        let known = known.into_iter().flatten().copied();
        let available = known.filter(|key| self.is_available(*key, query, now));
        let available: Vec<UpstreamKey> = available.collect();
        if available.is_empty() {
            return available;
        }
        self.eligible_upstreams(&available, query, rollouts)
    }

    // Leaves out upstreams whose rest has just ended, in part and while others are left.
    fn hold_back_returning(
        &self,
        keys: Vec<UpstreamKey>,
        now: Duration,
        rng: &mut SmallRng,
    ) -> Vec<UpstreamKey> {
        let share = |key: &UpstreamKey| self.rests.share(self.states[*key].incarnation, now);
        let kept = keys.iter().copied();
        let kept = kept.filter(|key| {
            let share = share(key);
            share >= 1.0 || rng.random_bool(share)
        });
        let kept: Vec<UpstreamKey> = kept.collect();
        if kept.is_empty() { keys } else { kept }
    }

    /// Takes an idle connection that may still be used; `is_once` if the request
    /// must run at most once.
    pub(super) fn take_idle(
        &mut self,
        key: UpstreamKey,
        is_once: bool,
    ) -> Option<UpstreamConnection> {
        let state = self.states.get_mut(key)?;
        while let Some(mut connection) = state.idle.pop() {
            let is_fresh = !is_once || connection.idle_time() < MAX_ONCE_IDLE_TIME;
            if is_fresh && !connection.idle_left().is_zero() && connection.is_reusable() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection for a later request, unless enough are idle.
    pub(super) fn put_idle(&mut self, key: UpstreamKey, mut connection: UpstreamConnection) {
        let Some(state) = self.states.get_mut(key) else {
            return;
        };
        if state.idle.len() < MAX_IDLE_CONNECTIONS && connection.is_reusable() {
            state.idle.push(connection);
        }
    }

    /// Own load at the upstreams that have any.
    pub(super) fn own_loads(&self) -> Vec<UpstreamLoad> {
        let busy = self.states.values().filter(|state| state.in_flight > 0);
        let loads = busy.map(|state| UpstreamLoad {
            upstream: state.digest,
            running: state.in_flight,
            backlog_ms: state.backlog_ms.round() as u32,
            kv_tokens: u32::try_from(state.kv_tokens).unwrap_or(u32::MAX),
        });
        loads.collect()
    }

    /// Free places of a service's upstreams that may be used; `None` if there are no such
    /// upstreams. `hold` is the time for which a place is held.
    pub(super) fn free_places(
        &self,
        service: &str,
        hold: Option<Duration>,
        now: Duration,
    ) -> Option<f64> {
        let keys = self.by_service.get(service)?.iter();
        let usable = keys.filter(|key| self.accepts(**key, now) && !self.is_ejected(**key, now));
        let free = usable.map(|key| {
            let state = &self.states[*key];
            let peer_load = self.peer_loads.upstream_load(state.digest);
            let in_flight = state.in_flight + peer_load.in_flight;
            free_places(self.upstreams[*key].slots, in_flight, hold)
        });
        free.reduce(|sum, free| sum + free)
    }

    /// Counts an attempt as in flight and adds its prompt to the backlog.
    pub(super) fn begin_attempt(&mut self, key: UpstreamKey, backlog_ms: f64, kv_tokens: u64) {
        if let Some(state) = self.states.get_mut(key) {
            state.in_flight += 1;
            state.backlog_ms += backlog_ms;
            state.kv_tokens += kv_tokens;
        }
    }

    /// Removes a prompt from the backlog.
    pub(super) fn finish_prefill(&mut self, key: UpstreamKey, backlog_ms: f64) {
        if let Some(state) = self.states.get_mut(key) {
            state.backlog_ms = (state.backlog_ms - backlog_ms).max(0.0);
        }
    }

    /// Removes an attempt from those in flight.
    pub(super) fn end_attempt(&mut self, key: UpstreamKey, kv_tokens: u64) {
        if let Some(state) = self.states.get_mut(key) {
            state.in_flight = state.in_flight.saturating_sub(1);
            state.kv_tokens = state.kv_tokens.saturating_sub(kv_tokens);
        }
    }

    pub(super) fn health_mut(&mut self, key: UpstreamKey) -> Option<&mut Health> {
        self.states.get_mut(key).map(|state| &mut state.health)
    }

    /// Records what an answer of an upstream said about its limit; returns true if
    /// the limit changed.
    pub(super) fn record_limit(
        &mut self,
        key: UpstreamKey,
        notice: LimitNotice,
        members: &Members,
        own_addr: SocketAddr,
    ) -> bool {
        let (Some(state), Some(upstream)) = (self.states.get_mut(key), self.upstreams.get(key))
        else {
            return false;
        };
        let has_changed = state.limiter.record(notice);
        if has_changed {
            state.update_share(upstream, members, own_addr);
        }
        has_changed
    }

    /// Records the limits in another gateway's report.
    pub(super) fn record_peer_limits(
        &mut self,
        limits: &[UpstreamLimit],
        members: &Members,
        own_addr: SocketAddr,
        now: Duration,
    ) {
        for reported in limits {
            let mut states = self.states.iter();
            let Some((key, state)) = states.find(|(_, state)| state.digest == reported.upstream)
            else {
                continue;
            };
            // A relay of an earlier version tells no incarnation.
            let is_earlier =
                reported.incarnation != 0 && reported.incarnation != state.incarnation.digest();
            if is_earlier {
                continue;
            }
            let age = Duration::from_millis(u64::from(reported.age_ms));
            let notice = LimitNotice {
                limit: reported.limit,
                at: now.saturating_sub(age),
                is_own: false,
            };
            self.record_limit(key, notice, members, own_addr);
        }
    }

    /// Updates this gateway's shares of all limits.
    pub(super) fn update_shares(&mut self, members: &Members, own_addr: SocketAddr) {
        for (key, state) in &mut self.states {
            if let Some(upstream) = self.upstreams.get(key) {
                state.update_share(upstream, members, own_addr);
            }
        }
    }

    /// Limits in the upstreams' answers to this gateway, the newest first.
    pub(super) fn own_limits(&self, now: Duration) -> Vec<UpstreamLimit> {
        let notices = self.states.values().filter_map(|state| {
            let notice = state.limiter.notice().filter(|notice| notice.is_own)?;
            let age = now.saturating_sub(notice.at);
            let ended_at = state.limiter.ended_at();
            let has_ended = ended_at.is_some_and(|at| now.saturating_sub(at) < ENDED_LIMIT_TTL);
            (notice.limit.is_some() || has_ended).then(|| UpstreamLimit {
                upstream: state.digest,
                limit: notice.limit,
                incarnation: state.incarnation.digest(),
                age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            })
        });
        let mut limits: Vec<UpstreamLimit> = notices.collect();
        limits.sort_by_key(|limit| limit.age_ms);
        limits.truncate(MAX_REPORTED_LIMITS);
        limits
    }

    /// Number of upstreams that name a limit.
    pub(super) fn limited_count(&self) -> usize {
        let states = self.states.values();
        states
            .filter(|state| state.limiter.limit().is_some())
            .count()
    }

    /// Limit that an upstream names.
    pub(super) fn limit(&self, key: UpstreamKey) -> Option<f64> {
        self.states.get(key)?.limiter.limit()
    }

    /// Takes one request from the shares of an upstream's limit and allowance, if it has
    /// any; returns false if one is spent.
    pub(super) fn take_token(&mut self, key: UpstreamKey, now: Duration) -> bool {
        let has_token = self.has_token(key, now);
        if let Some(state) = self.states.get_mut(key).filter(|_| has_token) {
            state.limiter.take_token(state.share, now);
            if state.part.is_some() {
                self.sends.record(state.digest, now);
            }
        }
        has_token
    }

    /// Time until the limits of a service's upstreams leave a request to this
    /// gateway; `None` if no upstream is known.
    pub(super) fn time_to_token(&self, service: &str, now: Duration) -> Option<Duration> {
        let keys = self.by_service.get(service)?.iter();
        let present = keys.filter(|key| self.is_present(**key));
        let states = present.map(|key| &self.states[*key]);
        let times = states.map(|state| {
            let time = state.limiter.time_to_token(state.share, now);
            let room = state.part.map_or(Some(Duration::ZERO), |part| {
                self.sends.time_to_room(state.digest, part, now)
            });
            let unlimited = Duration::MAX;
            time.unwrap_or(unlimited).max(room.unwrap_or(unlimited))
        });
        times.min()
    }

    fn is_available(&self, key: UpstreamKey, query: &UpstreamQuery<'_>, now: Duration) -> bool {
        self.accepts(key, now) && !query.excluded.contains(&key)
    }

    /// Returns true if requests may be sent to an upstream, which is there and does not
    /// rest.
    pub(super) fn accepts(&self, key: UpstreamKey, now: Duration) -> bool {
        self.is_present(key) && self.rest_left(key, now).is_zero()
    }

    // True if an upstream is registered, its data centre is not evacuated, and it is not
    // leaving, by its registration or by its own word.
    fn is_present(&self, key: UpstreamKey) -> bool {
        if self.is_evacuated(key) {
            return false;
        }
        let (upstream, state) = (self.upstreams.get(key), self.states.get(key));
        upstream.is_some_and(|upstream| !upstream.is_leaving)
            && state.is_some_and(|state| !self.departures.contains(state.incarnation))
    }

    /// Records that an upstream answered, on a connection of its present incarnation.
    pub(super) fn record_answer(&mut self, key: UpstreamKey) {
        self.restarts.record_answer(key);
    }

    /// Removes and returns the upstreams that started again and are to be asked whether
    /// what was heard before is their own word.
    pub(super) fn take_restarted(&mut self) -> Vec<(UpstreamKey, Upstream)> {
        let keys = self.restarts.take_unasked().into_iter();
        let keys = keys.filter(|key| !self.is_evacuated(*key));
        let known = keys.filter_map(|key| Some((key, self.upstreams.get(key)?.clone())));
        known.collect()
    }

    /// Records that an upstream said that it is leaving; returns true if that is new.
    pub(super) fn record_departure(&mut self, key: UpstreamKey, now: Duration) -> bool {
        let Some(state) = self.states.get(key) else {
            return false;
        };
        self.departures.record(state.incarnation, true, now)
    }

    /// Records the upstreams that said so to another gateway.
    pub(super) fn record_peer_departures(&mut self, leaving: &[u64], now: Duration) {
        for digest in leaving {
            let incarnation = Incarnation::from_digest(*digest);
            self.departures.record(incarnation, false, now);
        }
    }

    /// Upstreams that said so to this gateway, for the others.
    pub(super) fn own_departures(&mut self, now: Duration) -> Vec<u64> {
        let states = &self.states;
        let is_registered = |incarnation| {
            states
                .values()
                .any(|state| state.incarnation == incarnation)
        };
        self.departures.expire(is_registered, now);
        let reported = self.departures.reported(now).into_iter();
        reported.map(Incarnation::digest).collect()
    }

    /// Finds the upstream with a name at an address.
    pub(super) fn find(&self, name: &str, addr: SocketAddr) -> Option<UpstreamKey> {
        let mut upstreams = self.upstreams.iter();
        let found = upstreams.find(|(_, other)| other.name == name && other.addr == addr);
        found.map(|(key, _)| key)
    }

    fn rest_left(&self, key: UpstreamKey, now: Duration) -> Duration {
        let state = self.states.get(key);
        state.map_or(Duration::ZERO, |state| {
            self.rests.time_left(state.incarnation, now)
        })
    }

    /// Records that an upstream asked for rest; returns true if it did not rest before.
    pub(super) fn record_rest(&mut self, key: UpstreamKey, rest: Duration, now: Duration) -> bool {
        let Some(state) = self.states.get(key) else {
            return false;
        };
        self.rests.record(state.incarnation, rest, now)
    }

    /// Number of upstreams that rest.
    pub(super) fn resting_count(&self, now: Duration) -> usize {
        self.rests.count(now)
    }

    /// Time until one of a service's upstreams that rest accepts requests again; `None`
    /// if one does already, or none is known.
    pub(super) fn time_to_end_of_rest(&self, service: &str, now: Duration) -> Option<Duration> {
        let keys = self.by_service.get(service)?.iter();
        let present = keys.filter(|key| self.is_present(**key));
        let rests = present.map(|key| self.rest_left(*key, now));
        rests.min().filter(|rest| !rest.is_zero())
    }

    fn is_ejected(&self, key: UpstreamKey, now: Duration) -> bool {
        let state = self.states.get(key);
        state.is_some_and(|state| state.health.is_ejected(now))
    }

    // Upstreams of the version that the request may use. If a roll-out has no
    // upstream of the old version left, the new one gets all requests, unless it
    // is withdrawn.
    fn eligible_upstreams(
        &self,
        available: &[UpstreamKey],
        query: &UpstreamQuery<'_>,
        rollouts: &[RolloutView],
    ) -> Vec<UpstreamKey> {
        let version = |key: &UpstreamKey| self.upstreams[*key].version.as_str();
        let select = |is_wanted: &dyn Fn(&str) -> bool| -> Vec<UpstreamKey> {
            let keys = available.iter().copied();
            keys.filter(|key| is_wanted(version(key))).collect()
        };
        let rollout = rollouts.iter().find(|other| other.service == query.service);
        let Some(rollout) = rollout else {
            return available.to_vec();
        };
        let is_withdrawn = |version: &str| rollout.withdrawn.iter().any(|bad| bad == version);
        if let Some(required) = query
            .required_version
            .filter(|required| !is_withdrawn(required))
        {
            let required = select(&|version| version == required);
            if !required.is_empty() {
                return required;
            }
        }
        let mut new = select(&|version| version == rollout.to && !is_withdrawn(version));
        let old = select(&|version| version != rollout.to && !is_withdrawn(version));
        if rollout.share <= 0.0 {
            return old;
        }
        let uses_new_version = uses_new_version(rollout, &query.version_input);
        let has_old = self.by_service[query.service].iter().any(|key| {
            let version = version(key);
            version != rollout.to && !is_withdrawn(version)
        });
        if has_old && (!uses_new_version || new.is_empty()) {
            old
        } else {
            if has_old {
                self.limit_to_partial(&mut new, rollout);
            }
            new
        }
    }

    // Keeps the upstreams of the new version that get its part of the traffic. All
    // gateways choose the same ones.
    fn limit_to_partial(&self, new: &mut Vec<UpstreamKey>, rollout: &RolloutView) {
        // Those of a data centre that is ordered out are not counted on from the order on.
        let stays = |key: &UpstreamKey| self.evacuation_share(*key).is_none();
        let has_staying = new.iter().any(stays);
        if has_staying {
            new.retain(stays);
        }
        let known = self.by_service[&rollout.service].iter();
        let known = known.filter(|key| {
            let upstream = &self.upstreams[**key];
            upstream.version == rollout.to && self.is_present(**key) && (stays(key) || !has_staying)
        });
        let count = count_partial_upstreams(known.count(), rollout.share);
        if count < new.len() {
            let rank = |key: &UpstreamKey| affinity_rank(&rollout.to, &self.upstreams[*key].name);
            new.sort_by_cached_key(rank);
            new.truncate(count);
        }
    }

    fn candidate(
        &self,
        key: UpstreamKey,
        query: &UpstreamQuery<'_>,
        data_centre: &str,
        now: Duration,
    ) -> UpstreamCandidate {
        let upstream = &self.upstreams[key];
        let state = &self.states[key];
        let peer_load = self.peer_loads.upstream_load(state.digest);
        let prefix = query.prefix.as_ref();
        UpstreamCandidate {
            index: 0,
            in_flight: state.in_flight + peer_load.in_flight,
            slots: upstream.slots,
            backlog_ms: state.backlog_ms + peer_load.backlog_ms,
            failure_rate: state.health.failure_rate(now),
            affinity_rank: prefix.map_or(0, |prefix| affinity_rank(prefix, &upstream.name)),
            kept_share: 0.0,
            is_local: upstream.data_centre == data_centre,
            // Worked out for those that are looked at.
            pace: 1.0,
            kv_tokens: state.kv_tokens + peer_load.kv_tokens,
            kv_capacity: query.kv_capacity,
        }
    }
}
