//! Judgement of the requests that reach an upstream which named a limit.

/// Window over which requests are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;

/// Most of the requests at these `times`, in milliseconds, that fall into a window.
pub(crate) fn peak(times: &[u64]) -> usize {
    let counts = times.iter().map(|start| {
        let window = *start..start + WINDOW_MS;
        times.iter().filter(|at| window.contains(at)).count()
    });
    counts.max().unwrap_or(0)
}

/// Requests allowed in a window at a limit in requests per second.
pub(crate) fn allowed(limit: f64) -> f64 {
    1.5 * limit * (WINDOW_MS as f64 / 1_000.0) + 5.0
}
