//! Judgement of the requests that reach an upstream which asked for rest.

use std::collections::HashMap;

use super::platform::Arrival;

/// Requests of one relay within a rest that are allowed.
pub(crate) const MOST: usize = 2;

/// Time after which a rest counts, in milliseconds: what is on its way arrives by then.
const GRACE_MS: u64 = 500;

/// Most requests of one caller that reached an upstream within a rest that it had asked
/// that caller for. `arrivals` have the callers' names. Those for which `is_excused` is
/// true, with the caller, the refusal and the request, don't count.
pub(crate) fn most_within<'a, C>(
    arrivals: impl Iterator<Item = (C, &'a Arrival)>,
    is_excused: impl Fn(C, &Arrival, &Arrival) -> bool,
) -> usize
where
    C: Copy + Eq + std::hash::Hash,
{
    let mut by_pair: HashMap<(C, &str), Vec<&Arrival>> = HashMap::new();
    for (caller, arrival) in arrivals {
        let of_pair = by_pair.entry((caller, &arrival.runner)).or_default();
        of_pair.push(arrival);
    }
    let mut most = 0;
    for ((caller, _), arrivals) in &by_pair {
        for asked in arrivals.iter().filter(|asked| asked.rest_ms > 0) {
            let rest = asked.at_ms + GRACE_MS..asked.at_ms + asked.rest_ms;
            let within = arrivals
                .iter()
                .filter(|other| rest.contains(&other.at_ms) && !is_excused(*caller, asked, other));
            most = within.count().max(most);
        }
    }
    most
}
