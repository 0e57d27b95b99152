//! Clients of a soak, each of which reuses its connection until a request fails.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Method, RequestHead, Uri};
use actix_rt::time::{sleep, timeout};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::connection::{Answer, Connection};
use super::deployment::Deployment;
use super::history::{Exchange, RequestKind};
use crate::support::now_ms;

/// Time past a request's deadline after which its caller stops waiting.
const DEADLINE_MARGIN: Duration = Duration::from_millis(1_500);

/// Pause of a caller after a failed request, before it connects to the next relay.
const RELAY_SWITCH_DELAY: Duration = Duration::from_millis(50);

/// Exclusive upper bound of the pause between two requests of a caller.
const MAX_PAUSE_MS: u64 = 60;

/// Share of the requests that use a revoked key, once there is one.
const REVOKED_KEY_SHARE: f64 = 0.08;

/// Share of the requests whose body comes late while relays are stopped together, and the
/// longest pause before it.
const SLOW_SHARE: f64 = 0.2;
const MAX_UPLOAD_PAUSE_MS: u64 = 2_500;

/// Share of the reads that are sent together with another one.
const PAIRED_SHARE: f64 = 0.15;

/// Share of the requests that crash upstreams, while there are any.
const DEADLY_SHARE: f64 = 0.1;

/// Sends random requests one after another until `stopped` is set.
pub(crate) async fn send_requests(
    deployment: Rc<Deployment>,
    number: usize,
    stopped: Rc<Cell<bool>>,
) {
    let mut rng = StdRng::seed_from_u64(deployment.seed ^ (number as u64) << 32);
    let mut relay = number % deployment.sizes.relays;
    let mut connection = Connection::default();
    let mut count = 0;
    while !stopped.get() {
        count += 1;
        let kind = match rng.random_range(0..20) {
            0..8 => RequestKind::Read,
            8..13 => RequestKind::Switch,
            _ => RequestKind::Stream,
        };
        let kind = if deployment.sends_deadly.get() && rng.random_bool(DEADLY_SHARE) {
            deadly_kind(kind)
        } else {
            kind
        };
        let key = choose_key(&deployment, &mut rng);
        let id = format!("c{number}-{count}");
        let has_body = kind != RequestKind::Read;
        let is_slow = deployment.is_stopping.get() && has_body && rng.random_bool(SLOW_SHARE);
        let pause = if is_slow {
            Duration::from_millis(rng.random_range(0..MAX_UPLOAD_PAUSE_MS))
        } else {
            Duration::ZERO
        };
        let paired = (kind == RequestKind::Read && rng.random_bool(PAIRED_SHARE)).then(|| {
            count += 1;
            new_exchange(
                &deployment,
                relay,
                kind,
                key.clone(),
                format!("c{number}-{count}"),
            )
        });
        if let Some(paired) = &paired {
            connection.send_ahead(request_head(paired));
        }
        let to = (&mut connection, relay);
        let mut exchange = send_request(&deployment, to, kind, key.clone(), id, pause).await;
        if let Some(paired) = paired {
            deployment.history.borrow_mut().exchanges.push(exchange);
            let to = (&mut connection, relay);
            let sent = paired.sent;
            exchange = send_request(&deployment, to, kind, key, paired.id, pause).await;
            exchange.sent = sent;
            exchange.incarnation = paired.incarnation;
        }
        let is_served = exchange.complete && exchange.status.is_some_and(|status| status < 500);
        deployment.history.borrow_mut().exchanges.push(exchange);
        if !is_served {
            sleep(RELAY_SWITCH_DELAY).await;
            relay = (relay + 1) % deployment.sizes.relays;
            connection = Connection::default();
        }
        sleep(Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS))).await;
    }
}

fn deadly_kind(kind: RequestKind) -> RequestKind {
    match kind {
        RequestKind::Stream | RequestKind::DeadlyStream => RequestKind::DeadlyStream,
        _ => RequestKind::DeadlyRead,
    }
}

fn choose_key(deployment: &Deployment, rng: &mut StdRng) -> String {
    let revoked = deployment.last_revoked_key();
    if let Some(revoked) = revoked.filter(|_| rng.random_bool(REVOKED_KEY_SHARE)) {
        return revoked;
    }
    let keys = deployment.active_keys();
    keys[rng.random_range(0..keys.len())].clone()
}

/// Sends one request to a relay, its body after a pause, and returns its outcome.
pub(crate) async fn send_request(
    deployment: &Deployment,
    (connection, relay): (&mut Connection, usize),
    kind: RequestKind,
    key: String,
    id: String,
    pause: Duration,
) -> Exchange {
    let mut exchange = new_exchange(deployment, relay, kind, key, id);
    let limit = Duration::from_millis(kind.deadline_ms()) + DEADLINE_MARGIN + pause;
    let addr = deployment.client_addr(relay);
    let mut answer = Answer::default();
    let (head, body) = (request_head(&exchange), exchange.kind.body(&exchange.id));
    let sent = connection.send(&addr, head, (body.as_bytes(), pause), &mut answer);
    // After a timeout, `answer` holds what was received until then.
    let _result = timeout(limit, sent).await;
    exchange.sent = answer.sent_ms.unwrap_or(exchange.sent);
    exchange.status = answer.status;
    exchange.complete = answer.complete;
    exchange.body = answer.body;
    let echoed_id = answer.headers.get("x-carawayrun-request-id");
    exchange.echoed_id = echoed_id
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned);
    exchange.ended = now_ms();
    exchange
}

fn new_exchange(
    deployment: &Deployment,
    relay: usize,
    kind: RequestKind,
    key: String,
    id: String,
) -> Exchange {
    Exchange {
        id,
        kind,
        key,
        relay,
        incarnation: deployment.incarnation(relay),
        sent: now_ms(),
        ended: 0,
        status: None,
        complete: false,
        body: String::new(),
        echoed_id: None,
    }
}

fn request_head(exchange: &Exchange) -> RequestHead {
    let mut head = RequestHead::default();
    head.method = match exchange.kind {
        RequestKind::Read | RequestKind::DeadlyRead => Method::GET,
        RequestKind::Switch | RequestKind::Stream | RequestKind::DeadlyStream => Method::POST,
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
