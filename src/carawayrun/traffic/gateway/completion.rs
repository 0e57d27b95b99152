//! One chat completion: its session, its plan and the steps of it.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::{CompactString, ToCompactString, format_compact};
use rand::Rng;

use super::account::Account;
use super::answer::Notes;
use super::board::Board;
use super::chat::{self, Chat};
use super::head::Head;
use super::pins::{self, Claimed, StoredPin};
use super::plan;
use super::ratings::Sample;
use super::refusal::Refusal;
use super::run::{self, Job, Reply};
use super::session::{Pin, Session};
use super::shared::Worker;
use crate::peer::message::Priority;
use crate::policy::{Gate, Plan, PlanRequest, Pool, Step};
use crate::resource::{Named, ServiceKey, Task, TaskClass, TeamKey, VersionKey};
use crate::traffic::Code;

/// Path of chat completions.
pub(super) const PATH: &str = "/v1/chat/completions";

/// Claims of a session's row before the caller is told to come back.
const MAX_CLAIMS: u32 = 4;

/// One chat completion that was taken in.
pub(super) struct Completion<'a> {
    pub(super) worker: &'a Worker,
    pub(super) board: &'a Board,
    pub(super) team: TeamKey,
    pub(super) head: &'a Head,
    pub(super) account: &'a mut Account,
}

// What a request is planned by.
struct Request<'a> {
    chat: Chat,
    service: ServiceKey,
    task: &'a Task,
}

// What a session is bound to.
enum Hold {
    Free,
    Token(CompactString),
    Own {
        key: CompactString,
        found: Option<StoredPin>,
    },
}

impl Hold {
    fn version(&self) -> Option<&CompactString> {
        match self {
            Self::Free => None,
            Self::Token(version) => Some(version),
            Self::Own { found, .. } => found.as_ref().map(|found| &found.version),
        }
    }
}

impl Completion<'_> {
    /// Answers it, whole or with the first part of its stream.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] that says whether it ran.
    pub(super) async fn run(mut self, body: &Bytes) -> Result<(Reply, Notes), Refusal> {
        let board = self.board;
        let chat = Chat::read(body)?;
        let (service, entry) = plan::service_of(&board.view.config, &chat.model)?;
        let task = plan::task_of(entry, self.head.task.as_ref())?;
        self.account.service.clone_from(&entry.name);
        self.account.task.clone_from(&task.name);
        let mut request = Request {
            chat,
            service,
            task,
        };
        let mut hold = self.hold(&request.chat.model).await?;
        let kept = hold.version().cloned();
        let plan = self.settle(&request, &mut hold).await?;
        self.account.generation = board.view.config.generation;
        self.account
            .explanation
            .push(plan.explanation.to_compact_string());
        let steps = match hold {
            Hold::Own { .. } => last_step(&plan),
            _ => &plan.steps,
        };
        let reply = self.steps(&mut request, steps).await?;
        let pin = Pin {
            team: self.account.team.clone(),
            version: self.account.version.clone(),
        };
        let notes = Notes {
            session: Some(pin.token(&self.worker.shared.keys)),
            moved: kept.filter(|kept| self.is_moved(kept, &request.chat.model)),
            usage: request.chat.usage,
            sample: self.sample(reply.rest.as_ref().map_or(0, |rest| rest.step)),
        };
        Ok((reply, notes))
    }

    async fn hold(&self, model: &str) -> Result<Hold, Refusal> {
        let Some(text) = &self.head.session else {
            return Ok(Hold::Free);
        };
        let keys = &self.worker.shared.keys;
        match Session::read(text, &self.account.team, keys)? {
            Session::Pinned(pin) => Ok(Hold::Token(pin.version)),
            // Who asks for an exact version gets it, with or without a pin.
            Session::Own(_) if self.board.view.config.versions.key(model).is_some() => {
                Ok(Hold::Free)
            }
            Session::Own(id) => {
                let key = pins::key(&self.account.team, &id, model);
                let found = self.worker.pins.find(&key).await?;
                Ok(Hold::Own { key, found })
            }
        }
    }

    // Plans, and puts a session with an id of its own on the planned version.
    async fn settle(&self, request: &Request<'_>, hold: &mut Hold) -> Result<Plan, Refusal> {
        for _ in 0..MAX_CLAIMS {
            let plan = self.plan(request, hold.version())?;
            let Hold::Own { key, found } = hold else {
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
            let claimed = self.worker.pins.claim(key, version, found.as_ref());
            match claimed.await? {
                Claimed::Won => return Ok(plan),
                Claimed::Held(pin) => *found = Some(pin),
            }
        }
        let refusal = Refusal::new(
            Code::Overloaded,
            "too many gateways write to this session at once",
        );
        Err(refusal.retry_after(plan::READY_RETRY_MS))
    }

    fn plan(
        &self,
        request: &Request<'_>,
        version: Option<&CompactString>,
    ) -> Result<Plan, Refusal> {
        let config = &self.board.view.config;
        let chat = &request.chat;
        let ask = PlanRequest {
            team: self.team,
            service: request.service,
            task: &request.task.name,
            model: &chat.model,
            quality: self.head.quality,
            budget_ms: request.task.latency_ms,
            pinned: version.and_then(|version| plan::pinned(config, &chat.model, version)),
            stream: chat.stream,
            prompt_tokens: plan::prompt_tokens(chat.prompt_bytes),
            cached_tokens: 0,
        };
        let pace = self.worker.shared.ratings.pace();
        plan::plan(self.board, &ask, pace, &mut self.worker.rng.borrow_mut())
    }

    async fn steps(&mut self, request: &mut Request<'_>, steps: &[Step]) -> Result<Reply, Refusal> {
        for (step, number) in steps.iter().zip(0..) {
            let reply = self.step(request, step, number).await?;
            match step.gate {
                Some(gate) if !self.passes(&reply, number, gate).await => {}
                _ => return Ok(reply),
            }
        }
        unreachable!("the last step of a plan has no gate")
    }

    async fn step(
        &mut self,
        request: &mut Request<'_>,
        step: &Step,
        number: u32,
    ) -> Result<Reply, Refusal> {
        let version = self.version(step.version).name.clone();
        self.account.version.clone_from(&version);
        self.account.compared = step.compared;
        self.account.shift = step.rating_shift;
        let chat = &mut request.chat;
        let job = Job {
            step: number,
            pool: Pool::Version(step.version),
            priority: priority(request.task, chat.stream),
            idempotent: true,
            key: CompactString::default(),
            stream: chat.stream && step.gate.is_none(),
            method: "POST".into(),
            path: PATH.into(),
            content_type: "application/json".into(),
            headers: Vec::new(),
            prefix: chat.prefix,
            body: chat.body(&version),
            fingerprint: Bytes::new(),
            latency_ms: request.task.latency_ms,
            version,
        };
        run::run(self.worker, &job, self.account).await
    }

    // Whether an answer is good enough; one that is not rated in time is not.
    async fn passes(&self, reply: &Reply, number: u32, gate: Gate) -> bool {
        let wait = Duration::from_millis(gate.wait_ms);
        let wait = self
            .account
            .clock
            .left()
            .map_or(wait, |left| left.min(wait));
        let text = chat::text(&reply.chunks);
        let sample = self.new_sample(number);
        let score = self
            .worker
            .shared
            .ratings
            .gate(&self.worker.client, sample, &text, wait)
            .await;
        score.is_some_and(|score| score >= gate.score)
    }

    // A session of another model has not moved.
    fn is_moved(&self, kept: &str, model: &str) -> bool {
        let config = &self.board.view.config;
        let other =
            config.versions.key(kept).is_some() && plan::pinned(config, model, kept).is_none();
        kept != self.account.version && !other
    }

    // Now and then an answer is rated without need.
    fn sample(&self, number: u32) -> Option<Sample> {
        let ratings = &self.worker.shared.ratings;
        ratings.pace()?;
        let drawn = self.worker.rng.borrow_mut().random_bool(ratings.share);
        drawn.then(|| self.new_sample(number))
    }

    fn new_sample(&self, number: u32) -> Sample {
        Sample {
            id: format_compact!("{}/{number}", self.account.text),
            version: self.account.version.clone(),
            task: self.account.task.clone(),
            compared: self.account.compared,
            shift: self.account.shift,
        }
    }

    fn version(&self, key: VersionKey) -> &Named<crate::resource::Version> {
        self.board
            .view
            .config
            .versions
            .get(key)
            .expect("a plan names versions of its configuration")
    }
}

/// Gives a whole answer to the rating service, aside from its way to the caller.
pub(super) fn submit(worker: &Worker, sample: Sample, chunks: Vec<Bytes>) {
    let shared = std::sync::Arc::clone(&worker.shared);
    let client = Rc::clone(&worker.client);
    actix_rt::spawn(async move {
        let text = chat::text(&chunks);
        shared.ratings.submit(&client, sample, &text).await;
    });
}

fn last_step(plan: &Plan) -> &[Step] {
    &plan.steps[plan.steps.len() - 1..]
}

// A stream has a person before it, whatever its task.
fn priority(task: &Task, stream: bool) -> Priority {
    if stream {
        return Priority::Interactive;
    }
    priority_of(task.class)
}

/// Priority of a class.
pub(super) fn priority_of(class: TaskClass) -> Priority {
    match class {
        TaskClass::Interactive => Priority::Interactive,
        TaskClass::Normal => Priority::Normal,
        TaskClass::Batch => Priority::Batch,
    }
}
