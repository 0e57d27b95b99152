//! Starting and stopping an HTTP/1.1 listener.

use std::convert::Infallible;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{HttpService, KeepAlive, Request, Response};
use actix_server::{Server, ServerHandle};
use actix_service::fn_service;

/// Time a client has to send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Time an idle connection is kept for a next request.
const KEEP_ALIVE: Duration = Duration::from_secs(75);

/// How a listener is set up.
#[derive(Debug, Clone)]
pub struct ServerOptions {
    /// Name in logs.
    pub name: &'static str,
    /// Address to listen on; port zero takes a free one.
    pub addr: SocketAddr,
    /// Number of threads that serve it.
    pub workers: usize,
    /// Longest time a graceful stop waits for requests in flight.
    pub drain: Duration,
}

/// A running listener.
#[derive(Debug, Clone)]
pub struct Listener {
    addr: SocketAddr,
    handle: ServerHandle,
}

impl Listener {
    /// The address it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops it: takes no new connections and, where `graceful`, waits for the
    /// requests in flight up to the drain time.
    pub async fn stop(&self, graceful: bool) {
        self.handle.stop(graceful).await;
    }
}

/// Binds a listener and starts serving on threads of its own.
///
/// `make` is called once on each thread and returns the handler of that
/// thread, so a handler may hold state that is not `Send`. Must be called
/// within an actix system.
///
/// # Errors
///
/// An [`io::Error`] where the address can't be bound.
pub fn bind<M, H, F>(options: &ServerOptions, make: M) -> io::Result<Listener>
where
    M: Fn() -> H + Send + Clone + 'static,
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    serve(TcpListener::bind(options.addr)?, options, make)
}

/// Starts serving on a socket that listens already; see [`bind`].
///
/// # Errors
///
/// An [`io::Error`] where the socket can't be used.
pub fn serve<M, H, F>(socket: TcpListener, options: &ServerOptions, make: M) -> io::Result<Listener>
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
            let handler = make();
            HttpService::build()
                .client_request_timeout(HEAD_TIMEOUT)
                .keep_alive(KeepAlive::Timeout(KEEP_ALIVE))
                // Chunks of a stream must not wait for the peer to acknowledge.
                .tcp_nodelay(true)
                // A client that closes its side wants no answer any more.
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
