//! Randomized soak test: runs the real programs as separate processes, injects faults
//! from outside, and checks the router's guarantees against what callers and upstreams
//! recorded.
//!
//! A seed determines the plan of faults, but not how processes interleave with it. To
//! run seeds by hand, keeping the logs and the history of those that fail:
//!
//! ```text
//! SOAK_SEEDS=1..51 SOAK_SECONDS=20 SOAK_JOBS=4 \
//!   cargo test --test testsuite -- --ignored --nocapture soak::by_hand
//! ```
//!
//! Seeds that failed before are in [`REGRESSION_SEEDS`] and run with every test run.

mod callers;
mod check;
mod check_bounds;
mod check_tests;
mod connection;
mod deployment;
mod history;
mod injection;
mod plan;

use std::cell::Cell;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use self::callers::{send_request, send_requests};
use self::check::find_violations;
use self::connection::Connection;
use self::deployment::{Deployment, PERMANENT_KEYS};
use self::history::RequestKind;
use self::plan::{Sizes, plan_faults, stops_together};
use crate::support::{Net, now_ms};

/// Default sizes, which keep a test at a few dozen processes at most.
const DEFAULT_SIZES: Sizes = Sizes {
    relays: 3,
    upstreams: 8,
};

/// Number of callers for each relay.
const CALLERS_PER_RELAY: usize = 5;

/// Number of requests of each kind sent to each relay once the faults are over.
const REQUESTS_AFTER_FAULTS: usize = 5;

/// Time for which faults are injected in the runs of [`REGRESSION_SEEDS`].
const REGRESSION_DURATION: Duration = Duration::from_secs(15);

/// Seeds that failed before, each with the cause.
const REGRESSION_SEEDS: [(u64, &str); 11] = [
    (
        125,
        "a low-confidence answer was dropped, and no better one came",
    ),
    (
        101,
        "the stand-in handled a query for its report as a request",
    ),
    (113, "as 101"),
    (116, "as 101"),
    (117, "as 101"),
    (126, "as 101"),
    (
        214,
        "an upstream still lost answers after the faults were over",
    ),
    (224, "as 214"),
    (
        1210,
        "an upstream asked for rest before its restart was known",
    ),
    (
        1344,
        "a stand-in kept its limit over a restart, which the soak did not know",
    ),
    (
        2104,
        "an interrupted stream that was resumed went on past its last event",
    ),
];

/// Number of soaks that one test runs at the same time.
const PARALLEL_SOAKS: usize = 3;

/// Runs the soak of a seed and returns the violations, one line each.
async fn run_soak(seed: u64, duration: Duration, sizes: Sizes) -> Vec<String> {
    let deployment = Deployment::start(seed, sizes, Net::claim()).await;
    let stopped = Rc::new(Cell::new(false));
    let callers = (0..CALLERS_PER_RELAY * sizes.relays).map(|number| {
        actix_rt::spawn(send_requests(
            Rc::clone(&deployment),
            number,
            Rc::clone(&stopped),
        ))
    });
    let callers: Vec<_> = callers.collect();
    actix_rt::spawn(Rc::clone(&deployment).revive_upstreams(Rc::clone(&stopped)));
    let started = now_ms();
    let mut injections = Vec::new();
    for (at, fault) in plan_faults(seed, duration, sizes) {
        let since = Duration::from_millis(now_ms() - started);
        actix_rt::time::sleep(at.saturating_sub(since)).await;
        injections.push(actix_rt::spawn(injection::inject_fault(
            Rc::clone(&deployment),
            fault,
        )));
    }
    for injection in injections {
        injection.await.expect("an injection does not panic");
    }
    deployment.clear_upstream_faults().await;
    if let Some(count) = stops_together(seed, sizes) {
        deployment.wait_for_recovery().await;
        deployment.stop_together(count).await;
    }
    let mut violations = check_recovery(&deployment).await;
    stopped.set(true);
    for caller in callers {
        caller.await.expect("a caller does not panic");
    }
    deployment.record_crashes();
    deployment.read_runs();
    violations.extend(find_violations(&deployment.history.borrow()));
    report(&deployment, &violations);
    violations
}

// After the faults, every relay must serve requests of every kind, also with the
// newest key.
async fn check_recovery(deployment: &Deployment) -> Vec<String> {
    if !deployment.wait_for_recovery().await {
        return vec!["not all relays became ready within the recovery timeout".to_owned()];
    }
    let mut violations = Vec::new();
    let newest = deployment.active_keys().pop();
    let newest = newest.unwrap_or_else(|| PERMANENT_KEYS[0].to_owned());
    let keys = PERMANENT_KEYS.map(str::to_owned);
    let keys: Vec<String> = keys.into_iter().chain([newest]).collect();
    for relay in 0..deployment.sizes.relays {
        let mut connection = Connection::default();
        for number in 0..REQUESTS_AFTER_FAULTS {
            for kind in [RequestKind::Read, RequestKind::Switch, RequestKind::Stream] {
                let id = format!("after-{relay}-{number}-{kind:?}");
                let key = keys[number % keys.len()].clone();
                let to = (&mut connection, relay);
                let served = send_request(deployment, to, kind, key, id, Duration::ZERO).await;
                if served.status != Some(200) || !served.complete {
                    violations.push(format!("not served after the faults ended: {served:?}"));
                }
                deployment.history.borrow_mut().exchanges.push(served);
            }
        }
    }
    violations
}

fn report(deployment: &Deployment, violations: &[String]) {
    let history = deployment.history.borrow();
    let all = history.exchanges.len();
    let served = history
        .exchanges
        .iter()
        .filter(|other| other.status == Some(200) && other.complete);
    println!(
        "seed {}: {} of {all} requests served, {} runs, {} disturbances, {} stops, {} violations",
        deployment.seed,
        served.count(),
        history.runs.len(),
        history.disturbances.len(),
        history.stops.len(),
        violations.len()
    );
    if violations.is_empty() {
        // A failed removal only leaves a temporary directory behind.
        let _removed = std::fs::remove_dir_all(deployment.dir());
        return;
    }
    let path = deployment.dir().join("history.txt");
    std::fs::write(&path, format!("{history:#?}")).expect("the history can be written");
    println!(
        "seed {}: logs and history are in {}",
        deployment.seed,
        deployment.dir().display()
    );
    for line in violations {
        println!("seed {}: {line}", deployment.seed);
    }
}

#[actix_rt::test]
async fn short_soak_has_no_violations() {
    let violations = run_soak(7, Duration::from_secs(12), DEFAULT_SIZES).await;
    assert!(violations.is_empty(), "{violations:#?}");
}

#[actix_rt::test]
async fn regression_seeds_have_no_violations() {
    for chunk in REGRESSION_SEEDS.chunks(PARALLEL_SOAKS) {
        let soaks = chunk.iter().map(|(seed, cause)| async move {
            let violations = run_soak(*seed, REGRESSION_DURATION, DEFAULT_SIZES).await;
            assert!(
                violations.is_empty(),
                "seed {seed}, which failed before because {cause}: {violations:#?}"
            );
        });
        futures_util::future::join_all(soaks).await;
    }
}

#[test]
#[ignore = "takes minutes; run by hand with SOAK_SEEDS=FROM..TO"]
fn by_hand() {
    let number = |name: &str, default: u64| {
        std::env::var(name).map_or(default, |text| text.parse().expect("a number"))
    };
    let seeds = std::env::var("SOAK_SEEDS").unwrap_or_else(|_| "1..11".to_owned());
    let (from, to) = seeds.split_once("..").expect("SOAK_SEEDS is FROM..TO");
    let (from, to): (u64, u64) = (from.parse().expect("a seed"), to.parse().expect("a seed"));
    let duration = Duration::from_secs(number("SOAK_SECONDS", 20));
    let sizes = Sizes {
        relays: number("SOAK_RELAYS", DEFAULT_SIZES.relays as u64) as usize,
        upstreams: number("SOAK_UPSTREAMS", DEFAULT_SIZES.upstreams as u64) as usize,
    };
    let next = AtomicU64::new(from);
    let failed = std::sync::Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..number("SOAK_JOBS", 3) {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= to {
                        return;
                    }
                    let violations =
                        actix_rt::System::new().block_on(run_soak(seed, duration, sizes));
                    if !violations.is_empty() {
                        failed.lock().expect("no holder panics").push(seed);
                    }
                }
            });
        }
    });
    let failed = failed.into_inner().expect("no holder panics");
    assert!(failed.is_empty(), "seeds with violations: {failed:?}");
}
