use std::time::Duration;

use crate::store::pool::{MAX_SILENCE, PoolState};

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn silent_connections_are_replaced_and_call_is_repeated() {
    let mut state = PoolState::new();
    let before = state.current();
    state.record_answer(before, Some(millis(4)), Duration::ZERO);
    assert!(state.record_silence(before));
    assert!(state.current() > before);
}

// All calls that were under way on the same connections are repeated, and the new
// connections are not given up for them.
#[test]
fn silence_of_several_calls_replaces_connections_once() {
    let mut state = PoolState::new();
    let before = state.current();
    state.record_answer(before, Some(millis(4)), Duration::ZERO);
    assert!(state.record_silence(before));
    let after = state.current();
    assert!(state.record_silence(before));
    assert_eq!(state.current(), after);
}

// A service that is away gets one repeated call for each that was under way, and
// none later.
#[test]
fn silence_of_new_connections_is_not_repeated() {
    let mut state = PoolState::new();
    let first = state.current();
    assert!(!state.record_silence(first));
    let second = state.current();
    assert!(second > first);
    state.record_answer(second, Some(millis(4)), Duration::ZERO);
    assert!(state.record_silence(second));
    assert!(!state.record_silence(state.current()));
}

#[test]
fn slow_service_is_not_taken_for_silent_connections() {
    let mut state = PoolState::new();
    assert_eq!(state.max_silence(), MAX_SILENCE);
    state.record_answer(state.current(), Some(millis(4)), Duration::ZERO);
    assert_eq!(state.max_silence(), millis(300));
    // An answer that was held back says nothing about the service's speed.
    state.record_answer(state.current(), None, Duration::ZERO);
    assert_eq!(state.max_silence(), millis(300));
    state.record_answer(state.current(), Some(millis(240)), Duration::ZERO);
    assert_eq!(state.max_silence(), millis(720));
    state.record_answer(state.current(), Some(millis(500)), Duration::ZERO);
    assert_eq!(state.max_silence(), MAX_SILENCE);
    for _ in 0..40 {
        state.record_answer(state.current(), Some(millis(4)), Duration::ZERO);
    }
    assert_eq!(state.max_silence(), millis(300));
}

// The limit held for the whole answer, so that a long one was cut while it arrived.
#[test]
fn silence_within_answer_counts_and_its_length_does_not() {
    let mut state = PoolState::new();
    state.record_answer(state.current(), Some(millis(4)), millis(20));
    assert_eq!(state.max_silence(), millis(300));
    state.record_answer(state.current(), None, millis(240));
    assert_eq!(state.max_silence(), millis(720));
}
