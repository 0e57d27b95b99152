//! This gateway's share of the team limits.

use std::sync::{Arc, Mutex, PoisonError};

use compact_str::format_compact;
use rustc_hash::FxHashMap;

use super::refusal::Refusal;
use crate::control::{LimitShareView, View};
use crate::policy::{OverLimit, TokenBucket};
use crate::resource::{Limits, TeamKey};
use crate::traffic::Code;

/// Retry delay suggested to callers if their team has too many requests in
/// flight, in milliseconds.
const CONCURRENCY_RETRY_MS: u64 = 1_000;

/// Token buckets of the teams that have sent a request.
#[derive(Debug, Default)]
pub(super) struct TeamLimits {
    buckets: Mutex<FxHashMap<TeamKey, TokenBucket>>,
}

/// Counts a request as in flight for its team until dropped.
#[derive(Debug)]
pub(super) struct TeamPermit {
    limits: Arc<TeamLimits>,
    team: TeamKey,
}

impl TeamLimits {
    /// Admits one request of a team.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if the team is over a limit.
    pub(super) fn acquire(
        self: &Arc<Self>,
        view: &View,
        team: TeamKey,
        now_ms: u64,
    ) -> Result<TeamPermit, Refusal> {
        let share = limit_share(view, team);
        let mut buckets = self.buckets.lock().unwrap_or_else(PoisonError::into_inner);
        let bucket = buckets.entry(team).or_insert_with(|| {
            TokenBucket::new(share.rate, share.burst, share.concurrency, now_ms)
        });
        bucket.resize(share.rate, share.burst, share.concurrency, now_ms);
        bucket
            .acquire(now_ms)
            .map_err(|over| limit_refusal(over, share))?;
        Ok(TeamPermit {
            limits: Arc::clone(self),
            team,
        })
    }
}

impl Drop for TeamPermit {
    fn drop(&mut self) {
        let mut buckets = self
            .limits
            .buckets
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(bucket) = buckets.get_mut(&self.team) {
            bucket.release();
        }
    }
}

// Until the team's limit share is known, this gateway applies the whole limit.
fn limit_share(view: &View, team: TeamKey) -> LimitShareView {
    view.shares.get(&team).copied().unwrap_or_else(|| {
        let limits = view
            .config
            .teams
            .get(team)
            .map_or_else(Limits::default, |team| team.spec.limits);
        LimitShareView {
            rate: limits.rate,
            burst: limits.burst,
            concurrency: f64::from(limits.concurrency),
        }
    })
}

fn limit_refusal(over: OverLimit, share: LimitShareView) -> Refusal {
    match over {
        OverLimit::Rate { retry_after_ms } => {
            let message = format_compact!("over the rate of {} requests a second", share.rate);
            Refusal::new(Code::OverRate, message).retry_after(retry_after_ms)
        }
        OverLimit::Concurrency => {
            let message = format_compact!("over {} requests in flight", share.concurrency);
            Refusal::new(Code::OverConcurrency, message).retry_after(CONCURRENCY_RETRY_MS)
        }
    }
}
