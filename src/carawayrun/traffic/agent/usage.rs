//! Token usage of runs and its cost.

use serde::Deserialize;

use crate::peer::message::{Run, Usage};
use crate::resource::{Config, Price};

/// Number of tokens that a price refers to.
const TOKENS_PER_PRICE: u64 = 1000;

/// Usage object in an engine's answer.
#[derive(Debug)]
#[derive(Deserialize)]
pub(crate) struct EngineUsage {
    prompt_tokens: u64,
    completion_tokens: u64,
    #[serde(default)]
    prompt_tokens_details: PromptDetails,
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
struct PromptDetails {
    #[serde(default)]
    cached_tokens: u64,
}

/// Tokens used by one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct Tokens {
    pub(crate) prompt: u64,
    /// Prompt tokens that were in the engine's cache.
    pub(crate) cached: u64,
    pub(crate) completion: u64,
}

impl From<EngineUsage> for Tokens {
    fn from(usage: EngineUsage) -> Self {
        Self {
            prompt: usage.prompt_tokens,
            cached: usage.prompt_tokens_details.cached_tokens,
            completion: usage.completion_tokens,
        }
    }
}

impl Tokens {
    /// Returns the cost in millionths of the currency unit, rounded up.
    pub(crate) fn cost_micros(self, price: Price) -> u64 {
        let uncached = self.prompt.saturating_sub(self.cached);
        let sum = uncached * price.prompt
            + self.cached * price.cached
            + self.completion * price.completion;
        sum.div_ceil(TOKENS_PER_PRICE)
    }
}

/// Returns the usage of a run that has not ended.
pub(crate) fn of_unfinished(run: &Run, upstream: &str) -> Usage {
    Usage {
        request: run.request.clone(),
        step: run.step,
        team: run.team.clone(),
        service: run.service.clone(),
        version: run.version.clone(),
        upstream: upstream.to_owned(),
        ..Usage::default()
    }
}

/// Returns the usage of a run that has ended at an engine.
pub(crate) fn of_engine_run(run: &Run, upstream: &str, tokens: Tokens, config: &Config) -> Usage {
    let price = config
        .versions
        .by_name(&run.version)
        .map(|version| version.spec.price)
        .unwrap_or_default();
    Usage {
        prompt_tokens: tokens.prompt,
        cached_tokens: tokens.cached,
        completion_tokens: tokens.completion,
        cost_micros: tokens.cost_micros(price),
        finished: true,
        ..of_unfinished(run, upstream)
    }
}

/// Returns the usage of a run that has ended at a plain service.
pub(crate) fn of_plain_call(run: &Run, upstream: &str, config: &Config) -> Usage {
    let route = config.services.by_name(&run.service).and_then(|service| {
        let path = run.path.split('?').next().unwrap_or_default();
        let routes = service.spec.routes.iter();
        let matching = routes.filter(|route| {
            route.method.eq_ignore_ascii_case(&run.method) && path.starts_with(route.path.as_str())
        });
        matching.max_by_key(|route| route.path.len())
    });
    Usage {
        cost_micros: route.map_or(0, |route| route.price_micros),
        finished: true,
        ..of_unfinished(run, upstream)
    }
}
