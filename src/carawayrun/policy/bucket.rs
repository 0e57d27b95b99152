//! Rate and concurrency limits of a team at one gateway.

/// The limit that a request would exceed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OverLimit {
    /// Too many requests per second.
    Rate {
        /// Time until a request is within the rate again, in milliseconds; at
        /// most one minute.
        retry_after_ms: u64,
    },
    /// Too many requests in flight.
    Concurrency,
}

/// A token bucket that limits the request rate, with a limit on the concurrency.
#[derive(Debug, Clone, PartialEq)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    concurrency: f64,
    tokens: f64,
    in_flight: u32,
    refilled_ms: u64,
}

impl TokenBucket {
    /// Creates a full bucket that allows `rate` requests per second, a burst of
    /// `burst` requests, and `concurrency` requests in flight.
    pub fn new(rate: f64, burst: f64, concurrency: f64, now_ms: u64) -> Self {
        let burst = burst.max(1.0);
        Self {
            rate: rate.max(0.0),
            burst,
            concurrency,
            tokens: burst,
            in_flight: 0,
            refilled_ms: now_ms,
        }
    }

    /// Changes the limits. Tokens above the new burst are dropped; requests in
    /// flight still count.
    pub fn resize(&mut self, rate: f64, burst: f64, concurrency: f64, now_ms: u64) {
        self.refill(now_ms);
        self.rate = rate.max(0.0);
        self.burst = burst.max(1.0);
        self.concurrency = concurrency;
        self.tokens = self.tokens.min(self.burst);
    }

    /// Admits one request. Each success has to be followed by one
    /// [`Self::release`].
    ///
    /// # Errors
    ///
    /// Returns the limit that the request would exceed; no token is taken then.
    pub fn acquire(&mut self, now_ms: u64) -> Result<(), OverLimit> {
        self.refill(now_ms);
        if f64::from(self.in_flight) + 1.0 > self.concurrency.max(1.0) {
            return Err(OverLimit::Concurrency);
        }
        if self.tokens < 1.0 {
            return Err(OverLimit::Rate {
                retry_after_ms: self.next_token_ms(),
            });
        }
        self.tokens -= 1.0;
        self.in_flight += 1;
        Ok(())
    }

    /// Ends an admitted request.
    pub fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    fn refill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_ms);
        self.refilled_ms = self.refilled_ms.max(now_ms);
        self.tokens = (self.tokens + self.rate * elapsed_ms as f64 / 1_000.0).min(self.burst);
    }

    fn next_token_ms(&self) -> u64 {
        const MAX_RETRY_AFTER_MS: f64 = 60_000.0;
        let wait_ms = (1.0 - self.tokens) * 1_000.0 / self.rate.max(f64::MIN_POSITIVE);
        wait_ms.min(MAX_RETRY_AFTER_MS).ceil() as u64
    }
}
