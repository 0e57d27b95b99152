use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::CompactString;

use crate::relay::evidence::{Evidence, Outcomes, RolloutEvidence};
use crate::relay::gossip::{decode_outcomes, encode_outcomes};
use crate::relay::reference::Reference;
use crate::relay::rollout::OrderId;
use crate::relay::tally::{
    MAX_ROUTES, RouteDigest, RouteEvidence, RouteTallies, TIME_BINS, Tally, TallyPair,
};
use crate::relay::view::OutcomesView;

fn tally(answered: f64, failed: f64, ms: u64) -> Tally {
    let mut tally = Tally::of_time(Duration::from_millis(ms));
    tally.answered = answered;
    tally.failed = failed;
    tally
}

fn evidence(routes: u32) -> RouteEvidence {
    let mut evidence = RouteEvidence::default();
    let pairs = (1..=routes).map(|route| {
        let old = tally(f64::from(route) * 10.0, 1.0, 50);
        let new = tally(f64::from(route), 0.0, 400);
        (RouteDigest(route), TallyPair { old, new })
    });
    evidence.update(pairs.collect(), 1.0);
    evidence
}

#[test]
fn route_evidence_is_changed_on_its_way_to_other_gateways() {
    let view = OutcomesView {
        service: CompactString::from("bookings"),
        order: OrderId { era: 1, version: 7 },
        evidence: RolloutEvidence::default(),
        routes: evidence(3),
        is_withdrawn: true,
    };
    assert_eq!(decode_outcomes(&encode_outcomes(&view)), view);
}

#[test]
fn many_routes_fill_reports() {
    let evidence = evidence(40);
    let largest = evidence.largest();
    assert_eq!(largest.routes.len(), MAX_ROUTES + 1);
    let sum = |evidence: &RouteEvidence| {
        let mut sum = RouteTallies::default();
        evidence
            .routes
            .values()
            .for_each(|tallies| sum.add(tallies));
        sum
    };
    assert_eq!(sum(&largest), sum(&evidence));
    assert!(largest.routes.contains_key(&RouteDigest(40)));
    assert!(largest.routes.contains_key(&RouteDigest::OTHERS));
}

#[test]
fn recent_attempts_do_not_decay() {
    let mut evidence = evidence(1);
    let all: BTreeMap<_, _> = evidence
        .routes
        .iter()
        .map(|(route, tallies)| (*route, tallies.all))
        .collect();
    evidence.update(all, 0.5);
    let tallies = evidence.routes[&RouteDigest(1)];
    assert!((tallies.recent.old.answered - 5.0).abs() < 1e-9);
    assert!((tallies.all.old.answered - 10.0).abs() < 1e-9);
}

#[test]
fn reference_is_changed_by_the_store() {
    let outcomes = Outcomes {
        answered: 60.0,
        failed: 3.0,
        ..Outcomes::default()
    };
    let mut known = Evidence {
        routes: evidence(3),
        ..Evidence::default()
    };
    known.outcomes.all.old = outcomes;
    let reference = Reference::of(&known).unwrap();
    let stored = serde_json::to_string(&reference).unwrap();
    assert_eq!(
        serde_json::from_str::<Reference>(&stored).unwrap(),
        reference
    );
    let mut forgotten = Evidence::default();
    reference.complete(&mut forgotten);
    assert_eq!(forgotten.outcomes.all.old, outcomes);
    for (route, tallies) in &known.routes.routes {
        assert_eq!(forgotten.routes.routes[route].all.old, tallies.all.old);
    }
    // What the gateways know themselves is not replaced.
    let before = known.clone();
    reference.complete(&mut known);
    assert_eq!(known, before);
}

#[test]
fn extreme_times_have_no_bin() {
    for time in [Duration::ZERO, Duration::from_hours(1)] {
        let tally = Tally::of_time(time);
        assert!((tally.timed() - 1.0).abs() < f64::EPSILON);
    }
    assert!(Tally::of_time(Duration::from_hours(1)).times[TIME_BINS - 1] > 0.0);
}
