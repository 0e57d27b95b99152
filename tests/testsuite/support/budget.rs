//! Judgement of the requests that reach the upstreams of a service more than once.

use std::collections::HashSet;

/// `retry_window_s` of the platform, in milliseconds.
const WINDOW_MS: u64 = 10_000;

/// Repeats in a window, and those that are allowed there.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Repeats {
    pub(crate) count: usize,
    pub(crate) allowed: f64,
}

/// Returns the window with the most repeats beyond what is allowed.
///
/// `arrivals` are the ids of requests with the times at which they reached an upstream,
/// `sent` the times at which callers sent the requests, all in milliseconds. Allowed are
/// `ratio` repeats for each request that was sent in the window, in the one before or
/// half a window before, and `slack` in addition.
pub(crate) fn worst_window(
    arrivals: &[(&str, u64)],
    sent: &[u64],
    ratio: f64,
    slack: f64,
) -> Option<Repeats> {
    let mut arrivals = arrivals.to_vec();
    arrivals.sort_unstable_by_key(|(_, at)| *at);
    let mut known = HashSet::new();
    let repeats = arrivals.iter().filter(|(id, _)| !known.insert(*id));
    let repeats: Vec<u64> = repeats.map(|(_, at)| *at).collect();
    let windows = repeats.iter().map(|start| {
        let in_window = |times: &[u64], from: u64| {
            let window = from..from + WINDOW_MS;
            times.iter().filter(|at| window.contains(at)).count()
        };
        let starts = [*start, start - WINDOW_MS, start - WINDOW_MS / 2];
        let requests = starts.map(|from| in_window(sent, from));
        let most = requests.into_iter().max().unwrap_or(0);
        Repeats {
            count: in_window(&repeats, *start),
            allowed: ratio * most as f64 + slack,
        }
    });
    let excess = |window: &Repeats| window.count as f64 - window.allowed;
    windows.max_by(|a, b| excess(a).total_cmp(&excess(b)))
}
