//! Access to the control state from other threads.

use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use tokio::sync::{mpsc, oneshot};

use super::counters::Counters;
use crate::control::{Event, View};

/// What the control thread is sent.
#[derive(Debug)]
pub(super) enum Input {
    /// An event for the reducer.
    Event(Event),
    /// Stop the thread; the sender is told when it is done.
    Close(oneshot::Sender<()>),
}

/// A running control thread.
#[derive(Debug, Clone)]
pub struct Handle {
    pub(super) view: Arc<ArcSwap<View>>,
    pub(super) inputs: mpsc::UnboundedSender<Input>,
    pub(super) peer_addr: SocketAddr,
    pub(super) counters: Counters,
}

impl Handle {
    /// The control state as last published.
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Gives the reducer an event; does nothing once the thread has ended.
    pub fn post(&self, event: Event) {
        let _ = self.inputs.send(Input::Event(event));
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
    /// For a graceful stop post [`Event::Stop`] first, and call this when the
    /// requests in flight have ended.
    pub async fn close(&self) {
        let (done, closed) = oneshot::channel();
        if self.inputs.send(Input::Close(done)).is_ok() {
            let _ = closed.await;
        }
    }
}
