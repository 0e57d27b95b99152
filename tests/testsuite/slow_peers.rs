//! Clients and upstreams that read slowly, and ones from which nothing comes back.

use std::time::{Duration, Instant};

use serde_json::json;
use socket2::{SockFilter, SockRef};
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

use crate::support::platform::{API_KEY, PlatformWorld, config};
use crate::support::raw::{Head, RawAnswer, deadline_head, read_answer, read_head, sealed_head};

/// Host of the upstream that this test itself plays.
const HOST: usize = 60;

/// Time limit of routes and clients in milliseconds.
const LIMIT_MS: u64 = 25_000;

/// Body of a request for a long answer.
const PROMPT: &[u8] = b"plan";

/// Window of a peer that reads slowly, in bytes.
const WINDOW_BYTES: u32 = 16 * 1024;

/// Time within which a silent peer's connection is given up, with one for the machine.
const SILENCE_LIMIT: Duration = Duration::from_secs(3);

async fn world(name: &str, service: &str) -> PlatformWorld {
    let world = PlatformWorld::start(name).await;
    let mut config = config(5, &[API_KEY]);
    config["limits"]["max_body_bytes"] = json!(4_000_000);
    for route in config["routes"].as_array_mut().expect("there are routes") {
        route["timeout_ms"] = json!(LIMIT_MS);
    }
    world.put("op", "config", &config).await;
    world.register("slow", service, HOST).await;
    world.until_known(1).await;
    world
}

/// Socket with a small window.
fn small_socket() -> TcpSocket {
    let socket = TcpSocket::new_v4().expect("a socket opens");
    let sized = socket.set_recv_buffer_size(WINDOW_BYTES);
    sized.expect("the socket takes the option");
    let reused = socket.set_reuseaddr(true);
    reused.expect("the socket takes the option");
    socket
}

async fn connect(addr: &str) -> TcpStream {
    let addr = addr.parse().expect("it is an address");
    let connected = small_socket().connect(addr).await;
    connected.expect("the relay accepts")
}

/// Has the kernel drop all that arrives for a socket, as behind a partition.
fn silence(stream: &TcpStream) {
    const RETURN: u16 = 0x06;
    let drop_all = [SockFilter::new(RETURN, 0, 0, 0)];
    let attached = SockRef::from(stream).attach_filter(&drop_all);
    attached.expect("the socket takes a filter");
}

/// How an upstream answers.
#[derive(Debug, Clone, Copy)]
enum Serving {
    /// With a stream of so many events of 400 bytes.
    Events(usize),
    /// With so many bytes and their length.
    Length(usize),
    /// After it has read the request's body of so many bytes, which it begins after a pause.
    Upload(usize, Duration),
    /// As above, but after the pause nothing comes back from it.
    Silence(usize, Duration),
}

fn event(number: usize) -> String {
    let text = format!("id: {number}\ndata: ");
    let filler = "t".repeat(400 - text.len() - 2);
    text + &filler + "\n\n"
}

impl Serving {
    fn answer(self, head: &Head) -> String {
        let head = sealed_head(head, "200 OK");
        match self {
            Self::Events(count) => {
                let events: String = (1..=count).map(event).collect();
                let length = events.len();
                format!(
                    "{head}content-type: text/event-stream\r\nx-carawayrun-confidence: 95\r\n\
                     content-length: {length}\r\n\r\n{events}"
                )
            }
            Self::Length(length) => {
                let body = "b".repeat(length);
                format!("{head}content-length: {length}\r\n\r\n{body}")
            }
            Self::Upload(..) | Self::Silence(..) => {
                format!("{head}content-length: 4\r\n\r\ndone")
            }
        }
    }

    async fn serve(self, mut stream: TcpStream) -> Option<()> {
        let head = read_head(&mut stream).await?;
        match self {
            Self::Upload(length, pause) => {
                actix_rt::time::sleep(pause).await;
                stream.read_exact(&mut vec![0; length]).await.ok()?;
            }
            Self::Silence(length, pause) => {
                actix_rt::time::sleep(pause).await;
                silence(&stream);
                stream.read_exact(&mut vec![0; length]).await.ok()?;
            }
            Self::Events(_) | Self::Length(_) => {
                stream.read_exact(&mut [0; PROMPT.len()]).await.ok()?;
            }
        }
        let answer = self.answer(&head);
        stream.write_all(answer.as_bytes()).await.ok()
    }

    async fn listen(self, addr: String) {
        let socket = small_socket();
        let addr = addr.parse().expect("it is an address");
        socket.bind(addr).expect("the upstream binds");
        let listener = socket.listen(16).expect("the upstream listens");
        while let Ok((stream, _)) = listener.accept().await {
            actix_rt::spawn(self.serve(stream));
        }
    }
}

async fn send(stream: &mut TcpStream, path: &str, body: &[u8]) {
    let head = deadline_head("POST", path, "req-1", LIMIT_MS);
    let head = format!(
        "{head}connection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let sent = stream.write_all(head.as_bytes()).await;
    sent.expect("the relay takes a request");
    let sent = stream.write_all(body).await;
    sent.expect("the relay takes a request");
}

/// Waits for the beginning of an answer, pauses, and reads it.
async fn read_after(pause: u64, stream: &mut TcpStream) -> RawAnswer {
    let begun = stream.peek(&mut [0]).await;
    assert!(matches!(begun, Ok(1)), "{begun:?}");
    actix_rt::time::sleep(Duration::from_millis(pause)).await;
    read_answer(stream).await
}

// The connection was reset 2 s after the client's window was full, and after 5 s in any case.
#[test_case("llm", "/stream/plan", Serving::Events(4_000), 1_600_000, 3_500; "a stream, 3.5 s")]
#[test_case("llm", "/stream/plan", Serving::Events(4_000), 1_600_000, 12_000; "a stream, 12 s")]
#[test_case("app", "/switch/a", Serving::Length(2_000_000), 2_000_000, 3_500; "a length, 3.5 s")]
#[test_case("app", "/switch/a", Serving::Length(6_000_000), 6_000_000, 7_000; "a length, 7 s")]
#[actix_rt::test]
async fn client_that_pauses_is_cut(
    service: &str,
    path: &str,
    serving: Serving,
    length: usize,
    pause: u64,
) {
    let world = world("slow-client", service).await;
    let upstream = actix_rt::spawn(serving.listen(world.address(HOST)));
    let mut client = connect(&world.relay_address(7001)).await;
    send(&mut client, path, PROMPT).await;
    let answer = read_after(pause, &mut client).await;
    assert_eq!(answer.status, 200);
    assert!(answer.is_whole, "{} bytes", answer.body.len());
    assert_eq!(answer.body.len(), length);
    upstream.abort();
}

// The answer was in the kernel's buffers, which were dropped 2 s after the window was full.
#[actix_rt::test]
async fn client_that_pauses_is_cut_around_a_stop() {
    let mut world = world("slow-stop", "llm").await;
    let upstream = actix_rt::spawn(Serving::Events(120).listen(world.address(HOST)));
    let mut client = connect(&world.relay_address(7001)).await;
    send(&mut client, "/stream/plan", PROMPT).await;
    world
        .until(async |world| world.logged_request(0, "req-1").is_some())
        .await;
    world.relay().terminate();
    let answer = read_after(4_000, &mut client).await;
    assert!(answer.is_whole, "{} bytes", answer.body.len());
    world.until_ended().await;
    upstream.abort();
}

// The client got 502 after 2.5 s, though the request may not be sent again.
#[test_case(3_500; "a short pause")]
#[test_case(7_000; "a long pause")]
#[actix_rt::test]
async fn upstream_that_pauses_in_an_upload_is_given_up(pause: u64) {
    let length = 1_500_000;
    let serving = Serving::Upload(length, Duration::from_millis(pause));
    let world = world("slow-upstream", "app").await;
    let upstream = actix_rt::spawn(serving.listen(world.address(HOST)));
    let mut client = connect(&world.relay_address(7001)).await;
    send(&mut client, "/switch/a", &vec![b'u'; length]).await;
    let answer = read_answer(&mut client).await;
    assert_eq!((answer.status, answer.body.as_str()), (200, "done"));
    upstream.abort();
}

// Guards the other side: a peer whose host is gone acknowledges nothing and is not waited for.
#[actix_rt::test]
async fn silent_client_occupies_its_request() {
    let world = world("silent-client", "llm").await;
    let upstream = actix_rt::spawn(Serving::Events(20_000).listen(world.address(HOST)));
    let mut client = connect(&world.relay_address(7001)).await;
    send(&mut client, "/stream/plan", PROMPT).await;
    let read = client.read_u8().await;
    read.expect("the answer begins");
    silence(&client);
    let begun = Instant::now();
    world
        .until(async |world| world.logged_request(0, "req-1").is_some())
        .await;
    let took = begun.elapsed();
    assert!(took < SILENCE_LIMIT, "{took:?}");
    upstream.abort();
}

// As above, for an upstream within an upload.
#[actix_rt::test]
async fn silent_upstream_is_waited_for() {
    let length = 1_500_000;
    let serving = Serving::Silence(length, Duration::ZERO);
    let world = world("silent-upstream", "app").await;
    let upstream = actix_rt::spawn(serving.listen(world.address(HOST)));
    let mut client = connect(&world.relay_address(7001)).await;
    let begun = Instant::now();
    send(&mut client, "/switch/a", &vec![b'u'; length]).await;
    let answer = read_answer(&mut client).await;
    assert_eq!(answer.status, 502);
    let took = begun.elapsed();
    assert!(took < SILENCE_LIMIT, "{took:?}");
    upstream.abort();
}
