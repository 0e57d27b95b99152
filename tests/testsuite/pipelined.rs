//! Clients that send their next request before the answer to the one before, around a
//! planned stop.

use std::time::Duration;

use actix_rt::time::{Instant, sleep, sleep_until, timeout};
use futures_util::future::join_all;
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::platform::{API_KEY, PlatformWorld, config};
use crate::support::raw::request_head;

const CLIENTS: usize = 6;

const UPSTREAMS: usize = 3;

/// Time that an upstream takes for a request.
const WORK_MS: &str = "600";

/// Longest time for all answers of a connection.
const LIMIT: Duration = Duration::from_secs(9);

/// How the requests of a client come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Order {
    /// In one write.
    Together,
    /// Each while the one before is answered.
    Within,
    /// The last one in two pieces, the second of which comes after an answer is due.
    Halved,
}

/// When SIGTERM comes, from the moment at which the clients send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stop {
    Never,
    Before(Duration),
    After(Duration),
}

const EARLY: Stop = Stop::Before(Duration::from_millis(350));
const SINCE: Stop = Stop::After(Duration::from_millis(150));

async fn world() -> PlatformWorld {
    let mut world = PlatformWorld::start("pipelined").await;
    world.put("op", "config", &config(5, &[API_KEY])).await;
    for name in ["app-1", "app-2"] {
        world.runner(name, "app", &["--work-ms", WORK_MS]).await;
    }
    world.runner("llm-1", "llm", &["--work-ms", "50"]).await;
    world.until_ready().await;
    world.until_known(UPSTREAMS).await;
    world
}

/// Sends the requests with these IDs on one connection; returns what came back until all
/// are answered or the connection ends.
async fn send_all(addr: String, path: &str, ids: &[String], order: Order) -> String {
    let mut stream = TcpStream::connect(addr).await.expect("the relay accepts");
    let heads = ids.iter().map(|id| request_head("GET", path, id) + "\r\n");
    let heads: Vec<String> = heads.collect();
    let (mut reader, mut writer) = stream.split();
    let sending = async {
        match order {
            Order::Together => writer.write_all(heads.concat().as_bytes()).await?,
            Order::Within => {
                for head in &heads {
                    writer.write_all(head.as_bytes()).await?;
                    sleep(Duration::from_millis(300)).await;
                }
            }
            Order::Halved => {
                let all = heads.concat();
                let (first, rest) = all.split_at(all.len() - 10);
                writer.write_all(first.as_bytes()).await?;
                sleep(Duration::from_millis(900)).await;
                writer.write_all(rest.as_bytes()).await?;
            }
        }
        std::io::Result::Ok(())
    };
    let mut received = Vec::new();
    let reading = async {
        while count_answers(&received) < ids.len() {
            match reader.read_buf(&mut received).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        // The rest of the last one.
        let rest = reader.read_to_end(&mut received);
        let _ = timeout(Duration::from_millis(1_500), rest).await;
    };
    // The connection may end before all is sent.
    let _ = timeout(LIMIT, futures_util::future::join(sending, reading)).await;
    String::from_utf8_lossy(&received).into_owned()
}

fn count_answers(received: &[u8]) -> usize {
    String::from_utf8_lossy(received)
        .matches("HTTP/1.1 ")
        .count()
}

// A request that was read behind another one was dropped with its connection: the relay had
// decided to close it before the first of them was answered.
#[test_case("/read/a", 2, Order::Together, Stop::Never; "together, no stop")]
#[test_case("/read/a", 2, Order::Together, SINCE; "together, a stop after")]
#[test_case("/read/a", 2, Order::Together, EARLY; "together, a stop before")]
#[test_case("/switch/a", 2, Order::Together, EARLY; "unsafe, together, a stop before")]
#[test_case("/read/a", 4, Order::Together, EARLY; "four together, a stop before")]
#[test_case("/read/a", 2, Order::Within, Stop::Never; "within, no stop")]
#[test_case("/read/a", 2, Order::Within, SINCE; "within, a stop after")]
#[test_case("/read/a", 2, Order::Within, EARLY; "within, a stop before")]
#[test_case("/switch/a", 2, Order::Within, EARLY; "unsafe, within, a stop before")]
#[test_case("/stream/a", 2, Order::Together, EARLY; "streams together, a stop before")]
#[test_case("/read/a", 2, Order::Halved, EARLY; "second one in two pieces, a stop before")]
#[actix_rt::test]
async fn request_behind_another_gets_no_answer(
    path: &'static str,
    requests: usize,
    order: Order,
    stop: Stop,
) {
    let mut world = world().await;
    if let Stop::Before(time) = stop {
        world.relay().terminate();
        sleep(time).await;
    }
    let begun = Instant::now();
    let addr = world.relay_address(7001);
    let ids = |client: usize| (0..requests).map(move |number| format!("req-{client}-{number}"));
    let clients = (0..CLIENTS).map(|client| {
        let (addr, ids) = (addr.clone(), ids(client).collect::<Vec<_>>());
        actix_rt::spawn(async move { send_all(addr, path, &ids, order).await })
    });
    let clients: Vec<_> = clients.collect();
    if let Stop::After(time) = stop {
        sleep_until(begun + time).await;
        world.relay().terminate();
    }
    for (client, received) in join_all(clients).await.into_iter().enumerate() {
        let received = received.expect("the client ends");
        let answers: Vec<&str> = received.split("HTTP/1.1 ").skip(1).collect();
        assert_eq!(answers.len(), requests, "client {client}: {received}");
        for (answer, id) in answers.iter().zip(ids(client)) {
            let is_refused = answer.starts_with("503 ") && answer.contains("retry-after: ");
            assert!(answer.starts_with("200 ") || is_refused, "{id}: {received}");
            assert!(answer.contains(&id), "{id}: {received}");
            let mut runs = 0;
            for upstream in 0..UPSTREAMS {
                runs += world.runs(upstream, &id).await.len();
            }
            assert_eq!(runs, usize::from(!is_refused), "{id}: {received}");
        }
    }
}
