//! One chat completion: its session, plan and cascade steps.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::{CompactString, ToCompactString, format_compact};
use rand::Rng;

use super::answer::AnswerMetadata;
use super::chat::{self, ChatRequest};
use super::headers::RequestHeaders;
use super::pins::{self, PinOutcome, StoredPin};
use super::plan;
use super::ratings::Sample;
use super::refusal::Refusal;
use super::run::{self, Job, Reply};
use super::session::{Pin, SessionHeader};
use super::shared::Worker;
use super::snapshot::RoutingSnapshot;
use super::tracker::RequestTracker;
use crate::peer::message::Priority;
use crate::policy::{Gate, Plan, PlanRequest, Pool, Step};
use crate::resource::{Named, ServiceKey, Task, TaskClass, TeamKey, VersionKey};
use crate::traffic::Code;

/// Path of the chat completions call.
pub(super) const PATH: &str = "/v1/chat/completions";

/// Maximum attempts to write a session's pin; then the request is refused with
/// a retry delay.
const MAX_PIN_ATTEMPTS: u32 = 4;

/// An admitted request for a chat completion.
pub(super) struct Completion<'a> {
    pub(super) worker: &'a Worker,
    pub(super) snapshot: &'a RoutingSnapshot,
    pub(super) team: TeamKey,
    pub(super) headers: &'a RequestHeaders,
    pub(super) tracker: &'a mut RequestTracker,
}

// The parsed body of a request, with the service and task that it is for.
struct ParsedRequest<'a> {
    chat: ChatRequest,
    service: ServiceKey,
    task: &'a Task,
}

// How a request's session determines the version.
enum SessionBinding {
    // The request names no session, or it names its session by an id of the
    // caller's own but requests an exact version.
    Unbound,
    // Version in a session token.
    Token(CompactString),
    // The session has an id of the caller's own, and a stored pin if one was
    // found.
    Stored {
        key: CompactString,
        found: Option<StoredPin>,
    },
}

impl SessionBinding {
    fn version(&self) -> Option<&CompactString> {
        match self {
            Self::Unbound => None,
            Self::Token(version) => Some(version),
            Self::Stored { found, .. } => found.as_ref().map(|found| &found.version),
        }
    }
}

impl Completion<'_> {
    /// Plans and runs the request. Returns the complete answer, or the open
    /// stream with its first chunk.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] that says whether the request ran.
    pub(super) async fn run(mut self, body: &Bytes) -> Result<(Reply, AnswerMetadata), Refusal> {
        let snapshot = self.snapshot;
        let chat = ChatRequest::read(body)?;
        let (service, entry) = plan::find_service(&snapshot.view.config, &chat.model)?;
        let task = plan::find_task(entry, self.headers.task.as_ref())?;
        self.tracker.service.clone_from(&entry.name);
        self.tracker.task.clone_from(&task.name);
        let mut request = ParsedRequest {
            chat,
            service,
            task,
        };
        let mut binding = self.resolve_session(&request.chat.model).await?;
        let previous = binding.version().cloned();
        let plan = self.plan_and_pin(&request, &mut binding).await?;
        self.tracker.generation = snapshot.view.config.generation;
        self.tracker
            .explanation
            .push(plan.explanation.to_compact_string());
        let steps = match binding {
            SessionBinding::Stored { .. } => last_step(&plan),
            _ => &plan.steps,
        };
        let reply = self.run_steps(&mut request, steps).await?;
        let pin = Pin {
            team: self.tracker.team.clone(),
            version: self.tracker.version.clone(),
        };
        let metadata = AnswerMetadata {
            session_token: Some(pin.to_token(&self.worker.shared.keys)),
            moved_from: previous.filter(|previous| self.is_moved(previous, &request.chat.model)),
            include_usage: request.chat.include_usage,
            sample: self.draw_sample(reply.stream.as_ref().map_or(0, |stream| stream.step)),
        };
        Ok((reply, metadata))
    }

    async fn resolve_session(&self, model: &str) -> Result<SessionBinding, Refusal> {
        let Some(text) = &self.headers.session else {
            return Ok(SessionBinding::Unbound);
        };
        let keys = &self.worker.shared.keys;
        match SessionHeader::read(text, &self.tracker.team, keys)? {
            SessionHeader::Token(pin) => Ok(SessionBinding::Token(pin.version)),
            // A request for an exact version gets it, with or without a pin.
            SessionHeader::CallerId(_)
                if self.snapshot.view.config.versions.key(model).is_some() =>
            {
                Ok(SessionBinding::Unbound)
            }
            SessionHeader::CallerId(id) => {
                let key = pins::row_key(&self.tracker.team, &id, model);
                let found = self.worker.pins.find(&key).await?;
                Ok(SessionBinding::Stored { key, found })
            }
        }
    }

    // Plans the request. A session that the caller names by its own id is
    // pinned to the planned version; if another request, on this or another
    // gateway, pinned it first, the request is planned again with that pin.
    async fn plan_and_pin(
        &self,
        request: &ParsedRequest<'_>,
        binding: &mut SessionBinding,
    ) -> Result<Plan, Refusal> {
        for _ in 0..MAX_PIN_ATTEMPTS {
            let plan = self.plan(request, binding.version())?;
            let SessionBinding::Stored { key, found } = binding else {
                return Ok(plan);
            };
            let step = plan.steps.last().expect("a plan has at least one step");
            let version = &self.version(step.version).name;
            if found
                .as_ref()
                .is_some_and(|found| found.version == *version)
            {
                return Ok(plan);
            }
            let outcome = self
                .worker
                .pins
                .compare_and_set(key, version, found.as_ref());
            match outcome.await? {
                PinOutcome::Written => return Ok(plan),
                PinOutcome::Taken(pin) => *found = Some(pin),
            }
        }
        let refusal = Refusal::new(
            Code::Overloaded,
            "too many gateways write to this session at once",
        );
        Err(refusal.retry_after(plan::DEFAULT_RETRY_MS))
    }

    // Plans the request. `session_version` is the version in the session's token
    // or stored pin.
    fn plan(
        &self,
        request: &ParsedRequest<'_>,
        session_version: Option<&CompactString>,
    ) -> Result<Plan, Refusal> {
        let config = &self.snapshot.view.config;
        let chat = &request.chat;
        let plan_request = PlanRequest {
            team: self.team,
            service: request.service,
            task: &request.task.name,
            model: &chat.model,
            quality: self.headers.quality,
            budget_ms: request.task.latency_ms,
            pinned: session_version
                .and_then(|version| plan::pinned_version(config, &chat.model, version)),
            stream: chat.stream,
            prompt_tokens: plan::estimate_prompt_tokens(chat.prompt_bytes),
            cached_tokens: 0,
        };
        let stats = self.worker.shared.ratings.stats();
        plan::plan(
            self.snapshot,
            &plan_request,
            stats,
            &mut self.worker.rng.borrow_mut(),
        )
    }

    async fn run_steps(
        &mut self,
        request: &mut ParsedRequest<'_>,
        steps: &[Step],
    ) -> Result<Reply, Refusal> {
        for (step, number) in steps.iter().zip(0..) {
            let reply = self.run_step(request, step, number).await?;
            match step.gate {
                Some(gate) if !self.passes_gate(&reply, number, gate).await => {}
                _ => return Ok(reply),
            }
        }
        unreachable!("the last step of a plan has no gate")
    }

    async fn run_step(
        &mut self,
        request: &mut ParsedRequest<'_>,
        step: &Step,
        number: u32,
    ) -> Result<Reply, Refusal> {
        let version = self.version(step.version).name.clone();
        self.tracker.version.clone_from(&version);
        self.tracker.compared = step.compared;
        self.tracker.rating_shift = step.rating_shift;
        let chat = &mut request.chat;
        let job = Job {
            step: number,
            pool: Pool::Version(step.version),
            priority: request_priority(request.task, chat.stream),
            idempotent: true,
            idempotency_key: CompactString::default(),
            stream: chat.stream && step.gate.is_none(),
            method: "POST".into(),
            path: PATH.into(),
            content_type: "application/json".into(),
            headers: Vec::new(),
            prefix: chat.prefix,
            body: chat.body_for(&version),
            fingerprint: Bytes::new(),
            latency_ms: request.task.latency_ms,
            version,
        };
        run::run(self.worker, &job, self.tracker).await
    }

    // Whether the answer's rating reaches the gate's score. An answer that is
    // not rated in time does not pass.
    async fn passes_gate(&self, reply: &Reply, number: u32, gate: Gate) -> bool {
        let wait = Duration::from_millis(gate.wait_ms);
        let wait = self
            .tracker
            .clock
            .remaining()
            .map_or(wait, |left| left.min(wait));
        let text = chat::answer_text(&reply.chunks);
        let sample = self.new_sample(number);
        let score = self
            .worker
            .shared
            .ratings
            .rate(&self.worker.client, sample, &text, wait)
            .await;
        score.is_some_and(|score| score >= gate.score)
    }

    // Whether the session could not keep its previous version. A session whose
    // previous version exists but does not belong to the requested model has
    // not moved.
    fn is_moved(&self, previous: &str, model: &str) -> bool {
        let config = &self.snapshot.view.config;
        let other_model = config.versions.key(previous).is_some()
            && plan::pinned_version(config, model, previous).is_none();
        previous != self.tracker.version && !other_model
    }

    // Draws whether the answer is rated although no gate requires it. Draws from
    // all answers, including those that a gate has rated.
    fn draw_sample(&self, number: u32) -> Option<Sample> {
        let ratings = &self.worker.shared.ratings;
        ratings.stats()?;
        let drawn = self
            .worker
            .rng
            .borrow_mut()
            .random_bool(ratings.sample_share);
        drawn.then(|| self.new_sample(number))
    }

    fn new_sample(&self, number: u32) -> Sample {
        Sample {
            id: format_compact!("{}/{number}", self.tracker.id_text),
            version: self.tracker.version.clone(),
            task: self.tracker.task.clone(),
            compared: self.tracker.compared,
            rating_shift: self.tracker.rating_shift,
        }
    }

    fn version(&self, key: VersionKey) -> &Named<crate::resource::Version> {
        self.snapshot
            .view
            .config
            .versions
            .get(key)
            .expect("a plan names versions of its configuration")
    }
}

/// Submits a complete answer to the rating service in the background, without
/// delaying the response to the caller.
pub(super) fn submit_for_rating(worker: &Worker, sample: Sample, chunks: Vec<Bytes>) {
    let shared = std::sync::Arc::clone(&worker.shared);
    let client = Rc::clone(&worker.client);
    actix_rt::spawn(async move {
        let text = chat::answer_text(&chunks);
        shared.ratings.submit(&client, sample, &text).await;
    });
}

fn last_step(plan: &Plan) -> &[Step] {
    &plan.steps[plan.steps.len() - 1..]
}

// A stream is read by a person, so it is interactive whatever its task.
fn request_priority(task: &Task, stream: bool) -> Priority {
    if stream {
        return Priority::Interactive;
    }
    class_priority(task.class)
}

/// Returns the priority of a task class.
pub(super) fn class_priority(class: TaskClass) -> Priority {
    match class {
        TaskClass::Interactive => Priority::Interactive,
        TaskClass::Normal => Priority::Normal,
        TaskClass::Batch => Priority::Batch,
    }
}
