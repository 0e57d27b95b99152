use std::time::Duration;

use compact_str::CompactString;
use test_case::test_case;

use crate::relay::evidence::{
    Comparison, Evidence, Outcomes, Regression, RolloutEvidence, SlotLoad,
};
use crate::relay::rollout::{
    OrderId, Phase, RolloutOrder, RolloutRow, Step, StepInput, TrafficOutlook, begin, due_step,
    traffic_share,
};

fn order() -> RolloutOrder {
    RolloutOrder {
        service: CompactString::from("engines"),
        to: CompactString::from("v2"),
        limit: Duration::from_secs(20),
        id: OrderId { era: 0, version: 7 },
    }
}

// Outcomes of attempts that were all timed, and on time.
fn outcomes(answered: f64, failed: f64, slow: f64) -> Outcomes {
    Outcomes {
        answered,
        failed,
        slow,
        timed: answered,
        late: 0.0,
    }
}

fn late(answered: f64, late: f64) -> Outcomes {
    Outcomes {
        late,
        ..outcomes(answered, 0.0, 0.0)
    }
}

fn evidence(new: Outcomes) -> RolloutEvidence {
    let mut evidence = RolloutEvidence::default();
    let old = Outcomes {
        late: 130.0,
        ..outcomes(400.0, 8.0, 4.0)
    };
    evidence.update(Comparison { old, new }, Duration::ZERO);
    evidence
}

fn outlook() -> TrafficOutlook {
    TrafficOutlook {
        exposure_share: 0.1,
        exposure_slack: 30.0,
        rate: 500.0,
        is_complete: true,
    }
}

const START: Duration = Duration::from_secs(100);

fn row(phase: Phase, share: f64, stepped_s: u64) -> RolloutRow {
    let mut row = begin(&order(), None, START);
    let stepped = START + Duration::from_secs(stepped_s);
    if phase != Phase::Canary {
        row.enter(Step { phase, share }, stepped);
    }
    row
}

fn step_at(
    row: &RolloutRow,
    evidence: &RolloutEvidence,
    outlook: &TrafficOutlook,
    now: Duration,
) -> Option<Step> {
    due_step(&StepInput {
        order: &order(),
        row,
        evidence: &Evidence::from(*evidence),
        outlook,
        load: None,
        now,
    })
}

fn due(row: &RolloutRow, evidence: &RolloutEvidence, after_s: u64) -> Option<(Phase, f64)> {
    let now = START + Duration::from_secs(after_s);
    let step = step_at(row, evidence, &outlook(), now);
    step.map(|step| (step.phase, step.share))
}

#[test_case(Phase::Canary, 1.0, 5, None; "canary in the first half")]
#[test_case(Phase::Canary, 1.0, 12, Some((Phase::Spread, 0.3)); "first step after the half")]
#[test_case(Phase::Canary, 1.0, 19, Some((Phase::Spread, 0.3)); "a late gateway does not skip the first step")]
#[test_case(Phase::Spread, 0.3, 11, None; "first step lasts for a time")]
#[test_case(Phase::Spread, 0.3, 12, Some((Phase::Spread, 1.0)); "all traffic after the first step")]
#[test_case(Phase::Spread, 1.0, 12, None; "spread lets streams on the old version end")]
#[test_case(Phase::Spread, 1.0, 18, Some((Phase::Complete, 1.0)); "complete in time")]
#[test_case(Phase::Complete, 1.0, 30, None; "nothing after the end")]
#[test_case(Phase::Reverted, 1.0, 30, None; "nothing after a revert")]
fn good_version_changes_phase_by_time(
    phase: Phase,
    share: f64,
    after_s: u64,
    expected: Option<(Phase, f64)>,
) {
    let good = evidence(outcomes(60.0, 1.0, 0.0));
    assert_eq!(due(&row(phase, share, 10), &good, after_s), expected);
}

#[test_case(outcomes(0.0, 0.0, 0.0); "no answer")]
#[test_case(outcomes(6.0, 0.0, 0.0); "few answers")]
#[test_case(late(17.0, 12.0); "most answers late")]
#[test_case(outcomes(20.0, 4.0, 0.0); "some failures")]
fn version_spreads_without_evidence_in_favour(new: Outcomes) {
    let evidence = evidence(new);
    assert_eq!(evidence.regression(None), None);
    let row = row(Phase::Canary, 1.0, 0);
    assert_eq!(due(&row, &evidence, 16), None);
    let reverted = Some((Phase::Reverted, 1.0));
    assert_eq!(due(&row, &evidence, 19), reverted);
}

#[test]
fn few_requests_keep_good_version_from_completing() {
    let all = Comparison {
        old: outcomes(60.0, 0.0, 0.0),
        new: outcomes(3.0, 0.0, 0.0),
    };
    let evidence = RolloutEvidence { all, recent: all };
    let row = row(Phase::Canary, 1.0, 0);
    let now = START + Duration::from_secs(16);
    let mut outlook = TrafficOutlook {
        rate: 3.0,
        ..outlook()
    };
    let step = step_at(&row, &evidence, &outlook, now);
    assert_eq!(step.map(|step| step.phase), Some(Phase::Spread));
    // Gateways that were not heard may have more.
    outlook.is_complete = false;
    assert_eq!(step_at(&row, &evidence, &outlook, now), None);
}

#[test]
fn unknown_usual_time_keeps_good_version_from_completing() {
    let mut new = outcomes(60.0, 0.0, 0.0);
    new.timed = 0.0;
    let evidence = evidence(new);
    let row = row(Phase::Canary, 1.0, 0);
    assert_eq!(due(&row, &evidence, 14), None);
    assert_eq!(due(&row, &evidence, 16), Some((Phase::Spread, 0.3)));
}

#[test_case(outcomes(40.0, 22.0, 0.0), Regression::Failures; "failing half of its requests")]
#[test_case(outcomes(40.0, 0.0, 24.0), Regression::Slow; "several times slower on half of them")]
#[test_case(late(40.0, 39.0), Regression::Late; "slower on nearly all")]
fn bad_version_is_reverted_in_either_phase(new: Outcomes, expected: Regression) {
    let load = SlotLoad {
        usual: 2.0,
        present: 2.0,
    };
    for load in [None, Some(load)] {
        assert_eq!(evidence(new).regression(load), Some(expected));
    }
}

// All 17 answers of the canary were late, none several times slower than usual, and
// all traffic moved. Seen on bvrra-letters, day hasty of seed 7113.
#[test]
fn slow_engines_are_noticed_after_some_answers() {
    let seen = late(20.0, 20.0);
    assert_eq!(evidence(seen).regression(None), Some(Regression::Late));
}

// Cold caches and the load of all traffic made up to 56 of 100 answers late.
#[test_case(late(160.0, 90.0); "cold caches after the spread")]
#[test_case(late(12.0, 9.0); "few answers")]
fn late_answers_of_good_version_do_not_revert(new: Outcomes) {
    assert_eq!(evidence(new).regression(None), None);
}

#[test]
fn burst_after_spread_does_not_revert() {
    let new = evidence(late(300.0, 290.0));
    let mut load = SlotLoad {
        usual: 2.0,
        present: 4.0,
    };
    assert_eq!(new.regression(Some(load)), None);
    load.present = 2.2;
    assert_eq!(new.regression(Some(load)), Some(Regression::Late));
}

// Nobody withdrew a version that failed half of its requests after the spread: the
// recent outcomes of the old version had decayed, and nothing was left to compare.
#[test]
fn version_failing_after_spread_is_not_withdrawn() {
    let mut seen = evidence(outcomes(60.0, 1.0, 0.0));
    let comparison = |answered, failed| Comparison {
        old: outcomes(400.0, 8.0, 4.0),
        new: outcomes(answered, failed, 0.0),
    };
    seen.update(comparison(460.0, 9.0), Duration::from_secs(20));
    seen.update(comparison(460.0, 9.0), Duration::from_secs(20));
    seen.update(comparison(490.0, 24.0), Duration::from_millis(400));
    let load = SlotLoad {
        usual: 2.0,
        present: 2.0,
    };
    assert_eq!(seen.regression(Some(load)), Some(Regression::Failures));
}

#[test]
fn few_failures_do_not_revert() {
    let new = evidence(outcomes(10.0, 2.0, 1.0));
    assert_eq!(new.regression(None), None);
}

#[test]
fn canary_share_is_below_allowed_exposure() {
    let share = |phase, share| traffic_share(&row(phase, share, 0), 0.15);
    assert!(share(Phase::Canary, 1.0) < 0.15);
    assert!((share(Phase::Spread, 1.0) - 1.0).abs() < f64::EPSILON);
    assert!(share(Phase::Reverted, 1.0).abs() < f64::EPSILON);
}

// A version turned bad after 60 good answers, and all traffic was moved to it
// although a third of the recent answers had failed. Seen on mwlsa-lathe, mix
// day of seed 368863926483.
#[test]
fn version_turning_bad_late_is_reverted_after_few_failures() {
    let mut new = evidence(outcomes(60.0, 1.0, 0.0));
    let all = Comparison {
        old: outcomes(700.0, 14.0, 7.0),
        new: outcomes(84.0, 13.0, 2.0),
    };
    new.update(all, Duration::from_secs(4));
    assert_eq!(new.regression(None), Some(Regression::Failures));
}

#[test]
fn withdrawn_version_stays_withdrawn_under_later_order() {
    let mut row = begin(&order(), None, Duration::ZERO);
    row.phase = Phase::Reverted;
    let mut next = order();
    next.to = CompactString::from("v3");
    let row = begin(&next, Some(&row), Duration::ZERO);
    assert_eq!(row.all_withdrawn(), ["v2"]);
}

#[test]
fn withdrawn_version_can_be_ordered_again() {
    let mut row = begin(&order(), None, Duration::ZERO);
    row.phase = Phase::Reverted;
    let again = begin(&order(), Some(&row), Duration::ZERO);
    assert!(again.all_withdrawn().is_empty());
}
