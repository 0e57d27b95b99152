//! Checks of the router's guarantees against the history of a soak. Each check
//! returns the violations it finds.

use std::collections::HashMap;

use super::check_bounds::find_bound_violations;
use super::history::{Disturbance, EVENTS, Exchange, FaultTarget, History, RequestKind, Run, Stop};
use crate::support::limit;

/// Bounds in milliseconds, the same as in the settings of the soak's relays.
pub(crate) const REVOKE_MS: u64 = 5_000;
pub(crate) const DRAIN_MS: u64 = 2_000;
pub(crate) const GRACE_MS: u64 = 8_000;
pub(super) const CONTACT_MS: u64 = 3_000;
const CONFIG_APPLY_MS: u64 = 2_000;
const ROLLBACK_SLACK_MS: u64 = 250;

/// Time after an answer with a limit from which a relay is bound by it.
const TOLD_MS: u64 = 500;

/// Time past its deadline within which a request must have its final answer.
const DEADLINE_SLACK_MS: u64 = 500;

/// Time after SIGTERM until which a request may be sent that the stop then cuts.
const EARLY_MS: u64 = 3_000;

/// `timeout_ms` of the routes.
const TIMEOUT_MS: u64 = 6_000;

/// Number of late requests from which they are a violation, if they are also more
/// than a quarter of the requests that reached their deadline.
const LATE_THRESHOLD: usize = 8;

/// Number of forwarded requests whose connections undisturbed relays may close
/// without an answer.
const MAX_LOST_ANSWERS: usize = 3;

/// Returns all violations, one line each.
pub(crate) fn find_violations(history: &History) -> Vec<String> {
    let mut runs: HashMap<&str, Vec<&Run>> = HashMap::new();
    for run in &history.runs {
        runs.entry(&run.id).or_default().push(run);
    }
    let mut violations = Vec::new();
    for exchange in &history.exchanges {
        let own = runs
            .get(exchange.id.as_str())
            .map_or(&[][..], Vec::as_slice);
        violations.extend(check_runs_once(exchange, own));
        violations.extend(check_refusals(exchange, own));
        violations.extend(check_answer(exchange, own));
        violations.extend(check_run_matches_request(exchange, own));
        violations.extend(check_revoked_key(history, exchange, own));
        violations.extend(check_active_key_accepted(history, exchange));
    }
    violations.extend(check_unrequested_runs(history));
    violations.extend(check_draining_upstreams(history));
    violations.extend(check_configuration_order(history));
    violations.extend(check_limits(history));
    violations.extend(find_bound_violations(history));
    violations.extend(check_stops(history));
    violations.extend(check_lost_answers(history));
    violations.extend(check_deadlines(history));
    violations.extend(history.crashes.iter().cloned());
    violations
}

fn check_runs_once(exchange: &Exchange, runs: &[&Run]) -> Option<String> {
    (exchange.kind == RequestKind::Switch && runs.len() > 1)
        .then(|| format!("{}: ran {} times", exchange.id, runs.len()))
}

fn check_refusals(exchange: &Exchange, runs: &[&Run]) -> Option<String> {
    let says_not_run = matches!(exchange.status, Some(408 | 421 | 429 | 503));
    (exchange.kind == RequestKind::Switch && says_not_run && !runs.is_empty()).then(|| {
        let status = exchange.status.unwrap_or_default();
        format!("{}: refused with {status} but it ran", exchange.id)
    })
}

fn check_answer(exchange: &Exchange, runs: &[&Run]) -> Option<String> {
    let is_success = exchange.status.is_some_and(|status| status == 200);
    if !is_success {
        return None;
    }
    let id = &exchange.id;
    if exchange.echoed_id.as_ref() != Some(id) {
        return Some(format!(
            "{id}: answered with the id {:?}",
            exchange.echoed_id
        ));
    }
    let is_right = match exchange.kind {
        RequestKind::Stream | RequestKind::DeadlyStream => {
            let expected = stream_body();
            (exchange.complete && exchange.body == expected)
                || (!exchange.complete && expected.starts_with(&exchange.body))
        }
        _ if exchange.complete => {
            let ran = |run: &&&Run| exchange.body == format!("{} ran {id}\n", run.runner);
            runs.iter().any(|run| ran(&run))
        }
        _ => true,
    };
    (!is_right).then(|| {
        let Exchange { complete, body, .. } = exchange;
        format!("{id}: not its own answer (complete: {complete}): {body:?}")
    })
}

/// Returns the body of a complete event stream.
pub(crate) fn stream_body() -> String {
    let events = (1..=EVENTS).map(|n| format!("id: {n}\ndata: word {n}\n\n"));
    events.collect()
}

fn check_run_matches_request(exchange: &Exchange, runs: &[&Run]) -> Option<String> {
    let team = team_of_key(&exchange.key);
    let wrong = runs.iter().find(|run| {
        run.tenant != team
            || run.path != exchange.kind.path()
            || run.body != exchange.kind.body(&exchange.id)
            || !run.forged.is_empty()
    })?;
    Some(format!("{}: run as {wrong:?}", exchange.id))
}

/// Returns the team that owns a key.
pub(crate) fn team_of_key(key: &str) -> &'static str {
    if key.starts_with("depot") {
        "depots"
    } else {
        "shops"
    }
}

fn check_revoked_key(history: &History, exchange: &Exchange, runs: &[&Run]) -> Option<String> {
    let key = history.keys.iter().find(|key| key.text == exchange.key)?;
    let (_, revoked) = key.revoked?;
    let is_late = exchange.sent > revoked + REVOKE_MS;
    (is_late && !runs.is_empty()).then(|| {
        let after = exchange.sent - revoked;
        format!("{}: ran {after} ms after its key was revoked", exchange.id)
    })
}

// A key of every configuration must never be refused. An added key must be accepted
// by an undisturbed relay once `CONFIG_APPLY_MS` have passed.
fn check_active_key_accepted(history: &History, exchange: &Exchange) -> Option<String> {
    let Exchange {
        id, relay, sent, ..
    } = exchange;
    let status = exchange
        .status
        .filter(|status| matches!(status, 401 | 403 | 404))?;
    let Some(key) = history.keys.iter().find(|key| key.text == exchange.key) else {
        return Some(format!(
            "{id}: {status} for a key that every configuration allows"
        ));
    };
    let is_revoked = key
        .revoked
        .is_some_and(|(requested, _)| requested <= exchange.ended);
    let is_late = *sent > key.accepted + CONFIG_APPLY_MS;
    let from = key.accepted.saturating_sub(CONTACT_MS);
    let targets = [
        FaultTarget::Relay(*relay),
        FaultTarget::StoreLink(*relay),
        FaultTarget::Store,
    ];
    let is_undisturbed = !history.is_disturbed(&targets, from, exchange.ended);
    (is_late && is_undisturbed && !is_revoked).then(|| {
        let after = sent - key.accepted;
        format!("{id}: {status} {after} ms after its key was accepted")
    })
}

fn check_unrequested_runs(history: &History) -> Vec<String> {
    let requested: std::collections::HashSet<&str> = history
        .exchanges
        .iter()
        .map(|exchange| exchange.id.as_str())
        .collect();
    let unknown = history
        .runs
        .iter()
        .filter(|run| !requested.contains(run.id.as_str()));
    unknown
        .map(|run| format!("{}: ran without a request", run.id))
        .collect()
}

fn check_draining_upstreams(history: &History) -> Vec<String> {
    let mut violations = Vec::new();
    for (runner, drain_start) in &history.draining {
        for run in history.runs.iter().filter(|run| run.runner == *runner) {
            let exchange = history.exchanges.iter().find(|other| other.id == run.id);
            let Some(exchange) = exchange else { continue };
            let relay = exchange.relay;
            let targets = [
                FaultTarget::Relay(relay),
                FaultTarget::StoreLink(relay),
                FaultTarget::Store,
            ];
            let from = drain_start.saturating_sub(CONTACT_MS);
            let is_late = run.at_ms > drain_start + DRAIN_MS;
            if is_late && !history.is_disturbed(&targets, from, run.at_ms) {
                let after = run.at_ms - drain_start;
                violations.push(format!(
                    "{}: ran at {runner} {after} ms after it began to drain",
                    run.id
                ));
            }
        }
    }
    violations
}

// A relay process that has accepted the key of one configuration must not refuse
// the key of that or an earlier one, unless the key was revoked.
fn check_configuration_order(history: &History) -> Vec<String> {
    let mut seen: HashMap<(usize, u32), Vec<(u64, u64)>> = HashMap::new();
    let find_key = |key: &str| history.keys.iter().find(|known| known.text == key);
    for exchange in history
        .exchanges
        .iter()
        .filter(|other| other.status == Some(200))
    {
        if let Some(key) = find_key(&exchange.key) {
            let accepted = seen
                .entry((exchange.relay, exchange.incarnation))
                .or_default();
            accepted.push((key.version, exchange.ended));
        }
    }
    let mut violations = Vec::new();
    for exchange in history
        .exchanges
        .iter()
        .filter(|other| other.status == Some(401))
    {
        let Some(key) = find_key(&exchange.key) else {
            continue;
        };
        let accepted = seen.get(&(exchange.relay, exchange.incarnation));
        let newer = accepted.into_iter().flatten().find(|(version, at)| {
            *version >= key.version && at + ROLLBACK_SLACK_MS < exchange.sent
        });
        let is_revoked = key
            .revoked
            .is_some_and(|(requested, _)| requested <= exchange.ended);
        if let Some((newer, _)) = newer.filter(|_| !is_revoked) {
            let Exchange { id, relay, .. } = exchange;
            let own = key.version;
            violations.push(format!(
                "{id}: relay {relay} rejected the key of version {own} after it had accepted version {newer}"
            ));
        }
    }
    violations
}

// An upstream that named a limit gets no more than one and a half times as much in any
// window, and five requests, from relays that ran undisturbed for CONTACT_MS and that it
// had told.
fn check_limits(history: &History) -> Vec<String> {
    let exchanges = history.exchanges.iter();
    let exchanges: HashMap<&str, &Exchange> = exchanges
        .map(|exchange| (exchange.id.as_str(), exchange))
        .collect();
    let mut violations = Vec::new();
    for named in &history.limits {
        let runs = history
            .runs
            .iter()
            .filter(|run| run.runner == named.name && (named.from..named.to).contains(&run.at_ms));
        let runs = runs.filter_map(|run| Some((run, *exchanges.get(run.id.as_str())?)));
        let mut told: HashMap<usize, u64> = HashMap::new();
        for (_, exchange) in runs.clone() {
            let at = told.entry(exchange.relay).or_insert(u64::MAX);
            *at = exchange.ended.min(*at);
        }
        let times = runs.filter(|(run, exchange)| {
            let relay = exchange.relay;
            let targets = [
                FaultTarget::Relay(relay),
                FaultTarget::Upstream(named.upstream),
            ];
            let from = run.at_ms - CONTACT_MS;
            from >= named.from
                && run.at_ms >= told[&relay] + TOLD_MS
                && !history.is_disturbed(&targets, from, run.at_ms)
        });
        let times: Vec<u64> = times.map(|(run, _)| run.at_ms).collect();
        let (peak, allowed) = (limit::peak(&times), limit::allowed(named.limit));
        if peak as f64 > allowed {
            violations.push(format!(
                "{}: {peak} requests in a window at a limit of {}, allowed {allowed}",
                named.name, named.limit
            ));
        }
    }
    violations
}

fn check_stops(history: &History) -> Vec<String> {
    let mut violations = Vec::new();
    for stop in &history.stops {
        let (relay, requested) = (stop.relay, stop.requested);
        let others = history.disturbances.iter().filter(|other| {
            other.from <= stop.ended
                && other.to >= requested.saturating_sub(CONTACT_MS)
                && !is_restart(history, other)
        });
        if others.count() > 0 {
            continue;
        }
        if stop.exit_code != Some(0) || stop.ended > requested + GRACE_MS {
            let took = stop.ended - requested;
            violations.push(format!(
                "relay {relay}: stopped with {:?} after {took} ms",
                stop.exit_code
            ));
        }
        let interrupted = history.exchanges.iter().filter(|other| {
            other.relay == relay
                && other.incarnation == stop.incarnation
                && other.ended >= requested
                && !is_answered(other, stop)
                && !(stop.is_drawn && is_excused(other, stop))
        });
        for exchange in interrupted.filter(|other| history.runs_of(&other.id).count() > 0) {
            violations.push(format!(
                "{}: interrupted by the stop of relay {relay}",
                exchange.id
            ));
        }
    }
    violations
}

// The time without a process after a planned stop, which is no fault.
fn is_restart(history: &History, disturbance: &Disturbance) -> bool {
    let mut stops = history.stops.iter();
    stops.any(|stop| {
        disturbance.target == FaultTarget::Relay(stop.relay) && disturbance.from == stop.ended
    })
}

// Where answers take drawn times, one that was given up is no answer to what was taken.
fn is_answered(exchange: &Exchange, stop: &Stop) -> bool {
    let is_given_up = matches!(exchange.status, Some(502 | 504));
    exchange.complete && !(stop.is_drawn && is_given_up)
}

// A request that was sent early and still ran in the last sixth of the grace period, or
// that reached its time limit.
fn is_excused(exchange: &Exchange, stop: &Stop) -> bool {
    let is_early = exchange.sent <= stop.requested + EARLY_MS;
    let is_in_last_sixth = exchange.ended >= stop.requested + GRACE_MS - GRACE_MS / 6;
    let limit = exchange.kind.deadline_ms().min(TIMEOUT_MS);
    let is_timed_out = exchange.ended >= exchange.sent + limit;
    (is_early && is_in_last_sixth) || is_timed_out
}

fn check_lost_answers(history: &History) -> Option<String> {
    let lost = history.exchanges.iter().filter(|exchange| {
        let relay = exchange.relay;
        let from = exchange.sent.saturating_sub(CONTACT_MS);
        let targets = [FaultTarget::Relay(relay), FaultTarget::ClientLink(relay)];
        let is_past_deadline = exchange.ended >= exchange.sent + exchange.kind.deadline_ms();
        !exchange.kind.is_stream()
            && !exchange.complete
            && !is_past_deadline
            && history.runs_of(&exchange.id).count() > 0
            && !exchange.kind.is_deadly()
            && !history.is_disturbed(&targets, from, exchange.ended)
    });
    let lost: Vec<&str> = lost.map(|exchange| exchange.id.as_str()).collect();
    (lost.len() > MAX_LOST_ANSWERS).then(|| format!("closed without an answer: {lost:?}"))
}

fn check_deadlines(history: &History) -> Option<String> {
    let at_deadline = history.exchanges.iter().filter(|exchange| {
        let relay = exchange.relay;
        let from = exchange.sent.saturating_sub(CONTACT_MS);
        let targets = [FaultTarget::Relay(relay), FaultTarget::ClientLink(relay)];
        let at_deadline = exchange.ended >= exchange.sent + exchange.kind.deadline_ms();
        at_deadline && !history.is_disturbed(&targets, from, exchange.ended)
    });
    let at_deadline: Vec<&Exchange> = at_deadline.collect();
    let late = at_deadline.iter().filter(|exchange| {
        let limit = exchange.sent + exchange.kind.deadline_ms() + DEADLINE_SLACK_MS;
        exchange.ended > limit
    });
    let late: Vec<&str> = late.map(|exchange| exchange.id.as_str()).collect();
    let is_violation = late.len() >= LATE_THRESHOLD && late.len() * 4 > at_deadline.len();
    is_violation.then(|| format!("no final answer half a second after the deadline: {late:?}"))
}
