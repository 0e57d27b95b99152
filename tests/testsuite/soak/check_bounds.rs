//! Checks of what all relays together send to upstreams that are in need or leave, or that
//! crash under a request.

use std::collections::HashMap;

use super::check::{CONTACT_MS, DRAIN_MS, team_of_key};
use super::history::{Exchange, FaultTarget, History};
use crate::support::platform::Arrival;
use crate::support::{budget, rest};

/// Ratio and slack of the retry budget, as in the settings of the soak's relays.
pub(crate) const RETRY_RATIO: f64 = 0.9;
pub(crate) const RETRY_SLACK: f64 = 60.0;

/// Crashes under one request from which its sends are counted, and sends that are allowed
/// later than [`CONTACT_MS`] after.
const DEADLY_CRASHES: usize = 3;
const MAX_LATE_SENDS: usize = 3;

/// Returns all violations, one line each.
pub(crate) fn find_bound_violations(history: &History) -> Vec<String> {
    let exchanges = history.exchanges.iter();
    let exchanges = exchanges.map(|exchange| (exchange.id.as_str(), exchange));
    let bounds = Bounds {
        history,
        exchanges: exchanges.collect(),
    };
    let mut violations: Vec<String> = bounds.check_rests().into_iter().collect();
    violations.extend(bounds.check_departures());
    violations.extend(bounds.check_deadly_requests());
    violations.extend(bounds.check_repeats());
    violations
}

/// A process of a relay: its index and its incarnation.
type Caller = (usize, u32);

struct Bounds<'a> {
    history: &'a History,
    exchanges: HashMap<&'a str, &'a Exchange>,
}

impl<'a> Bounds<'a> {
    // Arrivals with the relays that sent them.
    fn sent(&self) -> impl Iterator<Item = (Caller, &'a Exchange, &'a Arrival)> {
        self.history.arrivals.iter().filter_map(|arrival| {
            let exchange = *self.exchanges.get(arrival.id.as_str())?;
            let caller = (exchange.relay, exchange.incarnation);
            Some((caller, exchange, arrival))
        })
    }

    // An upstream that asked a relay for rest gets at most two requests from it until then.
    fn check_rests(&self) -> Option<String> {
        let arrivals = self.sent().map(|(caller, _, arrival)| (caller, arrival));
        let most = rest::most_within(arrivals, |(relay, _), asked, other| {
            let upstream = upstream_index(&asked.runner);
            let targets = [FaultTarget::Relay(relay), FaultTarget::Upstream(upstream)];
            let is_disturbed =
                |targets| self.history.is_disturbed(targets, asked.at_ms, other.at_ms);
            !self.history.is_told(asked) || is_disturbed(&targets)
        });
        (most > rest::MOST).then(|| format!("{most} requests within a rest of an upstream"))
    }

    // A relay that has passed on an upstream's word that it leaves sends it nothing that
    // callers sent later than `DRAIN_MS`.
    fn check_departures(&self) -> Vec<String> {
        let mut told: HashMap<(Caller, &str), u64> = HashMap::new();
        for (caller, exchange, arrival) in self.sent().filter(|(.., other)| other.is_leaving) {
            let is_passed_on = exchange.complete
                && exchange
                    .body
                    .starts_with(&format!("{} ran", arrival.runner));
            if is_passed_on {
                let at = told.entry((caller, &arrival.runner)).or_insert(u64::MAX);
                *at = exchange.ended.min(*at);
            }
        }
        let late = self.sent().filter_map(|(caller, exchange, arrival)| {
            let at = *told.get(&(caller, arrival.runner.as_str()))?;
            let targets = [FaultTarget::Relay(caller.0)];
            let is_late = arrival.is_leaving && exchange.sent > at + DRAIN_MS;
            let is_disturbed = self.history.is_disturbed(&targets, at, arrival.at_ms);
            (is_late && !is_disturbed).then(|| {
                let (id, runner, after) = (&arrival.id, &arrival.runner, exchange.sent - at);
                format!("{id}: reached {runner} {after} ms after it said that it leaves")
            })
        });
        late.collect()
    }

    // A request that has crashed three upstreams reaches upstreams at most three times
    // more, from relays that have been undisturbed for `CONTACT_MS`.
    fn check_deadly_requests(&self) -> Vec<String> {
        let mut runs: HashMap<(&str, &str), Vec<(u64, usize)>> = HashMap::new();
        for run in &self.history.runs {
            let Some(exchange) = self.exchanges.get(run.id.as_str()) else {
                continue;
            };
            if exchange.kind.is_deadly() {
                let key = (run.path.as_str(), team_of_key(&exchange.key));
                let of_key = runs.entry(key).or_default();
                of_key.push((run.at_ms, exchange.relay));
            }
        }
        let mut violations = Vec::new();
        for ((path, team), mut times) in runs {
            times.sort_unstable();
            let Some((third_at, _)) = times.get(DEADLY_CRASHES - 1).copied() else {
                continue;
            };
            let late = times.iter().filter(|(at, relay)| {
                let targets = [
                    FaultTarget::Relay(*relay),
                    FaultTarget::StoreLink(*relay),
                    FaultTarget::Store,
                ];
                *at > third_at + CONTACT_MS
                    && !self.history.is_disturbed(&targets, at - CONTACT_MS, *at)
            });
            let late = late.count();
            if late > MAX_LATE_SENDS {
                violations.push(format!(
                    "{path} of {team}: sent {late} times more after it had crashed three upstreams"
                ));
            }
        }
        violations
    }

    // All relays together repeat no more than the retry budget of each service.
    fn check_repeats(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for is_stream in [false, true] {
            let is_own = |exchange: &Exchange| exchange.kind.is_stream() == is_stream;
            let arrivals = self.sent().filter(|(_, exchange, _)| is_own(exchange));
            let arrivals = arrivals.map(|(_, _, arrival)| (arrival.id.as_str(), arrival.at_ms));
            let arrivals: Vec<(&str, u64)> = arrivals.collect();
            let sent = self.history.exchanges.iter().filter(|other| is_own(other));
            let sent: Vec<u64> = sent.map(|exchange| exchange.sent).collect();
            let worst = budget::worst_window(&arrivals, &sent, RETRY_RATIO, RETRY_SLACK);
            if let Some(worst) = worst.filter(|worst| worst.count as f64 > worst.allowed) {
                violations.push(format!(
                    "{} repeats in a window, allowed {} (streams: {is_stream})",
                    worst.count, worst.allowed
                ));
            }
        }
        violations
    }
}

// Index of the upstream in a name such as `u-3-1`.
pub(super) fn upstream_index(name: &str) -> usize {
    let index = name.split('-').nth(1);
    index.and_then(|text| text.parse().ok()).unwrap_or(0)
}
