//! Wait of a request for a place at the upstreams of its service.

use tokio::time::Instant;

use super::{Exchange, RequestProgress};
use crate::relay::catalog::Route;
use crate::relay::loads::name_digest;
use crate::relay::queue::{Class, Job, RefusalReason};

/// How a request came by a place.
pub(super) enum Turn {
    /// It has one without a wait.
    Ready,
    /// It has one after a wait, in which other things may have changed.
    Waited,
    /// It would get none in time.
    Refused,
}

impl RefusalReason {
    // Note on the log line of a request.
    fn note(self) -> &'static str {
        match self {
            Self::TooLate => "no room, and no time left for an answer",
            Self::NoTurn => "no room before it would be too late",
            Self::QueueFull => "no room, and too many requests wait",
        }
    }
}

impl Exchange<'_> {
    // Takes a place for the next attempt, unless one is left of an attempt that was not
    // made.
    pub(super) async fn take_place(
        &mut self,
        route: &Route,
        progress: &mut RequestProgress,
        service: &str,
    ) -> Turn {
        // Engines keep an order themselves.
        if progress.place.is_some() || self.has_engines() {
            return Turn::Ready;
        }
        let job = self.job(route, progress);
        let begun = Instant::now();
        let behind = self.traffic.waiting_count(service);
        let taken = self.traffic.take_place(service, job).await;
        match taken {
            Ok(place) if !place.has_waited() => {
                progress.place = Some(place);
                Turn::Ready
            }
            Ok(place) => {
                self.log.record_queued(begun.elapsed(), behind);
                progress.place = Some(place);
                Turn::Waited
            }
            // It can't be refused as not run any more, so it is tried without a place: the
            // retry budget bounds such attempts.
            Err(_) if progress.may_have_run => {
                self.log.record_queued(begun.elapsed(), behind);
                Turn::Ready
            }
            Err(refused) => {
                self.log.record_queued(begun.elapsed(), behind);
                self.log.set_note(refused.reason.note());
                progress.retry_after = Some(refused.retry_after);
                Turn::Refused
            }
        }
    }

    // True if another attempt would get a place at once.
    pub(super) fn has_place(
        &self,
        route: &Route,
        progress: &RequestProgress,
        service: &str,
    ) -> bool {
        self.has_engines() || self.traffic.has_place(service, &self.job(route, progress))
    }

    // The next attempt as a job of the queue.
    fn job(&self, route: &Route, progress: &RequestProgress) -> Job {
        let now = self.traffic.now();
        let expected = self.traffic.run_time(route).unwrap_or_default();
        let latest = (now + self.time_left(route, progress)).saturating_sub(expected);
        let due = if route.objective.is_zero() {
            latest
        } else {
            let age = self.received.elapsed();
            (now + route.objective).saturating_sub(age + expected)
        };
        let Class { rank, team } = self.class();
        Job {
            rank,
            team,
            due: due.min(latest),
            latest,
            arrived: now,
        }
    }

    // Rank and team of the request.
    pub(super) fn class(&self) -> Class {
        let catalog = &self.admitted.catalog;
        let team = self.admitted.team;
        Class {
            rank: self.admitted.urgency,
            team: team.map_or(0, |team| name_digest(&catalog.team(team).name)),
        }
    }
}
