//! Cancellation of requests that are queued or running.

use std::cell::RefCell;
use std::rc::Rc;

use rustc_hash::FxHashMap;
use tokio::sync::Notify;

use crate::peer::RequestId;

/// Listeners for cancels, by request.
#[derive(Debug, Default)]
pub(crate) struct CancelRegistry {
    listeners: RefCell<FxHashMap<RequestId, Vec<Rc<Notify>>>>,
}

/// Listens for the cancel of one run; unregisters when dropped.
#[derive(Debug)]
pub(crate) struct CancelListener {
    registry: Rc<CancelRegistry>,
    request: RequestId,
    notify: Rc<Notify>,
}

impl CancelRegistry {
    /// Registers a run as a listener for cancels of `request`.
    pub(crate) fn register(self: &Rc<Self>, request: RequestId) -> CancelListener {
        let notify = Rc::new(Notify::new());
        let mut listeners = self.listeners.borrow_mut();
        let listening = listeners.entry(request.clone()).or_default();
        listening.push(Rc::clone(&notify));
        CancelListener {
            registry: Rc::clone(self),
            request,
            notify,
        }
    }

    /// Cancels all runs of `request`.
    pub(crate) fn cancel(&self, request: &RequestId) {
        let listeners = self.listeners.borrow();
        for notify in listeners.get(request).into_iter().flatten() {
            notify.notify_one();
        }
    }
}

impl CancelListener {
    /// Waits until the run is cancelled.
    pub(crate) async fn cancelled(&self) {
        self.notify.notified().await;
    }
}

impl Drop for CancelListener {
    fn drop(&mut self) {
        let mut listeners = self.registry.listeners.borrow_mut();
        let Some(listening) = listeners.get_mut(&self.request) else {
            return;
        };
        listening.retain(|notify| !Rc::ptr_eq(notify, &self.notify));
        if listening.is_empty() {
            listeners.remove(&self.request);
        }
    }
}
