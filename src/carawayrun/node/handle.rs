//! Access to the control state from other threads.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use actix_rt::time::Instant;
use arc_swap::ArcSwap;
use tokio::sync::{mpsc, oneshot};

use super::counters::Counters;
use crate::control::{
    Admission, ClaimAnswer, ClaimEnd, ClaimRequest, ClaimTicket, Event, Millis, UpstreamAction,
    View,
};

/// Input of the control thread.
#[derive(Debug)]
pub(super) enum Input {
    /// An event for the reducer.
    Event(Event),
    /// A request claims its idempotency key; the answer goes to the sender.
    Claim(Box<ClaimRequest>, oneshot::Sender<ClaimReply>),
    /// Send the actions for the process's upstream to this channel from now on.
    SubscribeUpstream(mpsc::UnboundedSender<UpstreamAction>),
    /// Stop the thread and notify the sender once it has stopped.
    Close(oneshot::Sender<()>),
}

/// Answer to a claim, with the ticket that ends the claim.
#[derive(Debug)]
pub struct ClaimReply {
    /// Ticket for [`Handle::end_claim`] if the answer is [`ClaimAnswer::Run`].
    pub ticket: ClaimTicket,
    /// Whether the request may run.
    pub answer: ClaimAnswer,
}

/// Handle to a running control thread.
#[derive(Debug, Clone)]
pub struct Handle {
    pub(super) view: Arc<ArcSwap<View>>,
    pub(super) inputs: mpsc::UnboundedSender<Input>,
    pub(super) peer_addr: SocketAddr,
    pub(super) counters: Counters,
    pub(super) started: Instant,
    pub(super) fresh_until: Arc<AtomicU64>,
}

impl Handle {
    /// Returns the control state as last published.
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Returns the time on the reducer's clock.
    pub fn now(&self) -> Millis {
        Millis(self.started.elapsed().as_millis() as u64)
    }

    /// Returns whether new requests are accepted at this moment.
    ///
    /// Unlike the view's own field, this is also correct in a process that was
    /// suspended and resumes, when the published view may be out of date.
    pub fn admission(&self) -> Admission {
        let view = self.view.load();
        let fresh_until = Millis(self.fresh_until.load(Ordering::Relaxed));
        if view.admission == Admission::Open && self.now() > fresh_until {
            return Admission::Closed {
                code: "stale_configuration",
                retry_after_ms: 1_000,
            };
        }
        view.admission.clone()
    }

    /// Sends an event to the reducer; does nothing once the thread has ended.
    pub fn post(&self, event: Event) {
        let _ = self.inputs.send(Input::Event(event));
    }

    /// Claims a request's idempotency key; see [`ClaimAnswer`].
    ///
    /// If the answer is [`ClaimAnswer::Run`], the caller must end the claim
    /// with [`Handle::end_claim`], whatever the outcome of the request. If the
    /// caller is dropped before the answer, the claim is ended as not run.
    /// Returns `None` if the control thread has ended.
    pub async fn claim(&self, request: ClaimRequest) -> Option<ClaimReply> {
        let (answer, answered) = oneshot::channel();
        self.inputs
            .send(Input::Claim(Box::new(request), answer))
            .ok()?;
        answered.await.ok()
    }

    /// Ends the claim of a request with the request's outcome.
    pub fn end_claim(&self, ticket: ClaimTicket, end: ClaimEnd) {
        self.post(Event::ClaimEnded(ticket, Box::new(end)));
    }

    /// Subscribes to the actions for this process's upstream. A later
    /// subscription replaces an earlier one.
    pub fn subscribe_upstream_actions(&self) -> mpsc::UnboundedReceiver<UpstreamAction> {
        let (actions, received) = mpsc::unbounded_channel();
        drop(self.inputs.send(Input::SubscribeUpstream(actions)));
        received
    }

    /// Returns the address of the nng listener.
    pub fn peer_addr(&self) -> SocketAddr {
        self.peer_addr
    }

    /// Returns the counters of the process.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Stops the control thread and waits until it has ended.
    ///
    /// For a graceful stop, post [`Event::StopRequested`] first and call this
    /// after the requests in flight have ended.
    pub async fn close(&self) {
        let (done, closed) = oneshot::channel();
        if self.inputs.send(Input::Close(done)).is_ok() {
            let _ = closed.await;
        }
    }
}
