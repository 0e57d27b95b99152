//! The operators' listener.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use super::condition_times::ConditionTimes;
use super::handler::Api;
use super::operators::Operators;
use super::why::Decisions;
use crate::http::{self, Listener, ServerOptions};
use crate::node::Handle;
use crate::store::TableClient;

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

/// Binds the operators' listener of a gateway and starts serving.
///
/// Must be called within an actix system.
///
/// # Errors
///
/// [`io::Error`] where the address can't be bound.
pub fn bind(handle: Handle, options: Options) -> io::Result<Listener> {
    let server = ServerOptions {
        name: "operators",
        addr: options.addr,
        workers: 1,
        drain: options.drain,
    };
    let writes = Arc::new(AtomicU64::new(0));
    let condition_times = ConditionTimes::default();
    http::bind(&server, move || {
        let api = Rc::new(Api {
            handle: handle.clone(),
            operators: options.operators.clone(),
            table: TableClient::new(options.table_addr),
            decisions: Arc::clone(&options.decisions),
            writes: Arc::clone(&writes),
            condition_times: condition_times.clone(),
        });
        move |request| Rc::clone(&api).handle(request)
    })
}
