//! What engines probably hold of prompts, for the choice of an upstream.

use std::time::Duration;

use super::{Fleet, UpstreamQuery};
use crate::relay::placement::UpstreamCandidate;
use crate::relay::prompts::{CacheSpace, PromptPart, PromptSend};
use crate::relay::view::UpstreamKey;

impl Fleet {
    // Works out what the engines that were sent a part of the prompt probably hold of it.
    pub(super) fn estimate_kept(
        &self,
        candidates: &mut [(UpstreamKey, UpstreamCandidate)],
        query: &UpstreamQuery<'_>,
        now: Duration,
    ) {
        let tokens = count_tokens(query.parts);
        let Some(capacity) = query.kv_capacity.filter(|_| tokens > 0.0) else {
            return;
        };
        let holders = self.prompts.holders(query.parts);
        let intake = self.engine_intake(query.service, now);
        for (key, candidate) in candidates {
            let engine = self.states[*key].incarnation.digest();
            if holders.binary_search(&engine).is_ok() {
                let space = CacheSpace {
                    tokens: f64::from(capacity) - candidate.kv_tokens as f64,
                    intake,
                };
                let parts = query.parts;
                let kept = self.prompts.expected_tokens(parts, engine, &space, now);
                candidate.kept_share = kept / tokens;
            }
        }
    }

    // Tokens a second that all gateways send each engine of a service, which has to read or
    // generate them. The gateways and the engines have about equal parts.
    fn engine_intake(&self, service: &str, now: Duration) -> f64 {
        let engines = self.by_service.get(service).map_or(0, Vec::len).max(1);
        let gateways = self.peer_loads.gateway_count() + 1;
        self.prompts.sent_per_second(service, now) * gateways as f64 / engines as f64
    }

    /// Records that a prompt is sent to an engine with this capacity; returns the tokens of
    /// its shared prefix that the engine probably holds.
    pub(in crate::relay) fn record_prompt(
        &mut self,
        key: UpstreamKey,
        parts: &[PromptPart],
        kv_tokens: u64,
        capacity: u32,
        now: Duration,
    ) -> f64 {
        let (Some(upstream), Some(state)) = (self.upstreams.get(key), self.states.get(key)) else {
            return 0.0;
        };
        let service = upstream.service.as_str();
        let running = state.kv_tokens + self.peer_loads.upstream_load(state.digest).kv_tokens;
        let send = PromptSend {
            service,
            engine: state.incarnation.digest(),
            parts,
            kv_tokens,
            space: CacheSpace {
                tokens: f64::from(capacity) - running as f64,
                intake: self.engine_intake(service, now),
            },
        };
        self.prompts.record_send(&send, now)
    }

    /// Forgets what an engine held, as it has crashed.
    pub(in crate::relay) fn forget_prompts(&mut self, key: UpstreamKey) {
        if let Some(state) = self.states.get(key) {
            self.prompts.forget(state.incarnation.digest());
        }
    }
}

// Tokens of all parts.
pub(super) fn count_tokens(parts: &[PromptPart]) -> f64 {
    parts.iter().map(|part| f64::from(part.tokens)).sum()
}
