use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use test_case::test_case;

use crate::relay::catalog::Catalog;
use crate::relay::control::{Effect, Event, Registration, State};
use crate::relay::evidence::{Comparison, Outcomes, RolloutEvidence};
use crate::relay::reference::Reference;
use crate::relay::rollout::{OrderId, Phase, RolloutOrder, RolloutRow};
use crate::relay::tally::RouteEvidence;
use crate::relay::view::{OutcomesView, Upstream};

/// Newest version of a copy of the store.
const COPY_VERSION: u64 = 100;

fn state() -> State {
    State::new("edge-1", 0.15, Duration::from_secs(2))
}

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn upstream(name: &str, born_ms: u64) -> Registration {
    let upstream = Upstream {
        name: CompactString::from(name),
        born_ms,
        service: CompactString::from("engines"),
        addr: "10.0.0.1:80".parse().unwrap(),
        data_centre: CompactString::from("a"),
        version: CompactString::from("v1"),
        slots: 48,
        is_leaving: false,
    };
    Registration {
        upstream,
        sequence: Some(1),
        version: COPY_VERSION,
        cold_for: Duration::ZERO,
    }
}

// Operators can't tell why an upstream gets less than the others.
#[test]
fn upstream_turns_cold_at_any_moment() {
    let mut state = state();
    let cold = |ms| Registration {
        cold_for: millis(ms),
        ..upstream("i-1", 10)
    };
    let steps = [
        (0, cold(3_000), 1),
        (1_200, cold(0), 0),
        (9_000, cold(500), 1),
    ];
    for (at, registration, expected) in steps {
        state.handle(Event::UpstreamRegistered(registration), millis(at));
        assert_eq!(state.cold_count(), expected, "at {at} ms");
    }
    // The next beat is not read.
    state.handle(Event::Tick { store_now: None }, millis(9_500));
    assert_eq!(state.cold_count(), 0);
    state.handle(Event::UpstreamRegistered(cold(3_000)), millis(10_000));
    state.handle(Event::UpstreamUnregistered("i-1".into()), millis(10_500));
    assert_eq!(state.cold_count(), 0);
}

fn configured(state: &mut State, version: u64) {
    let catalog = Catalog {
        version,
        ..Catalog::default()
    };
    state.handle(Event::ConfigurationRead(Box::new(catalog)), millis(0));
}

fn names(state: &State) -> Vec<CompactString> {
    let view = state.view();
    let mut names: Vec<_> = view
        .upstreams
        .values()
        .map(|one| one.name.clone())
        .collect();
    names.sort();
    names
}

#[test]
fn older_configuration_does_not_replace_newer() {
    let mut state = state();
    configured(&mut state, 9);
    configured(&mut state, 4);
    assert_eq!(state.view().catalog.unwrap().version, 9);
}

#[test]
fn restart_under_same_name_gets_new_key() {
    let mut state = state();
    state.handle(Event::UpstreamRegistered(upstream("i-1", 10)), millis(0));
    let before = state.view().upstreams.keys().next().unwrap();
    state.handle(Event::UpstreamRegistered(upstream("i-1", 20)), millis(5));
    let after: Vec<_> = state.view().upstreams.keys().collect();
    assert_eq!(after.len(), 1);
    assert_ne!(after[0], before);
}

#[test]
fn unchanged_heartbeat_does_not_publish() {
    let mut state = state();
    state.handle(Event::UpstreamRegistered(upstream("i-1", 10)), millis(0));
    let effects = state.handle(Event::UpstreamRegistered(upstream("i-1", 10)), millis(5));
    assert_eq!(effects, []);
}

#[test]
fn removed_registration_takes_effect_immediately() {
    let mut state = state();
    state.handle(Event::UpstreamRegistered(upstream("i-1", 10)), millis(0));
    state.handle(Event::UpstreamUnregistered("i-1".into()), millis(5));
    assert!(names(&state).is_empty());
}

#[test]
fn registrations_expired_in_outage_are_kept_for_grace_time() {
    let mut state = state();
    for name in ["i-1", "i-2"] {
        state.handle(Event::UpstreamRegistered(upstream(name, 10)), millis(0));
    }
    state.handle(Event::StoreRecovered(millis(4_000)), millis(10_000));
    state.handle(Event::RegistrationsRead(Vec::new()), millis(10_100));
    assert_eq!(names(&state), ["i-1", "i-2"]);
    state.handle(
        Event::UpstreamRegistered(upstream("i-1", 10)),
        millis(11_000),
    );
    state.handle(Event::Tick { store_now: None }, millis(11_400));
    assert_eq!(names(&state), ["i-1"]);
}

// An upstream left one second after a gateway had reconnected to the store and
// got a request 23 ms after the drain limit of two seconds. Seen on
// mwlsa-lathe, trouble-1.
#[test]
fn upstream_leaving_after_outage_is_removed_within_drain_limit() {
    let mut state = state();
    state.handle(Event::UpstreamRegistered(upstream("i-1", 10)), millis(0));
    state.handle(Event::StoreRecovered(millis(4_000)), millis(10_000));
    state.handle(Event::UpstreamUnregistered("i-1".into()), millis(10_300));
    state.handle(Event::Tick { store_now: None }, millis(11_400));
    assert_eq!(names(&state), ["i-1"]);
    state.handle(Event::Tick { store_now: None }, millis(11_600));
    assert!(names(&state).is_empty());
}

#[test]
fn leaving_upstream_is_not_kept_after_outage() {
    let mut state = state();
    let mut leaving = upstream("i-1", 10);
    leaving.upstream.is_leaving = true;
    state.handle(Event::UpstreamRegistered(leaving), millis(0));
    state.handle(Event::StoreRecovered(millis(4_000)), millis(10_000));
    state.handle(Event::UpstreamUnregistered("i-1".into()), millis(10_100));
    assert!(names(&state).is_empty());
}

fn order(version: u64) -> RolloutOrder {
    order_in(0, version)
}

fn order_in(era: u64, version: u64) -> RolloutOrder {
    RolloutOrder {
        service: CompactString::from("engines"),
        to: CompactString::from("v2"),
        limit: Duration::from_secs(20),
        id: OrderId { era, version },
    }
}

fn tick(state: &mut State, store_ms: u64) -> Vec<Effect> {
    let store_now = Some(millis(store_ms));
    state.handle(Event::Tick { store_now }, millis(0))
}

// After a restart of all processes the row of a completed roll-out was read
// before its order and dropped until the next transaction, so requests were
// refused for lack of an upstream. Seen on luzcena-ne, scale-1.
#[test]
fn row_read_before_its_order_is_used() {
    let row = RolloutRow {
        service: CompactString::from("engines"),
        to: CompactString::from("v2"),
        order: 3,
        started_ms: 1_000,
        phase: Phase::Complete,
        share: 1.0,
        reference: None,
        stepped_ms: 0,
        withdrawn: Vec::new(),
    };
    let mut state = state();
    state.handle(Event::RolloutRead(row, 7), millis(0));
    state.handle(Event::RolloutsSynced, millis(0));
    state.handle(Event::OrderRead(order(3)), millis(5));
    let rollouts = state.view().rollouts;
    assert!((rollouts[0].share - 1.0).abs() < f64::EPSILON);
    assert_eq!(tick(&mut state, 90_000), []);
}

fn begin(state: &mut State) -> RolloutRow {
    state.handle(Event::OrderRead(order(3)), millis(0));
    let effects = tick(state, 1_000);
    let [Effect::AdvanceRollout(row, 0)] = &*effects else {
        panic!("{effects:?}");
    };
    row.clone()
}

fn share(state: &State) -> f64 {
    state.view().rollouts[0].share
}

#[test]
fn new_version_gets_no_traffic_before_rollout_starts() {
    let mut state = state();
    let row = begin(&mut state);
    assert!(share(&state).abs() < f64::EPSILON);
    state.handle(Event::RolloutRead(row, 12), millis(0));
    assert!(share(&state) > 0.0);
}

// If another gateway has already changed the phase, this one's write fails on the
// row's version.
#[test]
fn phase_change_is_conditional_on_version_read() {
    let mut state = state();
    let row = begin(&mut state);
    state.handle(Event::RolloutRead(row.clone(), 12), millis(0));
    receive(&mut state, "edge-2", good_evidence());
    let effects = tick(&mut state, 1_000 + 12_500);
    let mut spread = row.clone();
    spread.phase = Phase::Spread;
    spread.share = 0.3;
    spread.stepped_ms = 1_000 + 12_500;
    spread.reference = Reference::of(&good_evidence().into());
    assert!(spread.reference.is_some());
    assert_eq!(effects, [Effect::AdvanceRollout(spread.clone(), 12)]);
    state.handle(Event::RolloutRead(spread, 15), millis(0));
    // A row that is read out of order does not replace a newer one.
    state.handle(Event::RolloutRead(row, 12), millis(0));
    assert!((share(&state) - 0.3).abs() < f64::EPSILON);
}

// Alone, without the others' requests, its own part of the traffic looks like all.
#[test]
fn gateway_that_does_not_know_the_others_raises_unproven_share() {
    let mut state = state();
    state.handle(
        Event::LimitsRead {
            exposure_share: 0.15,
            exposure_slack: 30.0,
            drain_limit: Duration::from_secs(2),
        },
        millis(0),
    );
    let row = begin(&mut state);
    state.handle(Event::RolloutRead(row, 12), millis(0));
    let answered = |answered: f64| Outcomes {
        answered,
        ..Outcomes::default()
    };
    let all = Comparison {
        old: answered(60.0),
        new: answered(3.0),
    };
    receive(&mut state, "edge-2", RolloutEvidence { all, recent: all });
    assert_eq!(tick(&mut state, 1_000 + 16_000), []);
    state.handle(Event::GatewaysRead(Vec::new()), millis(0));
    let effects = tick(&mut state, 1_000 + 16_000);
    let [Effect::AdvanceRollout(row, 12)] = &*effects else {
        panic!("{effects:?}");
    };
    assert_eq!(row.phase, Phase::Spread);
    assert!(row.share <= 0.25);
}

fn good_evidence() -> RolloutEvidence {
    let answered = |answered: f64| Outcomes {
        answered,
        timed: answered,
        ..Outcomes::default()
    };
    let all = Comparison {
        old: answered(400.0),
        new: answered(40.0),
    };
    RolloutEvidence { all, recent: all }
}

fn receive(state: &mut State, node: &str, evidence: RolloutEvidence) {
    let outcomes = OutcomesView {
        service: "engines".into(),
        order: order(3).id,
        evidence,
        routes: RouteEvidence::default(),
        is_withdrawn: false,
    };
    let node = node.into();
    state.handle(Event::OutcomesReceived { node, outcomes }, millis(0));
}

// A gateway's own row in the store counted as one more gateway that had not reported, so
// that no service with few requests spent the slack of its exposure.
#[test]
fn own_row_in_store_keeps_gateways_from_knowing_all() {
    let mut state = state();
    state.handle(
        Event::LimitsRead {
            exposure_share: 0.15,
            exposure_slack: 30.0,
            drain_limit: Duration::from_secs(2),
        },
        millis(0),
    );
    let row = begin(&mut state);
    state.handle(Event::RolloutRead(row, 12), millis(0));
    let answered = |answered: f64| Outcomes {
        answered,
        ..Outcomes::default()
    };
    let all = Comparison {
        old: answered(60.0),
        new: answered(3.0),
    };
    receive(&mut state, "edge-2", RolloutEvidence { all, recent: all });
    let addr = |port: u16| SocketAddr::from(([10, 0, 0, 1], port));
    state.handle(Event::AddressSet(addr(1)), millis(0));
    state.handle(Event::GatewaysRead(vec![addr(1), addr(2)]), millis(0));
    let effects = tick(&mut state, 1_000 + 16_000);
    assert!(
        matches!(&*effects, [.., Effect::AdvanceRollout(row, 12)] if row.phase == Phase::Spread),
        "{effects:?}"
    );
    let unheard = vec![addr(1), addr(2), addr(3)];
    state.handle(Event::GatewaysRead(unheard), millis(0));
    assert_eq!(tick(&mut state, 1_000 + 16_000), []);
}

// A gateway that could not write went on with the canary while the revert was due.
#[test]
fn withdrawal_that_is_not_written_takes_no_effect() {
    let mut state = state();
    let row = begin(&mut state);
    state.handle(Event::RolloutRead(row, 12), millis(0));
    assert!(share(&state) > 0.0);
    // The time for the first step has passed without any answer.
    let effects = tick(&mut state, 1_000 + 24_500);
    assert!(effects.contains(&Effect::Publish), "{effects:?}");
    assert_eq!(state.view().rollouts[0].withdrawn, ["v2"]);
    assert!(share(&state).abs() < f64::EPSILON);
}

// Only the gateway that had the evidence stopped sending requests to a bad version.
#[test]
fn withdrawal_is_not_told_to_gateways_without_store() {
    let mut state = state();
    let row = begin(&mut state);
    state.handle(Event::RolloutRead(row, 12), millis(0));
    let told = OutcomesView {
        service: "engines".into(),
        order: order(3).id,
        evidence: RolloutEvidence::default(),
        routes: RouteEvidence::default(),
        is_withdrawn: true,
    };
    let node = "edge-2".into();
    let outcomes = told.clone();
    state.handle(Event::OutcomesReceived { node, outcomes }, millis(0));
    state.handle(Event::Tick { store_now: None }, millis(200));
    assert_eq!(state.view().rollouts[0].withdrawn, ["v2"]);
    assert!(state.view().outcomes[0].is_withdrawn);
}

// The upstreams of a slow version were there so late that the canary had no answers,
// and all traffic moved. Seen on mwlsa-lathe-grown, day hasty.
#[test]
fn traffic_spreads_to_version_without_answers() {
    let mut state = state();
    let row = begin(&mut state);
    state.handle(Event::RolloutRead(row, 12), millis(0));
    assert_eq!(tick(&mut state, 1_000 + 12_500), []);
}

// No single gateway has enough evidence.
#[test]
fn evidence_of_all_gateways_is_added() {
    let mut state = state();
    let row = begin(&mut state);
    state.handle(Event::RolloutRead(row, 12), millis(0));
    let all = Comparison {
        old: Outcomes {
            answered: 90.0,
            ..Outcomes::default()
        },
        new: Outcomes {
            answered: 8.0,
            failed: 2.5,
            ..Outcomes::default()
        },
    };
    let evidence = RolloutEvidence { all, recent: all };
    for node in ["edge-2", "edge-3", "edge-4", "edge-5"] {
        let before = tick(&mut state, 2_000);
        assert!(
            node > "edge-3" || before.is_empty(),
            "{before:?} before {node}"
        );
        receive(&mut state, node, evidence);
    }
    let effects = tick(&mut state, 2_000);
    let [Effect::AdvanceRollout(row, 12)] = &*effects else {
        panic!("{effects:?}");
    };
    assert_eq!(row.phase, Phase::Reverted);
    // The version gets no traffic from this gateway, even if the store is
    // unreachable.
    assert!(share(&state).abs() < f64::EPSILON);
    assert_eq!(state.view().rollouts[0].withdrawn, ["v2"]);
}

// The write waits for the store, and requests went to the version until then.
#[test]
fn withdrawal_is_published_after_its_write() {
    let mut state = state();
    let row = begin(&mut state);
    state.handle(Event::RolloutRead(row, 12), millis(0));
    let all = Comparison {
        old: Outcomes {
            answered: 360.0,
            ..Outcomes::default()
        },
        new: Outcomes {
            answered: 32.0,
            failed: 20.0,
            ..Outcomes::default()
        },
    };
    receive(&mut state, "edge-2", RolloutEvidence { all, recent: all });
    let effects = tick(&mut state, 2_000);
    assert!(
        matches!(&*effects, [Effect::Publish, Effect::AdvanceRollout(_, 12)]),
        "{effects:?}"
    );
}

#[test]
fn outcomes_before_order_are_ignored() {
    let mut state = state();
    let bad = Outcomes {
        answered: 100.0,
        failed: 60.0,
        ..Outcomes::default()
    };
    let earlier = vec![("engines".into(), "v2".into(), bad)];
    state.handle(Event::OutcomesCounted(earlier.clone()), millis(0));
    let row = begin(&mut state);
    state.handle(Event::RolloutRead(row, 12), millis(0));
    state.handle(Event::OutcomesCounted(earlier), millis(0));
    assert_eq!(tick(&mut state, 1_200), []);
}

#[test]
fn view_is_synced_after_all_routing_data_was_read() {
    let mut state = state();
    configured(&mut state, 1);
    assert!(!state.view().is_synced);
    state.handle(Event::RegistrationsRead(Vec::new()), millis(0));
    assert!(!state.view().is_synced);
    state.handle(Event::RolloutsSynced, millis(0));
    assert!(state.view().is_synced);
}

#[test]
fn later_order_starts_new_rollout() {
    let mut state = state();
    let mut row = begin(&mut state);
    row.phase = Phase::Reverted;
    state.handle(Event::RolloutRead(row, 12), millis(0));
    state.handle(Event::OrderRead(order(20)), millis(0));
    let effects = tick(&mut state, 9_000);
    let [Effect::AdvanceRollout(next, 12)] = &*effects else {
        panic!("{effects:?}");
    };
    assert_eq!((next.order, next.phase), (20, Phase::Canary));
}

fn reverted(state: &mut State) -> RolloutRow {
    let mut row = begin(state);
    row.phase = Phase::Reverted;
    state.handle(Event::RolloutRead(row.clone(), 12), millis(0));
    row
}

fn later_tick(state: &mut State, ms: u64) -> Vec<Effect> {
    let store_now = Some(millis(ms));
    state.handle(Event::Tick { store_now }, millis(ms))
}

// The order got a higher version when it was written again, and counted as the
// operator's order to try the version once more.
#[test_case(20; "higher version")]
#[test_case(2; "lower version")]
#[test_case(3; "same version")]
fn withdrawal_forgotten_after_order_is_written_again(version: u64) {
    let mut state = state();
    let mut row = reverted(&mut state);
    state.handle(Event::StoreRestored(COPY_VERSION), millis(5_000));
    assert!(share(&state).abs() < f64::EPSILON);
    state.handle(Event::RolloutsSynced, millis(5_100));
    state.handle(Event::OrderRead(order_in(1, version)), millis(5_200));
    assert!(share(&state).abs() < f64::EPSILON);
    assert_eq!(state.view().rollouts[0].withdrawn, ["v2"]);
    // The store lost the row, so it is written again.
    row.order = version;
    assert!(state.needs_rollout_rows());
    let effects = later_tick(&mut state, 6_000);
    assert_eq!(effects, [Effect::AdvanceRollout(row.clone(), 0)]);
    state.handle(Event::RolloutRead(row, 4), millis(6_100));
    assert_eq!(later_tick(&mut state, 6_200), []);
    assert!(!state.needs_rollout_rows());
}

// The copy held the row from before the withdrawal.
#[test]
fn withdrawal_replaced_by_earlier_phase_of_copy() {
    let mut state = state();
    let row = reverted(&mut state);
    let mut canary = row.clone();
    canary.phase = Phase::Canary;
    state.handle(Event::StoreRestored(COPY_VERSION), millis(5_000));
    state.handle(Event::RolloutRead(canary, 9), millis(5_100));
    state.handle(Event::RolloutsSynced, millis(5_100));
    state.handle(Event::OrderRead(order_in(1, 3)), millis(5_200));
    assert!(share(&state).abs() < f64::EPSILON);
    let effects = later_tick(&mut state, 6_000);
    assert_eq!(effects, [Effect::AdvanceRollout(row, 9)]);
}

// The copy held the order before the known one, which was written again later.
#[test]
fn withdrawal_forgotten_while_copy_holds_earlier_order() {
    let mut state = state();
    let mut row = reverted(&mut state);
    let mut earlier = order_in(1, 1);
    earlier.to = CompactString::from("v1");
    let earlier_row = RolloutRow {
        to: CompactString::from("v1"),
        order: 1,
        phase: Phase::Complete,
        share: 1.0,
        stepped_ms: 0,
        ..row.clone()
    };
    state.handle(Event::StoreRestored(COPY_VERSION), millis(5_000));
    state.handle(Event::OrderRead(earlier), millis(5_050));
    state.handle(Event::RolloutRead(earlier_row, 2), millis(5_100));
    state.handle(Event::RolloutsSynced, millis(5_100));
    assert_eq!(state.view().rollouts[0].to, "v1");
    assert!((share(&state) - 1.0).abs() < f64::EPSILON);
    assert_eq!(later_tick(&mut state, 5_900), []);
    state.handle(Event::OrderRead(order_in(1, 6)), millis(6_000));
    assert_eq!(state.view().rollouts[0].withdrawn, ["v2"]);
    row.order = 6;
    let effects = later_tick(&mut state, 6_200);
    assert_eq!(effects, [Effect::AdvanceRollout(row, 2)]);
}

// As above, and the store was restored once more before that.
#[test]
fn withdrawal_forgotten_after_two_restores() {
    let mut state = state();
    reverted(&mut state);
    for era in 1..=2 {
        state.handle(Event::StoreRestored(COPY_VERSION), millis(5_000 * era));
        state.handle(Event::RolloutsSynced, millis(5_000 * era));
        let mut earlier = order_in(era, 1);
        earlier.to = CompactString::from("v1");
        state.handle(Event::OrderRead(earlier), millis(5_000 * era));
    }
    state.handle(Event::OrderRead(order_in(2, 6)), millis(11_000));
    assert_eq!(state.view().rollouts[0].to, "v2");
    assert_eq!(state.view().rollouts[0].withdrawn, ["v2"]);
}

#[test]
fn order_of_another_version_after_restore_starts_rollout() {
    let mut state = state();
    reverted(&mut state);
    state.handle(Event::StoreRestored(COPY_VERSION), millis(5_000));
    state.handle(Event::RolloutsSynced, millis(5_100));
    let mut next = order_in(1, 2);
    next.to = CompactString::from("v3");
    state.handle(Event::OrderRead(next), millis(5_200));
    let effects = later_tick(&mut state, 6_000);
    let [Effect::AdvanceRollout(row, 0)] = &*effects else {
        panic!("{effects:?}");
    };
    assert_eq!((row.to.as_str(), row.phase), ("v3", Phase::Canary));
    assert_eq!(row.withdrawn, ["v2"]);
}

#[test]
fn same_order_long_after_restore_starts_rollout() {
    let mut state = state();
    reverted(&mut state);
    state.handle(Event::StoreRestored(COPY_VERSION), millis(5_000));
    state.handle(Event::RolloutsSynced, millis(5_100));
    state.handle(Event::OrderRead(order_in(1, 2)), millis(5_200));
    state.handle(Event::OrderRead(order_in(1, 50)), millis(40_000));
    let effects = later_tick(&mut state, 40_200);
    let [Effect::AdvanceRollout(row, 0)] = &*effects else {
        panic!("{effects:?}");
    };
    assert_eq!((row.order, row.phase), (50, Phase::Canary));
}

#[test_case(false; "still registered")]
#[test_case(true; "removed before the restore")]
fn leaving_upstream_used_again_by_registration_of_copy(removed: bool) {
    let mut state = state();
    let copied = upstream("i-1", 10);
    state.handle(Event::UpstreamRegistered(copied.clone()), millis(0));
    let mut leaving = upstream("i-1", 10);
    leaving.upstream.is_leaving = true;
    leaving.sequence = Some(2);
    state.handle(Event::UpstreamRegistered(leaving), millis(100));
    if removed {
        state.handle(Event::UpstreamUnregistered("i-1".into()), millis(900));
    }
    state.handle(Event::StoreRestored(COPY_VERSION), millis(5_000));
    state.handle(Event::RegistrationsRead(vec![copied]), millis(5_100));
    let upstreams = state.view().upstreams;
    assert!(upstreams.values().all(|known| known.is_leaving));
    // A later write of the same process counts.
    let mut alive = upstream("i-1", 10);
    alive.sequence = Some(3);
    alive.version = COPY_VERSION + 1;
    state.handle(Event::UpstreamRegistered(alive), millis(6_000));
    let upstreams = state.view().upstreams;
    assert!(upstreams.values().any(|known| !known.is_leaving));
}

// The copy lacked the registrations of upstreams that started after it.
#[test]
fn upstream_missing_in_copy_is_kept_until_it_writes_again() {
    let mut state = state();
    state.handle(Event::UpstreamRegistered(upstream("i-1", 10)), millis(0));
    state.handle(Event::StoreRestored(COPY_VERSION), millis(5_000));
    state.handle(Event::RegistrationsRead(Vec::new()), millis(5_100));
    assert_eq!(names(&state), ["i-1"]);
}

/// A state that has read the registration of an upstream once and then that it is gone.
fn removed() -> State {
    let mut state = state();
    state.handle(Event::UpstreamRegistered(upstream("i-1", 10)), millis(0));
    state.handle(Event::UpstreamUnregistered("i-1".into()), millis(900));
    state
}

/// Registration of a restored copy with a write that no gateway but the reader has read.
fn copied() -> Registration {
    Registration {
        sequence: Some(20),
        ..upstream("i-1", 10)
    }
}

// See review/3: a copy held a beat that one gateway had not read.
#[test]
fn removed_upstream_used_again_by_unread_write_of_copy() {
    let mut state = removed();
    state.handle(Event::StoreRestored(COPY_VERSION), millis(5_000));
    // The second read is one after the store dropped its history.
    for now_ms in [5_100, 200_000] {
        state.handle(Event::RegistrationsRead(vec![copied()]), millis(now_ms));
        state.handle(Event::Tick { store_now: None }, millis(now_ms));
        assert!(names(&state).is_empty());
    }
    let mut alive = copied();
    alive.version = COPY_VERSION + 1;
    state.handle(Event::RegistrationsRead(vec![alive]), millis(201_000));
    assert_eq!(names(&state), ["i-1"]);
}

#[test]
fn removed_upstream_used_again_after_second_restore() {
    let mut state = removed();
    state.handle(Event::StoreRestored(COPY_VERSION), millis(5_000));
    state.handle(Event::RegistrationsRead(vec![copied()]), millis(5_100));
    state.handle(Event::StoreRestored(COPY_VERSION + 5), millis(9_000));
    state.handle(Event::RegistrationsRead(vec![copied()]), millis(9_100));
    assert!(names(&state).is_empty());
}

#[test]
fn upstream_that_returned_before_restore_is_used_by_copy() {
    let mut state = removed();
    state.handle(
        Event::UpstreamRegistered(upstream("i-1", 10)),
        millis(2_000),
    );
    state.handle(Event::StoreRestored(COPY_VERSION), millis(5_000));
    state.handle(Event::RegistrationsRead(vec![copied()]), millis(5_100));
    assert_eq!(names(&state), ["i-1"]);
}

#[test]
fn restarted_upstream_is_used_by_copy() {
    let mut state = removed();
    state.handle(Event::StoreRestored(COPY_VERSION), millis(5_000));
    let restarted = upstream("i-1", 20);
    state.handle(Event::RegistrationsRead(vec![restarted]), millis(5_100));
    assert_eq!(names(&state), ["i-1"]);
}

// The copy's row of the earlier process replaced the one that runs.
#[test]
fn earlier_process_of_copy_replaces_restarted_upstream() {
    let mut state = state();
    state.handle(Event::UpstreamRegistered(upstream("i-1", 10)), millis(0));
    state.handle(Event::UpstreamRegistered(upstream("i-1", 20)), millis(900));
    let before: Vec<_> = state.view().upstreams.keys().collect();
    state.handle(Event::StoreRestored(COPY_VERSION), millis(5_000));
    state.handle(Event::RegistrationsRead(vec![copied()]), millis(5_100));
    let after: Vec<_> = state.view().upstreams.keys().collect();
    assert_eq!(after, before);
}

// The copy's row made an upstream whose absence had been read count as back.
#[test]
fn lapsed_upstream_kept_by_copy() {
    let mut state = state();
    state.handle(Event::UpstreamRegistered(upstream("i-1", 10)), millis(0));
    state.handle(Event::StoreRecovered(millis(4_000)), millis(10_000));
    state.handle(Event::UpstreamUnregistered("i-1".into()), millis(10_100));
    state.handle(Event::StoreRestored(COPY_VERSION), millis(10_500));
    state.handle(Event::RegistrationsRead(vec![copied()]), millis(10_600));
    state.handle(Event::Tick { store_now: None }, millis(11_400));
    assert!(names(&state).is_empty());
}

// Gateways whose digests differ read the table again and again.
#[test]
fn copy_resolves_alike_for_reader_and_others() {
    let beat = |sequence| Registration {
        sequence: Some(sequence),
        ..upstream("i-1", 10)
    };
    let (mut reader, mut other) = (state(), state());
    for sequence in 1..=30 {
        reader.handle(Event::UpstreamRegistered(beat(sequence)), millis(0));
    }
    other.handle(Event::UpstreamRegistered(beat(1)), millis(0));
    for is_removed in [false, true] {
        for state in [&mut reader, &mut other] {
            if is_removed {
                state.handle(Event::UpstreamUnregistered("i-1".into()), millis(900));
            }
            state.handle(Event::StoreRestored(COPY_VERSION), millis(5_000));
        }
        let row = copied();
        assert_eq!(reader.resolve(&row), other.resolve(&row));
        assert_eq!(reader.resolve(&row).is_none(), is_removed);
    }
}

// A key that an unreadable configuration takes away ran for good.
#[test]
fn unreadable_configuration_confirms_the_one_before() {
    let mut state = state();
    let known = |version| {
        Event::ConfigurationRead(Box::new(Catalog {
            version,
            ..Catalog::default()
        }))
    };
    state.handle(known(5), millis(0));
    state.handle(Event::ConfigurationConfirmed(millis(100)), millis(100));
    state.handle(Event::ConfigurationUnreadable, millis(200));
    state.handle(Event::ConfigurationConfirmed(millis(300)), millis(300));
    assert_eq!(state.view().confirmed_at, millis(100));
    assert!(state.is_configuration_unreadable());
    assert_eq!(state.view().catalog.map(|catalog| catalog.version), Some(5));
    state.handle(known(9), millis(400));
    state.handle(Event::ConfigurationConfirmed(millis(500)), millis(500));
    assert_eq!(state.view().confirmed_at, millis(500));
    assert_eq!(state.view().catalog.map(|catalog| catalog.version), Some(9));
}
