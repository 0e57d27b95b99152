//! The life of one run, from its arrival to its last frame.

use std::pin::pin;
use std::rc::Rc;

use actix_rt::time::{Instant, sleep_until};

use super::admission::Permit;
use super::cancel::Cancellable;
use super::claim::{HeldClaim, claim};
use super::exchange::{Outcome, Progress, exchange};
use super::frames::{Failure, FrameWriter};
use super::judge::{admitted, judge, still_admitted};
use super::ledger::{Arrival, Dispatched, Queued, RunKey, RunTicket};
use super::not_ready::{NotReady, answer, refuse};
use super::refusal::Refusal;
use super::usage;
use super::worker::Worker;
use crate::control::{ClaimEnd, Event};
use crate::peer::RequestId;
use crate::peer::message::{Ran, Run, Usage};
use crate::resource::Backend;
use crate::traffic::Code;

/// Runs `run`, or refuses it, and writes the answer to `frames`.
pub(crate) async fn execute(worker: Rc<Worker>, run: Run, frames: FrameWriter) {
    let deadline = worker.deadline(&run);
    let _in_flight = worker.enter();
    let ticket = match arrive(&worker, &run) {
        Ok(ticket) => ticket,
        Err(NotReady::Refused(refusal)) => return refuse(&worker, frames, refusal).await,
        Err(other) => return answer(&worker, &run, frames, other).await,
    };
    let cancellable = worker.cancels.listen(ticket.key().request.clone());
    let ready = tokio::select! {
        ready = prepare(&worker, &run, ticket.key(), deadline) => ready,
        () = given_up(&frames, &cancellable) => Err(NotReady::Refused(cancelled())),
    };
    let ready = match ready {
        Ok(ready) => ready,
        Err(not_ready) => {
            worker.ledger.borrow_mut().refuse(&ticket);
            return answer(&worker, &run, frames, not_ready).await;
        }
    };
    match begin(&worker, &run, ticket, deadline) {
        Ok(ticket) => perform(&worker, &run, frames, ready, ticket, deadline, &cancellable).await,
        Err(refusal) => {
            drop(ready);
            refuse(&worker, frames, refusal).await;
        }
    }
}

/// What a run has when it may be sent.
struct Ready {
    permit: Permit,
    claim: Option<HeldClaim>,
    backend: Backend,
}

// Records the arrival; only the first of an id goes on.
fn arrive(worker: &Worker, run: &Run) -> Result<RunTicket<Queued>, NotReady> {
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
    match worker.arrive(key, run) {
        Arrival::New(ticket) => Ok(ticket),
        Arrival::Refused => {
            let message = "the request was refused or given up before";
            Err(Refusal::new(Code::DeadlineExpired, message).into())
        }
        Arrival::Known(ran) => {
            let message = "the request arrived before and is not run again";
            Err(NotReady::Failed(Failure::new(
                Code::UpstreamFailed,
                ran,
                message,
            )))
        }
        Arrival::Full => {
            let message = "too many requests to be remembered";
            Err(Refusal::new(Code::Overloaded, message).after(1_000).into())
        }
    }
}

// Waits for the idempotency key and a slot. May be dropped at any time.
async fn prepare(
    worker: &Worker,
    run: &Run,
    key: &RunKey,
    deadline: Instant,
) -> Result<Ready, NotReady> {
    if worker.is_draining() {
        return Err(Refusal::new(Code::Draining, "the agent is stopping").into());
    }
    in_time(deadline)?;
    let view = worker.view();
    if run.generation > view.config.generation {
        worker.handle.post(Event::GenerationSeen(run.generation));
    }
    admitted(&worker.handle.admission())?;
    worker.follow(&view.config);
    let backend = judge(&view, &worker.upstream, run)?;
    let claim = claim(&worker.handle, run, key, deadline).await?;
    let permit = worker.admission.enter(run.priority(), deadline).await?;
    Ok(Ready {
        permit,
        claim,
        backend,
    })
}

// The last look before the effect: permitted still, in time, and not settled.
fn begin(
    worker: &Worker,
    run: &Run,
    ticket: RunTicket<Queued>,
    deadline: Instant,
) -> Result<RunTicket<Dispatched>, Refusal> {
    let permitted = still_admitted(&worker.handle.admission())
        .and_then(|()| judge(&worker.view(), &worker.upstream, run))
        .and_then(|_| in_time(deadline));
    let mut ledger = worker.ledger.borrow_mut();
    if let Err(refusal) = permitted {
        ledger.refuse(&ticket);
        return Err(refusal);
    }
    let given_up = || Refusal::new(Code::DeadlineExpired, "the request was given up");
    ledger.dispatch(ticket).ok_or_else(given_up)
}

fn in_time(deadline: Instant) -> Result<(), Refusal> {
    if Instant::now() < deadline {
        return Ok(());
    }
    let message = "the deadline passed before the request was sent to the upstream";
    Err(Refusal::new(Code::DeadlineExpired, message))
}

async fn perform(
    worker: &Worker,
    run: &Run,
    mut frames: FrameWriter,
    ready: Ready,
    ticket: RunTicket<Dispatched>,
    deadline: Instant,
    cancellable: &Cancellable,
) {
    let Ready {
        permit,
        mut claim,
        backend,
    } = ready;
    if let Some(claim) = &mut claim {
        claim.begin();
    }
    let running = usage::running(run, &worker.upstream);
    worker.handle.post(Event::UsageReported(Box::new(running)));
    let outcome = limited(worker, run, &mut frames, backend, deadline, cancellable).await;
    drop(permit);
    record(worker, &ticket, &outcome);
    if let Some(claim) = claim {
        claim.finish(claim_end(&outcome, &mut frames));
    }
    let used = used(worker, run, backend, &outcome);
    worker
        .handle
        .post(Event::UsageReported(Box::new(used.clone())));
    let load = worker.load();
    match outcome {
        Outcome::Ended(_) => frames.end(used, load).await,
        Outcome::NotBegun(refusal) => refuse(worker, frames, refusal).await,
        Outcome::Failed(failure, _) => frames.failed(failure, Some(used), load).await,
    }
}

// The exchange with the upstream, up to the deadline or a cancel.
async fn limited(
    worker: &Worker,
    run: &Run,
    frames: &mut FrameWriter,
    backend: Backend,
    deadline: Instant,
    cancellable: &Cancellable,
) -> Outcome {
    let progress = Progress::default();
    // A plain call can't be cancelled, and the outcome of a key is wanted.
    let stoppable = backend == Backend::Engine && run.idempotency_key.is_empty();
    let mut stopped = pin!(given_up(frames, cancellable));
    let failure = tokio::select! {
        outcome = exchange(worker, run, frames, backend, &progress) => return outcome,
        () = &mut stopped, if stoppable => {
            Failure::new(Code::AnswerCut, progress.ran(), "the request was cancelled")
        }
        () = sleep_until(deadline) => {
            Failure::new(Code::Timeout, progress.ran(), "the deadline passed")
        }
    };
    if backend == Backend::Engine {
        worker.client.cancel(&engine_id(run)).await;
    }
    Outcome::Failed(failure, progress.tokens.get())
}

fn record(worker: &Worker, ticket: &RunTicket<Dispatched>, outcome: &Outcome) {
    let mut ledger = worker.ledger.borrow_mut();
    match outcome {
        Outcome::Ended(_) => ledger.finish(ticket, Ran::Yes),
        Outcome::NotBegun(_) => ledger.not_begun(ticket),
        Outcome::Failed(failure, _) => ledger.finish(ticket, failure.ran),
    }
}

fn claim_end(outcome: &Outcome, frames: &mut FrameWriter) -> ClaimEnd {
    match outcome {
        Outcome::Ended(_) => ClaimEnd::Finished(frames.take_stored()),
        Outcome::NotBegun(_) => ClaimEnd::NotRun,
        Outcome::Failed(..) => ClaimEnd::Unknown,
    }
}

fn used(worker: &Worker, run: &Run, backend: Backend, outcome: &Outcome) -> Usage {
    let config = &worker.view().config;
    let upstream = &worker.upstream;
    match outcome {
        Outcome::NotBegun(_) => Usage {
            finished: true,
            ..usage::running(run, upstream)
        },
        Outcome::Ended(tokens) | Outcome::Failed(_, tokens) => match backend {
            Backend::Engine => usage::of_tokens(run, upstream, *tokens, config),
            Backend::Plain => usage::of_call(run, upstream, config),
        },
    }
}

// Ends when the gateway has dropped the connection or sent a cancel.
fn given_up<'a>(
    frames: &FrameWriter,
    cancellable: &'a Cancellable,
) -> impl Future<Output = ()> + use<'a> {
    let closed = frames.closed();
    async move {
        tokio::select! {
            () = closed => {}
            () = cancellable.cancelled() => {}
        }
    }
}

fn cancelled() -> Refusal {
    Refusal::new(
        Code::DeadlineExpired,
        "the request was cancelled in the queue",
    )
}

/// The id by which the engine knows a run.
pub(crate) fn engine_id(run: &Run) -> String {
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
