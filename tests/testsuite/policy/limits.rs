//! Team limits and retry budgets never admit more than they allow.

use carawayrun::policy::{OverLimit, RetryBudget, TokenBucket};
use proptest::prelude::*;

const SEED: u64 = 13;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128,
        rng_seed: proptest::test_runner::RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn token_bucket_never_exceeds_rate_or_concurrency(
        rate in 0.1..100.0_f64,
        burst in 1.0..50.0_f64,
        concurrency in 1..40_u32,
        steps in proptest::collection::vec((0..200_u64, any::<bool>()), 1..400),
    ) {
        let mut bucket = TokenBucket::new(rate, burst, f64::from(concurrency), 0);
        let mut now_ms = 0;
        let mut admitted = 0.0;
        for (elapsed_ms, ends) in steps {
            now_ms += elapsed_ms;
            admitted += f64::from(u8::from(bucket.acquire(now_ms).is_ok()));
            prop_assert!(bucket.in_flight() <= concurrency);
            prop_assert!(admitted <= burst + rate * now_ms as f64 / 1_000.0 + 1e-6);
            if ends {
                bucket.release();
            }
        }
    }
}

#[test]
fn request_after_the_retry_time_is_admitted() {
    let mut bucket = TokenBucket::new(2.0, 1.0, 10.0, 0);
    bucket.acquire(0).unwrap();
    let Err(OverLimit::Rate { retry_after_ms }) = bucket.acquire(0) else {
        panic!("the second request was within the rate");
    };
    assert_eq!(retry_after_ms, 500);
    bucket.acquire(retry_after_ms).unwrap();
}

#[test]
fn saved_retries_are_bounded() {
    let mut budget = RetryBudget::new(0.1);
    while budget.withdraw() {}
    (0..1_000).for_each(|_| budget.deposit());
    let mut retries = 0;
    while budget.withdraw() {
        retries += 1;
    }
    assert!(retries <= 20, "{retries} retries were saved up");
}
