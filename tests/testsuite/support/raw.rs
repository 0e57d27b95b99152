//! HTTP by hand: `awc` takes a closed connection for the end of a body, and a server of
//! `actix-http` sends nothing that is malformed.

use std::time::Duration;

use actix_rt::net::{TcpListener, TcpStream};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::platform::API_KEY;

/// Time in which a closed connection's last bytes arrive before a reset discards them.
const SETTLE: Duration = Duration::from_millis(50);

/// How an answer's connection ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    Closed,
    Reset,
}

/// Head of a request that a stand-in read, in lower case.
#[derive(Debug)]
pub(crate) struct Head(String);

impl Head {
    pub(crate) fn field(&self, name: &str) -> Option<&str> {
        let mut lines = self.0.lines();
        lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
    }

    pub(crate) fn path(&self) -> &str {
        self.0.split(' ').nth(1).unwrap_or_default()
    }
}

/// Beginning of an upstream's sealed answer to the request with this head, up to the fields
/// that differ.
pub(crate) fn sealed_head(request: &Head, status: &str) -> String {
    let id = request.field("x-carawayrun-request-id").unwrap_or_default();
    format!(
        "HTTP/1.1 {status}\r\nx-carawayrun-request-id: {id}\r\n\
         x-carawayrun-response-seal: seal\r\n"
    )
}

/// Events of a stream from one number to another.
pub(crate) fn events(from: u32, to: u32) -> String {
    let events = (from..=to).map(|number| format!("id: {number}\ndata: word {number}\n\n"));
    events.collect()
}

/// Reads the head of a request; `None` where the connection ends before.
pub(crate) async fn read_head(stream: &mut TcpStream) -> Option<Head> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    Some(Head(String::from_utf8_lossy(&head).to_lowercase()))
}

/// Answers each request at `addr` with the bytes of `answer`, then ends the connection.
pub(crate) async fn serve_raw<F>(addr: String, answer: F)
where
    F: Fn(&Head) -> (String, End) + Clone + 'static,
{
    let listener = TcpListener::bind(&addr).await.expect("the stand-in binds");
    while let Ok((mut stream, _)) = listener.accept().await {
        let answer = answer.clone();
        actix_rt::spawn(async move {
            let Some(head) = read_head(&mut stream).await else {
                return;
            };
            let (text, end) = answer(&head);
            let sent = stream.write_all(text.as_bytes()).await;
            if sent.is_ok() && end == End::Reset {
                actix_rt::time::sleep(SETTLE).await;
                let reset = stream.set_zero_linger();
                reset.expect("the socket takes the option");
            }
        });
    }
}

/// What a client got.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RawAnswer {
    /// Zero where the connection ended before a head.
    pub(crate) status: u16,
    /// Head in lower case.
    pub(crate) head: String,
    pub(crate) body: String,
    /// Whether its framing says that it is whole.
    pub(crate) is_whole: bool,
}

/// Head of a request to a relay, without its end.
pub(crate) fn request_head(method: &str, path: &str, id: &str) -> String {
    deadline_head(method, path, id, 8_000)
}

/// As [`request_head`], with the client's time limit in milliseconds.
pub(crate) fn deadline_head(method: &str, path: &str, id: &str, deadline: u64) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: shop.example\r\nx-carawayrun-request-id: {id}\r\n\
         x-carawayrun-deadline-ms: {deadline}\r\nauthorization: Token {API_KEY}\r\n"
    )
}

/// Sends a request without a body on a new connection and reads until it ends.
pub(crate) async fn send_raw(addr: &str, method: &str, path: &str, id: &str) -> RawAnswer {
    let mut stream = TcpStream::connect(addr).await.expect("the relay accepts");
    let head = request_head(method, path, id) + "connection: close\r\n\r\n";
    let sent = stream.write_all(head.as_bytes()).await;
    sent.expect("the relay takes a request");
    read_answer(&mut stream).await
}

/// Asks a gateway for the status of the plain service `home`, and reads until the connection
/// ends.
pub(crate) async fn read_home_status(addr: &str, key: &str) -> RawAnswer {
    let request = format!(
        "GET /services/home/status HTTP/1.1\r\nhost: gateway\r\nconnection: close\r\n\
         authorization: Bearer {key}\r\n\r\n"
    );
    let stream = TcpStream::connect(addr).await;
    let mut stream = stream.expect("the gateway accepts");
    let sent = stream.write_all(request.as_bytes()).await;
    sent.expect("the gateway takes a request");
    read_answer(&mut stream).await
}

/// Reads an answer until its connection ends.
pub(crate) async fn read_answer(stream: &mut TcpStream) -> RawAnswer {
    let mut bytes = Vec::new();
    // A reset is an end, too.
    let _ = stream.read_to_end(&mut bytes).await;
    parse_answer(&String::from_utf8_lossy(&bytes))
}

/// Reads one answer and leaves its connection open; it isn't whole where the connection
/// ends before.
pub(crate) async fn read_framed(stream: &mut TcpStream) -> RawAnswer {
    let mut bytes = Vec::new();
    loop {
        let read = stream.read_buf(&mut bytes).await;
        let answer = parse_answer(&String::from_utf8_lossy(&bytes));
        if answer.is_whole || !read.is_ok_and(|count| count > 0) {
            return answer;
        }
    }
}

fn parse_answer(text: &str) -> RawAnswer {
    let (head, rest) = text.split_once("\r\n\r\n").unwrap_or_default();
    let head = head.to_lowercase();
    let status = head.split(' ').nth(1);
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let is_chunked = head.contains("transfer-encoding: chunked");
    let (body, is_whole) = if is_chunked {
        join_chunks(rest)
    } else {
        (rest.into(), length == Some(&rest.len().to_string()))
    };
    RawAnswer {
        status: status.and_then(|status| status.parse().ok()).unwrap_or(0),
        head,
        body,
        is_whole,
    }
}

// Also returns whether the last chunk is there.
fn join_chunks(mut rest: &str) -> (String, bool) {
    let mut body = String::new();
    while let Some((size, more)) = rest.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).expect("a chunk has a size");
        if size == 0 {
            return (body, true);
        }
        let Some(piece) = more.get(..size) else {
            return (body + more, false);
        };
        body.push_str(piece);
        rest = more.get(size + 2..).unwrap_or_default();
    }
    (body, false)
}
