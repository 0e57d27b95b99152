//! Choice of a request's upstream, and what is expected of it there.

use std::time::Duration;

use compact_str::CompactString;
use tokio::time::sleep;

use super::{Exchange, MIN_TIME_LEFT, RequestProgress};
use crate::relay::cascade::{AnswerEstimate, Timing};
use crate::relay::catalog::{Route, RouteKind};
use crate::relay::fleet::{Expectation, UpstreamQuery};
use crate::relay::placement::Work;
use crate::relay::prompts::{AFFINITY_LOSS, PartKey, PromptPart};
use crate::relay::view::{UpstreamKey, View};
use crate::relay::{allowance, boot_clock, sessions};

/// Shortest wait for the allowance of an upstream, as another request may come first.
const MIN_ROOM_WAIT: Duration = Duration::from_millis(5);

/// Interval at which a request tries again while this gateway has no parts yet.
const PARTS_INTERVAL: Duration = Duration::from_millis(50);

impl Exchange<'_> {
    /// Estimates when an answer of `model` would begin if it were requested now
    /// from an upstream that is not `excluded`.
    pub(super) fn estimate(
        &self,
        route: &Route,
        model: &str,
        excluded: &[UpstreamKey],
    ) -> AnswerEstimate {
        let catalog = &self.admitted.catalog;
        let service = self.service_name(catalog);
        let view = self.traffic.view();
        let progress = RequestProgress {
            model: Some(model.into()),
            ..RequestProgress::default()
        };
        let expected = self.choose_with_expectation(&view, route, &progress, excluded, service);
        let Some(Expectation { wait_ms, .. }) = expected else {
            return AnswerEstimate {
                timing: Timing::TooLate,
                wait_ratio: 0.0,
            };
        };
        let tokens = f64::from(self.request.prompt_tokens);
        let wait = Duration::from_secs_f64(wait_ms / 1_000.0);
        let prefill_ms = self.traffic.prefill_ms(service, model, tokens);
        let prefill = Duration::from_secs_f64(prefill_ms / 1_000.0);
        let first_byte = self.received.elapsed() + wait + prefill;
        let limit = self
            .deadline(route)
            .saturating_duration_since(self.received);
        let shortest = catalog.shortest_objective(self.admitted.service);
        AnswerEstimate {
            timing: Timing::classify(first_byte, route.objective, limit),
            wait_ratio: shortest.map_or(0.0, |shortest| wait.div_duration_f64(shortest)),
        }
    }

    // Tokens of the answer that are expected.
    pub(super) fn answer_tokens(&self) -> u32 {
        let most = self.request.output_tokens;
        self.request
            .expected_tokens
            .map_or(most, |tokens| tokens.min(most))
    }

    // Tokens of the prompt and the expected answer.
    pub(super) fn kv_tokens(&self) -> u64 {
        u64::from(self.request.prompt_tokens) + u64::from(self.answer_tokens())
    }

    // Chooses an upstream of `service` that is not `excluded`.
    pub(super) fn choose_upstream(
        &self,
        view: &View,
        route: &Route,
        progress: &RequestProgress,
        excluded: &[UpstreamKey],
        service: &str,
    ) -> Option<UpstreamKey> {
        let chosen = self.choose_with_expectation(view, route, progress, excluded, service);
        chosen.map(|expected| expected.key)
    }

    // Waits until this gateway's part of an upstream's allowance leaves a request; returns
    // false at once if that is longer than the request can wait, or allowances are not what
    // keeps it from all upstreams.
    //
    // Load pattern: a part is a request or two a second, so a few requests that come
    // together wait for a fraction of a second. A refusal would cost the client more.
    pub(super) async fn wait_for_room(
        &self,
        view: &View,
        route: &Route,
        progress: &mut RequestProgress,
    ) -> bool {
        let catalog = &self.admitted.catalog;
        let service = self.service_name(catalog);
        let now = self.traffic.now();
        let excluded = &progress.excluded;
        let wait = self.with_query(route, progress, excluded, view, service, |query| {
            self.traffic.fleet(view, |fleet, _| {
                let room = fleet.time_to_room(query, &view.rollouts, now);
                room.or_else(|| fleet.awaits_parts(service).then_some(PARTS_INTERVAL))
            })
        });
        let longest = if route.objective.is_zero() {
            allowance::WINDOW
        } else {
            allowance::WINDOW.min(route.objective)
        };
        let left = self.time_left(route, progress);
        let reserve = if progress.fallback.is_some() {
            Duration::ZERO
        } else {
            MIN_TIME_LEFT
        };
        let fits = |wait: &Duration| progress.held + *wait <= longest && *wait + reserve < left;
        let Some(wait) = wait.filter(fits) else {
            return false;
        };
        let wait = wait.max(MIN_ROOM_WAIT);
        self.traffic.metrics.held_sends.inc();
        sleep(wait).await;
        progress.held += wait;
        true
    }

    // Chooses an upstream and returns what is expected of the request there.
    pub(super) fn choose_with_expectation(
        &self,
        view: &View,
        route: &Route,
        progress: &RequestProgress,
        excluded: &[UpstreamKey],
        service: &str,
    ) -> Option<Expectation> {
        let now = self.traffic.now();
        let settings = self.traffic.settings();
        let data_centre = settings.data_centre.as_str();
        self.with_query(route, progress, excluded, view, service, |query| {
            self.traffic.fleet(view, |fleet, rng| {
                fleet.choose_upstream(query, &view.rollouts, data_centre, now, rng)
            })
        })
    }

    // Parts of the shared prompt prefix, in their order.
    pub(super) fn prompt_parts(&self, service: &str, model: &str) -> Vec<PromptPart> {
        let parts = self.shared_prefixes().iter();
        let parts = parts.map(|part| PromptPart {
            key: PartKey::of(service, model, &part.id),
            tokens: part.tokens,
        });
        parts.collect()
    }

    // Calls `f` with what the request requires of its upstream.
    fn with_query<T>(
        &self,
        route: &Route,
        progress: &RequestProgress,
        excluded: &[UpstreamKey],
        view: &View,
        service: &str,
        f: impl FnOnce(&UpstreamQuery<'_>) -> T,
    ) -> T {
        let model = self.model_name(progress);
        let shared_prefixes = self.shared_prefixes();
        let shared: u32 = shared_prefixes.iter().map(|part| part.tokens).sum();
        let prefix_ms = self.traffic.prefill_ms(service, model, f64::from(shared));
        let prompt_tokens = f64::from(self.request.prompt_tokens);
        let prompt_ms = self.traffic.prefill_ms(service, model, prompt_tokens);
        let catalog = &self.admitted.catalog;
        let kv_capacity = catalog.service(self.admitted.service).kv_capacity;
        let parts = kv_capacity.map(|_| self.prompt_parts(service, model));
        let work = Work {
            prefix_ms,
            affinity_loss: kv_capacity.map_or(0.0, |_| AFFINITY_LOSS),
            prompt_ms,
            generation_ms: self
                .traffic
                .generation_ms(service, model, self.answer_tokens()),
            kv_tokens: self.kv_tokens(),
        };
        let prefix = shared_prefixes.last();
        let prefix = prefix.map(|part| CompactString::from(format!("{} {model}", part.id)));
        let session = self.request.session.as_deref();
        let pinned = session.and_then(|session| self.traffic.pinned_version(service, session));
        let version_input = sessions::VersionInput {
            hash_point: self.admitted.hash_point,
            has_session: session.is_some(),
            pinned: pinned.as_deref(),
            knows_sessions: self.traffic.knows_sessions(view, service),
            is_peer_pinned: session
                .is_some_and(|session| self.traffic.is_peer_pinned(service, session)),
            now: boot_clock::now(),
            gap: self.traffic.settings().session_gap,
        };
        let query = UpstreamQuery {
            service,
            version_input,
            required_version: progress.version.as_deref(),
            prefix,
            parts: parts.as_deref().unwrap_or_default(),
            work,
            kv_capacity,
            excluded,
            allows_ejected: route.kind != RouteKind::Once || progress.sends == 0,
        };
        f(&query)
    }
}
