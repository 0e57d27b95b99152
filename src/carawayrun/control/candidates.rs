//! Conversion of the view to the policy's types.

use super::view::{AgentView, RolloutPhase, RolloutView, View};
use crate::peer::message;
use crate::policy::{Pool, Pools, Split, UpstreamCandidate};
use crate::resource::Upstream;

impl View {
    /// The pools of upstreams that get new requests; `UpstreamCandidate::agent`
    /// is the index in `agents`.
    pub fn pools(&self) -> Pools {
        let open = self
            .agents
            .iter()
            .enumerate()
            .filter(|(_, agent)| agent.open);
        Pools::build(open.filter_map(|(index, agent)| self.candidate(index, agent)))
    }

    /// The traffic splits of the roll-outs.
    pub fn splits(&self) -> Vec<Split> {
        self.rollouts
            .iter()
            .filter_map(|rollout| self.split(rollout))
            .collect()
    }

    fn candidate(&self, index: usize, agent: &AgentView) -> Option<UpstreamCandidate> {
        let upstream = &self.config.upstreams.get(agent.upstream)?.spec;
        if upstream.drain {
            return None;
        }
        let load = agent.load.as_ref();
        Some(UpstreamCandidate {
            agent: index,
            upstream: agent.upstream,
            data_centre: agent.data_centre.clone(),
            slots: upstream.slots,
            running: load.map_or(0, |load| load.running),
            queued: load.map_or(0, |load| load.queued),
            wait_ms: load.map_or(0, |load| load.wait_ms),
            report_ms: agent.load_time.0,
            pools: self.memberships(upstream, load),
        })
    }

    // An agent whose load is not known yet is assumed to have all versions of
    // its upstream warm; it refuses requests that it can't run.
    fn memberships(&self, upstream: &Upstream, load: Option<&message::Load>) -> Vec<Pool> {
        let service = self
            .config
            .services
            .key(&upstream.service)
            .map(Pool::Service);
        let version = |name: &str| self.config.versions.key(name).map(Pool::Version);
        let mut pools: Vec<Pool> = match load {
            Some(load) => load.warm.iter().filter_map(|name| version(name)).collect(),
            None => upstream
                .versions
                .iter()
                .filter_map(|name| version(name))
                .collect(),
        };
        pools.extend(service);
        pools
    }

    fn split(&self, view: &RolloutView) -> Option<Split> {
        let rollout = &self.config.rollouts.get(view.key)?.spec;
        let compared = matches!(view.phase, RolloutPhase::Running | RolloutPhase::Paused);
        if view.phase == RolloutPhase::Withdrawn {
            return None;
        }
        Some(Split {
            from: self.config.versions.key(&rollout.from)?,
            to: self.config.versions.key(&rollout.to)?,
            share: view.share,
            compared,
        })
    }
}
