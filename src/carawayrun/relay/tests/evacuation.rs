use std::time::Duration;

use compact_str::CompactString;
use proptest::prelude::*;
use test_case::test_case;

use crate::relay::catalog::Catalog;
use crate::relay::control::{Effect, Event, Registration, State};
use crate::relay::evacuation::Evacuation;
use crate::relay::rollout::{OrderId, Phase, RolloutOrder, RolloutRow};
use crate::relay::view::Upstream;

const LIMIT: Duration = Duration::from_secs(5);

/// Time of the last confirmation before the order, on the boot clock.
const CONFIRMED: Duration = Duration::from_secs(100);

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Time after [`CONFIRMED`].
fn after(ms: u64) -> Duration {
    CONFIRMED + millis(ms)
}

fn id(era: u64, version: u64) -> OrderId {
    OrderId { era, version }
}

/// A relay whose configuration was confirmed.
fn confirmed() -> State {
    let mut state = State::new("edge-1", 0.15, Duration::from_secs(2));
    state.handle(
        Event::ConfigurationRead(Box::<Catalog>::default()),
        CONFIRMED,
    );
    state.handle(Event::ConfigurationConfirmed(CONFIRMED), CONFIRMED);
    state
}

fn read(state: &mut State, data_centre: &str, id: OrderId, now: Duration) -> Vec<Effect> {
    state.handle(Event::EvacuationRead(data_centre.into(), id), now)
}

fn remove(state: &mut State, data_centre: &str, now: Duration) {
    state.handle(Event::EvacuationRemoved(data_centre.into()), now);
}

fn read_all(state: &mut State, orders: &[(&str, OrderId)], now: Duration) {
    let orders = orders.iter();
    let orders = orders.map(|(name, id)| (CompactString::from(*name), *id));
    state.handle(Event::EvacuationsRead(orders.collect()), now);
}

fn tick(state: &mut State, now: Duration) {
    state.handle(Event::Tick { store_now: None }, now);
}

fn out(state: &State) -> Vec<CompactString> {
    let orders = state.view().evacuations.into_iter();
    orders.map(|order| order.data_centre).collect()
}

fn share(state: &State, now: Duration) -> f64 {
    state.view().evacuations[0].share(LIMIT, now)
}

fn is_none(share: f64) -> bool {
    share <= 0.0
}

#[test]
fn share_falls_from_read_to_half_of_limit() {
    let mut state = confirmed();
    let effects = read(&mut state, "a", id(0, 3), after(500));
    assert_eq!(effects, [Effect::Publish]);
    assert!((share(&state, after(500)) - 1.0).abs() < 1e-9);
    assert!((share(&state, after(1_500)) - 0.5).abs() < 1e-9);
    assert!(is_none(share(&state, after(2_500))));
    assert!(is_none(share(&state, after(60_000))));
}

// The order may have been given right after the last confirmation.
#[test_case(2_500; "at half of the limit")]
#[test_case(4_900; "shortly before the limit")]
#[test_case(60_000; "after an outage or a freeze")]
fn order_read_late_takes_effect_at_once(age_ms: u64) {
    let mut state = confirmed();
    read(&mut state, "a", id(0, 3), after(age_ms));
    assert!(is_none(share(&state, after(age_ms))));
}

#[test]
fn order_read_at_start_takes_effect_at_once() {
    let mut state = State::new("edge-1", 0.15, Duration::from_secs(2));
    read_all(&mut state, &[("a", id(0, 3))], millis(300));
    assert_eq!(out(&state), ["a"]);
    assert!(is_none(share(&state, millis(300))));
}

// The configuration that follows in the same read must not be used without the order.
#[test]
fn confirmation_after_order_does_not_renew_it() {
    let mut state = confirmed();
    read(&mut state, "a", id(0, 3), after(500));
    state.handle(Event::ConfigurationConfirmed(after(2_400)), after(2_400));
    read(&mut state, "a", id(0, 3), after(2_400));
    assert!(is_none(share(&state, after(2_500))));
}

#[test_case(id(0, 3); "the same row")]
#[test_case(id(0, 7); "written again")]
#[test_case(id(0, 2); "an earlier version")]
fn repeated_row_does_not_begin_anew(repeated: OrderId) {
    let mut state = confirmed();
    read(&mut state, "a", id(0, 3), after(500));
    state.handle(Event::ConfigurationConfirmed(after(2_000)), after(2_000));
    read(&mut state, "a", repeated, after(2_200));
    let known = &state.view().evacuations[0];
    assert_eq!(known.id, repeated.max(id(0, 3)));
    assert_eq!(known.read_at, after(500));
    assert!(is_none(share(&state, after(2_500))));
}

#[test]
fn order_taken_back_and_given_again_begins_anew() {
    let mut state = confirmed();
    read(&mut state, "a", id(0, 3), after(500));
    remove(&mut state, "a", after(9_000));
    assert!(out(&state).is_empty());
    state.handle(Event::ConfigurationConfirmed(after(9_500)), after(9_500));
    read(&mut state, "a", id(0, 9), after(10_000));
    assert!(share(&state, after(10_000)) > 0.99);
    assert!(is_none(share(&state, after(12_000))));
}

#[test]
fn removal_of_unknown_order_changes_nothing() {
    let mut state = confirmed();
    let effects = state.handle(Event::EvacuationRemoved("a".into()), after(10));
    assert_eq!(effects, []);
}

#[test]
fn order_missing_in_whole_read_was_taken_back() {
    let mut state = confirmed();
    read(&mut state, "a", id(0, 3), after(500));
    read(&mut state, "b", id(0, 4), after(500));
    read_all(&mut state, &[("b", id(0, 4))], after(9_000));
    assert_eq!(out(&state), ["b"]);
}

#[test]
fn orders_for_all_data_centres_hold() {
    let mut state = confirmed();
    for (version, name) in ["a", "b", "c"].into_iter().enumerate() {
        read(&mut state, name, id(0, version as u64), after(500));
    }
    assert_eq!(out(&state), ["a", "b", "c"]);
}

#[test]
fn order_that_restored_copy_lacks_holds_until_rewritten() {
    let mut state = confirmed();
    read(&mut state, "a", id(0, 90), after(500));
    state.handle(Event::StoreRestored(70), after(10_000));
    assert_eq!(out(&state), ["a"]);
    read_all(&mut state, &[], after(10_100));
    assert_eq!(out(&state), ["a"]);
    tick(&mut state, after(20_000));
    read(&mut state, "a", id(1, 75), after(20_100));
    assert_eq!(state.view().evacuations[0].read_at, after(500));
    tick(&mut state, after(60_000));
    assert_eq!(out(&state), ["a"]);
    remove(&mut state, "a", after(60_100));
    assert!(out(&state).is_empty());
}

#[test]
fn order_that_nobody_writes_again_after_restore_ends() {
    let mut state = confirmed();
    read(&mut state, "a", id(0, 90), after(500));
    state.handle(Event::StoreRestored(70), after(10_000));
    read_all(&mut state, &[], after(10_100));
    tick(&mut state, after(39_900));
    assert_eq!(out(&state), ["a"]);
    tick(&mut state, after(40_100));
    assert!(out(&state).is_empty());
}

#[test]
fn take_back_after_restore_ends_order_at_once() {
    let mut state = confirmed();
    read(&mut state, "a", id(0, 50), after(500));
    state.handle(Event::StoreRestored(70), after(10_000));
    read_all(&mut state, &[("a", id(1, 50))], after(10_100));
    remove(&mut state, "a", after(11_000));
    assert!(out(&state).is_empty());
}

// It may be of any age there.
#[test]
fn order_of_restored_copy_takes_effect_at_once() {
    let mut state = confirmed();
    read(&mut state, "a", id(0, 50), after(500));
    remove(&mut state, "a", after(8_000));
    state.handle(Event::ConfigurationConfirmed(after(9_900)), after(9_900));
    state.handle(Event::StoreRestored(70), after(10_000));
    read_all(&mut state, &[("a", id(1, 50))], after(10_100));
    assert_eq!(out(&state), ["a"]);
    assert!(is_none(share(&state, after(10_100))));
}

#[test]
fn order_missing_in_second_read_after_restore_was_taken_back() {
    let mut state = confirmed();
    read(&mut state, "a", id(0, 50), after(500));
    state.handle(Event::StoreRestored(70), after(10_000));
    read_all(&mut state, &[("a", id(1, 50))], after(10_100));
    read_all(&mut state, &[], after(12_000));
    assert!(out(&state).is_empty());
}

fn register(state: &mut State, number: u64, data_centre: &str, version: &str) {
    let upstream = Upstream {
        name: CompactString::from(format!("i-{number}")),
        born_ms: 10,
        service: CompactString::const_new("engines"),
        addr: "10.0.0.1:80".parse().unwrap(),
        data_centre: data_centre.into(),
        version: version.into(),
        slots: 10,
        is_leaving: false,
    };
    let registration = Registration {
        upstream,
        sequence: Some(1),
        version: number,
        cold_for: Duration::ZERO,
    };
    state.handle(Event::UpstreamRegistered(registration), CONFIRMED);
}

// What runs there goes on, and it counts as before once it is taken back.
#[test]
fn evacuation_keeps_upstreams_registered() {
    let mut state = confirmed();
    register(&mut state, 1, "a", "v1");
    register(&mut state, 2, "b", "v1");
    read(&mut state, "a", id(0, 3), after(500));
    tick(&mut state, after(9_000));
    assert_eq!(state.view().upstreams.len(), 2);
}

// An open roll-out goes on through an evacuation that is given and taken back.
#[test]
fn rollout_goes_on_through_evacuation() {
    let mut state = confirmed();
    register(&mut state, 1, "a", "v1");
    register(&mut state, 2, "b", "v2");
    state.handle(Event::RolloutsSynced, CONFIRMED);
    let order = RolloutOrder {
        service: CompactString::const_new("engines"),
        to: CompactString::const_new("v2"),
        limit: Duration::from_secs(20),
        id: id(0, 3),
    };
    state.handle(Event::OrderRead(order), CONFIRMED);
    let row = RolloutRow {
        service: CompactString::const_new("engines"),
        to: CompactString::const_new("v2"),
        order: 3,
        started_ms: 1_000,
        phase: Phase::Canary,
        share: 1.0,
        reference: None,
        stepped_ms: 0,
        withdrawn: Vec::new(),
    };
    state.handle(Event::RolloutRead(row, 7), CONFIRMED);
    let before = state.view().rollouts;
    read(&mut state, "b", id(0, 8), after(500));
    tick(&mut state, after(3_000));
    remove(&mut state, "b", after(6_000));
    tick(&mut state, after(6_200));
    assert_eq!(state.view().rollouts, before);
}

proptest! {
    // Whenever the order was given after the last confirmation, and whenever it was read.
    #[test]
    fn nothing_is_sent_from_half_of_limit_on(
        given_ms in 0_u64..20_000,
        read_after_ms in 0_u64..20_000,
        sent_after_ms in 0_u64..20_000,
        limit_ms in 1_u64..20_000,
    ) {
        let evacuation = Evacuation {
            data_centre: CompactString::const_new("a"),
            id: id(0, 1),
            read_at: after(given_ms + read_after_ms),
            ordered_after: Some(CONFIRMED),
        };
        let sent_at = evacuation.read_at + millis(sent_after_ms);
        let share = evacuation.share(millis(limit_ms), sent_at);
        prop_assert!((0.0..=1.0).contains(&share));
        let is_due = sent_at >= after(given_ms) + millis(limit_ms).div_f64(2.0);
        prop_assert!(!is_due || share <= 0.0, "{share}");
    }
}
