//! The standard normal distribution, fast enough to evaluate on every request.

const FRAC_1_SQRT_TAU: f64 = 0.398_942_280_401_432_7;

/// Probability density at `z`.
pub(crate) fn pdf(z: f64) -> f64 {
    FRAC_1_SQRT_TAU * (-0.5 * z * z).exp()
}

/// Cumulative distribution: the chance of a value below `z`.
///
/// Abramowitz and Stegun (1964), formula 26.2.17; absolute error under 7.5e-8.
pub(crate) fn cdf(z: f64) -> f64 {
    let t = 1.0 / 0.231_641_9_f64.mul_add(z.abs(), 1.0);
    let series = t
        * (0.319_381_530
            + t * (-0.356_563_782
                + t * (1.781_477_937 + t * (-1.821_255_978 + t * 1.330_274_429))));
    let upper = pdf(z) * series;
    if z >= 0.0 { 1.0 - upper } else { upper }
}
