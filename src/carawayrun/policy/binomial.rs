//! Evidence that two shares differ, valid at any time of looking.

/// Which of two shares a hypothesis puts higher.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Null {
    /// The new share is at most the old one plus the margin.
    AtMost,
    /// The new share is at least the old one plus the margin.
    AtLeast,
}

/// Events among trials; fractions are allowed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Share {
    pub(crate) events: f64,
    pub(crate) trials: f64,
}

impl Share {
    fn rate(self) -> f64 {
        if self.trials > 0.0 {
            self.events / self.trials
        } else {
            0.0
        }
    }

    fn likelihood(self, rate: f64) -> f64 {
        let rate = rate.clamp(1e-12, 1.0 - 1e-12);
        self.events * rate.ln() + (self.trials - self.events) * (1.0 - rate).ln()
    }

    // Log of the likelihood, mixed over Beta(1/2, 1/2) rates.
    fn mixture(self) -> f64 {
        ln_beta(self.events + 0.5, self.trials - self.events + 0.5) - ln_beta(0.5, 0.5)
    }
}

/// Logarithm of the e-value against `null`.
///
/// Universal inference (Wasserman, Ramdas and Balakrishnan, 2020) with Beta
/// mixtures: the mixed likelihood over the largest one under the null. Its
/// expectation under the null is at most one whenever it is looked at.
pub(crate) fn log_evidence(old: Share, new: Share, margin: f64, null: Null) -> f64 {
    old.mixture() + new.mixture() - supremum(old, new, margin, null)
}

/// Logarithm of the e-value against the rate of `new` being at most `bound`.
///
/// The mixed likelihood over the one at the bound: a test martingale, valid
/// whenever it is looked at. It spends nothing on an unknown old rate, so it
/// decides on a fraction of the trials where the old rate is well known.
pub(crate) fn log_evidence_above(new: Share, bound: f64) -> f64 {
    if new.rate() <= bound {
        return 0.0;
    }
    new.mixture() - new.likelihood(bound)
}

fn supremum(old: Share, new: Share, margin: f64, null: Null) -> f64 {
    let gap = new.rate() - old.rate() - margin;
    let inside = match null {
        Null::AtMost => gap <= 0.0,
        Null::AtLeast => gap >= 0.0,
    };
    if inside {
        return old.likelihood(old.rate()) + new.likelihood(new.rate());
    }
    boundary(old, new, margin)
}

// The likelihood is concave along the boundary, so a ternary search finds its top.
fn boundary(old: Share, new: Share, margin: f64) -> f64 {
    const ROUNDS: usize = 60;
    let value = |rate: f64| old.likelihood(rate) + new.likelihood(rate + margin);
    let mut low = 0.0;
    let mut high = (1.0 - margin).max(0.0);
    for _ in 0..ROUNDS {
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
