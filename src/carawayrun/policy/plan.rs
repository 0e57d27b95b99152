//! Which version, or cascade of versions, answers a request.

use rand::Rng;

use super::draft::{
    ChosenDraft, Draft, VersionOption, best_effort_draft, min_by_weighted_cost, single_draft,
};
use super::estimates::Estimate;
use super::explanation::{Explanation, Reason};
use super::gate::{GateLevel, gate_levels};
use super::normal;
use super::pools::Pool;
use super::request::{Gate, Plan, PlanContext, PlanError, PlanRequest, Split, Step};
use crate::resource::{Named, Phase, Task, TaskClass, Version, VersionKey, Weights};

/// Share of the variance of ratings that comes from the answers; the rest is
/// noise of the rating service.
const RATING_RELIABILITY: f64 = 0.6;
/// Correlation of one version's rating with the quality of another's answer to
/// the same request: a request that is hard for one is hard for the other.
const DIFFICULTY_CORRELATION: f64 = 0.3;
/// Largest share of requests that explore a version whose quality is uncertain.
const MAX_EXPLORATION_SHARE: f64 = 0.02;
/// Standard errors added to the mean to decide whether a version may still meet
/// the target.
const EXPLORATION_STANDARD_ERRORS: f64 = 2.0;
/// Cost of a latency of the whole budget, in multiples of the reference cost and
/// before the team's weight.
const LATENCY_SCALE: f64 = 0.05;
/// Cost of a plan that is certain to miss the target, in multiples of the
/// reference cost and before the team's weight.
const EXPOSURE_SCALE: f64 = 0.05;
/// Number of tokens that a version's prices refer to.
const TOKENS_PER_PRICE: f64 = 1_000.0;

/// Plans one request.
///
/// Chooses the least weighted cost among the plans whose expected quality, less
/// its standard error, meets the target within the latency budget, or the best
/// permitted version if no plan does. A session stays on its pinned version.
///
/// # Errors
///
/// Returns a [`PlanError`] if no version may answer the request.
pub fn plan(
    request: &PlanRequest<'_>,
    context: &PlanContext<'_>,
    rng: &mut impl Rng,
) -> Result<Plan, PlanError> {
    let planner = Planner::new(request, context)?;
    if let Some(pinned) = planner.pinned_option()? {
        return Ok(planner.plan_pinned(&pinned));
    }
    let usable = planner.within_budget(planner.usable_options()?);
    let chosen = planner.choose(&usable, rng);
    Ok(planner.apply_splits(&chosen, rng))
}

struct Planner<'a> {
    request: &'a PlanRequest<'a>,
    context: &'a PlanContext<'a>,
    service: &'a str,
    task: &'a Task,
    permitted: &'a [compact_str::CompactString],
    weights: Weights,
    target: f64,
}

impl<'a> Planner<'a> {
    fn new(request: &'a PlanRequest<'a>, context: &'a PlanContext<'a>) -> Result<Self, PlanError> {
        let team = context
            .config
            .teams
            .get(request.team)
            .ok_or(PlanError::NotConfigured)?;
        let service = context
            .config
            .services
            .get(request.service)
            .ok_or(PlanError::NotConfigured)?;
        let task = find_task(&service.spec.tasks, request.task).ok_or(PlanError::UnknownTask)?;
        Ok(Self {
            request,
            context,
            service: &service.name,
            task,
            permitted: &team.spec.versions,
            weights: team.spec.weights,
            target: request.quality.unwrap_or(task.quality),
        })
    }

    fn usable_options(&self) -> Result<Vec<VersionOption<'a>>, PlanError> {
        let mut error = PlanError::ForbiddenVersion;
        let mut options = Vec::with_capacity(self.permitted.len());
        for name in self.permitted {
            let Some(key) = self.context.config.versions.key(name) else {
                continue;
            };
            match self.option(key) {
                Some(option) if !self.is_requested(option.version) => {}
                Some(option) if self.is_inactive(&option) => error = PlanError::Withdrawn,
                Some(_) if self.has_no_upstream(key) => error = PlanError::NoUpstream,
                Some(option) => options.push(option),
                None => {}
            }
        }
        if options.is_empty() {
            return Err(self.planning_error(error));
        }
        Ok(options)
    }

    fn planning_error(&self, error: PlanError) -> PlanError {
        let versions = &self.context.config.versions;
        let known = versions
            .iter()
            .any(|(_, version)| self.is_requested(version));
        if known {
            error
        } else {
            PlanError::UnknownModel
        }
    }

    fn option(&self, key: VersionKey) -> Option<VersionOption<'a>> {
        let version = self.context.config.versions.get(key)?;
        if version.spec.service != self.service {
            return None;
        }
        let estimate = self
            .context
            .estimates
            .estimate(key, &version.spec, &self.task.name);
        let cost = self.cost(&version.spec, &estimate);
        Some(VersionOption {
            key,
            version,
            estimate,
            cost,
        })
    }

    fn cost(&self, version: &Version, estimate: &Estimate) -> f64 {
        let cached = self.request.cached_tokens.min(self.request.prompt_tokens);
        let fresh = self.request.prompt_tokens - cached;
        let micros = fresh as f64 * version.price.prompt as f64
            + cached as f64 * version.price.cached as f64
            + estimate.tokens * version.price.completion as f64;
        micros / TOKENS_PER_PRICE
    }

    fn is_requested(&self, version: &Named<Version>) -> bool {
        let requested = self.request.model;
        version.spec.service == self.service
            && (requested.is_empty()
                || version.spec.model == requested
                || version.name == requested)
    }

    // A version in the candidate phase gets work only from its roll-out's split.
    fn is_inactive(&self, option: &VersionOption<'_>) -> bool {
        option.version.spec.phase != Phase::Active || self.context.suspended.contains(&option.key)
    }

    fn has_no_upstream(&self, key: VersionKey) -> bool {
        self.context.pools.is_empty(Pool::Version(key))
    }

    // The session's pinned version, unless it may no longer serve the session.
    fn pinned_option(&self) -> Result<Option<VersionOption<'a>>, PlanError> {
        let Some(key) = self.request.pinned else {
            return Ok(None);
        };
        if !self.can_serve(key) {
            return Ok(None);
        }
        if self.has_no_upstream(key) {
            return Err(PlanError::NoUpstream);
        }
        Ok(self.option(key))
    }

    fn can_serve(&self, key: VersionKey) -> bool {
        let Some(option) = self.option(key) else {
            return false;
        };
        let withdrawn = option.version.spec.phase == Phase::Withdrawn;
        !withdrawn
            && !self.context.suspended.contains(&key)
            && self.permitted.contains(&option.version.name)
    }

    // Leaves out versions that are expected to exceed the latency budget, unless
    // all of them are.
    fn within_budget(&self, usable: Vec<VersionOption<'a>>) -> Vec<VersionOption<'a>> {
        let budget_ms = self.request.budget_ms as f64;
        let is_late = |option: &VersionOption<'_>| option.estimate.first_ms > budget_ms;
        if usable.iter().all(is_late) {
            return usable;
        }
        usable
            .into_iter()
            .filter(|option| !is_late(option))
            .collect()
    }

    fn choose(&self, options: &[VersionOption<'a>], rng: &mut impl Rng) -> ChosenDraft<'a> {
        let Some(best) = self.best_single_draft(options) else {
            let draft = best_effort_draft(options);
            return ChosenDraft::new(Reason::BestEffort, draft, options);
        };
        if let Some(draft) = self.exploration_draft(options, &best, rng) {
            return ChosenDraft::new(Reason::Explored, draft, options);
        }
        let draft = self.best_cascade(options, &best).unwrap_or(best);
        ChosenDraft::new(Reason::Cheapest, draft, options)
    }

    fn best_single_draft(&self, options: &[VersionOption<'_>]) -> Option<Draft> {
        let meeting = (0..options.len())
            .filter(|&index| options[index].estimate.lower_bound() >= self.target);
        let drafts: Vec<Draft> = meeting.map(|index| single_draft(options, index)).collect();
        let least_cost = drafts
            .iter()
            .map(|draft| draft.cost)
            .fold(f64::MAX, f64::min);
        min_by_weighted_cost(drafts, |draft| self.weighted_cost(draft, least_cost))
    }

    // Weighted sum of the cost as a multiple of `reference_cost`, the latency
    // as a share of the budget, and the chance of missing the target.
    fn weighted_cost(&self, draft: &Draft, reference_cost: f64) -> f64 {
        let budget_ms = self.request.budget_ms.max(1) as f64;
        let cost = draft.cost / reference_cost.max(f64::MIN_POSITIVE);
        let latency = LATENCY_SCALE * draft.first_ms / budget_ms;
        let miss = normal::cdf((self.target - draft.quality) / draft.std_error.max(1e-9));
        self.weights.cost * cost
            + self.weights.latency * latency
            + self.weights.exposure * EXPOSURE_SCALE * miss
    }

    // Occasionally tries a cheaper version that may meet the target. Its ratings
    // narrow the estimate, so exploration of a version ends by itself.
    fn exploration_draft(
        &self,
        options: &[VersionOption<'_>],
        best: &Draft,
        rng: &mut impl Rng,
    ) -> Option<Draft> {
        let share = MAX_EXPLORATION_SHARE / self.weights.exposure.max(1.0);
        if !rng.random_bool(share) {
            return None;
        }
        let is_promising = |option: &VersionOption<'_>| {
            let upper_bound = EXPLORATION_STANDARD_ERRORS
                .mul_add(option.estimate.std_error, option.estimate.mean);
            option.cost < best.cost
                && option.estimate.lower_bound() < self.target
                && upper_bound >= self.target
        };
        let gain = |index: usize| {
            let option = &options[index];
            let z = (option.estimate.mean - self.target) / option.estimate.std_error.max(1e-9);
            (best.cost - option.cost) * normal::cdf(z)
        };
        let index = (0..options.len())
            .filter(|&index| is_promising(&options[index]))
            .max_by(|&a, &b| gain(a).total_cmp(&gain(b)))?;
        Some(single_draft(options, index))
    }

    // The best cascade that asks a cheaper version first. Only for requests that
    // can wait for the rating of its answer.
    fn best_cascade(&self, options: &[VersionOption<'_>], best: &Draft) -> Option<Draft> {
        let is_interactive = self.request.stream || self.task.class == TaskClass::Interactive;
        if !self.task.cascade || is_interactive {
            return None;
        }
        let single_cost = self.weighted_cost(best, best.cost);
        let mut found: Option<Draft> = None;
        let mut lowest = single_cost;
        for first in 0..options.len() {
            if options[first].cost + self.context.rating_micros >= best.cost {
                continue;
            }
            for second in (0..options.len()).filter(|&second| second != first) {
                let Some(draft) = self.cascade_draft(options, first, second) else {
                    continue;
                };
                let cost = self.weighted_cost(&draft, best.cost);
                if cost < lowest {
                    lowest = cost;
                    found = Some(draft);
                }
            }
        }
        found
    }

    // The cascade of two versions with the lowest gate that meets the target
    // within the latency budget.
    fn cascade_draft(
        &self,
        options: &[VersionOption<'_>],
        first: usize,
        second: usize,
    ) -> Option<Draft> {
        let first_estimate = options[first].estimate;
        let second_estimate = options[second].estimate;
        let first_ms = first_estimate.total_ms + self.context.rating_ms;
        if first_ms + second_estimate.first_ms > self.request.budget_ms as f64 {
            return None;
        }
        if second_estimate.mean.max(first_estimate.mean)
            + RATING_RELIABILITY * first_estimate.deviation
            < self.target
        {
            return None;
        }
        let rated_share = self.context.rated_share;
        let gain = RATING_RELIABILITY * first_estimate.deviation
            - DIFFICULTY_CORRELATION * second_estimate.deviation;
        let draft = |level: &GateLevel| {
            let pass_chance = level.pass_chance * rated_share;
            let escalation = 1.0 - pass_chance;
            Draft {
                first,
                second: Some((second, level.score(&first_estimate))),
                quality: pass_chance
                    .mul_add(first_estimate.mean, escalation * second_estimate.mean)
                    + level.density * rated_share * gain,
                std_error: (pass_chance * first_estimate.std_error)
                    .hypot(escalation * second_estimate.std_error),
                cost: options[first].cost
                    + self.context.rating_micros
                    + escalation * options[second].cost,
                first_ms: escalation.mul_add(second_estimate.first_ms, first_ms),
                escalation,
                rating_shift: DIFFICULTY_CORRELATION
                    * second_estimate.deviation
                    * level.density
                    * rated_share
                    / escalation,
            }
        };
        let meets = |draft: &Draft| draft.quality - draft.std_error >= self.target;
        let levels = gate_levels();
        let lowest = levels.partition_point(|level| !meets(&draft(level)));
        levels.get(lowest).map(draft).filter(meets)
    }

    // Draws from the splits of the roll-outs, which replace old versions by new
    // ones.
    fn apply_splits(&self, chosen: &ChosenDraft<'a>, rng: &mut impl Rng) -> Plan {
        let mut steps = Vec::with_capacity(2);
        let wait_ms = self.context.rating_ms as u64;
        let gate = chosen
            .draft
            .second
            .map(|(_, score)| Gate { score, wait_ms });
        steps.push(self.step(chosen.first.key, gate, 0.0, rng));
        if let Some(second) = chosen.second {
            steps.push(self.step(second.key, None, chosen.draft.rating_shift, rng));
        }
        self.explain(chosen.reason, steps, &chosen.draft, chosen.considered)
    }

    fn step(
        &self,
        key: VersionKey,
        gate: Option<Gate>,
        rating_shift: f64,
        rng: &mut impl Rng,
    ) -> Step {
        let split = self.split(key);
        let version = match split {
            Some(split) if rng.random_bool(split.share.clamp(0.0, 1.0)) => split.to,
            _ => key,
        };
        Step {
            version,
            gate,
            compared: split.is_some_and(|split| split.compared),
            rating_shift,
        }
    }

    // The roll-out that moves work away from a version. A version that the client
    // requested by its exact name is not replaced.
    fn split(&self, key: VersionKey) -> Option<&Split> {
        let name = &self.context.config.versions.get(key)?.name;
        if name == self.request.model {
            return None;
        }
        self.context.splits.iter().find(|split| {
            split.from == key && self.can_serve(split.to) && !self.has_no_upstream(split.to)
        })
    }

    fn plan_pinned(&self, option: &VersionOption<'a>) -> Plan {
        let draft = single_draft(std::slice::from_ref(option), 0);
        let step = Step {
            version: option.key,
            gate: None,
            compared: false,
            rating_shift: 0.0,
        };
        self.explain(Reason::Pinned, vec![step], &draft, 1)
    }

    fn explain(&self, reason: Reason, steps: Vec<Step>, draft: &Draft, considered: usize) -> Plan {
        let versions = &self.context.config.versions;
        let names = steps
            .iter()
            .filter_map(|step| versions.get(step.version))
            .map(|version| version.name.clone())
            .collect();
        let explanation = Explanation {
            reason,
            versions: names,
            target: self.target,
            quality: draft.quality,
            std_error: draft.std_error,
            cost_micros: draft.cost,
            first_ms: draft.first_ms,
            considered,
            escalation: draft.escalation,
            from_split: steps.iter().any(|step| step.compared),
            unpinned: self.request.pinned.is_some() && reason != Reason::Pinned,
        };
        Plan { steps, explanation }
    }
}

fn find_task<'a>(tasks: &'a [Task], name: &str) -> Option<&'a Task> {
    if name.is_empty() {
        return tasks.first();
    }
    tasks.iter().find(|task| task.name == name)
}
