//! What plans and choices are made from, rebuilt when the view changes.

use std::sync::Arc;

use crate::control::{AgentView, RolloutPhase, RolloutView, View};
use crate::policy::{Candidate, Estimates, Pool, Pools, Split};
use crate::resource::{Config, Named, Upstream};

/// A view with its pools.
#[derive(Debug)]
pub(super) struct Board {
    pub(super) view: Arc<View>,
    pub(super) pools: Pools,
    pub(super) splits: Vec<Split>,
    pub(super) estimates: Arc<Estimates>,
}

impl Board {
    pub(super) fn of(view: Arc<View>) -> Self {
        let candidates = view
            .agents
            .iter()
            .enumerate()
            .filter_map(|(index, agent)| candidate(&view.config, index, agent));
        Self {
            pools: Pools::build(candidates),
            splits: view
                .rollouts
                .iter()
                .filter_map(|rollout| split(&view.config, rollout))
                .collect(),
            estimates: Arc::default(),
            view,
        }
    }
}

fn candidate(config: &Config, index: usize, agent: &AgentView) -> Option<Candidate> {
    let upstream = config.upstreams.get(agent.upstream)?;
    if !agent.open || upstream.spec.drain {
        return None;
    }
    let load = agent.load.as_ref();
    Some(Candidate {
        agent: index,
        upstream: agent.upstream,
        data_centre: agent.data_centre.clone(),
        slots: upstream.spec.slots,
        reported: load.map_or(0, |load| load.running + load.queued),
        wait_ms: load.map_or(0, |load| load.wait_ms),
        report_ms: agent.load_time.0,
        pools: pools(config, upstream, agent),
    })
}

// The upstream's service and the versions it has warm; before its first
// report, those it should have.
fn pools(config: &Config, upstream: &Named<Upstream>, agent: &AgentView) -> Vec<Pool> {
    let warm = |name: &str| match &agent.load {
        Some(load) => load.warm.iter().any(|warm| warm == name),
        None => true,
    };
    let versions = upstream
        .spec
        .versions
        .iter()
        .filter(|name| warm(name))
        .filter_map(|name| config.versions.key(name))
        .map(Pool::Version);
    let service = config.services.key(&upstream.spec.service);
    versions.chain(service.map(Pool::Service)).collect()
}

fn split(config: &Config, rollout: &RolloutView) -> Option<Split> {
    if rollout.phase == RolloutPhase::Withdrawn {
        return None;
    }
    let spec = &config.rollouts.get(rollout.key)?.spec;
    Some(Split {
        from: config.versions.key(&spec.from)?,
        to: config.versions.key(&spec.to)?,
        share: rollout.share,
        compared: rollout.phase == RolloutPhase::Running,
    })
}
