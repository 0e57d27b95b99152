//! Upstreams as the traffic thread sees them: connections, own load, health.

use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use rand::Rng;
use rand::rngs::SmallRng;
use rustc_hash::FxHashMap;
use slotmap::{SecondaryMap, SlotMap};

use super::health::Health;
use super::loads::{PeerLoads, digest};
use super::placement::{Candidate, choose, rank, sample};
use super::sessions::{Claim, takes_new};
use super::view::{RolloutView, Upstream, UpstreamKey, View};
use super::wire::Wire;
use crate::peer::message::UpstreamLoad;

/// Idle connections kept to one upstream.
const MAX_IDLE: usize = 12;

/// Idle time after which a connection is not used for requests that run at most
/// once: these can't be sent again where the upstream closes it meanwhile.
const MAX_IDLE_TIME_ONCE: Duration = Duration::from_millis(700);

/// What a request needs of its upstream.
#[derive(Debug)]
pub(super) struct Need<'a> {
    pub(super) service: &'a str,
    pub(super) claim: Claim<'a>,
    /// Version that must be kept, where a stream goes on.
    pub(super) version: Option<&'a str>,
    /// Shared part of the prompt, with the model that reads it.
    pub(super) part: Option<CompactString>,
    /// Time to read the parts that its home has read, in milliseconds.
    pub(super) shared_ms: f64,
    pub(super) excluded: &'a [UpstreamKey],
    /// True where a paused upstream is better than none.
    pub(super) may_be_paused: bool,
}

/// Runtime state of the upstreams of one view.
#[derive(Default)]
pub(super) struct Fleet {
    upstreams: Arc<SlotMap<UpstreamKey, Upstream>>,
    entries: SecondaryMap<UpstreamKey, Entry>,
    by_service: FxHashMap<CompactString, Vec<UpstreamKey>>,
    /// What the other gateways have under way.
    pub(super) peers: PeerLoads,
}

#[derive(Default)]
struct Entry {
    running: u32,
    backlog_ms: f64,
    /// Key of the upstream in reports.
    digest: u32,
    health: Health,
    idle: Vec<Wire>,
}

impl Fleet {
    /// Takes over the upstreams of a newer view.
    pub(super) fn follow(&mut self, view: &View) {
        if Arc::ptr_eq(&self.upstreams, &view.upstreams) {
            return;
        }
        self.upstreams = Arc::clone(&view.upstreams);
        self.by_service.clear();
        self.entries
            .retain(|key, _| view.upstreams.contains_key(key));
        for (key, upstream) in view.upstreams.iter() {
            let keys = self.by_service.entry(upstream.service.clone());
            keys.or_default().push(key);
            if let Some(entry) = self.entries.entry(key) {
                entry.or_default().digest = digest(&upstream.name);
            }
        }
    }

    pub(super) fn upstream(&self, key: UpstreamKey) -> Option<&Upstream> {
        self.upstreams.get(key)
    }

    /// Chooses an upstream, and tells the time until a request that goes there
    /// begins to be read, in milliseconds; none where no suitable one is known.
    pub(super) fn pick(
        &self,
        need: &Need<'_>,
        rollouts: &[RolloutView],
        data_centre: &str,
        now: Duration,
        rng: &mut SmallRng,
    ) -> Option<(UpstreamKey, f64)> {
        let known = self.by_service.get(need.service)?;
        let ready = known
            .iter()
            .copied()
            .filter(|key| self.is_ready(*key, need));
        let ready: Vec<UpstreamKey> = ready.collect();
        let allowed = self.allowed(&ready, need, rollouts);
        let reachable = allowed.iter().copied();
        let reachable = reachable.filter(|key| !self.is_paused(*key, now));
        let mut keys: Vec<UpstreamKey> = reachable.collect();
        if keys.is_empty() && need.may_be_paused {
            keys = allowed;
        }
        let candidates: Vec<Candidate> = keys
            .iter()
            .map(|key| self.candidate(*key, need, data_centre, now))
            .collect();
        let gateways = self.peers.gateways() + 1;
        let looked_at = sample(&candidates, gateways, || rng.random());
        let index = choose(&looked_at, need.shared_ms, || rng.random())?;
        let chosen = &looked_at[index];
        Some((keys[chosen.index], chosen.wait_ms()))
    }

    /// Takes an idle connection that may still be used.
    pub(super) fn connection(&mut self, key: UpstreamKey, is_once: bool) -> Option<Wire> {
        let entry = self.entries.get_mut(key)?;
        while let Some(mut wire) = entry.idle.pop() {
            let is_fresh = !is_once || wire.idle() < MAX_IDLE_TIME_ONCE;
            if is_fresh && !wire.left().is_zero() && wire.is_reusable() {
                return Some(wire);
            }
        }
        None
    }

    /// Keeps a connection for a next request.
    pub(super) fn keep(&mut self, key: UpstreamKey, mut wire: Wire) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        if entry.idle.len() < MAX_IDLE && wire.is_reusable() {
            entry.idle.push(wire);
        }
    }

    /// Own load at the upstreams that have any.
    pub(super) fn loads(&self) -> Vec<UpstreamLoad> {
        let busy = self.entries.values().filter(|entry| entry.running > 0);
        let loads = busy.map(|entry| UpstreamLoad {
            upstream: entry.digest,
            running: entry.running,
            backlog_ms: entry.backlog_ms.round() as u32,
        });
        loads.collect()
    }

    pub(super) fn started(&mut self, key: UpstreamKey, backlog: f64) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.running += 1;
            entry.backlog_ms += backlog;
        }
    }

    pub(super) fn was_read(&mut self, key: UpstreamKey, backlog: f64) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.backlog_ms = (entry.backlog_ms - backlog).max(0.0);
        }
    }

    pub(super) fn ended(&mut self, key: UpstreamKey) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.running = entry.running.saturating_sub(1);
        }
    }

    pub(super) fn health(&mut self, key: UpstreamKey) -> Option<&mut Health> {
        self.entries.get_mut(key).map(|entry| &mut entry.health)
    }

    fn is_ready(&self, key: UpstreamKey, need: &Need<'_>) -> bool {
        let upstream = self.upstreams.get(key);
        upstream.is_some_and(|upstream| !upstream.is_leaving) && !need.excluded.contains(&key)
    }

    fn is_paused(&self, key: UpstreamKey, now: Duration) -> bool {
        let entry = self.entries.get(key);
        entry.is_some_and(|entry| entry.health.is_paused(now))
    }

    // Those of the version that the request may run on. Where a roll-out has no
    // upstream of the old version any more, the new one serves all, but never
    // once it is withdrawn.
    fn allowed(
        &self,
        ready: &[UpstreamKey],
        need: &Need<'_>,
        rollouts: &[RolloutView],
    ) -> Vec<UpstreamKey> {
        let version = |key: &UpstreamKey| self.upstreams[*key].version.as_str();
        let of = |wanted: &dyn Fn(&str) -> bool| -> Vec<UpstreamKey> {
            let keys = ready.iter().copied();
            keys.filter(|key| wanted(version(key))).collect()
        };
        let rollout = rollouts.iter().find(|other| other.service == need.service);
        let Some(rollout) = rollout else {
            return ready.to_vec();
        };
        let is_withdrawn = |version: &str| rollout.withdrawn.iter().any(|bad| bad == version);
        if let Some(kept) = need.version.filter(|kept| !is_withdrawn(kept)) {
            let same = of(&|version| version == kept);
            if !same.is_empty() {
                return same;
            }
        }
        let new = of(&|version| version == rollout.to && !is_withdrawn(version));
        let old = of(&|version| version != rollout.to && !is_withdrawn(version));
        if rollout.share <= 0.0 {
            return old;
        }
        let takes_new = takes_new(rollout, &need.claim);
        let has_old = self.by_service[need.service].iter().any(|key| {
            let version = version(key);
            version != rollout.to && !is_withdrawn(version)
        });
        if has_old && (!takes_new || new.is_empty()) {
            old
        } else {
            new
        }
    }

    fn candidate(
        &self,
        key: UpstreamKey,
        need: &Need<'_>,
        data_centre: &str,
        now: Duration,
    ) -> Candidate {
        let upstream = &self.upstreams[key];
        let entry = &self.entries[key];
        let others = self.peers.at(entry.digest);
        let part = need.part.as_ref();
        Candidate {
            index: 0,
            running: entry.running + others.running,
            slots: upstream.slots,
            backlog_ms: entry.backlog_ms + others.backlog_ms,
            failing: entry.health.failing(now),
            rank: part.map_or(0, |part| rank(part, &upstream.name)),
            is_near: upstream.data_centre == data_centre,
        }
    }
}
