//! Starts and stops an HTTP/1.1 listener.

use std::convert::Infallible;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{HttpService, KeepAlive, Request, Response};
use actix_server::{Server, ServerHandle};
use actix_service::fn_service;

/// Timeout of the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for which an idle connection is kept open.
const KEEP_ALIVE: Duration = Duration::from_secs(75);

/// Options of a listener.
#[derive(Debug, Clone)]
pub struct ServerOptions {
    /// Name in logs.
    pub name: &'static str,
    /// Address to listen on; port zero binds a free port.
    pub addr: SocketAddr,
    /// Number of worker threads.
    pub workers: usize,
    /// Timeout of a graceful stop for requests in flight, rounded down to whole
    /// seconds.
    pub drain: Duration,
}

/// A running listener.
#[derive(Debug, Clone)]
pub struct Listener {
    addr: SocketAddr,
    handle: ServerHandle,
}

impl Listener {
    /// Returns the address it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops the listener. New connections are not accepted; if `graceful`, the
    /// call waits for the requests in flight, at most for the drain timeout.
    pub async fn stop(&self, graceful: bool) {
        self.handle.stop(graceful).await;
    }
}

/// Binds a listener and starts serving on dedicated threads.
///
/// `new_handler` is called once on each thread and returns the handler of that
/// thread, so a handler may hold state that is not `Send`. Must be called
/// within an actix system.
///
/// # Errors
///
/// Returns an [`io::Error`] if the address can't be bound.
pub fn bind<M, H, F>(options: &ServerOptions, new_handler: M) -> io::Result<Listener>
where
    M: Fn() -> H + Send + Clone + 'static,
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    serve(TcpListener::bind(options.addr)?, options, new_handler)
}

/// Starts serving on a socket that is already listening; see [`bind`].
///
/// # Errors
///
/// Returns an [`io::Error`] if the socket can't be used.
pub fn serve<M, H, F>(
    socket: TcpListener,
    options: &ServerOptions,
    new_handler: M,
) -> io::Result<Listener>
where
    M: Fn() -> H + Send + Clone + 'static,
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    let addr = socket.local_addr()?;
    let server = Server::build()
        .workers(options.workers)
        .shutdown_timeout(options.drain.as_secs())
        .disable_signals()
        .listen(options.name, socket, move || {
            let handler = new_handler();
            HttpService::build()
                .client_request_timeout(HEAD_TIMEOUT)
                .keep_alive(KeepAlive::Timeout(KEEP_ALIVE))
                // Chunks of a stream must not wait for the peer's
                // acknowledgement.
                .tcp_nodelay(true)
                // A client that closes its side of the connection no longer
                // wants the answer.
                .h1_allow_half_closed(false)
                .h1(fn_service(move |request| {
                    let answer = handler(request);
                    async move { Ok::<_, Infallible>(answer.await) }
                }))
                .tcp()
        })?
        .run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(Listener { addr, handle })
}
