//! HTTP/1.1 client connection that detects truncated answers.
//!
//! `awc`'s pooled client ends a truncated body without an error, so this module
//! drives the codec itself.

use std::io;
use std::time::Duration;

use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header::{self, HeaderMap};
use actix_http::{Method, RequestHead, RequestHeadType, ServiceConfig};
use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::codec::{Decoder, Encoder};

use crate::support::now_ms;

/// The part of an answer that was received.
#[derive(Debug, Default)]
pub(crate) struct Answer {
    pub(crate) status: Option<u16>,
    pub(crate) headers: HeaderMap,
    pub(crate) body: String,
    /// Whether the answer was received to its end.
    pub(crate) complete: bool,
    /// Time at which the request's last byte was written, in milliseconds since the Unix
    /// epoch.
    pub(crate) sent_ms: Option<u64>,
}

/// Connection for one request at a time, reused until a request fails or the relay
/// closes it.
#[derive(Default)]
pub(crate) struct Connection {
    stream: Option<TcpStream>,
    received: BytesMut,
    /// Request without a body to be written behind the one that is sent next.
    next: Option<RequestHead>,
    /// True if the request that is sent next was written behind the one before.
    is_ahead: bool,
}

impl Connection {
    /// Has the request that is sent after the next one written together with that one.
    pub(crate) fn send_ahead(&mut self, head: RequestHead) {
        self.next = Some(head);
    }

    /// Sends a request and reads the answer into `answer`, which holds what was
    /// received even if the caller drops the future. The body follows after a pause.
    pub(crate) async fn send(
        &mut self,
        addr: &str,
        head: RequestHead,
        (body, pause): (&[u8], Duration),
        answer: &mut Answer,
    ) -> io::Result<()> {
        let is_ahead = std::mem::take(&mut self.is_ahead);
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            // What was sent ahead has no answer any more.
            None if is_ahead => return Err(io::ErrorKind::NotConnected.into()),
            None => TcpStream::connect(addr).await?,
        };
        let mut codec = ClientCodec::new(ServiceConfig::default());
        let size = if head.method == Method::GET {
            BodySize::None
        } else {
            BodySize::Sized(body.len() as u64)
        };
        let mut bytes = BytesMut::new();
        codec.encode(
            Message::Item((RequestHeadType::from(head), size)),
            &mut bytes,
        )?;
        if is_ahead {
            bytes.clear();
        } else if !pause.is_zero() {
            stream.write_all(&bytes.split()).await?;
            actix_rt::time::sleep(pause).await;
        }
        if size != BodySize::None {
            bytes.extend_from_slice(body);
        }
        if let Some(next) = self.next.take() {
            let mut codec = ClientCodec::new(ServiceConfig::default());
            let message = (RequestHeadType::from(next), BodySize::None);
            codec.encode(Message::Item(message), &mut bytes)?;
            self.is_ahead = true;
        }
        stream.write_all(&bytes).await?;
        answer.sent_ms = Some(now_ms());
        let head = loop {
            if let Some(head) = codec.decode(&mut self.received).map_err(io::Error::other)? {
                break head;
            }
            self.read_more(&mut stream).await?;
        };
        answer.status = Some(head.status.as_u16());
        answer.headers = head.headers.clone();
        let is_reusable = codec.keep_alive() && !is_closing(&head.headers);
        if codec.message_type() != MessageType::None {
            self.read_body(&mut stream, &mut codec.into_payload_codec(), answer)
                .await?;
        }
        answer.complete = true;
        self.stream = is_reusable.then_some(stream);
        Ok(())
    }

    async fn read_body(
        &mut self,
        stream: &mut TcpStream,
        codec: &mut ClientPayloadCodec,
        answer: &mut Answer,
    ) -> io::Result<()> {
        loop {
            match codec.decode(&mut self.received).map_err(io::Error::other)? {
                Some(Some(chunk)) => answer.body.push_str(&String::from_utf8_lossy(&chunk)),
                Some(None) => return Ok(()),
                None => self.read_more(stream).await?,
            }
        }
    }

    async fn read_more(&mut self, stream: &mut TcpStream) -> io::Result<()> {
        match stream.read_buf(&mut self.received).await? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }
}

fn is_closing(headers: &HeaderMap) -> bool {
    let value = headers.get(header::CONNECTION);
    value.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}
