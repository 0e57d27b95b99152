//! Budget that bounds retries.

/// Limits retries to a share of successful requests, so that retries can't amplify
/// an overload.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryBudget {
    share: f64,
    balance: f64,
}

/// Largest number of retries that can accumulate.
const MAX_BALANCE: f64 = 20.0;

impl RetryBudget {
    /// Creates a budget of `share` retries per success, in 0..=1. It starts with
    /// half of the largest balance, so that retries are possible before the first
    /// success.
    pub fn new(share: f64) -> Self {
        Self {
            share,
            balance: MAX_BALANCE / 2.0,
        }
    }

    /// Credits the budget for a request that succeeded.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.share).min(MAX_BALANCE);
    }

    /// Takes one retry from the budget. Returns false if it is exhausted.
    pub fn withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}

impl Default for RetryBudget {
    /// One retry per ten successes.
    fn default() -> Self {
        Self::new(0.1)
    }
}
