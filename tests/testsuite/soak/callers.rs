//! Callers of a soak: each keeps its connection until it fails.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Method, RequestHead, Uri};
use actix_rt::time::{sleep, timeout};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::check::body;
use super::connection::{Answer, Connection};
use super::history::{Exchange, Kind, now_ms};
use super::world::World;

/// Time past its deadline after which a caller gives a request up.
const GIVES_UP: Duration = Duration::from_millis(1_500);

/// Pause of a caller before it goes to another relay.
const MOVES: Duration = Duration::from_millis(50);

/// Longest pause between two requests of a caller.
const PAUSE_MS: u64 = 60;

/// Share of requests with a key that was withdrawn.
const OLD_KEY: f64 = 0.08;

/// Sends requests until `stopped`.
pub(crate) async fn call(world: Rc<World>, number: usize, stopped: Rc<Cell<bool>>) {
    let mut rng = StdRng::seed_from_u64(world.seed ^ (number as u64) << 32);
    let mut relay = number % world.sizes.relays;
    let mut connection = Connection::default();
    let mut count = 0;
    while !stopped.get() {
        count += 1;
        let kind = match rng.random_range(0..20) {
            0..8 => Kind::Read,
            8..13 => Kind::Switch,
            _ => Kind::Stream,
        };
        let key = key(&world, &mut rng);
        let id = format!("c{number}-{count}");
        let exchange = exchange(&world, &mut connection, relay, kind, key, id).await;
        let is_served = exchange.whole && exchange.status.is_some_and(|status| status < 500);
        world.history.borrow_mut().exchanges.push(exchange);
        if !is_served {
            sleep(MOVES).await;
            relay = (relay + 1) % world.sizes.relays;
            connection = Connection::default();
        }
        sleep(Duration::from_millis(rng.random_range(0..PAUSE_MS))).await;
    }
}

fn key(world: &World, rng: &mut StdRng) -> String {
    let old = world.withdrawn_key();
    if let Some(old) = old.filter(|_| rng.random_bool(OLD_KEY)) {
        return old;
    }
    let keys = world.keys();
    keys[rng.random_range(0..keys.len())].clone()
}

/// Sends one request, and takes down what came of it.
pub(crate) async fn exchange(
    world: &World,
    connection: &mut Connection,
    relay: usize,
    kind: Kind,
    key: String,
    id: String,
) -> Exchange {
    let mut exchange = Exchange {
        id,
        kind,
        key,
        relay,
        life: world.life(relay),
        sent: now_ms(),
        ended: 0,
        status: None,
        whole: false,
        body: String::new(),
        echoed: None,
    };
    let limit = Duration::from_millis(kind.deadline_ms()) + GIVES_UP;
    let addr = world.client_addr(relay);
    let mut answer = Answer::default();
    let (head, body) = (head(&exchange), body(&exchange.id));
    let sent = connection.send(&addr, head, body.as_bytes(), &mut answer);
    // What was received until then stays in the answer.
    let _in_time = timeout(limit, sent).await;
    exchange.status = answer.status;
    exchange.whole = answer.whole;
    exchange.body = answer.body;
    let echoed = answer.headers.get("x-carawayrun-request-id");
    exchange.echoed = echoed
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned);
    exchange.ended = now_ms();
    exchange
}

fn head(exchange: &Exchange) -> RequestHead {
    let mut head = RequestHead::default();
    head.method = match exchange.kind {
        Kind::Read => Method::GET,
        Kind::Switch | Kind::Stream => Method::POST,
    };
    head.uri = Uri::from_static(exchange.kind.path());
    let deadline = exchange.kind.deadline_ms().to_string();
    let key = format!("Token {}", exchange.key);
    let headers = [
        ("host", "shop.example"),
        ("x-carawayrun-request-id", &exchange.id),
        ("x-carawayrun-deadline-ms", &deadline),
        ("x-carawayrun-hold", "forged"),
        ("authorization", &key),
    ];
    for (name, value) in headers {
        let value = HeaderValue::from_str(value).expect("headers of the soak are text");
        head.headers.insert(HeaderName::from_static(name), value);
    }
    head
}
