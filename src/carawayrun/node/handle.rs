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

/// What the control thread is sent.
#[derive(Debug)]
pub(super) enum Input {
    /// An event for the reducer.
    Event(Event),
    /// A request wants its idempotency key; the sender is told what became of it.
    Claim(Box<ClaimRequest>, oneshot::Sender<ClaimReply>),
    /// Where actions for the process's upstream go from now on.
    SubscribeUpstream(mpsc::UnboundedSender<UpstreamAction>),
    /// Stop the thread; the sender is told when it is done.
    Close(oneshot::Sender<()>),
}

/// What became of a claim, and the ticket to end it with.
#[derive(Debug)]
pub struct ClaimReply {
    /// Ends the claim where the answer is [`ClaimAnswer::Run`].
    pub ticket: ClaimTicket,
    /// What may be done.
    pub answer: ClaimAnswer,
}

/// A running control thread.
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
    /// The control state as last published.
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// The time on the reducer's clock.
    pub fn now(&self) -> Millis {
        Millis(self.started.elapsed().as_millis() as u64)
    }

    /// Whether new requests are taken at this moment.
    ///
    /// Unlike the view's own field it holds in a process that was stopped and
    /// goes on: what the view says may by then be out of date.
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

    /// Gives the reducer an event; does nothing once the thread has ended.
    pub fn post(&self, event: Event) {
        let _ = self.inputs.send(Input::Event(event));
    }

    /// Claims a request's idempotency key; see [`ClaimAnswer`].
    ///
    /// Where the answer is [`ClaimAnswer::Run`], the caller must end the claim
    /// by [`Handle::end_claim`], whatever becomes of the request. Where the
    /// caller is dropped before the answer, the claim is ended as not run.
    /// `None` where the control thread has ended.
    pub async fn claim(&self, call: ClaimRequest) -> Option<ClaimReply> {
        let (answer, answered) = oneshot::channel();
        self.inputs
            .send(Input::Claim(Box::new(call), answer))
            .ok()?;
        answered.await.ok()
    }

    /// Tells how a claimed request ended.
    pub fn end_claim(&self, ticket: ClaimTicket, end: ClaimEnd) {
        self.post(Event::ClaimEnded(ticket, Box::new(end)));
    }

    /// Actions for this process's upstream, from now on.
    pub fn subscribe_upstream_actions(&self) -> mpsc::UnboundedReceiver<UpstreamAction> {
        let (actions, received) = mpsc::unbounded_channel();
        drop(self.inputs.send(Input::SubscribeUpstream(actions)));
        received
    }

    /// The address of the nng listener.
    pub fn peer_addr(&self) -> SocketAddr {
        self.peer_addr
    }

    /// Counters of the process.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Ends the control thread and waits until it has.
    ///
    /// For a graceful stop post [`Event::StopRequested`] first, and call this when the
    /// requests in flight have ended.
    pub async fn close(&self) {
        let (done, closed) = oneshot::channel();
        if self.inputs.send(Input::Close(done)).is_ok() {
            let _ = closed.await;
        }
    }
}
