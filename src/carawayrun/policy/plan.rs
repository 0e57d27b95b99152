//! Which version, or cascade of versions, answers a request.

use rand::Rng;

use super::draft::{Chosen, Draft, Line, best_effort, least_by, single_draft};
use super::estimates::Estimate;
use super::explanation::{Explanation, Reason};
use super::gate::{GateLevel, gate_levels};
use super::normal;
use super::pools::Pool;
use super::request::{Gate, Plan, PlanContext, PlanError, PlanRequest, Split, Step};
use crate::resource::{Named, Phase, Task, TaskClass, Version, VersionKey, Weights};

/// Share of the variance of ratings that is variance of the answers; the rest
/// is noise of the rating service.
const RELIABILITY: f64 = 0.6;
/// Correlation of one version's rating with another's answer to the same
/// request: what is hard for one is hard for the other.
const SHARED_DIFFICULTY: f64 = 0.3;
/// Share of requests that may try a version whose quality is uncertain.
const EXPLORED_SHARE: f64 = 0.02;
/// Standard errors above the mean that still may meet the target.
const OPTIMISM: f64 = 2.0;
/// What one whole latency budget counts for, in multiples of the least cost.
const LATENCY_SCALE: f64 = 0.05;
/// What certainty of missing the target counts for, in multiples of the least
/// cost.
const EXPOSURE_SCALE: f64 = 0.05;
/// Tokens to a unit of price.
const PRICE_TOKENS: f64 = 1_000.0;

/// Plans one request.
///
/// Least weighted cost among the plans whose expected quality, less its
/// standard error, meets the target within the latency budget; the best
/// permitted version where none does. A session keeps its version.
///
/// # Errors
///
/// [`PlanError`] says why no version may answer.
pub fn plan(
    ask: &PlanRequest<'_>,
    situation: &PlanContext<'_>,
    rng: &mut impl Rng,
) -> Result<Plan, PlanError> {
    let planner = Planner::new(ask, situation)?;
    if let Some(pinned) = planner.pinned()? {
        return Ok(planner.kept(&pinned));
    }
    let usable = planner.in_time(planner.usable()?);
    let chosen = planner.cheapest(&usable, rng);
    Ok(planner.drawn(&chosen, rng))
}

struct Planner<'a> {
    ask: &'a PlanRequest<'a>,
    situation: &'a PlanContext<'a>,
    service: &'a str,
    task: &'a Task,
    permitted: &'a [compact_str::CompactString],
    weights: Weights,
    target: f64,
}

impl<'a> Planner<'a> {
    fn new(ask: &'a PlanRequest<'a>, situation: &'a PlanContext<'a>) -> Result<Self, PlanError> {
        let team = situation
            .config
            .teams
            .get(ask.team)
            .ok_or(PlanError::NotConfigured)?;
        let service = situation
            .config
            .services
            .get(ask.service)
            .ok_or(PlanError::NotConfigured)?;
        let task = find_task(&service.spec.tasks, ask.task).ok_or(PlanError::UnknownTask)?;
        Ok(Self {
            ask,
            situation,
            service: &service.name,
            task,
            permitted: &team.spec.versions,
            weights: team.spec.weights,
            target: ask.quality.unwrap_or(task.quality),
        })
    }

    fn usable(&self) -> Result<Vec<Line<'a>>, PlanError> {
        let mut refusal = PlanError::ForbiddenVersion;
        let mut lines = Vec::with_capacity(self.permitted.len());
        for name in self.permitted {
            let Some(key) = self.situation.config.versions.key(name) else {
                continue;
            };
            match self.line(key) {
                Some(line) if !self.is_asked(line.version) => {}
                Some(line) if self.is_withdrawn(&line) => refusal = PlanError::Withdrawn,
                Some(_) if self.is_cold(key) => refusal = PlanError::NoUpstream,
                Some(line) => lines.push(line),
                None => {}
            }
        }
        if lines.is_empty() {
            return Err(self.refusal(refusal));
        }
        Ok(lines)
    }

    fn refusal(&self, refusal: PlanError) -> PlanError {
        let versions = &self.situation.config.versions;
        let known = versions.iter().any(|(_, version)| self.is_asked(version));
        if known {
            refusal
        } else {
            PlanError::UnknownModel
        }
    }

    fn line(&self, key: VersionKey) -> Option<Line<'a>> {
        let version = self.situation.config.versions.get(key)?;
        if version.spec.service != self.service {
            return None;
        }
        let quality = self
            .situation
            .estimates
            .estimate(key, &version.spec, &self.task.name);
        let cost = self.cost(&version.spec, &quality);
        Some(Line {
            key,
            version,
            quality,
            cost,
        })
    }

    fn cost(&self, version: &Version, quality: &Estimate) -> f64 {
        let cached = self.ask.cached_tokens.min(self.ask.prompt_tokens);
        let fresh = self.ask.prompt_tokens - cached;
        let micros = fresh as f64 * version.price.prompt as f64
            + cached as f64 * version.price.cached as f64
            + quality.tokens * version.price.completion as f64;
        micros / PRICE_TOKENS
    }

    fn is_asked(&self, version: &Named<Version>) -> bool {
        let asked = self.ask.model;
        version.spec.service == self.service
            && (asked.is_empty() || version.spec.model == asked || version.name == asked)
    }

    // A candidate takes work only from its roll-out's split.
    fn is_withdrawn(&self, line: &Line<'_>) -> bool {
        line.version.spec.phase != Phase::Active || self.situation.suspended.contains(&line.key)
    }

    fn is_cold(&self, key: VersionKey) -> bool {
        self.situation.pools.is_empty(Pool::Version(key))
    }

    // The session's version, where it may be kept.
    fn pinned(&self) -> Result<Option<Line<'a>>, PlanError> {
        let Some(key) = self.ask.pinned else {
            return Ok(None);
        };
        if !self.may_take(key) {
            return Ok(None);
        }
        if self.is_cold(key) {
            return Err(PlanError::NoUpstream);
        }
        Ok(self.line(key))
    }

    fn may_take(&self, key: VersionKey) -> bool {
        let Some(line) = self.line(key) else {
            return false;
        };
        let withdrawn = line.version.spec.phase == Phase::Withdrawn;
        !withdrawn
            && !self.situation.suspended.contains(&key)
            && self.permitted.contains(&line.version.name)
    }

    // Late versions are left out, unless all are late.
    fn in_time(&self, usable: Vec<Line<'a>>) -> Vec<Line<'a>> {
        let budget_ms = self.ask.budget_ms as f64;
        let is_late = |line: &Line<'_>| line.quality.first_ms > budget_ms;
        if usable.iter().all(is_late) {
            return usable;
        }
        usable.into_iter().filter(|line| !is_late(line)).collect()
    }

    fn cheapest(&self, lines: &[Line<'a>], rng: &mut impl Rng) -> Chosen<'a> {
        let Some(best) = self.best_single(lines) else {
            let draft = best_effort(lines);
            return Chosen::new(Reason::BestEffort, draft, lines);
        };
        if let Some(draft) = self.explored(lines, &best, rng) {
            return Chosen::new(Reason::Explored, draft, lines);
        }
        let draft = self.best_cascade(lines, &best).unwrap_or(best);
        Chosen::new(Reason::Cheapest, draft, lines)
    }

    fn best_single(&self, lines: &[Line<'_>]) -> Option<Draft> {
        let meeting =
            (0..lines.len()).filter(|&index| lines[index].quality.lower_bound() >= self.target);
        let drafts: Vec<Draft> = meeting.map(|index| single_draft(lines, index)).collect();
        let least = drafts
            .iter()
            .map(|draft| draft.cost)
            .fold(f64::MAX, f64::min);
        least_by(drafts, |draft| self.weighted(draft, least))
    }

    // Cost as a multiple of the least, plus what latency and exposure count for.
    fn weighted(&self, draft: &Draft, least: f64) -> f64 {
        let budget_ms = self.ask.budget_ms.max(1) as f64;
        let cost = draft.cost / least.max(f64::MIN_POSITIVE);
        let latency = LATENCY_SCALE * draft.first_ms / budget_ms;
        let miss = normal::below((self.target - draft.quality) / draft.error.max(1e-9));
        self.weights.cost * cost
            + self.weights.latency * latency
            + self.weights.exposure * EXPOSURE_SCALE * miss
    }

    // A cheaper version that may meet the target is tried now and then; with
    // more ratings its estimate decides, so this ends by itself.
    fn explored(&self, lines: &[Line<'_>], best: &Draft, rng: &mut impl Rng) -> Option<Draft> {
        let share = EXPLORED_SHARE / self.weights.exposure.max(1.0);
        if !rng.random_bool(share) {
            return None;
        }
        let may_pay = |line: &Line<'_>| {
            let hope = OPTIMISM.mul_add(line.quality.error, line.quality.mean);
            line.cost < best.cost && line.quality.lower_bound() < self.target && hope >= self.target
        };
        let gain = |index: usize| {
            let line = &lines[index];
            let meets = (line.quality.mean - self.target) / line.quality.error.max(1e-9);
            (best.cost - line.cost) * normal::below(meets)
        };
        let index = (0..lines.len())
            .filter(|&index| may_pay(&lines[index]))
            .max_by(|&a, &b| gain(a).total_cmp(&gain(b)))?;
        Some(single_draft(lines, index))
    }

    // A cheaper version first, where the request can wait for its rating.
    fn best_cascade(&self, lines: &[Line<'_>], best: &Draft) -> Option<Draft> {
        let waits = self.ask.stream || self.task.class == TaskClass::Interactive;
        if !self.task.cascade || waits {
            return None;
        }
        let limit = self.weighted(best, best.cost);
        let mut found: Option<Draft> = None;
        let mut lowest = limit;
        for first in 0..lines.len() {
            if lines[first].cost + self.situation.rating_micros >= best.cost {
                continue;
            }
            for second in (0..lines.len()).filter(|&second| second != first) {
                let Some(draft) = self.gated(lines, first, second) else {
                    continue;
                };
                let score = self.weighted(&draft, best.cost);
                if score < lowest {
                    lowest = score;
                    found = Some(draft);
                }
            }
        }
        found
    }

    // The lowest gate of a pair that meets the target in time.
    fn gated(&self, lines: &[Line<'_>], first: usize, second: usize) -> Option<Draft> {
        let head = lines[first].quality;
        let tail = lines[second].quality;
        let first_ms = head.total_ms + self.situation.rating_ms;
        if first_ms + tail.first_ms > self.ask.budget_ms as f64 {
            return None;
        }
        if tail.mean.max(head.mean) + RELIABILITY * head.deviation < self.target {
            return None;
        }
        let rated = self.situation.rated_share;
        let gain = RELIABILITY * head.deviation - SHARED_DIFFICULTY * tail.deviation;
        let draft = |level: &GateLevel| {
            let pass = level.above * rated;
            let rest = 1.0 - pass;
            Draft {
                first,
                second: Some((second, level.score(&head))),
                quality: pass.mul_add(head.mean, rest * tail.mean) + level.density * rated * gain,
                error: (pass * head.error).hypot(rest * tail.error),
                cost: lines[first].cost + self.situation.rating_micros + rest * lines[second].cost,
                first_ms: rest.mul_add(tail.first_ms, first_ms),
                escalation: rest,
                shift: SHARED_DIFFICULTY * tail.deviation * level.density * rated / rest,
            }
        };
        let meets = |draft: &Draft| draft.quality - draft.error >= self.target;
        let levels = gate_levels();
        let lowest = levels.partition_point(|level| !meets(&draft(level)));
        levels.get(lowest).map(draft).filter(meets)
    }

    // Lets the roll-outs' splits replace old versions by new ones.
    fn drawn(&self, chosen: &Chosen<'a>, rng: &mut impl Rng) -> Plan {
        let mut steps = Vec::with_capacity(2);
        let wait_ms = self.situation.rating_ms as u64;
        let gate = chosen
            .draft
            .second
            .map(|(_, score)| Gate { score, wait_ms });
        steps.push(self.step(chosen.head.key, gate, 0.0, rng));
        if let Some(tail) = chosen.tail {
            steps.push(self.step(tail.key, None, chosen.draft.shift, rng));
        }
        self.explained(chosen.reason, steps, &chosen.draft, chosen.weighed)
    }

    fn step(&self, key: VersionKey, gate: Option<Gate>, shift: f64, rng: &mut impl Rng) -> Step {
        let split = self.split(key);
        let version = match split {
            Some(split) if rng.random_bool(split.share.clamp(0.0, 1.0)) => split.to,
            _ => key,
        };
        Step {
            version,
            gate,
            compared: split.is_some_and(|split| split.compared),
            rating_shift: shift,
        }
    }

    // The roll-out that moves work off a version. An exact version that the
    // caller asked for is not moved.
    fn split(&self, key: VersionKey) -> Option<&Split> {
        let name = &self.situation.config.versions.get(key)?.name;
        if name == self.ask.model {
            return None;
        }
        self.situation
            .splits
            .iter()
            .find(|split| split.from == key && self.may_take(split.to) && !self.is_cold(split.to))
    }

    fn kept(&self, line: &Line<'a>) -> Plan {
        let draft = single_draft(std::slice::from_ref(line), 0);
        let step = Step {
            version: line.key,
            gate: None,
            compared: false,
            rating_shift: 0.0,
        };
        self.explained(Reason::Pinned, vec![step], &draft, 1)
    }

    fn explained(&self, reason: Reason, steps: Vec<Step>, draft: &Draft, weighed: usize) -> Plan {
        let versions = &self.situation.config.versions;
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
            error: draft.error,
            cost_micros: draft.cost,
            first_ms: draft.first_ms,
            considered: weighed,
            escalation: draft.escalation,
            from_split: steps.iter().any(|step| step.compared),
            unpinned: self.ask.pinned.is_some() && reason != Reason::Pinned,
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
