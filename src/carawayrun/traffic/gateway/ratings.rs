//! Ratings of answers, for the policy's estimates and for the gates of
//! cascades.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use actix_rt::time::{Instant, sleep, timeout};
use bytes::Bytes;
use compact_str::CompactString;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use super::shared::Shared;
use crate::control::{Event, Rating};

/// Time between two polls for ratings.
const POLL_PERIOD: Duration = Duration::from_millis(250);

/// Timeout of a call to the rating service.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of a response of the rating service, in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Maximum number of answers that wait for a rating.
const MAX_PENDING: usize = 20_000;

/// Time after which a rating is no longer expected.
const PENDING_TIMEOUT: Duration = Duration::from_mins(10);

/// Weight of the newest rating in the moving averages.
const NEWEST_WEIGHT: f64 = 0.05;

/// Share of answers that get a rating, assumed before the first rating.
const INITIAL_RATED_SHARE: f64 = 0.9;

/// Time until a rating arrives, assumed before the first rating, in
/// milliseconds.
const INITIAL_WAIT_MS: f64 = 500.0;

/// An answer to be rated.
#[derive(Debug, Clone)]
pub(super) struct Sample {
    /// Identifies the answer by its request and step.
    pub(super) id: CompactString,
    pub(super) version: CompactString,
    pub(super) task: CompactString,
    pub(super) compared: bool,
    /// Added to the rating before the estimates record it.
    pub(super) rating_shift: f64,
}

/// Moving averages of how many answers get a rating, and how fast.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct RatingStats {
    /// Moving average of the share of answers that get a rating, in 0..=1. Every
    /// rating raises it; only a gate that gets no rating in time lowers it.
    pub(super) share: f64,
    /// Time until a rating arrives, in milliseconds.
    pub(super) wait_ms: f64,
}

/// The rating service, and the answers that wait for its ratings.
#[derive(Debug)]
pub(super) struct Ratings {
    addr: Option<SocketAddr>,
    /// Share of answers that are rated although no gate requires it, in 0..=1.
    pub(super) sample_share: f64,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    pending: FxHashMap<CompactString, Pending>,
    stats: RatingStats,
}

#[derive(Debug)]
struct Pending {
    sample: Sample,
    submitted_at: Instant,
    score_sender: Option<oneshot::Sender<f64>>,
}

#[derive(Serialize)]
struct RatingRequest<'a> {
    id: &'a str,
    version: &'a str,
    task: &'a str,
    answer: &'a str,
}

#[derive(Deserialize)]
struct RatingPage {
    ratings: Vec<RatedAnswer>,
}

#[derive(Deserialize)]
struct RatedAnswer {
    number: u64,
    id: CompactString,
    score: f64,
}

impl Ratings {
    pub(super) fn new(addr: Option<SocketAddr>, sample_share: f64) -> Self {
        Self {
            addr,
            sample_share,
            state: Mutex::new(State {
                pending: FxHashMap::default(),
                stats: RatingStats {
                    share: INITIAL_RATED_SHARE,
                    wait_ms: INITIAL_WAIT_MS,
                },
            }),
        }
    }

    /// Returns the moving averages, or `None` if there is no rating service.
    pub(super) fn stats(&self) -> Option<RatingStats> {
        self.addr.map(|_| self.state().stats)
    }

    /// Submits an answer to the rating service; [`poll`] fetches its rating.
    pub(super) async fn submit(&self, client: &awc::Client, sample: Sample, text: &str) {
        self.send(client, sample, text, None).await;
    }

    /// Submits an answer to the rating service and waits for its rating, at
    /// most `wait`.
    ///
    /// Returns `None` if no rating arrives in time, there is no rating service,
    /// or too many answers wait for a rating. This lowers the moving average of
    /// the share of rated answers.
    pub(super) async fn rate(
        &self,
        client: &awc::Client,
        sample: Sample,
        text: &str,
        wait: Duration,
    ) -> Option<f64> {
        let (score_sender, rated) = oneshot::channel();
        let id = sample.id.clone();
        let score = timeout(wait, async {
            self.send(client, sample, text, Some(score_sender)).await;
            rated.await.ok()
        })
        .await
        .ok()
        .flatten();
        if score.is_none() {
            self.record_timeout(&id);
        }
        score
    }

    async fn send(
        &self,
        client: &awc::Client,
        sample: Sample,
        text: &str,
        score_sender: Option<oneshot::Sender<f64>>,
    ) {
        let Some(addr) = self.addr else {
            return;
        };
        let body = serde_json::to_vec(&RatingRequest {
            id: &sample.id,
            version: &sample.version,
            task: &sample.task,
            answer: text,
        })
        .expect("an answer can be written as JSON");
        self.add_pending(sample, score_sender);
        let call = client
            .post(format!("http://{addr}/v1/ratings"))
            .content_type("application/json")
            .send_body(body);
        // If the call fails, the answer stays unrated.
        let _ = timeout(CALL_TIMEOUT, call).await;
    }

    fn add_pending(&self, sample: Sample, score_sender: Option<oneshot::Sender<f64>>) {
        let mut state = self.state();
        if state.pending.len() >= MAX_PENDING {
            state
                .pending
                .retain(|_, pending| pending.submitted_at.elapsed() < PENDING_TIMEOUT);
        }
        if state.pending.len() < MAX_PENDING {
            let pending = Pending {
                submitted_at: Instant::now(),
                score_sender,
                sample,
            };
            state.pending.insert(pending.sample.id.clone(), pending);
        }
    }

    // Counts an answer that was not rated in time as one without a rating.
    fn record_timeout(&self, id: &CompactString) {
        let mut state = self.state();
        if let Some(pending) = state.pending.get_mut(id) {
            pending.score_sender = None;
        }
        state.stats.share -= NEWEST_WEIGHT * state.stats.share;
    }

    // Updates the averages, and answers the gate that waits for the rating, if
    // any.
    fn record_rating(&self, rated: &RatedAnswer) -> Option<Rating> {
        let mut state = self.state();
        let pending = state.pending.remove(&rated.id)?;
        let wait_ms = pending.submitted_at.elapsed().as_millis() as f64;
        let averages = &mut state.stats;
        averages.wait_ms += NEWEST_WEIGHT * (wait_ms - averages.wait_ms);
        averages.share += NEWEST_WEIGHT * (1.0 - averages.share);
        drop(state);
        if let Some(score_sender) = pending.score_sender {
            let _ = score_sender.send(rated.score);
        }
        Some(Rating {
            version: pending.sample.version,
            task: pending.sample.task,
            compared: pending.sample.compared,
            score: rated.score + pending.sample.rating_shift,
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Fetches new ratings and posts them to the control state. Runs until the
/// process ends.
pub(super) async fn poll(shared: Arc<Shared>) {
    let Some(addr) = shared.ratings.addr else {
        return;
    };
    let client = awc::Client::builder().timeout(CALL_TIMEOUT).finish();
    let mut after = 0;
    loop {
        sleep(POLL_PERIOD).await;
        let url = format!(
            "http://{addr}/v1/ratings?after={after}&ids={}.",
            shared.node
        );
        let Some(page) = fetch_page(&client, &url).await else {
            continue;
        };
        for rated in page.ratings {
            after = after.max(rated.number);
            if let Some(rating) = shared.ratings.record_rating(&rated) {
                shared.handle.post(Event::AnswerRated(Box::new(rating)));
            }
        }
    }
}

async fn fetch_page(client: &awc::Client, url: &str) -> Option<RatingPage> {
    let mut response = client.get(url).send().await.ok()?;
    let body: Bytes = response.body().limit(MAX_ANSWER_BYTES).await.ok()?;
    serde_json::from_slice(&body).ok()
}
