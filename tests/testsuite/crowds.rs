//! Crowds of clients that hold more than a relay has memory or descriptors for.
//!
//! Checked is only what does not depend on the machine's speed: that the relay lives, that
//! its memory and its descriptors stay within its settings, and that an ordinary client is
//! answered while the crowd stays connected.

use std::time::{Duration, Instant};

use actix_rt::net::TcpStream;
use actix_rt::time::{sleep, timeout};
use futures_util::future::join_all;
use serde_json::json;
use socket2::{Domain, Socket, Type};
use test_case::test_case;
use tokio::io::AsyncWriteExt;
use tokio::sync::Mutex;

use crate::support::platform::{API_KEY, PlatformWorld, config};
use crate::support::raw::{End, request_head, sealed_head, send_raw, serve_raw};
use crate::support::unread_bytes;

/// Memory that the settings give the relay, in MB. It may not use more.
const MEMORY_MB: u64 = 64;

/// Descriptors that the settings give the relay, and those of them that are for files.
const MAX_DESCRIPTORS: usize = 640;
const FILE_DESCRIPTORS: usize = 200;

/// Descriptors of a relay that has room for a crowd of small clients.
const MANY_DESCRIPTORS: usize = 4_096;

/// Longest body that the configuration allows, in bytes.
const BODY_BYTES: usize = 4 << 20;

/// Clients with bodies; together they have more than the relay's memory.
const CLIENTS: usize = 24;

/// Clients that each send little; together they cost more than the relay's memory.
const SMALL_CLIENTS: usize = 1_500;

/// Length of a small body, in bytes.
const SMALL_BODY_BYTES: usize = 5_000;

/// Length of a large head, in bytes; `max_header_bytes` of the configuration is 16,384.
const LARGE_HEAD_BYTES: usize = 15_000;

/// Clients that connect at once.
const CLIENTS_AT_ONCE: usize = 100;

/// Clients that hold a connection.
const CONNECTIONS: usize = 600;

/// Host of the upstream that this test itself plays.
const HOST: usize = 60;

/// Time in which what was sent must be read or refused.
const PATIENCE: Duration = Duration::from_secs(20);

/// Time for which the sockets of clients that read nothing are counted.
const UNREAD_TIME: Duration = Duration::from_secs(6);

/// Requests of an ordinary client until it is answered, and the pause between them.
const MAX_TRIES: usize = 60;
const PAUSE: Duration = Duration::from_millis(500);

/// One crowd at a time, as each fills the memory of its relay.
static TURN: Mutex<()> = Mutex::const_new(());

/// What each client of a crowd sends after its head.
#[derive(Debug, Clone)]
struct Body {
    /// Field of the head that says how the body is framed.
    framing: String,
    unit: Vec<u8>,
    /// How often the unit is sent.
    count: usize,
}

impl Body {
    fn with_length(length: usize, unit: usize, count: usize) -> Self {
        Self {
            framing: format!("content-length: {length}"),
            unit: vec![b'x'; unit],
            count,
        }
    }

    /// Chunks of `size` bytes, many of them in a unit, without the last chunk.
    fn chunked(size: usize, total: usize) -> Self {
        let chunk = format!("{size:x}\r\n{}\r\n", "x".repeat(size));
        let chunks = (256 * 1024 / size).max(1);
        Self {
            framing: "transfer-encoding: chunked".into(),
            unit: chunk.repeat(chunks).into_bytes(),
            count: total / (chunks * size),
        }
    }
}

/// Limits in a relay's settings.
#[derive(Debug, Clone, Copy)]
struct Limits {
    memory_mb: u64,
    descriptors: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            memory_mb: MEMORY_MB,
            descriptors: MAX_DESCRIPTORS,
        }
    }
}

impl Limits {
    /// Sockets that the relay may have open.
    fn max_sockets(self) -> usize {
        self.descriptors - FILE_DESCRIPTORS
    }
}

async fn world(name: &str) -> PlatformWorld {
    world_of(name, Limits::default()).await
}

/// Starts a relay with these limits in its settings.
async fn world_of(name: &str, limits: Limits) -> PlatformWorld {
    let Limits {
        memory_mb,
        descriptors,
    } = limits;
    let limits = format!("max_fds = {descriptors}\nmemory_mb = {memory_mb}");
    let mut world = PlatformWorld::start_limited(name, &limits).await;
    let mut config = config(5, &[API_KEY]);
    config["limits"]["max_body_bytes"] = json!(BODY_BYTES);
    let mut files = config["routes"][1].clone();
    files["name"] = json!("files");
    files["prefix"] = json!("/files/");
    files["service"] = json!("files");
    let routes = config["routes"].as_array_mut();
    routes.expect("there are routes").push(files);
    let mut service = config["services"][0].clone();
    service["name"] = json!("files");
    let services = config["services"].as_array_mut();
    services.expect("there are services").push(service);
    world.put("op", "config", &config).await;
    world.runner("sound", "app", &[]).await;
    world.register("files", "files", HOST).await;
    world.until_known(2).await;
    world
}

/// Sends a head and a body, as far as it is taken; returns the connection open.
async fn send_body(addr: String, head: String, body: Body) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(&addr).await.ok()?;
    let head = format!("{head}{}\r\n\r\n", body.framing);
    let sending = async {
        stream.write_all(head.as_bytes()).await?;
        for _ in 0..body.count {
            stream.write_all(&body.unit).await?;
        }
        std::io::Result::Ok(())
    };
    // The relay may refuse the rest, or not read it.
    let _ = timeout(PATIENCE, sending).await;
    Some(stream)
}

/// Waits until the relay has read or refused what was sent.
async fn until_read(world: &PlatformWorld) {
    let addr = world.relay_address(7001).parse();
    let addr = addr.expect("the relay has an address of IPv4");
    let begun = Instant::now();
    while unread_bytes(addr) > 0 && begun.elapsed() < PATIENCE {
        sleep(Duration::from_millis(20)).await;
    }
}

/// Checks the relay while a crowd is connected.
async fn check(world: &mut PlatformWorld) {
    check_within(world, Limits::default()).await;
}

/// Checks a relay with these limits in its settings.
async fn check_within(world: &mut PlatformWorld, limits: Limits) {
    let memory_mb = limits.memory_mb;
    let addr = world.relay_address(7001);
    let mut statuses = Vec::new();
    while statuses.len() < MAX_TRIES && statuses.last() != Some(&200) {
        if !statuses.is_empty() {
            sleep(PAUSE).await;
        }
        let id = format!("ordinary-{}", statuses.len());
        let answer = timeout(PATIENCE, send_raw(&addr, "GET", "/read/a", &id)).await;
        let is_ended = world.relay().ended();
        assert!(!is_ended, "the relay has ended");
        statuses.push(answer.map_or(0, |answer| answer.status));
    }
    let peak_kb = world.relay().peak_kb().expect("the relay lives");
    let sockets = world.relay().open_sockets();
    eprintln!("peak {peak_kb} KB, {sockets} sockets, ordinary {statuses:?}");
    assert!(peak_kb < memory_mb * 1024, "{peak_kb} KB");
    assert!(sockets <= limits.max_sockets(), "{sockets}");
    assert_eq!(statuses.last(), Some(&200), "{statuses:?}");
    world.until(async |world| world.is_ready().await).await;
}

/// Lets a crowd send bodies that don't end, and checks the relay.
async fn crowd(name: &str, head: fn(&str) -> String, body: Body) {
    let _turn = TURN.lock().await;
    let mut world = world(name).await;
    let addr = world.relay_address(7001);
    let clients = (0..CLIENTS).map(|number| {
        let head = head(&format!("crowd-{number}"));
        send_body(addr.clone(), head, body.clone())
    });
    let connections = join_all(clients).await;
    until_read(&world).await;
    check(&mut world).await;
    drop(connections);
}

fn with_key(id: &str) -> String {
    request_head("POST", "/switch/a", id)
}

fn without_key(id: &str) -> String {
    let head = with_key(id);
    let lines = head.split_inclusive("\r\n");
    lines.filter(|line| !line.starts_with("auth")).collect()
}

fn unrouted(id: &str) -> String {
    request_head("POST", "/nowhere/a", id)
}

#[test_case(Body::with_length(BODY_BYTES, BODY_BYTES - 1, 1); "at once")]
#[test_case(Body::with_length(BODY_BYTES, 16 * 1024 - 1, 256); "piece by piece")]
#[test_case(Body::chunked(256 * 1024, BODY_BYTES); "in large chunks")]
#[test_case(Body::chunked(16, BODY_BYTES); "in small chunks")]
#[actix_rt::test]
async fn bodies_of_legal_size_exhaust_memory(body: Body) {
    crowd("crowd-legal", with_key, body).await;
}

#[test_case(Body::with_length(8 * BODY_BYTES, BODY_BYTES - 1, 1); "announced")]
#[test_case(Body::with_length(8 * BODY_BYTES, BODY_BYTES, 8); "announced and sent")]
#[test_case(Body::chunked(256 * 1024, 4 * BODY_BYTES); "sent in chunks")]
#[actix_rt::test]
async fn bodies_over_the_limit_exhaust_memory(body: Body) {
    crowd("crowd-over", with_key, body).await;
}

#[test_case(without_key; "without a key")]
#[test_case(unrouted; "without a route")]
#[actix_rt::test]
async fn bodies_of_refused_requests_exhaust_memory(head: fn(&str) -> String) {
    let body = Body::with_length(BODY_BYTES, BODY_BYTES - 1, 1);
    crowd("crowd-refused", head, body).await;
}

// The relay had each body twice, once for the connection to the upstream.
#[actix_rt::test]
async fn bodies_at_silent_upstream_exhaust_memory() {
    let _turn = TURN.lock().await;
    let mut world = world("crowd-silent").await;
    let listener = std::net::TcpListener::bind(world.address(HOST));
    let _listener = listener.expect("the upstream binds");
    let addr = world.relay_address(7001);
    let clients = (0..CLIENTS).map(|number| {
        let head = request_head("POST", "/files/a", &format!("crowd-{number}"));
        let body = Body::with_length(BODY_BYTES, BODY_BYTES, 1);
        send_body(addr.clone(), head, body)
    });
    let connections = join_all(clients).await;
    until_read(&world).await;
    check(&mut world).await;
    drop(connections);
}

/// Part of a request of a small client, which stops there and stays connected.
#[derive(Debug, Clone, Copy)]
enum Part {
    /// A body in chunks of this size, short of its end.
    Chunked(usize),
    /// A body with a length, short of its end.
    Sized,
    /// A large head without its end.
    Head,
    /// A large head, and a body short of its end.
    HeadAndBody,
}

impl Part {
    const ALL: [Self; 5] = [
        Self::Chunked(16),
        Self::Chunked(1),
        Self::Sized,
        Self::Head,
        Self::HeadAndBody,
    ];

    fn bytes(self, id: &str) -> Vec<u8> {
        let mut head = with_key(id);
        if matches!(self, Self::Head | Self::HeadAndBody) {
            for number in 0.. {
                let field = format!("x-field-{number}: {}\r\n", "f".repeat(300));
                if head.len() + field.len() > LARGE_HEAD_BYTES {
                    break;
                }
                head.push_str(&field);
            }
        }
        let body = match self {
            Self::Chunked(size) => {
                let chunk = format!("{size:x}\r\n{}\r\n", "x".repeat(size));
                let chunks = chunk.repeat(SMALL_BODY_BYTES / chunk.len());
                format!("transfer-encoding: chunked\r\n\r\n{chunks}")
            }
            Self::Sized | Self::HeadAndBody => {
                let sent = "x".repeat(SMALL_BODY_BYTES - 1);
                format!("content-length: {SMALL_BODY_BYTES}\r\n\r\n{sent}")
            }
            Self::Head => String::new(),
        };
        (head + &body).into_bytes()
    }
}

async fn send_part(addr: String, part: Vec<u8>) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(&addr).await.ok()?;
    // The relay may refuse it at once.
    let _ = timeout(PATIENCE, stream.write_all(&part)).await;
    Some(stream)
}

// What a connection and its request cost beside their bytes was not in the account.
#[test_case(&[Part::Chunked(16)]; "chunked")]
#[test_case(&[Part::Chunked(1)]; "in tiny chunks")]
#[test_case(&[Part::Sized]; "with a length")]
#[test_case(&[Part::Head]; "heads")]
#[test_case(&[Part::HeadAndBody]; "large heads")]
#[test_case(&Part::ALL; "of several kinds")]
#[actix_rt::test]
async fn small_parts_of_requests_exhaust_memory(parts: &[Part]) {
    let _turn = TURN.lock().await;
    let limits = Limits {
        descriptors: MANY_DESCRIPTORS,
        ..Limits::default()
    };
    let mut world = world_of("crowd-small", limits).await;
    let addr = world.relay_address(7001);
    let mut connections = Vec::new();
    let mut kinds = parts.iter().cycle();
    while connections.len() < SMALL_CLIENTS {
        let numbers = connections.len()..connections.len() + CLIENTS_AT_ONCE;
        let clients = numbers.zip(&mut kinds).map(|(number, part)| {
            let bytes = part.bytes(&format!("crowd-{number}"));
            send_part(addr.clone(), bytes)
        });
        connections.extend(join_all(clients).await);
        until_read(&world).await;
    }
    check_within(&mut world, limits).await;
    drop(connections);
}

/// Sends a request on a connection that takes little; returns it open.
async fn send_unread(addr: String, head: String) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket opens");
    let small = socket.set_recv_buffer_size(4 * 1024);
    small.expect("the socket takes the option");
    let addr: std::net::SocketAddr = addr.parse().expect("the relay has an address");
    socket.connect(&addr.into()).expect("the relay accepts");
    let nonblocking = socket.set_nonblocking(true);
    nonblocking.expect("the socket takes the option");
    let mut stream = TcpStream::from_std(socket.into()).expect("the runtime takes it");
    let sent = stream.write_all((head + "\r\n").as_bytes()).await;
    sent.expect("the relay takes a request");
    stream
}

// Each answer that waited for memory kept a connection and what was read of it.
#[test_case(CLIENTS, MEMORY_MB; "of a few")]
#[test_case(300, 88; "of many")]
#[actix_rt::test]
async fn unread_answers_exhaust_memory(clients: usize, memory_mb: u64) {
    let _turn = TURN.lock().await;
    let limits = Limits {
        memory_mb,
        ..Limits::default()
    };
    let mut world = world_of("crowd-unread", limits).await;
    let upstream = actix_rt::spawn(serve_raw(world.address(HOST), |head| {
        let head = sealed_head(head, "200 OK");
        let head = format!("{head}content-length: {BODY_BYTES}\r\n\r\n");
        (head + &"x".repeat(BODY_BYTES), End::Closed)
    }));
    let addr = world.relay_address(7001);
    let clients = (0..clients).map(|number| {
        let head = request_head("POST", "/files/a", &format!("crowd-{number}"));
        send_unread(addr.clone(), head)
    });
    let connections = join_all(clients).await;
    // By then all of them were answered, or waited for longer than a client is waited for.
    let begun = Instant::now();
    let mut most_sockets = 0;
    while begun.elapsed() < UNREAD_TIME {
        most_sockets = most_sockets.max(world.relay().open_sockets());
        sleep(Duration::from_millis(20)).await;
    }
    eprintln!("at most {most_sockets} sockets");
    check_within(&mut world, limits).await;
    assert!(most_sockets <= limits.max_sockets(), "{most_sockets}");
    drop(connections);
    upstream.abort();
}

// The listeners of probes accepted without a limit.
#[test_case(7001; "of clients")]
#[test_case(7002; "of readiness")]
#[test_case(9464; "of metrics")]
#[actix_rt::test]
async fn idle_connections_exhaust_descriptors(port: u16) {
    let _turn = TURN.lock().await;
    let mut world = world("crowd-idle").await;
    let addr = world.relay_address(port);
    let mut connections = Vec::new();
    for _ in 0..CONNECTIONS {
        let opened = timeout(PATIENCE, TcpStream::connect(&addr)).await;
        let opened = opened.expect("the relay accepts in time");
        connections.extend(opened);
    }
    world.until(async |world| world.is_ready().await).await;
    check(&mut world).await;
    drop(connections);
}
