//! A caller's connection, which tells whether an answer came to its end.
//!
//! A pooled client ends a body that broke off without an error, so the codec is
//! driven here.

use std::io;

use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header::{self, HeaderMap};
use actix_http::{Method, RequestHead, RequestHeadType, ServiceConfig};
use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::codec::{Decoder, Encoder};

/// An answer, as far as it came.
#[derive(Debug, Default)]
pub(crate) struct Answer {
    pub(crate) status: Option<u16>,
    pub(crate) headers: HeaderMap,
    pub(crate) body: String,
    /// True where it came to its end.
    pub(crate) complete: bool,
}

/// A connection for one request at a time, kept until it fails.
#[derive(Default)]
pub(crate) struct Connection {
    stream: Option<TcpStream>,
    received: BytesMut,
}

impl Connection {
    /// Sends a request; `answer` has what was received also where the caller
    /// stops waiting.
    pub(crate) async fn send(
        &mut self,
        addr: &str,
        head: RequestHead,
        body: &[u8],
        answer: &mut Answer,
    ) -> io::Result<()> {
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
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
        if size != BodySize::None {
            bytes.extend_from_slice(body);
        }
        stream.write_all(&bytes).await?;
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
