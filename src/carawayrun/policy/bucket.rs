//! Limits of a team at one gateway.

/// Which limit was reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OverLimit {
    /// Too many requests a second.
    Rate {
        /// When the next request will be within the rate, in milliseconds.
        retry_after_ms: u64,
    },
    /// Too many requests in flight.
    Concurrency,
}

/// A token bucket for the rate and a count for the concurrency.
#[derive(Debug, Clone, PartialEq)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    concurrency: f64,
    tokens: f64,
    in_flight: u32,
    filled_ms: u64,
}

impl TokenBucket {
    /// A full bucket: `rate` requests a second, `burst` at once above it, and
    /// `concurrency` in flight.
    pub fn new(rate: f64, burst: f64, concurrency: f64, now_ms: u64) -> Self {
        let burst = burst.max(1.0);
        Self {
            rate: rate.max(0.0),
            burst,
            concurrency,
            tokens: burst,
            in_flight: 0,
            filled_ms: now_ms,
        }
    }

    /// Changes the limits and keeps what was used of them.
    pub fn resize(&mut self, rate: f64, burst: f64, concurrency: f64, now_ms: u64) {
        self.fill(now_ms);
        self.rate = rate.max(0.0);
        self.burst = burst.max(1.0);
        self.concurrency = concurrency;
        self.tokens = self.tokens.min(self.burst);
    }

    /// Takes one request in; each success is followed by one [`Self::release`].
    ///
    /// # Errors
    ///
    /// [`OverLimit`] names the limit that was reached; nothing was taken.
    pub fn acquire(&mut self, now_ms: u64) -> Result<(), OverLimit> {
        self.fill(now_ms);
        if f64::from(self.in_flight) + 1.0 > self.concurrency.max(1.0) {
            return Err(OverLimit::Concurrency);
        }
        if self.tokens < 1.0 {
            return Err(OverLimit::Rate {
                retry_after_ms: self.refill_ms(),
            });
        }
        self.tokens -= 1.0;
        self.in_flight += 1;
        Ok(())
    }

    /// Tells that a request ended.
    pub fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    fn fill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.filled_ms);
        self.filled_ms = self.filled_ms.max(now_ms);
        self.tokens = (self.tokens + self.rate * elapsed_ms as f64 / 1_000.0).min(self.burst);
    }

    fn refill_ms(&self) -> u64 {
        const LONGEST_MS: f64 = 60_000.0;
        let wait_ms = (1.0 - self.tokens) * 1_000.0 / self.rate.max(f64::MIN_POSITIVE);
        wait_ms.min(LONGEST_MS).ceil() as u64
    }
}
