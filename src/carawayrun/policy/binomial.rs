//! Anytime-valid evidence that two binomial proportions differ.

/// Null hypothesis of a one-sided test that compares two proportions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NullHypothesis {
    /// The new proportion is at most the old one plus the margin.
    AtMost,
    /// The new proportion is at least the old one plus the margin.
    AtLeast,
}

/// Number of events out of a number of trials; neither has to be whole.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Proportion {
    pub(crate) events: f64,
    pub(crate) trials: f64,
}

impl Proportion {
    fn rate(self) -> f64 {
        if self.trials > 0.0 {
            self.events / self.trials
        } else {
            0.0
        }
    }

    fn log_likelihood(self, rate: f64) -> f64 {
        let rate = rate.clamp(1e-12, 1.0 - 1e-12);
        self.events * rate.ln() + (self.trials - self.events) * (1.0 - rate).ln()
    }

    // Logarithm of the likelihood, mixed over Beta(1/2, 1/2) rates.
    fn log_mixture(self) -> f64 {
        ln_beta(self.events + 0.5, self.trials - self.events + 0.5) - ln_beta(0.5, 0.5)
    }
}

/// Logarithm of the e-value against `null`.
///
/// Universal inference (Wasserman, Ramdas and Balakrishnan, 2020) with Beta
/// mixtures: the mixed likelihood divided by the largest one under the null. Its
/// expectation under the null is at most one at any stopping time.
pub(crate) fn log_evidence(
    old: Proportion,
    new: Proportion,
    margin: f64,
    null: NullHypothesis,
) -> f64 {
    old.log_mixture() + new.log_mixture() - max_log_likelihood(old, new, margin, null)
}

/// Logarithm of the e-value against the rate of `new` being at most `bound`.
///
/// The mixed likelihood divided by the one at the bound: a test martingale, valid
/// at any stopping time. It doesn't have to allow for an unknown old rate, so it
/// decides with a fraction of the trials if the old rate is well known.
pub(crate) fn log_evidence_above(new: Proportion, bound: f64) -> f64 {
    if new.rate() <= bound {
        return 0.0;
    }
    new.log_mixture() - new.log_likelihood(bound)
}

fn max_log_likelihood(old: Proportion, new: Proportion, margin: f64, null: NullHypothesis) -> f64 {
    let gap = new.rate() - old.rate() - margin;
    let holds = match null {
        NullHypothesis::AtMost => gap <= 0.0,
        NullHypothesis::AtLeast => gap >= 0.0,
    };
    if holds {
        return old.log_likelihood(old.rate()) + new.log_likelihood(new.rate());
    }
    boundary_maximum(old, new, margin)
}

// The log-likelihood is concave along the boundary of the null hypothesis, so a
// ternary search finds its maximum.
fn boundary_maximum(old: Proportion, new: Proportion, margin: f64) -> f64 {
    const ITERATIONS: usize = 60;
    let value = |rate: f64| old.log_likelihood(rate) + new.log_likelihood(rate + margin);
    let mut low = 0.0;
    let mut high = (1.0 - margin).max(0.0);
    for _ in 0..ITERATIONS {
        let left = low + (high - low) / 3.0;
        let right = high - (high - low) / 3.0;
        if value(left) < value(right) {
            low = left;
        } else {
            high = right;
        }
    }
    value(f64::midpoint(low, high))
}

fn ln_beta(a: f64, b: f64) -> f64 {
    ln_gamma(a) + ln_gamma(b) - ln_gamma(a + b)
}

// Lanczos (1964), g = 7, nine terms; relative error under 1e-14 for x > 0.5.
fn ln_gamma(x: f64) -> f64 {
    const G: f64 = 7.0;
    const TERMS: [f64; 9] = [
        0.999_999_999_999_809_9,
        676.520_368_121_885_1,
        -1_259.139_216_722_402_8,
        771.323_428_777_653_1,
        -176.615_029_162_140_6,
        12.507_343_278_686_905,
        -0.138_571_095_265_720_12,
        9.984_369_578_019_572e-6,
        1.505_632_735_149_311_6e-7,
    ];
    let x = x - 1.0;
    let base = x + G + 0.5;
    let sum = TERMS
        .iter()
        .enumerate()
        .skip(1)
        .fold(TERMS[0], |sum, (index, term)| {
            sum + term / (x + index as f64)
        });
    0.5 * std::f64::consts::TAU.ln() + (x + 0.5) * base.ln() - base + sum.ln()
}
