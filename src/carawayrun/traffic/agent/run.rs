//! Execution of one run, from its arrival to its last frame.

use std::pin::pin;
use std::rc::Rc;

use actix_rt::time::{Instant, sleep_until};

use super::admission::Permit;
use super::authorization::{authorize, check_not_stale, check_open};
use super::cancel::CancelListener;
use super::claim::{ClaimGuard, claim_key};
use super::exchange::{AttemptOutcome, Progress, exchange};
use super::frames::{Failure, FrameWriter};
use super::ledger::{Arrival, Dispatched, Queued, RunKey, RunTicket};
use super::not_dispatched::{NotDispatched, answer_not_dispatched, refuse_run};
use super::refusal::Refusal;
use super::usage;
use super::worker::Worker;
use crate::control::{ClaimEnd, Event};
use crate::peer::RequestId;
use crate::peer::message::{Ran, Run, Usage};
use crate::resource::Backend;
use crate::traffic::Code;

/// Executes or refuses `run`, and writes the answer to `frames`.
pub(crate) async fn execute(worker: Rc<Worker>, run: Run, frames: FrameWriter) {
    let deadline = worker.deadline(&run);
    let _in_flight = worker.begin_run();
    let ticket = match record_arrival(&worker, &run) {
        Ok(ticket) => ticket,
        Err(NotDispatched::Refused(refusal)) => return refuse_run(&worker, frames, refusal).await,
        Err(other) => return answer_not_dispatched(&worker, &run, frames, other).await,
    };
    let cancel = worker.cancels.register(ticket.key().request.clone());
    // Runs that end give their slots to waiting ones, which must not begin then.
    let prepared = tokio::select! {
        biased;
        () = worker.ended() => Err(NotDispatched::Refused(stopping_refusal())),
        () = wait_for_cancel(&frames, &cancel) => {
            Err(NotDispatched::Refused(cancelled_refusal()))
        }
        prepared = prepare(&worker, &run, ticket.key(), deadline) => prepared,
    };
    let prepared = match prepared {
        Ok(prepared) => prepared,
        Err(reason) => {
            worker.ledger.borrow_mut().record_refusal(&ticket);
            return answer_not_dispatched(&worker, &run, frames, reason).await;
        }
    };
    match dispatch(&worker, &run, ticket, deadline) {
        Ok(ticket) => run_to_end(&worker, &run, frames, prepared, ticket, deadline, &cancel).await,
        Err(refusal) => {
            drop(prepared);
            refuse_run(&worker, frames, refusal).await;
        }
    }
}

/// What a run holds when it is ready to be dispatched.
struct PreparedRun {
    permit: Permit,
    claim: Option<ClaimGuard>,
    backend: Backend,
}

// Records the arrival in the ledger; only a run that is new to it continues.
fn record_arrival(worker: &Worker, run: &Run) -> Result<RunTicket<Queued>, NotDispatched> {
    let request = run.request.as_ref().map(RequestId::try_from);
    let Some(Ok(request)) = request else {
        return Err(Refusal::new(Code::MalformedBody, "the run has no request id").into());
    };
    if !worker.is_target(run.target.as_ref()) {
        let message = "the run is meant for another life of the agent";
        return Err(Refusal::new(Code::NoUpstream, message).into());
    }
    let key = RunKey {
        request,
        step: run.step,
    };
    match worker.record_arrival(key, run) {
        Arrival::New(ticket) => Ok(ticket),
        Arrival::Refused => {
            let message = "the request was refused or given up before";
            Err(Refusal::new(Code::DeadlineExpired, message).into())
        }
        Arrival::Duplicate(ran) => {
            let message = "the request arrived before and is not run again";
            Err(NotDispatched::Failed(Failure::new(
                Code::UpstreamFailed,
                ran,
                message,
            )))
        }
        Arrival::Full => {
            let message = "too many requests to be remembered";
            Err(Refusal::new(Code::Overloaded, message)
                .retry_after(1_000)
                .into())
        }
    }
}

// Claims the idempotency key and waits for a slot. Cancel safe: if the future
// is dropped, the claim and the place in the queue are released.
async fn prepare(
    worker: &Worker,
    run: &Run,
    key: &RunKey,
    deadline: Instant,
) -> Result<PreparedRun, NotDispatched> {
    if worker.is_draining() {
        return Err(stopping_refusal().into());
    }
    check_deadline(deadline)?;
    let view = worker.view();
    if run.generation > view.config.generation {
        worker.handle.post(Event::GenerationSeen(run.generation));
    }
    check_open(&worker.handle.admission())?;
    worker.apply_config(&view.config);
    let backend = authorize(&view, &worker.upstream, run)?;
    let claim = claim_key(&worker.handle, run, key, deadline).await?;
    let permit = worker
        .admission
        .acquire_slot(run.priority(), deadline)
        .await?;
    Ok(PreparedRun {
        permit,
        claim,
        backend,
    })
}

// Checks directly before the send that the run is still permitted, in time and
// not settled, and moves it to dispatched.
fn dispatch(
    worker: &Worker,
    run: &Run,
    ticket: RunTicket<Queued>,
    deadline: Instant,
) -> Result<RunTicket<Dispatched>, Refusal> {
    let permitted = check_not_stale(&worker.handle.admission())
        .and_then(|()| authorize(&worker.view(), &worker.upstream, run))
        .and_then(|_| check_deadline(deadline));
    let mut ledger = worker.ledger.borrow_mut();
    if let Err(refusal) = permitted {
        ledger.record_refusal(&ticket);
        return Err(refusal);
    }
    let settled = || Refusal::new(Code::DeadlineExpired, "the request was given up");
    ledger.dispatch(ticket).ok_or_else(settled)
}

fn check_deadline(deadline: Instant) -> Result<(), Refusal> {
    if Instant::now() < deadline {
        return Ok(());
    }
    let message = "the deadline passed before the request was sent to the upstream";
    Err(Refusal::new(Code::DeadlineExpired, message))
}

async fn run_to_end(
    worker: &Worker,
    run: &Run,
    mut frames: FrameWriter,
    prepared: PreparedRun,
    ticket: RunTicket<Dispatched>,
    deadline: Instant,
    cancel: &CancelListener,
) {
    let PreparedRun {
        permit,
        mut claim,
        backend,
    } = prepared;
    if let Some(claim) = &mut claim {
        claim.mark_sent();
    }
    let running = usage::of_unfinished(run, &worker.upstream);
    worker.handle.post(Event::UsageReported(Box::new(running)));
    let outcome =
        exchange_until_deadline(worker, run, &mut frames, backend, deadline, cancel).await;
    drop(permit);
    record_outcome(worker, &ticket, &outcome);
    if let Some(claim) = claim {
        claim.finish(claim_end(&outcome, &mut frames));
    }
    let usage = final_usage(worker, run, backend, &outcome);
    worker
        .handle
        .post(Event::UsageReported(Box::new(usage.clone())));
    let load = worker.load();
    match outcome {
        AttemptOutcome::Completed(_) => frames.write_end(usage, load).await,
        AttemptOutcome::NotStarted(refusal) => refuse_run(worker, frames, refusal).await,
        AttemptOutcome::Failed(failure, _) => frames.write_failed(failure, Some(usage), load).await,
    }
}

// Exchanges the run with the upstream until it ends, its deadline passes, it is
// cancelled or the agent stops.
async fn exchange_until_deadline(
    worker: &Worker,
    run: &Run,
    frames: &mut FrameWriter,
    backend: Backend,
    deadline: Instant,
    cancel: &CancelListener,
) -> AttemptOutcome {
    let progress = Progress::default();
    // A plain call can't be cancelled, and a run with an idempotency key must
    // reach its outcome.
    let is_cancellable = backend == Backend::Engine && run.idempotency_key.is_empty();
    let mut cancelled = pin!(wait_for_cancel(frames, cancel));
    let failure = tokio::select! {
        outcome = exchange(worker, run, frames, backend, &progress) => return outcome,
        () = &mut cancelled, if is_cancellable => {
            Failure::new(Code::AnswerCut, progress.ran(), "the request was cancelled")
        }
        () = sleep_until(deadline) => {
            Failure::new(Code::Timeout, progress.ran(), "the deadline passed")
        }
        () = worker.ended() => {
            Failure::new(Code::AnswerCut, progress.ran(), "the agent stopped within the answer")
        }
    };
    if backend == Backend::Engine {
        worker.client.cancel(&engine_request_id(run)).await;
    }
    AttemptOutcome::Failed(failure, progress.tokens.get())
}

fn record_outcome(worker: &Worker, ticket: &RunTicket<Dispatched>, outcome: &AttemptOutcome) {
    let mut ledger = worker.ledger.borrow_mut();
    match outcome {
        AttemptOutcome::Completed(_) => ledger.record_end(ticket, Ran::Yes),
        AttemptOutcome::NotStarted(_) => ledger.record_not_started(ticket),
        AttemptOutcome::Failed(failure, _) => ledger.record_end(ticket, failure.ran),
    }
}

fn claim_end(outcome: &AttemptOutcome, frames: &mut FrameWriter) -> ClaimEnd {
    match outcome {
        AttemptOutcome::Completed(_) => ClaimEnd::Finished(frames.take_stored()),
        AttemptOutcome::NotStarted(_) => ClaimEnd::NotRun,
        AttemptOutcome::Failed(..) => ClaimEnd::Unknown,
    }
}

fn final_usage(worker: &Worker, run: &Run, backend: Backend, outcome: &AttemptOutcome) -> Usage {
    let config = &worker.view().config;
    let upstream = &worker.upstream;
    match outcome {
        AttemptOutcome::NotStarted(_) => Usage {
            finished: true,
            ..usage::of_unfinished(run, upstream)
        },
        AttemptOutcome::Completed(tokens) | AttemptOutcome::Failed(_, tokens) => match backend {
            Backend::Engine => usage::of_engine_run(run, upstream, *tokens, config),
            Backend::Plain => usage::of_plain_call(run, upstream, config),
        },
    }
}

// Waits until the gateway drops the connection or cancels the request.
fn wait_for_cancel<'a>(
    frames: &FrameWriter,
    cancel: &'a CancelListener,
) -> impl Future<Output = ()> + use<'a> {
    let closed = frames.closed();
    async move {
        tokio::select! {
            () = closed => {}
            () = cancel.cancelled() => {}
        }
    }
}

fn stopping_refusal() -> Refusal {
    Refusal::new(Code::Draining, "the agent is stopping")
}

fn cancelled_refusal() -> Refusal {
    Refusal::new(
        Code::DeadlineExpired,
        "the request was cancelled in the queue",
    )
}

/// Returns the request id that is sent to the engine: the request's id, with
/// the step appended where it is not 0.
pub(crate) fn engine_request_id(run: &Run) -> String {
    let request = run.request.as_ref().map(RequestId::try_from);
    let id = match request {
        Some(Ok(request)) => request.to_string(),
        _ => String::new(),
    };
    if run.step == 0 {
        id
    } else {
        format!("{id}~{}", run.step)
    }
}
