//! Changed settings and configurations beside requests that are under way.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::sleep;
use futures_util::future::join_all;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use test_case::test_case;

use crate::support::lengths::{KeptClient, Runs, Sent, draw_ms, start_upstream};
use crate::support::platform::{API_KEY, PlatformWorld, config};

/// Longest answer: below all timeouts of the routes, and below the silence after which
/// a request is sent to another upstream.
const MAX_MS: u64 = 2_400;

/// Changes to configurations, each together with a SIGHUP, and one after the other.
const CHANGES: u64 = 12;

/// Route that some configurations do not have.
const REMOVED: &str = "/stream-extra/";

fn route(name: &str, prefix: &str, kind: &str, service: &str) -> Value {
    let mut route = config(0, &[])["routes"][0].clone();
    for (field, value) in [
        ("name", name),
        ("prefix", prefix),
        ("route_type", kind),
        ("service", service),
    ] {
        route[field] = json!(value);
    }
    route
}

/// A configuration that differs from the one before in timeouts, services, limits, a
/// route and a service that only this route uses.
fn changed(version: u64, rng: &mut StdRng) -> Value {
    let mut config = config(version, &[API_KEY]);
    let service = |name: &str| {
        json!({"name": name, "health_path": "/health",
               "max_connections": 100 + version % 3})
    };
    let services = config["services"]
        .as_array_mut()
        .expect("there are services");
    services[0] = service("app");
    services[1]["max_connections"] = json!(100);
    services.push(service("other"));
    let routes = config["routes"].as_array_mut().expect("there are routes");
    for route in &mut *routes {
        route["timeout_ms"] = json!(rng.random_range(MAX_MS + 2_000..9_000));
        route["stream_resume"] = json!(rng.random::<bool>());
        route["priority"] = json!(rng.random_range(0..3));
    }
    routes[0]["service"] = json!(["app", "other"][rng.random_range(0..2)]);
    routes[1]["service"] = json!(["app", "other"][rng.random_range(0..2)]);
    if version % 2 == 1 {
        routes.push(route("extra", REMOVED, "streaming", "extra"));
        config["services"]
            .as_array_mut()
            .expect("there are services")
            .push(service("extra"));
    }
    config["limits"]["idle_timeout_ms"] = json!(rng.random_range(400..20_000));
    config["limits"]["header_timeout_ms"] = json!(rng.random_range(1_000..4_000));
    config
}

async fn client(
    addr: String,
    seed: u64,
    number: u64,
    keeps: bool,
    is_running: Rc<Cell<bool>>,
) -> Vec<Sent> {
    let mut rng = StdRng::seed_from_u64(seed * 1_000 + number);
    let mut kept = KeptClient::new(addr.clone());
    let mut sent = Vec::new();
    for turn in 0.. {
        if !is_running.get() {
            break;
        }
        if !keeps {
            kept = KeptClient::new(addr.clone());
        }
        let prefix = ["/read/", "/switch/", "/stream/", REMOVED][rng.random_range(0..4)];
        let path = format!("{prefix}{}", draw_ms(&mut rng, 500.0, MAX_MS));
        let id = format!("hup-{number}-{turn}");
        let request = kept.send("POST", &path, &id).await;
        sent.push(request.expect("the port is open"));
        sleep(Duration::from_millis(rng.random_range(0..60))).await;
    }
    sent
}

fn is_right(sent: &Sent, runs: &Runs) -> bool {
    let runs = runs.borrow().get(&sent.id).copied().unwrap_or(0);
    let answer = &sent.answer;
    match answer.status {
        200 => answer.is_whole && (runs == 1 || sent.path.starts_with("/read/")),
        404 => answer.is_whole && runs == 0 && sent.path.starts_with(REMOVED),
        // The relay's close crossed the request.
        0 => runs == 0,
        _ => false,
    }
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[actix_rt::test]
async fn request_is_cut_by_changed_settings_or_configuration(seed: u64) {
    let runs = Runs::default();
    let mut world = PlatformWorld::start("reloaded").await;
    let mut rng = StdRng::seed_from_u64(seed);
    world.put("op", "config", &changed(5, &mut rng)).await;
    let services = ["app", "other", "llm", "extra"].into_iter().cycle();
    for (host, service) in (60..68).zip(services) {
        start_upstream(&world, service, host, &runs).await;
    }
    world.until_known(8).await;
    let is_running = Rc::new(Cell::new(true));
    let clients = (0..32).map(|number| {
        let addr = world.relay_address(7001);
        let is_running = Rc::clone(&is_running);
        let client = client(addr, seed, number, number % 2 == 0, is_running);
        actix_rt::spawn(client)
    });
    let clients: Vec<_> = clients.collect();
    for number in 1..=CHANGES {
        sleep(Duration::from_millis(rng.random_range(100..700))).await;
        match number % 4 {
            0 => world.change_settings("grace_s = 9", "grace_s = "),
            1 => world.change_settings("grace_s = 8", "grace_s = 9"),
            2 => world.change_settings("contact_ms = 3000", "contact_ms = 3000\nnew = 1"),
            _ => world.change_settings("session_s = 5", "session_s = 5\nnewer = 1"),
        }
        if number % 4 == 0 {
            // A file that can't be read changes nothing.
            world.relay().hang_up();
            sleep(Duration::from_millis(100)).await;
            world.change_settings("grace_s = \n", "grace_s = 8\n");
            world.change_settings("\nnew = 1", "");
            world.change_settings("\nnewer = 1", "");
        }
        world.relay().hang_up();
        let version = 5 + number;
        world.put("op", "config", &changed(version, &mut rng)).await;
        world.until_in_force(0, version).await;
    }
    is_running.set(false);
    let sent = join_all(clients).await.into_iter();
    let sent: Vec<Sent> = sent
        .flat_map(|sent| sent.expect("a client does not panic"))
        .collect();
    let wrong: Vec<&Sent> = sent.iter().filter(|sent| !is_right(sent, &runs)).collect();
    assert!(
        wrong.is_empty(),
        "{} of {}: {wrong:#?}",
        wrong.len(),
        sent.len()
    );
    let count = |status| {
        let answers = sent.iter().filter(|sent| sent.answer.status == status);
        answers.count()
    };
    let (served, unknown) = (count(200), count(404));
    println!(
        "seed {seed}: {served} served, {unknown} on the removed route, {} unread",
        count(0)
    );
    assert!(served > 100 && unknown > 0, "{served} and {unknown}");
    assert!(world.has_logged("settings changed"));
    assert_eq!(world.relay().exit_code(), None);
}
