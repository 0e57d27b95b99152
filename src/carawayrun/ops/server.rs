//! The operators' listener.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use actix_rt::time::{Instant, sleep};

use super::condition_times::ConditionTimes;
use super::handler::Api;
use super::operators::Operators;
use super::why::Decisions;
use crate::http::{self, Listener, ServerOptions};
use crate::node::Handle;
use crate::store::TableClient;

/// Time between two checks for calls in progress during a stop.
const STOP_POLL_PERIOD: Duration = Duration::from_millis(20);

/// Maximum time that a stop waits for calls in progress.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for the last bytes of answers to be sent.
const FLUSH_TIME: Duration = Duration::from_millis(100);

/// Options of the operators' listener.
#[derive(Debug, Clone)]
pub struct Options {
    /// Address to listen on; with port zero the system chooses a free port.
    pub addr: SocketAddr,
    /// Maximum time that a graceful shutdown waits for requests in flight.
    pub drain: Duration,
    /// Operators that may use the API.
    pub operators: Operators,
    /// Address of the table service.
    pub table_addr: SocketAddr,
    /// The most recent decisions of the gateway.
    pub decisions: Arc<Decisions>,
}

/// Calls in progress, and whether further ones are refused.
#[derive(Debug, Default)]
pub(super) struct Activity {
    calls: AtomicUsize,
    stopping: AtomicBool,
}

/// Counts a call as in progress until dropped.
pub(super) struct ActiveCall(Arc<Activity>);

impl Activity {
    /// Begins a call, which counts before [`Self::is_stopping`] is asked: a stop either
    /// sees the call, or the call sees the stop.
    pub(super) fn begin(self: &Arc<Self>) -> ActiveCall {
        self.calls.fetch_add(1, Ordering::SeqCst);
        ActiveCall(Arc::clone(self))
    }

    pub(super) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }
}

impl Drop for ActiveCall {
    fn drop(&mut self) {
        self.0.calls.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A running listener for operators.
#[derive(Debug)]
pub struct OperatorListener {
    listener: Listener,
    activity: Arc<Activity>,
}

impl OperatorListener {
    /// Returns the address it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.listener.addr()
    }

    /// Refuses new calls, waits a bounded time for those in progress, which may change
    /// resources, and closes all connections.
    pub async fn stop(&self) {
        self.activity.stopping.store(true, Ordering::SeqCst);
        let end = Instant::now() + STOP_TIMEOUT;
        while self.activity.calls.load(Ordering::SeqCst) > 0 && Instant::now() < end {
            sleep(STOP_POLL_PERIOD).await;
        }
        sleep(FLUSH_TIME).await;
        self.listener.stop(false).await;
    }
}

/// Binds the operators' listener of a gateway and starts serving.
///
/// Must be called within an actix system.
///
/// # Errors
///
/// [`io::Error`] where the address can't be bound.
pub fn bind(handle: Handle, options: Options) -> io::Result<OperatorListener> {
    let server = ServerOptions {
        name: "operators",
        addr: options.addr,
        workers: 1,
        drain: options.drain,
    };
    let writes = Arc::new(AtomicU64::new(0));
    let condition_times = ConditionTimes::default();
    let activity = Arc::new(Activity::default());
    let calls = Arc::clone(&activity);
    let listener = http::bind(&server, move || {
        let api = Rc::new(Api {
            handle: handle.clone(),
            operators: options.operators.clone(),
            table: TableClient::new(options.table_addr),
            decisions: Arc::clone(&options.decisions),
            writes: Arc::clone(&writes),
            condition_times: condition_times.clone(),
            activity: Arc::clone(&calls),
        });
        move |request| Rc::clone(&api).handle(request)
    })?;
    Ok(OperatorListener { listener, activity })
}
