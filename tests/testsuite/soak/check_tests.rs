//! Each check reports a history that violates its guarantee, and no other.

use std::time::Duration;

use actix_rt::time::sleep;
use test_case::test_case;

use super::check::{REVOKE_MS, find_violations, stream_body};
use super::history::{
    Disturbance, Exchange, FaultTarget, History, Key, NamedLimit, RequestKind, Run, Stop,
};
use crate::support::platform::{Arrival, PlatformWorld};
use crate::support::{Passing, Relay};

const SENT: u64 = 100_000;

fn exchange(kind: RequestKind) -> Exchange {
    let body = match kind {
        kind if kind.is_stream() => stream_body(),
        _ => "u-1 ran r-1\n".to_owned(),
    };
    Exchange {
        id: "r-1".to_owned(),
        kind,
        key: "shop-key".to_owned(),
        relay: 0,
        incarnation: 1,
        sent: SENT,
        ended: SENT + 100,
        status: Some(200),
        complete: true,
        body,
        echoed_id: Some("r-1".to_owned()),
    }
}

fn run(kind: RequestKind) -> Run {
    Run {
        id: "r-1".to_owned(),
        runner: "u-1".to_owned(),
        at_ms: SENT + 20,
        tenant: "shops".to_owned(),
        path: kind.path().to_owned(),
        body: kind.body("r-1"),
        forged: Vec::new(),
    }
}

fn history(kind: RequestKind) -> History {
    History {
        exchanges: vec![exchange(kind)],
        runs: vec![run(kind)],
        ..History::default()
    }
}

fn key(accepted: u64, revoked: Option<u64>) -> Key {
    Key {
        text: "shop-key-2".to_owned(),
        version: 2,
        accepted,
        revoked: revoked.map(|at| (at, at)),
    }
}

fn assert_violation(history: &History, expected: &str) {
    let violations = find_violations(history);
    assert_eq!(violations.len(), 1, "{violations:?}");
    assert!(violations[0].contains(expected), "{violations:?}");
}

#[test_case(RequestKind::Read)]
#[test_case(RequestKind::Switch)]
#[test_case(RequestKind::Stream)]
fn served_request_has_no_violation(kind: RequestKind) {
    assert_eq!(find_violations(&history(kind)), [""; 0]);
}

#[test]
fn switch_run_twice_is_reported() {
    let mut history = history(RequestKind::Switch);
    history.runs.push(run(RequestKind::Switch));
    assert_violation(&history, "ran 2 times");
}

#[test_case(429)]
#[test_case(503)]
fn refusal_of_executed_request_is_reported(status: u16) {
    let mut history = history(RequestKind::Switch);
    history.exchanges[0].status = Some(status);
    assert_violation(&history, "but it ran");
}

#[test]
fn answer_with_other_id_is_reported() {
    let mut history = history(RequestKind::Read);
    history.exchanges[0].echoed_id = Some("r-2".to_owned());
    assert_violation(&history, "answered with the id");
}

#[test]
fn body_from_no_run_is_reported() {
    let mut history = history(RequestKind::Read);
    history.exchanges[0].body = "u-2 ran r-1\n".to_owned();
    assert_violation(&history, "not its own answer");
}

#[test_case("id: 1\ndata: word 1\n\n", true; "a truncated stream that looks complete")]
#[test_case("id: 2\ndata: word 2\n\n", false; "a stream without its first event")]
fn wrong_stream_body_is_reported(body: &str, complete: bool) {
    let mut history = history(RequestKind::Stream);
    body.clone_into(&mut history.exchanges[0].body);
    history.exchanges[0].complete = complete;
    assert_violation(&history, "not its own answer");
}

#[test]
fn visibly_interrupted_stream_is_allowed() {
    let mut history = history(RequestKind::Stream);
    history.exchanges[0].body = "id: 1\ndata: word 1\n\n".to_owned();
    history.exchanges[0].complete = false;
    assert_eq!(find_violations(&history), [""; 0]);
}

#[test_case(|run| run.tenant = "depots".to_owned(); "for another team")]
#[test_case(|run| run.path = "/read/b".to_owned(); "with another path")]
#[test_case(|run| run.body = "other".to_owned(); "with another body")]
#[test_case(|run| run.forged.push("x-carawayrun-hold".to_owned()); "with a header of the client")]
fn run_that_differs_from_request_is_reported(change: fn(&mut Run)) {
    let mut history = history(RequestKind::Switch);
    change(&mut history.runs[0]);
    assert_violation(&history, "run as");
}

#[test]
fn run_without_request_is_reported() {
    let mut history = history(RequestKind::Switch);
    history.runs[0].id = "r-9".to_owned();
    history.exchanges[0].status = Some(502);
    assert_violation(&history, "ran without a request");
}

#[test]
fn run_with_revoked_key_is_reported() {
    let mut history = history(RequestKind::Switch);
    let revoked = SENT - REVOKE_MS - 1;
    history.keys.push(key(revoked - 10_000, Some(revoked)));
    "shop-key-2".clone_into(&mut history.exchanges[0].key);
    // A revoked key is a violation even while the store is disturbed.
    history.disturbances.push(Disturbance {
        target: FaultTarget::Store,
        from: 0,
        to: SENT,
    });
    assert_violation(&history, "after its key was revoked");
}

fn refused_history(key: &str) -> History {
    let mut history = history(RequestKind::Read);
    history.runs.clear();
    history.exchanges[0].status = Some(401);
    key.clone_into(&mut history.exchanges[0].key);
    history
}

#[test]
fn refused_permanent_key_is_reported() {
    assert_violation(
        &refused_history("shop-key"),
        "a key that every configuration allows",
    );
}

#[test_case(SENT - 2_001, false, true; "late at an undisturbed relay")]
#[test_case(SENT - 1_000, false, false; "soon")]
#[test_case(SENT - 2_001, true, false; "late while its store was disturbed")]
fn refused_new_key_is_reported_only_if_late_and_undisturbed(
    accepted: u64,
    is_disturbed: bool,
    is_violation: bool,
) {
    let mut history = refused_history("shop-key-2");
    history.keys.push(key(accepted, None));
    if is_disturbed {
        history.disturbances.push(Disturbance {
            target: FaultTarget::StoreLink(0),
            from: SENT - 4_000,
            to: SENT - 3_500,
        });
    }
    let found = find_violations(&history).len();
    assert_eq!(found, usize::from(is_violation));
}

#[test_case(1, true; "in the same process")]
#[test_case(2, false; "in the next process")]
fn configuration_rollback_is_reported_within_an_incarnation(incarnation: u32, is_violation: bool) {
    let mut history = history(RequestKind::Read);
    "shop-key-2".clone_into(&mut history.exchanges[0].key);
    history.keys.push(key(SENT - 1_000, None));
    let mut later = exchange(RequestKind::Read);
    "r-2".clone_into(&mut later.id);
    "shop-key-2".clone_into(&mut later.key);
    later.status = Some(401);
    later.incarnation = incarnation;
    later.sent = SENT + 500;
    later.ended = SENT + 510;
    history.exchanges.push(later);
    let found = find_violations(&history).len();
    assert_eq!(found, usize::from(is_violation));
}

#[test_case(SENT - 2_500, false, true; "late, by an undisturbed relay")]
#[test_case(SENT - 1_000, false, false; "within the drain time")]
#[test_case(SENT - 2_500, true, false; "late, by a relay that was frozen")]
fn run_on_draining_upstream_is_reported_only_if_late_and_undisturbed(
    drain_start: u64,
    is_disturbed: bool,
    is_violation: bool,
) {
    let mut history = history(RequestKind::Switch);
    history.draining.push(("u-1".to_owned(), drain_start));
    if is_disturbed {
        history.disturbances.push(Disturbance {
            target: FaultTarget::Relay(0),
            from: drain_start,
            to: drain_start + 100,
        });
    }
    let found = find_violations(&history).len();
    assert_eq!(found, usize::from(is_violation));
}

fn stop(exit_code: Option<i32>) -> Stop {
    Stop {
        relay: 0,
        incarnation: 1,
        requested: SENT + 50,
        ended: SENT + 3_500,
        exit_code,
        is_drawn: false,
    }
}

// Its own restart counted as a fault, so that no stop was judged.
#[test]
fn restart_after_a_stop_excuses_the_stop() {
    let mut history = history(RequestKind::Switch);
    history.stops.push(stop(None));
    history.disturbances.push(Disturbance {
        target: FaultTarget::Relay(0),
        from: SENT + 3_500,
        to: SENT + 4_000,
    });
    assert_violation(&history, "stopped with None");
}

#[test_case(2_900, 7_650, None, false; "sent early and cut in the last sixth")]
#[test_case(4_000, 7_650, None, true; "sent late")]
#[test_case(2_900, 6_000, None, true; "cut early")]
#[test_case(3_200, 7_200, Some(504), false; "time limit")]
#[test_case(3_200, 7_000, Some(502), true; "given up")]
fn request_cut_by_stop_beside_drawn_times_is_reported(
    sent: u64,
    ended: u64,
    status: Option<u16>,
    is_violation: bool,
) {
    let mut history = history(RequestKind::Switch);
    let mut stop = stop(Some(0));
    (stop.requested, stop.ended, stop.is_drawn) = (SENT, SENT + 7_700, true);
    history.stops.push(stop);
    let exchange = &mut history.exchanges[0];
    (exchange.sent, exchange.ended) = (SENT + sent, SENT + ended);
    (exchange.status, exchange.complete) = (status, status.is_some());
    let found = find_violations(&history);
    assert_eq!(!found.is_empty(), is_violation, "{found:?}");
}

#[test]
fn request_interrupted_by_stop_is_reported() {
    let mut history = history(RequestKind::Switch);
    history.exchanges[0].complete = false;
    history.exchanges[0].status = None;
    history.stops.push(stop(Some(0)));
    assert_violation(&history, "interrupted by the stop");
}

#[test]
fn stop_without_exit_is_reported() {
    let mut history = history(RequestKind::Switch);
    history.stops.push(stop(None));
    assert_violation(&history, "stopped with None");
}

#[test]
fn unanswered_requests_at_undisturbed_relay_are_reported() {
    let mut history = History::default();
    for number in 0..4 {
        let id = format!("r-{number}");
        let mut lost = exchange(RequestKind::Read);
        let mut ran = run(RequestKind::Read);
        lost.id.clone_from(&id);
        lost.status = None;
        lost.complete = false;
        ran.id = id;
        history.exchanges.push(lost);
        history.runs.push(ran);
    }
    assert_violation(&history, "closed without an answer");
}

#[test]
fn requests_without_answer_after_deadline_are_reported() {
    let mut history = History::default();
    for number in 0..8 {
        let mut late = exchange(RequestKind::Read);
        late.id = format!("r-{number}");
        late.status = None;
        late.complete = false;
        late.ended = SENT + 5_000;
        history.exchanges.push(late);
    }
    assert_violation(&history, "no final answer");
}

#[test_case(11, false, true; "as many as allowed")]
#[test_case(12, false, false; "one more")]
#[test_case(12, true, true; "one more, around a restart")]
fn requests_beyond_a_named_limit_are_found(count: u64, is_disturbed: bool, is_clean: bool) {
    let mut history = History::default();
    // The first request is answered with the limit, before the others.
    for number in 0..=count {
        let id = format!("r-{number}");
        let mut exchange = exchange(RequestKind::Stream);
        exchange.id.clone_from(&id);
        exchange.echoed_id = Some(id.clone());
        let after = if number == 0 { 0 } else { 600 + number * 100 };
        exchange.sent = exchange.sent + after - 5_000 * u64::from(number == 0);
        exchange.ended = exchange.sent + 100;
        let mut run = run(RequestKind::Stream);
        run.body = RequestKind::Stream.body(&id);
        run.id = id;
        run.at_ms = exchange.sent + 20;
        history.exchanges.push(exchange);
        history.runs.push(run);
    }
    history.limits.push(NamedLimit {
        upstream: 1,
        name: "u-1".to_owned(),
        limit: 1.0,
        from: SENT - 5_000,
        to: SENT + 10_000,
    });
    if is_disturbed {
        history.disturbances.push(Disturbance {
            target: FaultTarget::Relay(0),
            from: SENT - 1_500,
            to: SENT - 1_000,
        });
    }
    let violations = find_violations(&history);
    assert_eq!(violations.is_empty(), is_clean, "{violations:?}");
}

/// A request of one relay that reached an upstream.
fn arrival(number: u64, at_ms: u64, rest_ms: u64, is_leaving: bool) -> Arrival {
    Arrival {
        id: format!("r-{number}"),
        runner: "u-1-1".to_owned(),
        at_ms,
        rest_ms,
        is_leaving,
    }
}

/// Adds a request with its arrival.
fn add_arrival(history: &mut History, kind: RequestKind, sent: u64, arrival: Arrival) {
    history.exchanges.push(Exchange {
        id: arrival.id.clone(),
        sent,
        ended: sent + 100,
        body: format!("u-1-1 ran {}\n", arrival.id),
        echoed_id: Some(arrival.id.clone()),
        ..exchange(kind)
    });
    let mut run = run(kind);
    run.id.clone_from(&arrival.id);
    run.runner.clone_from(&arrival.runner);
    run.at_ms = arrival.at_ms;
    history.runs.push(run);
    history.arrivals.push(arrival);
}

fn disturb(history: &mut History, target: FaultTarget) {
    history.disturbances.push(Disturbance {
        target,
        from: SENT,
        to: SENT + 60_000,
    });
}

#[test_case(2, 600, false, 0; "two within the rest")]
#[test_case(3, 600, false, 1; "three within the rest")]
#[test_case(3, 100, false, 0; "three on their way")]
#[test_case(3, 3_100, false, 0; "three after the rest")]
#[test_case(3, 600, true, 0; "three of a relay that was frozen")]
fn requests_within_rest_are_reported(
    requests: u64,
    after: u64,
    is_disturbed: bool,
    violations: usize,
) {
    let mut history = History::default();
    add_arrival(
        &mut history,
        RequestKind::Read,
        SENT,
        arrival(0, SENT, 3_000, false),
    );
    for number in 1..=requests {
        let at = SENT + after + number;
        add_arrival(
            &mut history,
            RequestKind::Read,
            at,
            arrival(number, at, 0, false),
        );
    }
    if is_disturbed {
        disturb(&mut history, FaultTarget::Relay(0));
    }
    let found = find_violations(&history);
    assert_eq!(found.len(), violations, "{found:?}");
}

// Seed 117: the upstream was frozen, and by the time it refused, its open connections had
// gone silent for good.
#[test_case("0", 0; "by a request whose refusal was lost")]
#[test_case("1", 1; "beside another request whose refusal was lost")]
fn rest_counts_once_its_relay_was_told(lost: &str, violations: usize) {
    let mut history = History::default();
    let asked = arrival(0, SENT, 3_000, false);
    history.untold = [(asked.runner.clone(), format!("r-{lost}"))].into();
    add_arrival(&mut history, RequestKind::Read, SENT, asked);
    for number in 1..=3 {
        let at = SENT + 600 + number;
        let reached = arrival(number, at, 0, false);
        add_arrival(&mut history, RequestKind::Read, at, reached);
    }
    let found = find_violations(&history);
    assert_eq!(found.len(), violations, "{found:?}");
}

#[actix_rt::test]
async fn link_tells_passed_refusals_from_lost_ones() {
    let mut world = PlatformWorld::start_store("told").await;
    let faults = ["--faults", r#"{"rest":"3"}"#];
    let host = world.unregistered_runner("app-0", &faults).await;
    let listen = world.address(host + 1);
    let link = Relay::bind(&listen, world.address(host)).await;
    let client = awc::Client::builder()
        .timeout(Duration::from_millis(500))
        .finish();
    let request = |id| {
        let request = client.get(format!("http://{listen}/read/a"));
        request
            .insert_header(("x-carawayrun-request-id", id))
            .send()
    };
    request("r-1").await.expect("the link passes an answer on");
    assert!(link.has_passed_refusal("r-1"));
    link.pass(Passing::NoAnswers);
    let lost = request("r-2").await;
    lost.expect_err("the link holds the answer back");
    drop(client);
    link.mend();
    sleep(Duration::from_millis(100)).await;
    assert!(!link.has_passed_refusal("r-2"));
}

#[test_case(1_900, false, 0; "within the drain time")]
#[test_case(2_300, false, 1; "late")]
#[test_case(2_300, true, 0; "late, by a relay that was frozen")]
fn requests_after_departure_are_reported(after: u64, is_disturbed: bool, violations: usize) {
    let mut history = History::default();
    add_arrival(
        &mut history,
        RequestKind::Read,
        SENT,
        arrival(0, SENT, 0, true),
    );
    let at = SENT + after;
    add_arrival(&mut history, RequestKind::Read, at, arrival(1, at, 0, true));
    if is_disturbed {
        disturb(&mut history, FaultTarget::Relay(0));
    }
    let found = find_violations(&history);
    assert_eq!(found.len(), violations, "{found:?}");
}

#[test_case(3, false, 0; "three more")]
#[test_case(4, false, 1; "four more")]
#[test_case(4, true, 0; "four more while the store is disturbed")]
fn deadly_requests_sent_on_are_reported(late: u64, is_disturbed: bool, violations: usize) {
    let mut history = History::default();
    for number in 0..3 + late {
        let at = if number < 3 { SENT } else { SENT + 3_500 };
        let reached = arrival(number, at + number, 0, false);
        add_arrival(&mut history, RequestKind::DeadlyRead, at, reached);
    }
    if is_disturbed {
        disturb(&mut history, FaultTarget::Store);
    }
    let found = find_violations(&history);
    assert_eq!(found.len(), violations, "{found:?}");
}

#[test_case(69, 0; "as many as allowed")]
#[test_case(70, 1; "one more")]
fn repeats_beyond_budget_are_reported(repeats: u64, violations: usize) {
    let mut history = History::default();
    for number in 0..10 {
        let at = SENT + number;
        add_arrival(
            &mut history,
            RequestKind::Read,
            at,
            arrival(number, at, 0, false),
        );
    }
    for number in 0..repeats {
        let at = SENT + 1_000 + number;
        history.arrivals.push(arrival(number % 10, at, 0, false));
    }
    let found = find_violations(&history);
    assert_eq!(found.len(), violations, "{found:?}");
}
