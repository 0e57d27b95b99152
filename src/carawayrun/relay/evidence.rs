//! Evidence about the new version of a roll-out, against it and in its favour.
//!
//! All gateways count the outcomes of their attempts at the old versions and at
//! the new one, and each adds up those of all. Three kinds of outcomes are
//! compared, each by a sequential test that may be repeated at any time:
//!
//! | outcome | tested against |
//! |---|---|
//! | failed | the old versions' share |
//! | slow: several times longer than usual to the first byte | the old versions' share |
//! | late: longer than usual to the first byte, for most requests | a fixed share, or the old versions' if that is higher |
//!
//! An engine works on many requests at once, so a version that slows down some of
//! them is late for nearly all, long before many are several times slower.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::route_test::{self, MIN_REFERENCE, RouteFindings, Statistics};
use super::tally::{RouteEvidence, RouteTallies, TallyPair};
use crate::policy::log_evidence_of_excess;

/// Tolerated increase of the share of bad outcomes: about what one failing
/// upstream among 18 adds.
const TOLERATED_INCREASE: f64 = 0.05;

/// Tolerated increase of the share of late answers: a new version begins with
/// empty caches, and some of its upstreams may be slow by chance.
const TOLERATED_LATE_INCREASE: f64 = 0.2;

/// Range of the share of late answers that is tolerated of a new version.
const TOLERATED_LATE_SHARE: (f64, f64) = (0.6, 0.85);

/// Tolerated probability of reverting a good version: the project's target is
/// below 1 in 100.
const FALSE_REVERT_RATE: f64 = 0.01;

/// Tolerated probability of moving traffic to a bad version; the second one once
/// time runs short, which matters for services with few requests: most of the
/// exposure that they are allowed is slack, which covers the time to a withdrawal.
const FALSE_SPREAD_RATES: (f64, f64) = (0.01, 0.05);

/// Share of failures of a bad version, beyond that of the old ones, that evidence
/// in favour of a version excludes.
const BAD_FAILURE_INCREASE: f64 = 0.25;

/// Share of failures of a good version, beyond that of the old ones.
const GOOD_FAILURE_INCREASE: f64 = 0.02;

/// Shares of late answers of a good and of a bad version that evidence in favour of
/// a version tells apart.
const GOOD_LATE_SHARE: f64 = 0.4;
const BAD_LATE_SHARE: f64 = 0.85;

/// Timed answers below which the usual time counts as unknown.
const MIN_TIMED: f64 = 10.0;

/// Tolerated probability of reverting a good version by one test of its routes.
const FALSE_ROUTE_REVERT_RATE: f64 = 0.005;

/// What the statistics must reach for a step.
struct Thresholds {
    /// Against versions that are bad on all routes.
    overall: f64,
    /// Against versions that are bad on one route. It may have few requests that fail often
    /// by themselves: more evidence would not be there in time, and good versions would be
    /// withdrawn.
    alone: f64,
    /// As `overall`, of the recent attempts, which alone tell of a version that turns bad
    /// or that is bad under the load of the present share.
    recent: f64,
}

impl Thresholds {
    const fn of(step: NextStep, is_lenient: bool) -> Self {
        let (overall, alone, recent) = match (step, is_lenient) {
            (NextStep::FirstShare, false) => (2.3, -1.0, 0.0),
            (NextStep::AllTraffic, false) => (3.4, -0.5, 1.5),
            (NextStep::Completion, false) => (2.3, 0.0, 1.0),
            (NextStep::FirstShare, true) => (1.6, -1.5, 0.0),
            (NextStep::AllTraffic, true) => (2.3, -1.5, 0.0),
            (NextStep::Completion, true) => (1.0, -1.0, 0.0),
        };
        Self {
            overall,
            alone,
            recent,
        }
    }
}

/// Half-life of recent outcomes: long enough for a dozen requests at a usual
/// canary share.
const RECENT_HALF_LIFE: Duration = Duration::from_secs(2);

/// Increase of the load of an upstream's slots above which late answers say
/// nothing about a version that has no other beside it.
const MAX_LOAD_INCREASE: f64 = 1.25;

/// Counts of attempts at one version by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Outcomes {
    /// Attempts that were answered or lost, failed ones included. A stream counts
    /// when the head of its answer arrives.
    pub answered: f64,
    /// Attempts that failed.
    pub failed: f64,
    /// Attempts whose answer began several times later than usual.
    pub slow: f64,
    /// Attempts whose time to the first byte could be compared with the usual one.
    #[serde(default)]
    pub timed: f64,
    /// Timed attempts that took longer than usual. Counted as soon as they have,
    /// whether an answer comes or not.
    #[serde(default)]
    pub late: f64,
}

impl Outcomes {
    /// Adds other outcomes.
    pub fn add(&mut self, other: &Self) {
        self.combine(other, |sum, other| sum + other);
    }

    /// Outcomes since `before`.
    #[must_use]
    pub fn since(&self, before: &Self) -> Self {
        let mut since = *self;
        since.combine(before, |now, before| now - before);
        since
    }

    fn combine(&mut self, other: &Self, f: impl Fn(f64, f64) -> f64) {
        self.answered = f(self.answered, other.answered);
        self.failed = f(self.failed, other.failed);
        self.slow = f(self.slow, other.slow);
        self.timed = f(self.timed, other.timed);
        self.late = f(self.late, other.late);
    }

    // Share of late answers; that of a good version before any was timed.
    fn late_share(&self) -> f64 {
        (self.late + GOOD_LATE_SHARE) / (self.timed + 1.0)
    }

    fn failed_share(&self) -> f64 {
        (self.failed + 1.0) / (self.answered + 2.0)
    }

    fn slow_share(&self) -> f64 {
        (self.slow + 1.0) / (self.answered + 2.0)
    }
}

/// Outcomes of attempts at the old versions and at the new one.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Comparison {
    /// Outcomes of attempts at all other versions of the service.
    pub old: Outcomes,
    /// Outcomes of attempts at the new version.
    pub new: Outcomes,
}

impl Comparison {
    /// Adds another gateway's outcomes.
    pub fn add(&mut self, other: &Self) {
        self.old.add(&other.old);
        self.new.add(&other.new);
    }

    // Kind of outcome in which the new version is worse than tolerated. `reference`
    // are outcomes of the old versions.
    fn regression(&self, reference: &Outcomes, tolerated_late: f64) -> Option<Regression> {
        let new = &self.new;
        let tolerated_failures = reference.failed_share() + TOLERATED_INCREASE;
        let tolerated_slow = reference.slow_share() + TOLERATED_INCREASE;
        let tests = [
            (
                Regression::Failures,
                new.failed,
                new.answered,
                tolerated_failures,
            ),
            (Regression::Slow, new.slow, new.answered, tolerated_slow),
            (Regression::Late, new.late, new.timed, tolerated_late),
        ];
        // The tests share the error rate.
        let threshold = (tests.len() as f64 / FALSE_REVERT_RATE).ln();
        let worse = tests.into_iter().find(|(_, events, trials, tolerated)| {
            log_evidence_of_excess(*events, *trials, *tolerated) >= threshold
        });
        worse.map(|(regression, ..)| regression)
    }
}

/// Kind of outcome in which a new version is worse than tolerated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Regression {
    /// It fails more often.
    Failures,
    /// More of its answers begin several times later than usual.
    Slow,
    /// Most of its answers begin later than usual.
    Late,
    /// It fails more often on a route, or on all.
    RouteFailures,
    /// More of its answers begin several times later than usual on a route, or on all.
    RouteTimes,
    /// The time for the next step has passed without enough evidence in its favour.
    Unproven,
    /// Another gateway has withdrawn it.
    Told,
}

impl fmt::Display for Regression {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Failures => "failures",
            Self::Slow => "slow answers",
            Self::Late => "late answers",
            Self::RouteFailures => "failures by route",
            Self::RouteTimes => "slow answers by route",
            Self::Unproven => "lack of evidence in its favour",
            Self::Told => "another gateway's withdrawal",
        })
    }
}

/// Load of a service's slots, in requests per second and slot.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SlotLoad {
    /// Load of the old versions' slots while they served most requests.
    pub usual: f64,
    /// Present load of the new version's slots.
    pub present: f64,
}

impl SlotLoad {
    // True if late answers of a version that serves alone can be its own fault.
    fn is_comparable(&self) -> bool {
        self.present > 0.0 && self.present <= self.usual * MAX_LOAD_INCREASE
    }
}

/// Factor by which recent outcomes decay in a time.
pub fn recent_decay(elapsed: Duration) -> f64 {
    0.5_f64.powf(elapsed.as_secs_f64() / RECENT_HALF_LIFE.as_secs_f64())
}

/// Outcomes since an order and recent ones. The former alone would hide a version
/// that turns bad late behind its earlier good answers.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct RolloutEvidence {
    /// Outcomes since the order.
    pub all: Comparison,
    /// Outcomes that decay with a half-life.
    pub recent: Comparison,
}

impl RolloutEvidence {
    /// Adds another gateway's outcomes.
    pub fn add(&mut self, other: &Self) {
        self.all.add(&other.all);
        self.recent.add(&other.recent);
    }

    /// Replaces the totals since the order with `all` and updates the recent
    /// outcomes; `elapsed` is the time since the last update.
    pub fn update(&mut self, all: Comparison, elapsed: Duration) {
        let decay = recent_decay(elapsed);
        let update = |recent: &mut Outcomes, before: &Outcomes, now: &Outcomes| {
            let since = now.since(before);
            recent.combine(&since, |recent, since| recent * decay + since);
        };
        update(&mut self.recent.old, &self.all.old, &all.old);
        update(&mut self.recent.new, &self.all.new, &all.new);
        self.all = all;
    }

    /// Requests per second, from the recent outcomes.
    pub fn rate(&self) -> f64 {
        let window = RECENT_HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2;
        (self.recent.old.answered + self.recent.new.answered) / window
    }

    /// Kind of outcome in which the new version is worse than tolerated; `None` if
    /// there is too little evidence against it. `load` is given once all traffic
    /// goes to the new version: until then the old ones are compared at the same
    /// time, under about the same load.
    pub fn regression(&self, load: Option<SlotLoad>) -> Option<Regression> {
        let has_recent = self.recent.old.answered >= MIN_REFERENCE;
        let reference = if has_recent {
            &self.recent.old
        } else {
            &self.all.old
        };
        let late = reference.late_share().max(self.all.old.late_share());
        let (least, most) = TOLERATED_LATE_SHARE;
        let tolerated_late = if load.is_none_or(|load| load.is_comparable()) {
            (late + TOLERATED_LATE_INCREASE).clamp(least, most)
        } else {
            1.0
        };
        let since_order = self.all.regression(&self.all.old, tolerated_late);
        since_order.or_else(|| self.recent.regression(reference, tolerated_late))
    }

    /// Returns true if the answers of the new version exclude, but for a small
    /// chance, that it is bad. `is_lenient` takes a greater chance, and accepts answers
    /// whose usual time is not known.
    pub fn is_in_favour(&self, is_lenient: bool) -> bool {
        let (strict, lenient) = FALSE_SPREAD_RATES;
        let threshold = -(if is_lenient { lenient } else { strict }).ln();
        let new = &self.all.new;
        let good_failures = self.all.old.failed_share() + GOOD_FAILURE_INCREASE;
        let bad_failures = (good_failures + BAD_FAILURE_INCREASE).min(0.99);
        let failures = log_likelihood_ratio(
            new.failed,
            new.answered,
            good_failures.min(0.98),
            bad_failures,
        );
        failures >= threshold && self.has_times_in_favour(is_lenient)
    }

    // True if the times of the new version exclude that it is late for most requests.
    fn has_times_in_favour(&self, is_lenient: bool) -> bool {
        let (strict, lenient) = FALSE_SPREAD_RATES;
        let threshold = -(if is_lenient { lenient } else { strict }).ln();
        let new = &self.all.new;
        let times = log_likelihood_ratio(new.late, new.timed, GOOD_LATE_SHARE, BAD_LATE_SHARE);
        let is_untimed = is_lenient && new.timed < MIN_TIMED;
        is_untimed || times >= threshold
    }
}

/// Step of a roll-out that asks for evidence in favour of the new version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// The first share of the traffic that is more than the canary's.
    FirstShare,
    /// All traffic.
    AllTraffic,
    /// The old version is no longer used.
    Completion,
}

/// What a step lacks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lack {
    /// Outcomes of the old versions to compare with.
    Reference,
    /// Outcomes of the new version, or better ones.
    Outcomes,
    /// Evidence that the new version does not fail more often.
    Failures,
    /// Evidence that it does not fail more often on one of the routes.
    RouteFailures,
    /// Evidence that it is not several times slower.
    Times,
    /// Evidence that it is not several times slower on one of the routes.
    RouteTimes,
    /// Recent attempts in its favour.
    Recent,
}

/// All that is known of the new version of a roll-out.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Evidence {
    /// Outcomes on all routes together.
    pub outcomes: RolloutEvidence,
    /// Attempts by route; empty if none were counted.
    pub routes: RouteEvidence,
}

impl From<RolloutEvidence> for Evidence {
    fn from(outcomes: RolloutEvidence) -> Self {
        Self {
            outcomes,
            routes: RouteEvidence::default(),
        }
    }
}

impl Evidence {
    /// Kind of outcome in which the new version is worse than tolerated; see
    /// [`RolloutEvidence::regression`].
    pub fn regression(&self, load: Option<SlotLoad>) -> Option<Regression> {
        let pooled = self.outcomes.regression(load);
        pooled.or_else(|| {
            let all = route_regression(self.since_order(), load);
            all.or_else(|| route_regression(self.recent(), load))
        })
    }

    /// Comparison of all attempts since the order; `None` without a reference.
    pub fn since_order(&self) -> Option<RouteFindings> {
        self.compare(|tallies| &tallies.all)
    }

    /// Comparison of the recent attempts; `None` without a reference.
    pub fn recent(&self) -> Option<RouteFindings> {
        self.compare(|tallies| &tallies.recent)
    }

    fn compare(&self, select: impl Fn(&RouteTallies) -> &TallyPair) -> Option<RouteFindings> {
        route_test::compare(&self.routes, select)
    }

    /// What the answers of the new version lack to exclude, but for a small chance, that
    /// it is bad; `None` if the step may be taken. `is_lenient` takes a greater chance,
    /// and accepts answers whose usual time is not known. `load` is as for
    /// [`Self::regression`].
    pub fn lack(&self, step: NextStep, is_lenient: bool, load: Option<SlotLoad>) -> Option<Lack> {
        if self.outcomes.all.old.answered < MIN_REFERENCE {
            return Some(Lack::Reference);
        }
        let Some(all) = self.since_order() else {
            let is_in_favour = self.outcomes.is_in_favour(is_lenient);
            return (!is_in_favour).then_some(Lack::Outcomes);
        };
        let least = Thresholds::of(step, is_lenient);
        if let Some(lack) = all
            .failures
            .lack(&least, Lack::Failures, Lack::RouteFailures)
        {
            return Some(lack);
        }
        let judges_times = load.is_none_or(|load| load.is_comparable());
        match all.times.filter(|_| judges_times) {
            Some(times) => {
                let lack = times.lack(&least, Lack::Times, Lack::RouteTimes);
                if lack.is_some() {
                    return lack;
                }
            }
            // Engines' times are not counted by route.
            None if judges_times && !self.outcomes.has_times_in_favour(is_lenient) => {
                return Some(Lack::Times);
            }
            None => {}
        }
        let is_recent_enough = self.recent().is_some_and(|recent| {
            let times = recent.times.filter(|_| judges_times);
            let times = times.is_none_or(|times| times.overall >= least.recent);
            recent.failures.overall >= least.recent && times
        });
        (!is_recent_enough).then_some(Lack::Recent)
    }
}

impl Statistics {
    fn lack(&self, least: &Thresholds, overall: Lack, alone: Lack) -> Option<Lack> {
        if self.overall < least.overall {
            Some(overall)
        } else {
            (self.alone < least.alone).then_some(alone)
        }
    }

    fn is_against(&self) -> bool {
        self.overall.min(self.alone) <= FALSE_ROUTE_REVERT_RATE.ln()
    }
}

fn route_regression(findings: Option<RouteFindings>, load: Option<SlotLoad>) -> Option<Regression> {
    let findings = findings?;
    if findings.failures.is_against() {
        return Some(Regression::RouteFailures);
    }
    let judges_times = load.is_none_or(|load| load.is_comparable());
    let times = findings.times.filter(|_| judges_times)?;
    times.is_against().then_some(Regression::RouteTimes)
}

// Logarithm of the likelihood of the rate `good` over that of the rate `bad`. A
// version of the rate `bad` or worse reaches ln(1/p) with a chance of at most p
// (Wald, 1945).
fn log_likelihood_ratio(events: f64, trials: f64, good: f64, bad: f64) -> f64 {
    events * (good / bad).ln() + (trials - events) * ((1.0 - good) / (1.0 - bad)).ln()
}
