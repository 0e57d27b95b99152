//! Rates answers with noise and delay; some answers are never rated.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::str::FromStr;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{Method, Request, Response, StatusCode};
use actix_rt::time::Instant;
use bpaf::Bpaf;
use carawayrun::http::{json, text};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

use crate::command::Failure;
use crate::faults::{FaultState, Faults};
use crate::serve::{answer_common_call, query_value, read_json, run as serve};

/// Mean rating of a version and task that `--quality` does not name.
const DEFAULT_QUALITY: f64 = 0.8;
/// Mean rating of the version in the fault `badVersion`.
const BAD_QUALITY: f64 = 0.2;
/// Number of uniform draws whose sum approximates normal noise.
const NOISE_DRAWS: usize = 4;
/// Maximum number of ratings in one page.
const MAX_PAGE_RATINGS: usize = 1_000;

/// Command-line options.
#[derive(Debug, Clone)]
#[derive(Bpaf)]
#[bpaf(generate(options))]
pub(crate) struct Options {
    /// Address to listen on
    #[bpaf(argument("ADDR"), fallback(String::from("127.0.0.1:0")))]
    listen: String,
    /// Initial faults, as the JSON body of `PUT /faults`
    #[bpaf(argument("JSON"), fallback(Faults::default()))]
    faults: Faults,
    /// Mean rating of a version on a task; may be repeated
    #[bpaf(argument("VERSION/TASK=SCORE"), many)]
    quality: Vec<TrueQuality>,
    /// Standard deviation of a rating
    #[bpaf(argument("SCORE"), fallback(0.15))]
    noise: f64,
    /// Fraction of answers that are never rated, in 0..=1
    #[bpaf(argument("SHARE"), fallback(0.1))]
    missing: f64,
    /// Maximum delay of a rating, in milliseconds
    #[bpaf(argument("MS"), fallback(500))]
    late_ms: u64,
    /// Seed of noise, delays and missing ratings
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
}

#[derive(Debug, Clone)]
struct TrueQuality {
    version: String,
    task: String,
    score: f64,
}

impl FromStr for TrueQuality {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || format!("`{text}` is not VERSION/TASK=SCORE");
        let (subject, score) = text.split_once('=').ok_or_else(invalid)?;
        let (version, task) = subject.split_once('/').ok_or_else(invalid)?;
        Ok(Self {
            version: version.into(),
            task: task.into(),
            score: score.parse().map_err(|_| invalid())?,
        })
    }
}

pub(crate) fn run(options: &Options) -> Result<(), Failure> {
    if !(0.0..=1.0).contains(&options.missing) {
        return Err(format!("--missing: {} is not in 0..=1", options.missing).into());
    }
    let shared = options.clone();
    serve(&options.listen, move || {
        let rater = Rc::new(Rater::new(shared.clone()));
        move |request| Rc::clone(&rater).handle(request)
    })
}

#[derive(Debug)]
struct Rater {
    options: Options,
    qualities: HashMap<(String, String), f64>,
    faults: FaultState,
    state: RefCell<State>,
}

#[derive(Debug)]
struct State {
    rng: SmallRng,
    // Ratings not yet published, by due time and sequence number.
    pending: BTreeMap<(Instant, u64), PendingRating>,
    // Number of ratings scheduled so far; excludes answers that are never rated.
    scheduled_count: u64,
    ratings: Vec<Rating>,
}

#[derive(Debug)]
struct PendingRating {
    id: String,
    score: f64,
}

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Answer {
    id: String,
    version: String,
    task: String,
}

#[derive(Debug, Clone)]
#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct Rating {
    number: u64,
    id: String,
    score: f64,
}

#[derive(Debug)]
#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct Page {
    ratings: Vec<Rating>,
}

impl Rater {
    fn new(options: Options) -> Self {
        let qualities = options.quality.iter().cloned();
        let state = State {
            rng: SmallRng::seed_from_u64(options.seed),
            pending: BTreeMap::new(),
            scheduled_count: 0,
            ratings: Vec::new(),
        };
        Self {
            qualities: qualities
                .map(|quality| ((quality.version, quality.task), quality.score))
                .collect(),
            faults: FaultState::new(&options.faults),
            options,
            state: RefCell::new(state),
        }
    }

    async fn handle(self: Rc<Self>, mut request: Request) -> Response<BoxBody> {
        if let Some(answer) = answer_common_call(&mut request, &self.faults).await {
            return answer;
        }
        match (request.method(), request.path()) {
            (&Method::POST, "/v1/ratings") => self.schedule_rating(&mut request).await,
            (&Method::GET, "/v1/ratings") => self.list_ratings(&request),
            _ => text(StatusCode::NOT_FOUND, "no such call\n"),
        }
    }

    async fn schedule_rating(&self, request: &mut Request) -> Response<BoxBody> {
        let answer: Answer = match read_json(request).await {
            Ok(answer) => answer,
            Err(response) => return response,
        };
        let mean = self.mean_rating(&answer);
        self.state
            .borrow_mut()
            .schedule_rating(answer.id, mean, &self.options);
        text(StatusCode::ACCEPTED, "")
    }

    fn mean_rating(&self, answer: &Answer) -> f64 {
        if self.faults.get().bad_version == answer.version {
            return BAD_QUALITY;
        }
        let key = (answer.version.clone(), answer.task.clone());
        self.qualities.get(&key).copied().unwrap_or(DEFAULT_QUALITY)
    }

    fn list_ratings(&self, request: &Request) -> Response<BoxBody> {
        let after = query_value(request, "after").and_then(|text| text.parse().ok());
        let prefix = query_value(request, "ids").unwrap_or_default();
        let mut state = self.state.borrow_mut();
        state.publish_due(Instant::now());
        let first = after.unwrap_or(0_u64) as usize;
        let newer = state.ratings.iter().skip(first);
        let ratings = newer
            .filter(|rating| rating.id.starts_with(&prefix))
            .take(MAX_PAGE_RATINGS)
            .cloned()
            .collect();
        json(StatusCode::OK, &Page { ratings })
    }
}

impl State {
    // Does nothing for the fraction `--missing` of answers, which are never rated.
    fn schedule_rating(&mut self, id: String, mean: f64, options: &Options) {
        if self.rng.random_bool(options.missing) {
            return;
        }
        let score = (mean + self.draw_noise(options.noise)).clamp(0.0, 1.0);
        let delay = Duration::from_millis(self.rng.random_range(0..=options.late_ms));
        self.scheduled_count += 1;
        let due = (Instant::now() + delay, self.scheduled_count);
        self.pending.insert(due, PendingRating { id, score });
    }

    // The sum of n uniform draws from -1..1 has a variance of n / 3.
    fn draw_noise(&mut self, deviation: f64) -> f64 {
        let sum: f64 = (0..NOISE_DRAWS)
            .map(|_| self.rng.random_range(-1.0..1.0))
            .sum();
        sum * deviation / (NOISE_DRAWS as f64 / 3.0).sqrt()
    }

    fn publish_due(&mut self, now: Instant) {
        while let Some(entry) = self.pending.first_entry() {
            if entry.key().0 > now {
                return;
            }
            let due = entry.remove();
            self.ratings.push(Rating {
                number: self.ratings.len() as u64 + 1,
                id: due.id,
                score: due.score,
            });
        }
    }
}
