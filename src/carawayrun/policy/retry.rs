//! How many retries are affordable.

/// Retries as a share of successful traffic, so that retries can't multiply an
/// overload.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryBudget {
    share: f64,
    balance: f64,
}

/// Retries that may be saved up.
const MOST_SAVED: f64 = 20.0;

impl RetryBudget {
    /// Retries per success, in 0..=1; some are granted before the first one.
    pub fn new(share: f64) -> Self {
        Self {
            share,
            balance: MOST_SAVED / 2.0,
        }
    }

    /// Tells that a request succeeded.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.share).min(MOST_SAVED);
    }

    /// Takes one retry; false where the budget is spent.
    pub fn withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}

impl Default for RetryBudget {
    /// One retry for ten successes.
    fn default() -> Self {
        Self::new(0.1)
    }
}
