//! Each check finds the history that breaks its promise, and no other.

use test_case::test_case;

use super::check::{REVOKE_MS, body, events, violations};
use super::history::{Disturbance, Exchange, History, Key, Kind, Place, Run, Stop};

const SENT: u64 = 100_000;

fn exchange(kind: Kind) -> Exchange {
    let body = match kind {
        Kind::Stream => events(),
        Kind::Read | Kind::Switch => "u-1 ran r-1\n".to_owned(),
    };
    Exchange {
        id: "r-1".to_owned(),
        kind,
        key: "shop-key".to_owned(),
        relay: 0,
        life: 1,
        sent: SENT,
        ended: SENT + 100,
        status: Some(200),
        whole: true,
        body,
        echoed: Some("r-1".to_owned()),
    }
}

fn run(kind: Kind) -> Run {
    Run {
        id: "r-1".to_owned(),
        runner: "u-1".to_owned(),
        at_ms: SENT + 20,
        tenant: "shops".to_owned(),
        path: kind.path().to_owned(),
        body: match kind {
            Kind::Read => String::new(),
            Kind::Switch | Kind::Stream => body("r-1"),
        },
        forged: Vec::new(),
    }
}

fn history(kind: Kind) -> History {
    History {
        exchanges: vec![exchange(kind)],
        runs: vec![run(kind)],
        ..History::default()
    }
}

fn key(accepted: u64, withdrawn: Option<u64>) -> Key {
    Key {
        text: "shop-key-2".to_owned(),
        version: 2,
        accepted,
        withdrawn: withdrawn.map(|at| (at, at)),
    }
}

fn assert_broken(history: &History, expected: &str) {
    let broken = violations(history);
    assert_eq!(broken.len(), 1, "{broken:?}");
    assert!(broken[0].contains(expected), "{broken:?}");
}

#[test_case(Kind::Read)]
#[test_case(Kind::Switch)]
#[test_case(Kind::Stream)]
fn a_request_that_is_served_breaks_nothing(kind: Kind) {
    assert_eq!(violations(&history(kind)), [""; 0]);
}

#[test]
fn a_switch_that_runs_twice() {
    let mut history = history(Kind::Switch);
    history.runs.push(run(Kind::Switch));
    assert_broken(&history, "ran 2 times");
}

#[test_case(429)]
#[test_case(503)]
fn a_refusal_of_what_ran(status: u16) {
    let mut history = history(Kind::Switch);
    history.exchanges[0].status = Some(status);
    assert_broken(&history, "though it ran");
}

#[test]
fn an_answer_to_another_request() {
    let mut history = history(Kind::Read);
    history.exchanges[0].echoed = Some("r-2".to_owned());
    assert_broken(&history, "answered with the id");
}

#[test]
fn a_body_that_no_run_made() {
    let mut history = history(Kind::Read);
    history.exchanges[0].body = "u-2 ran r-1\n".to_owned();
    assert_broken(&history, "not its own answer");
}

#[test_case("id: 1\ndata: word 1\n\n", true; "a stream that ends early and looks whole")]
#[test_case("id: 2\ndata: word 2\n\n", false; "a stream without its first event")]
fn a_stream_that_is_not_its_own(body: &str, whole: bool) {
    let mut history = history(Kind::Stream);
    body.clone_into(&mut history.exchanges[0].body);
    history.exchanges[0].whole = whole;
    assert_broken(&history, "not its own answer");
}

#[test]
fn a_stream_that_is_cut_visibly_is_allowed() {
    let mut history = history(Kind::Stream);
    history.exchanges[0].body = "id: 1\ndata: word 1\n\n".to_owned();
    history.exchanges[0].whole = false;
    assert_eq!(violations(&history), [""; 0]);
}

#[test_case(|run| run.tenant = "depots".to_owned(); "for another team")]
#[test_case(|run| run.path = "/read/b".to_owned(); "with another path")]
#[test_case(|run| run.body = "other".to_owned(); "with another body")]
#[test_case(|run| run.forged.push("x-carawayrun-hold".to_owned()); "with a header of the client")]
fn a_run_that_is_not_as_asked(change: fn(&mut Run)) {
    let mut history = history(Kind::Switch);
    change(&mut history.runs[0]);
    assert_broken(&history, "run as");
}

#[test]
fn a_run_that_nobody_asked_for() {
    let mut history = history(Kind::Switch);
    history.runs[0].id = "r-9".to_owned();
    history.exchanges[0].status = Some(502);
    assert_broken(&history, "nobody asked");
}

#[test]
fn a_key_that_still_runs_after_its_withdrawal() {
    let mut history = history(Kind::Switch);
    let withdrawn = SENT - REVOKE_MS - 1;
    history.keys.push(key(withdrawn - 10_000, Some(withdrawn)));
    "shop-key-2".clone_into(&mut history.exchanges[0].key);
    // No fault excuses it.
    history.disturbances.push(Disturbance {
        place: Place::Store,
        from: 0,
        to: SENT,
    });
    assert_broken(&history, "after its key was withdrawn");
}

fn refused(key: &str) -> History {
    let mut history = history(Kind::Read);
    history.runs.clear();
    history.exchanges[0].status = Some(401);
    key.clone_into(&mut history.exchanges[0].key);
    history
}

#[test]
fn a_lasting_key_that_is_refused() {
    assert_broken(&refused("shop-key"), "every configuration allows");
}

#[test_case(SENT - 2_001, false, true; "late at a calm relay")]
#[test_case(SENT - 1_000, false, false; "soon")]
#[test_case(SENT - 2_001, true, false; "late while its store was disturbed")]
fn a_new_key_that_is_refused(accepted: u64, is_disturbed: bool, is_broken: bool) {
    let mut history = refused("shop-key-2");
    history.keys.push(key(accepted, None));
    if is_disturbed {
        history.disturbances.push(Disturbance {
            place: Place::StoreLink(0),
            from: SENT - 4_000,
            to: SENT - 3_500,
        });
    }
    let found = violations(&history).len();
    assert_eq!(found, usize::from(is_broken));
}

#[test_case(1, true; "in the same process")]
#[test_case(2, false; "in the next process")]
fn a_configuration_that_is_forgotten(life: u32, is_broken: bool) {
    let mut history = history(Kind::Read);
    "shop-key-2".clone_into(&mut history.exchanges[0].key);
    history.keys.push(key(SENT - 1_000, None));
    let mut later = exchange(Kind::Read);
    "r-2".clone_into(&mut later.id);
    "shop-key-2".clone_into(&mut later.key);
    later.status = Some(401);
    later.life = life;
    later.sent = SENT + 500;
    later.ended = SENT + 510;
    history.exchanges.push(later);
    let found = violations(&history).len();
    assert_eq!(found, usize::from(is_broken));
}

#[test_case(SENT - 2_500, false, true; "late, by a calm relay")]
#[test_case(SENT - 1_000, false, false; "within the drain time")]
#[test_case(SENT - 2_500, true, false; "late, by a relay that stood still")]
fn a_leaving_upstream_that_gets_work(left: u64, is_disturbed: bool, is_broken: bool) {
    let mut history = history(Kind::Switch);
    history.leaving.push(("u-1".to_owned(), left));
    if is_disturbed {
        history.disturbances.push(Disturbance {
            place: Place::Relay(0),
            from: left,
            to: left + 100,
        });
    }
    let found = violations(&history).len();
    assert_eq!(found, usize::from(is_broken));
}

fn stop(code: Option<i32>) -> Stop {
    Stop {
        relay: 0,
        life: 1,
        asked: SENT + 50,
        ended: SENT + 3_500,
        code,
    }
}

#[test]
fn a_stop_that_cuts_a_request() {
    let mut history = history(Kind::Switch);
    history.exchanges[0].whole = false;
    history.exchanges[0].status = None;
    history.stops.push(stop(Some(0)));
    assert_broken(&history, "cut by the stop");
}

#[test]
fn a_stop_that_does_not_end() {
    let mut history = history(Kind::Switch);
    history.stops.push(stop(None));
    assert_broken(&history, "stopped with None");
}

#[test]
fn requests_that_a_calm_relay_closes_without_an_answer() {
    let mut history = History::default();
    for number in 0..4 {
        let id = format!("r-{number}");
        let mut lost = exchange(Kind::Read);
        let mut ran = run(Kind::Read);
        lost.id.clone_from(&id);
        lost.status = None;
        lost.whole = false;
        ran.id = id;
        history.exchanges.push(lost);
        history.runs.push(ran);
    }
    assert_broken(&history, "closed without an answer");
}

#[test]
fn requests_that_are_held_past_their_deadline() {
    let mut history = History::default();
    for number in 0..8 {
        let mut held = exchange(Kind::Read);
        held.id = format!("r-{number}");
        held.status = None;
        held.whole = false;
        held.ended = SENT + 5_000;
        history.exchanges.push(held);
    }
    assert_broken(&history, "no final answer");
}
