//! Planned stops while answers take drawn times, as processes.

use std::rc::Rc;
use std::time::Duration;

use actix_rt::net::TcpStream;
use actix_rt::task::JoinHandle;
use futures_util::future::join_all;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde_json::json;
use test_case::test_case;
use tokio::io::AsyncWriteExt;
use tokio::time::{Instant, sleep_until};

use crate::support::now_ms;
use crate::support::paced::{EVENTS, Lengths, Runs, paced_path, serve_paced};
use crate::support::platform::{API_KEY, PlatformWorld, config};
use crate::support::raw::{RawAnswer, deadline_head, events, read_framed};

/// `grace_s` of the platform.
const GRACE_MS: u64 = 8_000;

/// Time after SIGTERM until which a request may be sent that is cut in the last sixth of the
/// grace period.
const EXCUSED_MS: u64 = 3_000;

/// Time after SIGTERM from which the balancer sends no clients while others are ready.
const LATE_MS: u64 = 2_600;

/// Time between two requests.
const INTERVAL_MS: u64 = 40;

/// Hosts of the upstreams of each service.
const STREAM_HOSTS: std::ops::Range<usize> = 60..66;
const PLAIN_HOSTS: std::ops::Range<usize> = 66..70;

/// Requests whose answers each relay has seen before it stops.
const EARLIER: usize = 24;

/// Longest drawn time of an answer, and the same before the stop.
const LONGEST_S: f64 = 5.0;
const EARLIER_LONGEST_S: f64 = 2.5;

/// `timeout_ms` of the routes, and the clients' usual time limit.
const TIMEOUT_MS: u64 = 6_000;
const DEADLINE_MS: u64 = 8_000;

/// The relay's clock and the log's round by a few milliseconds.
const ROUNDING_MS: u64 = 20;

const STREAM: &str = "/stream/";
const SAFE: &str = "/read/";
const UNSAFE: &str = "/switch/";

/// How a client sends a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Client {
    Fresh,
    /// On a connection that had an answer before the stop.
    Kept,
    /// Its last bytes come up to three seconds later.
    Slow,
}

#[derive(Debug, Clone, Copy)]
struct Case {
    seed: u64,
    lengths: Lengths,
    paths: &'static [&'static str],
    clients: &'static [Client],
    relays: usize,
    /// Number of relays that are stopped at once, the first ones.
    stopped: usize,
    /// Half of the requests have time limits of 0.4 to 1.5 s.
    has_short_limits: bool,
    is_resumable: bool,
    /// Confidence of the smaller model.
    confidence: u32,
    /// Time after SIGTERM until which clients send requests.
    sending_ms: u64,
    restarts: bool,
}

const CASE: Case = Case {
    seed: 5_301,
    lengths: Lengths::Exponential,
    paths: &[STREAM],
    clients: &[Client::Fresh],
    relays: 2,
    stopped: 1,
    has_short_limits: false,
    is_resumable: true,
    confidence: 95,
    sending_ms: 7_600,
    restarts: false,
};

/// One request and what became of it.
#[derive(Debug)]
struct Sent {
    id: String,
    path: String,
    relay: usize,
    client: Client,
    deadline_ms: u64,
    at: Instant,
    last: Instant,
    /// Time at which its last byte was sent, in milliseconds since the Unix epoch.
    whole_ms: u64,
    /// None where the port was closed.
    answer: Option<RawAnswer>,
}

impl Sent {
    fn head(&self, path: &str, id: &str) -> String {
        deadline_head("POST", path, id, self.deadline_ms) + "content-length: 4\r\n\r\nmo"
    }

    // An answer may be there also where a write fails.
    async fn send(mut self, addr: String) -> Self {
        let mut kept = None;
        if self.client == Client::Kept {
            let mut stream = TcpStream::connect(&addr).await.expect("the relay accepts");
            let path = paced_path(SAFE, Duration::from_millis(20));
            let first = self.head(&path, &format!("{}-first", self.id)) + "re";
            let _ = stream.write_all(first.as_bytes()).await;
            read_framed(&mut stream).await;
            kept = Some(stream);
        }
        sleep_until(self.at).await;
        let connected = match kept {
            Some(stream) => Ok(stream),
            None => TcpStream::connect(&addr).await,
        };
        let Ok(mut stream) = connected else {
            return self;
        };
        let begun = self.head(&self.path, &self.id);
        let _ = stream.write_all(begun.as_bytes()).await;
        sleep_until(self.last).await;
        let _ = stream.write_all(b"re").await;
        self.whole_ms = now_ms();
        self.answer = Some(read_framed(&mut stream).await);
        self
    }

    fn is_served(&self) -> bool {
        let mut answer = self.answer.iter();
        answer.any(|answer| answer.status == 200 && answer.is_whole)
    }
}

struct World {
    case: Case,
    platform: PlatformWorld,
    random: StdRng,
    runs: Runs,
}

impl World {
    async fn start(case: Case) -> Self {
        let platform = PlatformWorld::start_relays("drawn", case.relays).await;
        let mut wanted = config(5, &[API_KEY]);
        wanted["routes"][2]["stream_resume"] = json!(case.is_resumable);
        platform.put("op", "config", &wanted).await;
        let runs = Runs::default();
        for host in STREAM_HOSTS.chain(PLAIN_HOSTS) {
            let addr = platform.address(host);
            actix_rt::spawn(serve_paced(addr, case.confidence, Rc::clone(&runs)));
            let is_stream = STREAM_HOSTS.contains(&host);
            let service = if is_stream { "llm" } else { "app" };
            platform.register(&format!("u-{host}"), service, host).await;
        }
        let hosts = STREAM_HOSTS.len() + PLAIN_HOSTS.len();
        platform.until_all_known(hosts).await;
        let random = StdRng::seed_from_u64(case.seed);
        Self {
            case,
            platform,
            random,
            runs,
        }
    }

    fn draw(&mut self, number: usize, begun: Instant, after: Duration, is_early: bool) -> Sent {
        let (case, random) = (self.case, &mut self.random);
        let longest = if is_early {
            EARLIER_LONGEST_S
        } else {
            LONGEST_S
        };
        let work = case.lengths.draw(random, after.as_secs_f64(), longest);
        let prefix = case.paths.choose(random).expect("there are paths");
        let client = *case.clients.choose(random).expect("there are clients");
        let client = if is_early { Client::Fresh } else { client };
        let is_short = case.has_short_limits && !is_early && random.random_bool(0.5);
        let short_ms = random.random_range(400..1_500);
        let deadline_ms = if is_short { short_ms } else { DEADLINE_MS };
        let pause = random.random_range(0..3_000);
        let pause = if client == Client::Slow { pause } else { 0 };
        let name = if is_early { "before" } else { "drawn" };
        Sent {
            id: format!("{name}-{number}"),
            path: paced_path(prefix, work),
            relay: number % case.stopped,
            client,
            deadline_ms,
            at: begun + after,
            last: begun + after + Duration::from_millis(pause),
            whole_ms: 0,
            answer: None,
        }
    }

    fn spawn(&self, sent: Vec<Sent>) -> Vec<JoinHandle<Sent>> {
        let tasks = sent.into_iter().map(|sent| {
            let addr = self.platform.client_address(sent.relay);
            actix_rt::spawn(sent.send(addr))
        });
        tasks.collect()
    }

    async fn stop(&mut self, begun: Instant) {
        sleep_until(begun).await;
        for relay in 0..self.case.stopped {
            self.platform.relay_at(relay).terminate();
        }
        for relay in 0..self.case.stopped {
            self.platform.until_relay_ended(relay).await;
            assert_eq!(self.platform.relay_at(relay).exit_code(), Some(0));
            let ended = self.platform.logged_at(relay, "relay stopped");
            let took = ended - self.platform.logged_at(relay, "relay draining");
            assert!(took < GRACE_MS, "{took} ms");
            if self.case.restarts {
                self.platform.restart_relay(relay);
            }
        }
    }

    /// Time from a relay's drain to the moment at which it had read a request, by its log
    /// as the test may wait for a processor, and the time that it then took.
    fn times(&self, sent: &Sent) -> (u64, u64) {
        let draining = self.platform.logged_at(sent.relay, "relay draining");
        let record = self.platform.logged_request(sent.relay, &sent.id);
        let (read_ms, took_ms) = record.map_or((sent.whole_ms, 0), |record| {
            let took_ms = record.took.as_millis() as u64;
            (record.ended_ms - took_ms, took_ms)
        });
        (read_ms.saturating_sub(draining), took_ms)
    }

    /// Judges a request that a relay has accepted; returns what is wrong.
    fn judge(&self, sent: &Sent) -> Option<String> {
        let answer = sent.answer.as_ref()?;
        let runs = self.runs.borrow().get(&sent.id).copied().unwrap_or(0);
        let is_stream = sent.path.starts_with(STREAM);
        let events = events(1, EVENTS);
        let body = if is_stream { &events } else { "ok" };
        let is_answered = match answer.status {
            200 => answer.is_whole && answer.body == body && runs > 0,
            503 => {
                answer.is_whole
                    && runs == 0
                    && answer.head.contains("retry-after: ")
                    && answer.head.contains("connection: close")
            }
            // The relay closed the connection while the request was on its way.
            0 => sent.client == Client::Kept && runs == 0,
            _ => false,
        };
        let (read_ms, took_ms) = self.times(sent);
        let is_in_last_sixth = read_ms + took_ms >= GRACE_MS - GRACE_MS / 6;
        let limit_ms = sent.deadline_ms.min(TIMEOUT_MS);
        let is_excused =
            (read_ms <= EXCUSED_MS && is_in_last_sixth) || took_ms + ROUNDING_MS >= limit_ms;
        let is_right = is_answered || (is_excused && matches!(answer.status, 200 | 504));
        let is_repeatable = sent.path.starts_with(SAFE) || (is_stream && self.case.is_resumable);
        // The larger model's answer is a run of its own.
        let may_repeat = is_repeatable || self.case.confidence < 50;
        let (id, path, status) = (&sent.id, &sent.path, answer.status);
        (!is_right || (runs > 1 && !may_repeat)).then(|| {
            format!("{id} {path}: {status}, read at {read_ms} ms, took {took_ms} ms, {runs} runs")
        })
    }
}

async fn join(tasks: Vec<JoinHandle<Sent>>) -> Vec<Sent> {
    let joined = join_all(tasks).await.into_iter();
    joined
        .map(|sent| sent.expect("a client does not panic"))
        .collect()
}

/// Stops relays while clients send, and returns what became of all requests, with the times
/// from the drain to their reading.
async fn stop_beside(case: Case) -> Vec<(u64, Sent)> {
    let mut world = World::start(case).await;
    let now = Instant::now();
    let numbers = 0..EARLIER * case.stopped;
    let earlier = numbers.map(|number| world.draw(number, now, Duration::ZERO, true));
    let earlier = earlier.collect();
    let earlier = join(world.spawn(earlier)).await;
    let known = earlier.iter().filter(|sent| sent.is_served());
    assert!(known.count() * 2 > earlier.len());
    // Kept connections have their first answers by then.
    let begun = Instant::now() + Duration::from_millis(500);
    let drawn = (0..case.sending_ms / INTERVAL_MS).map(|number| {
        let after = Duration::from_millis(number * INTERVAL_MS);
        world.draw(number as usize, begun, after, false)
    });
    let drawn = drawn.collect();
    let tasks = world.spawn(drawn);
    world.stop(begun).await;
    let sent = join(tasks).await;
    let wrong = sent.iter().filter_map(|sent| world.judge(sent));
    let wrong: Vec<String> = wrong.collect();
    assert!(
        wrong.is_empty(),
        "{} of {}: {wrong:#?}",
        wrong.len(),
        sent.len()
    );
    let timed = sent.into_iter().map(|sent| (world.times(&sent).0, sent));
    timed.collect()
}

fn count(sent: &[(u64, Sent)], is_counted: impl Fn(u64, &Sent) -> bool) -> usize {
    let counted = sent
        .iter()
        .filter(|(read_ms, sent)| is_counted(*read_ms, sent));
    counted.count()
}

// It was expected to end in time by its route's mean, and did not.
#[actix_rt::test]
async fn stream_taken_late_is_cut() {
    let sent = stop_beside(CASE).await;
    let served = count(&sent, |_, sent| sent.is_served());
    let refused = count(&sent, |_, sent| {
        let mut answer = sent.answer.iter();
        answer.any(|answer| answer.status == 503)
    });
    assert!(served > 20 && refused > 20, "{served} and {refused}");
}

const ALL: &[&str] = &[STREAM, SAFE, UNSAFE];
const CLIENTS: &[Client] = &[Client::Fresh, Client::Kept, Client::Slow];

// As above, by other distributions, kinds of requests, clients and numbers of relays.
#[test_case(Case { lengths: Lengths::Lognormal, is_resumable: false, ..CASE }; "streams that may not be resumed")]
#[test_case(Case { lengths: Lengths::TwoKinds, paths: ALL, ..CASE }; "two kinds of times")]
#[test_case(Case { lengths: Lengths::Growing, clients: CLIENTS, relays: 3, stopped: 2, ..CASE }; "two of three relays")]
#[test_case(Case { paths: &[SAFE, UNSAFE], clients: CLIENTS, ..CASE }; "plain requests")]
#[test_case(Case { lengths: Lengths::Lognormal, paths: ALL, clients: CLIENTS, stopped: 2, ..CASE }; "all relays")]
#[test_case(Case { confidence: 10, ..CASE }; "larger model")]
#[actix_rt::test]
async fn request_taken_late_is_cut(case: Case) {
    let sent = stop_beside(case).await;
    let served = count(&sent, |_, sent| sent.is_served());
    assert!(served > 10, "{served}");
}

// All that came late was refused.
#[test_case(Case { clients: CLIENTS, has_short_limits: true, ..CASE }; "streams")]
#[test_case(Case { paths: &[UNSAFE], clients: CLIENTS, has_short_limits: true, ..CASE }; "unsafe")]
#[actix_rt::test]
async fn request_certain_to_end_is_refused_in_a_drain(case: Case) {
    let sent = stop_beside(case).await;
    let served = count(&sent, |read_ms, sent| {
        sent.deadline_ms < DEADLINE_MS && read_ms > LATE_MS && sent.is_served()
    });
    assert!(served > 5, "{served}");
}

// An upstream that had been silent for 3 s was given up, with no time for another attempt.
#[test_case(Case { lengths: Lengths::Even, paths: &[SAFE], ..CASE }; "taken early")]
#[actix_rt::test]
async fn silence_ends_a_safe_request_in_a_drain(case: Case) {
    let sent = stop_beside(case).await;
    let served = count(&sent, |_, sent| sent.is_served());
    assert!(served > 10, "{served}");
}

// The process that follows at the same address serves again.
#[test_case(Case { paths: ALL, clients: CLIENTS, sending_ms: 10_600, restarts: true, ..CASE }; "all kinds")]
#[actix_rt::test]
async fn restart_after_a_drain_loses_requests(case: Case) {
    let sent = stop_beside(case).await;
    let served = count(&sent, |read_ms, sent| {
        read_ms > GRACE_MS && sent.is_served()
    });
    assert!(served > 5, "{served}");
}
