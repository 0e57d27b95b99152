//! Sends a mixed load to gateways and reports the answers.
//!
//! The load is open-loop: arrivals follow a seeded Poisson process and don't wait
//! for earlier answers, so a slow system gets the same rate as a fast one. Every
//! answer is checked against the text that the stand-in generates for the request.

mod call;
mod class;
mod report;
mod verify;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::{Instant, sleep_until};
use bpaf::Bpaf;
use rand::distr::{Distribution, weighted::WeightedIndex};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use self::call::LoadClient;
use self::class::{Class, Mix};
use self::report::Report;
use crate::command::Failure;

/// Maximum number of connections of the client.
const MAX_CONNECTIONS: usize = 4_096;

/// Maximum wait for outstanding answers after the last request is sent.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(150);

/// Command-line options.
#[derive(Debug, Clone)]
#[derive(Bpaf)]
#[bpaf(generate(options))]
pub(crate) struct Options {
    /// Gateway to send requests to, as `http://IP:PORT`; may be repeated
    #[bpaf(argument("URL"))]
    target: Vec<String>,
    /// Engine to send requests to without a gateway, as `http://IP:PORT`
    #[bpaf(argument("URL"), optional)]
    direct: Option<String>,
    /// API key of the team
    #[bpaf(argument("KEY"), fallback(String::from("luz-key")))]
    key: String,
    /// Model or version to request
    #[bpaf(argument("NAME"), fallback(String::from("scene")))]
    model: String,
    /// Plain service to call
    #[bpaf(argument("NAME"), fallback(String::from("home-app")))]
    service: String,
    /// Mean rate over all classes, in requests per second
    #[bpaf(argument("N"), fallback(50.0))]
    rate: f64,
    /// Duration of the run, in seconds
    #[bpaf(argument("S"), fallback(10.0))]
    seconds: f64,
    /// Maximum number of requests
    #[bpaf(argument("N"), fallback(u64::MAX))]
    requests: u64,
    /// Seed of arrivals and classes
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Relative weights of the request classes
    #[bpaf(argument("CLASS=N,.."), fallback(Mix::default()), display_fallback)]
    mix: Mix,
    /// Task header for requests of a class, as CLASS=TASK; may be repeated
    #[bpaf(argument("CLASS=TASK"))]
    task: Vec<String>,
    /// Tokens in the answer of a streamed request
    #[bpaf(argument("N"), fallback(50))]
    stream_tokens: usize,
    /// Deadline of each request, in milliseconds
    #[bpaf(argument("MS"), fallback(120_000))]
    deadline_ms: u64,
    /// Print the report as JSON
    json: bool,
}

pub(crate) fn run(options: &Options) -> Result<(), Failure> {
    if options.target.is_empty() == options.direct.is_none() {
        return Err("exactly one of --target and --direct is required".into());
    }
    let report = actix_rt::System::new().block_on(send_all(options))?;
    if options.json {
        println!("{}", serde_json::to_string_pretty(&report.summary())?);
    } else {
        println!("{report}");
    }
    if report.wrong_answers() > 0 {
        return Err(format!(
            "{} answers were incomplete or belonged to another request",
            report.wrong_answers()
        )
        .into());
    }
    Ok(())
}

async fn send_all(options: &Options) -> Result<Report, Failure> {
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let weights = WeightedIndex::new(options.mix.weights())?;
    let client = Rc::new(LoadClient::new(options)?);
    let report = Rc::new(RefCell::new(Report::default()));
    let start = Instant::now();
    let mut due = Duration::ZERO;
    let mut sent = 0;
    while sent < options.requests {
        due += sample_interval(options.rate, &mut rng);
        if due.as_secs_f64() > options.seconds {
            break;
        }
        sleep_until(start + due).await;
        let class = Class::ALL[weights.sample(&mut rng)];
        actix_rt::spawn(send_one(
            Rc::clone(&client),
            Rc::clone(&report),
            class,
            sent,
        ));
        sent += 1;
    }
    let deadline = Instant::now() + DRAIN_TIMEOUT;
    while report.borrow().ended_requests() < sent && Instant::now() < deadline {
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    let mut report = report.take();
    report.finish(sent, start.elapsed());
    Ok(report)
}

async fn send_one(client: Rc<LoadClient>, report: Rc<RefCell<Report>>, class: Class, number: u64) {
    let outcome = client.call(class, number).await;
    report.borrow_mut().record(class, &outcome);
}

// Draws the exponentially distributed time between two arrivals.
fn sample_interval(rate: f64, rng: &mut ChaCha8Rng) -> Duration {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64(-uniform.ln() / rate.max(f64::MIN_POSITIVE))
}
