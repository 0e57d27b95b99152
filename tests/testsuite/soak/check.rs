//! The promises, over the history of a soak. Each check returns what broke it.

use std::collections::HashMap;

use super::history::{EVENTS, Exchange, History, Kind, Place, Run};

/// Bounds of the soak's deployment, in milliseconds, as its settings give them.
pub(crate) const REVOKE_MS: u64 = 5_000;
pub(crate) const DRAIN_MS: u64 = 2_000;
pub(crate) const GRACE_MS: u64 = 8_000;
const CONTACT_MS: u64 = 3_000;
const CONFIG_APPLY_MS: u64 = 2_000;
const ROLLBACK_SLACK_MS: u64 = 250;

/// Time past its deadline within which a request must have its final answer.
const LATE_MS: u64 = 500;

/// Requests that may go without, as long as they are under a quarter.
const LATE_ALLOWED: usize = 8;

/// Connections that a calm relay may close under a request that it passed on.
const LOST_ALLOWED: usize = 3;

/// All that is broken, a line each.
pub(crate) fn violations(history: &History) -> Vec<String> {
    let mut runs: HashMap<&str, Vec<&Run>> = HashMap::new();
    for run in &history.runs {
        runs.entry(&run.id).or_default().push(run);
    }
    let mut broken = Vec::new();
    for exchange in &history.exchanges {
        let own = runs
            .get(exchange.id.as_str())
            .map_or(&[][..], Vec::as_slice);
        broken.extend(runs_once(exchange, own));
        broken.extend(refusal_is_true(exchange, own));
        broken.extend(answer_is_whole(exchange, own));
        broken.extend(run_is_as_asked(exchange, own));
        broken.extend(withdrawn_key_runs_nothing(history, exchange, own));
        broken.extend(allowed_is_served(history, exchange));
    }
    broken.extend(only_what_was_asked(history));
    broken.extend(leaving_upstream_gets_nothing(history));
    broken.extend(configuration_never_regresses(history));
    broken.extend(stops_cut_nothing(history));
    broken.extend(calm_relays_lose_nothing(history));
    broken.extend(answers_come_in_time(history));
    broken.extend(history.crashes.iter().cloned());
    broken
}

fn runs_once(exchange: &Exchange, runs: &[&Run]) -> Option<String> {
    (exchange.kind == Kind::Switch && runs.len() > 1)
        .then(|| format!("{}: ran {} times", exchange.id, runs.len()))
}

fn refusal_is_true(exchange: &Exchange, runs: &[&Run]) -> Option<String> {
    let says_not_run = matches!(exchange.status, Some(408 | 421 | 429 | 503));
    (exchange.kind == Kind::Switch && says_not_run && !runs.is_empty()).then(|| {
        let status = exchange.status.unwrap_or_default();
        format!("{}: refused with {status} though it ran", exchange.id)
    })
}

fn answer_is_whole(exchange: &Exchange, runs: &[&Run]) -> Option<String> {
    let is_success = exchange.status.is_some_and(|status| status == 200);
    if !is_success {
        return None;
    }
    let id = &exchange.id;
    if exchange.echoed.as_ref() != Some(id) {
        return Some(format!("{id}: answered with the id {:?}", exchange.echoed));
    }
    let is_right = match exchange.kind {
        Kind::Stream => {
            let events = events();
            (exchange.whole && exchange.body == events)
                || (!exchange.whole && events.starts_with(&exchange.body))
        }
        Kind::Read | Kind::Switch if exchange.whole => {
            let ran = |run: &&&Run| exchange.body == format!("{} ran {id}\n", run.runner);
            runs.iter().any(|run| ran(&run))
        }
        Kind::Read | Kind::Switch => true,
    };
    (!is_right).then(|| {
        let Exchange { whole, body, .. } = exchange;
        format!("{id}: not its own answer (whole: {whole}): {body:?}")
    })
}

/// The events of a whole stream.
pub(crate) fn events() -> String {
    let events = (1..=EVENTS).map(|n| format!("id: {n}\ndata: word {n}\n\n"));
    events.collect()
}

fn run_is_as_asked(exchange: &Exchange, runs: &[&Run]) -> Option<String> {
    let team = team(&exchange.key);
    let wrong = runs.iter().find(|run| {
        run.tenant != team
            || run.path != exchange.kind.path()
            || run.body != sent_body(exchange)
            || !run.forged.is_empty()
    })?;
    Some(format!("{}: run as {wrong:?}", exchange.id))
}

/// The team that holds a key.
pub(crate) fn team(key: &str) -> &'static str {
    if key.starts_with("depot") {
        "depots"
    } else {
        "shops"
    }
}

/// The body of a request that has one.
pub(crate) fn body(id: &str) -> String {
    format!("body of {id}")
}

fn sent_body(exchange: &Exchange) -> String {
    match exchange.kind {
        Kind::Read => String::new(),
        Kind::Switch | Kind::Stream => body(&exchange.id),
    }
}

fn withdrawn_key_runs_nothing(
    history: &History,
    exchange: &Exchange,
    runs: &[&Run],
) -> Option<String> {
    let key = history.keys.iter().find(|key| key.text == exchange.key)?;
    let (_, withdrawn) = key.withdrawn?;
    let is_late = exchange.sent > withdrawn + REVOKE_MS;
    (is_late && !runs.is_empty()).then(|| {
        let after = exchange.sent - withdrawn;
        format!(
            "{}: ran {after} ms after its key was withdrawn",
            exchange.id
        )
    })
}

// What every configuration allows is refused nowhere; what a newer one allows
// not beyond its bound at a calm relay.
fn allowed_is_served(history: &History, exchange: &Exchange) -> Option<String> {
    let Exchange {
        id, relay, sent, ..
    } = exchange;
    let status = exchange
        .status
        .filter(|status| matches!(status, 401 | 403 | 404))?;
    let Some(key) = history.keys.iter().find(|key| key.text == exchange.key) else {
        return Some(format!(
            "{id}: {status} for what every configuration allows"
        ));
    };
    let is_withdrawn = key
        .withdrawn
        .is_some_and(|(asked, _)| asked <= exchange.ended);
    let is_late = *sent > key.accepted + CONFIG_APPLY_MS;
    let from = key.accepted.saturating_sub(CONTACT_MS);
    let places = [Place::Relay(*relay), Place::StoreLink(*relay), Place::Store];
    let is_calm = !history.is_disturbed(&places, from, exchange.ended);
    (is_late && is_calm && !is_withdrawn).then(|| {
        let after = sent - key.accepted;
        format!("{id}: {status} {after} ms after its key came into force")
    })
}

fn only_what_was_asked(history: &History) -> Vec<String> {
    let asked: std::collections::HashSet<&str> = history
        .exchanges
        .iter()
        .map(|exchange| exchange.id.as_str())
        .collect();
    let strange = history
        .runs
        .iter()
        .filter(|run| !asked.contains(run.id.as_str()));
    strange
        .map(|run| format!("{}: ran, and nobody asked for it", run.id))
        .collect()
}

fn leaving_upstream_gets_nothing(history: &History) -> Vec<String> {
    let mut broken = Vec::new();
    for (runner, left) in &history.leaving {
        for run in history.runs.iter().filter(|run| run.runner == *runner) {
            let exchange = history.exchanges.iter().find(|other| other.id == run.id);
            let Some(exchange) = exchange else { continue };
            let relay = exchange.relay;
            let places = [Place::Relay(relay), Place::StoreLink(relay), Place::Store];
            let from = left.saturating_sub(CONTACT_MS);
            let is_late = run.at_ms > left + DRAIN_MS;
            if is_late && !history.is_disturbed(&places, from, run.at_ms) {
                let after = run.at_ms - left;
                broken.push(format!(
                    "{}: ran at {runner} {after} ms after it left",
                    run.id
                ));
            }
        }
    }
    broken
}

// A process that accepted the key of one configuration refuses no earlier one
// that still holds.
fn configuration_never_regresses(history: &History) -> Vec<String> {
    let mut seen: HashMap<(usize, u32), Vec<(u64, u64)>> = HashMap::new();
    let version = |key: &str| history.keys.iter().find(|known| known.text == key);
    for exchange in history
        .exchanges
        .iter()
        .filter(|other| other.status == Some(200))
    {
        if let Some(key) = version(&exchange.key) {
            let life = seen.entry((exchange.relay, exchange.life)).or_default();
            life.push((key.version, exchange.ended));
        }
    }
    let mut broken = Vec::new();
    for exchange in history
        .exchanges
        .iter()
        .filter(|other| other.status == Some(401))
    {
        let Some(key) = version(&exchange.key) else {
            continue;
        };
        let life = seen.get(&(exchange.relay, exchange.life));
        let newer = life.into_iter().flatten().find(|(version, at)| {
            *version >= key.version && at + ROLLBACK_SLACK_MS < exchange.sent
        });
        let is_withdrawn = key
            .withdrawn
            .is_some_and(|(asked, _)| asked <= exchange.ended);
        if let Some((newer, _)) = newer.filter(|_| !is_withdrawn) {
            let Exchange { id, relay, .. } = exchange;
            let own = key.version;
            broken.push(format!(
                "{id}: relay {relay} forgot {own} after {newer} was in force"
            ));
        }
    }
    broken
}

fn stops_cut_nothing(history: &History) -> Vec<String> {
    let mut broken = Vec::new();
    for stop in &history.stops {
        let (relay, asked) = (stop.relay, stop.asked);
        let others = history.disturbances.iter().filter(|other| {
            other.from <= stop.ended && other.to >= asked.saturating_sub(CONTACT_MS)
        });
        if others.count() > 0 {
            continue;
        }
        if stop.code != Some(0) || stop.ended > asked + GRACE_MS {
            let took = stop.ended - asked;
            broken.push(format!(
                "relay {relay}: stopped with {:?} after {took} ms",
                stop.code
            ));
        }
        let cut = history.exchanges.iter().filter(|other| {
            other.relay == relay && other.life == stop.life && other.ended >= asked && !other.whole
        });
        for exchange in cut.filter(|other| history.runs_of(&other.id).count() > 0) {
            broken.push(format!("{}: cut by the stop of relay {relay}", exchange.id));
        }
    }
    broken
}

fn calm_relays_lose_nothing(history: &History) -> Option<String> {
    let lost = history.exchanges.iter().filter(|exchange| {
        let relay = exchange.relay;
        let from = exchange.sent.saturating_sub(CONTACT_MS);
        let places = [Place::Relay(relay), Place::ClientLink(relay)];
        let is_held = exchange.ended >= exchange.sent + exchange.kind.deadline_ms();
        exchange.kind != Kind::Stream
            && !exchange.whole
            && !is_held
            && history.runs_of(&exchange.id).count() > 0
            && !history.is_disturbed(&places, from, exchange.ended)
    });
    let lost: Vec<&str> = lost.map(|exchange| exchange.id.as_str()).collect();
    (lost.len() > LOST_ALLOWED).then(|| format!("closed without an answer: {lost:?}"))
}

fn answers_come_in_time(history: &History) -> Option<String> {
    let lasted = history.exchanges.iter().filter(|exchange| {
        let relay = exchange.relay;
        let from = exchange.sent.saturating_sub(CONTACT_MS);
        let places = [Place::Relay(relay), Place::ClientLink(relay)];
        let lasted = exchange.ended >= exchange.sent + exchange.kind.deadline_ms();
        lasted && !history.is_disturbed(&places, from, exchange.ended)
    });
    let lasted: Vec<&Exchange> = lasted.collect();
    let late = lasted.iter().filter(|exchange| {
        let limit = exchange.sent + exchange.kind.deadline_ms() + LATE_MS;
        exchange.ended > limit
    });
    let late: Vec<&str> = late.map(|exchange| exchange.id.as_str()).collect();
    let is_broken = late.len() >= LATE_ALLOWED && late.len() * 4 > lasted.len();
    is_broken.then(|| format!("no final answer half a second after the deadline: {late:?}"))
}
