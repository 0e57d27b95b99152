//! Connections of HTTP clients that tell a body's end from its connection's.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_service::{Service, ServiceExt};
use actix_tls::connect::{ConnectError, ConnectInfo, Connection};
use awc::Connector;
use awc::http::Uri;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A connection whose end is an error of the next read.
///
/// `awc` takes the end of a connection for the end of the body that it reads, also where
/// the framing says that more follows. All bodies that it reads are framed, so the end
/// within one is an error, and an idle connection that ends is given up either way.
#[derive(Debug)]
pub(crate) struct ClientStream(TcpStream);

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.0).poll_read(cx, buf))?;
        let has_ended = buf.filled().len() == before && buf.remaining() > 0;
        Poll::Ready(if has_ended {
            Err(io::ErrorKind::UnexpectedEof.into())
        } else {
            Ok(())
        })
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}

impl ActixStream for ClientStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.0, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.0, cx)
    }
}

/// Creates a connector for `awc` whose clients report a connection that ends within an
/// answer as an error.
pub(crate) fn connector() -> Connector<
    impl Service<ConnectInfo<Uri>, Response = Connection<Uri, ClientStream>, Error = ConnectError>
    + Clone
    + 'static,
> {
    let tcp = actix_tls::connect::Connector::default().service();
    let strict = tcp.map(|connection: Connection<Uri, TcpStream>| {
        let (stream, uri) = connection.into_parts();
        Connection::new(uri, ClientStream(stream))
    });
    Connector::new().connector(strict)
}
