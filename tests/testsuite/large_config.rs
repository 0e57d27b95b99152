//! Configurations whose bytes take a thin link longer than any call to the store may be
//! silent.

use std::time::Duration;

use actix_rt::time::{sleep, timeout};
use awc::http::{Method, StatusCode};
use serde_json::{Value, json};
use test_case::test_case;

use crate::support::Relay;
use crate::support::platform::{API_KEY, PlatformWorld, add_spare_routes, config};

/// Bytes a second of a thin host's link: 10 Mbit/s.
const LINK_PACE: u32 = 1_250_000;

/// Time after its acknowledgement within which a configuration is in force, beyond that
/// for which its bytes are under way: `config_apply_ms` of the platform.
const APPLY_LIMIT: Duration = Duration::from_secs(2);

/// Longest silence of a call on new connections.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);

/// Lengths of configurations in bytes: some 1,400 and 4,200 routes, and the longest that is
/// read.
const ONE: usize = 450_000;
const THREE: usize = 1_350_000;
const LONGEST: usize = 4 << 20;

/// A configuration with so many bytes of routes that nobody uses.
fn large(version: u64, bytes: usize) -> Value {
    let mut config = config(version, &[API_KEY]);
    add_spare_routes(&mut config, bytes);
    config
}

/// Bytes of a value in an answer of the store.
fn wire_bytes(value: &Value) -> u64 {
    (value.to_string().len() as u64).div_ceil(3) * 4
}

/// Time for which so many bytes are under way.
fn link_time(bytes: u64) -> Duration {
    Duration::from_secs_f64(bytes as f64 / f64::from(LINK_PACE))
}

async fn world(name: &str) -> (PlatformWorld, Relay) {
    let (mut world, hop) = PlatformWorld::start_behind_hop(name).await;
    world.put("op", "config", &config(5, &[API_KEY])).await;
    world.runner("app-1", "app", &[]).await;
    world.until_ready().await;
    hop.limit_pace(LINK_PACE);
    (world, hop)
}

/// Waits until a configuration is in force at the first relay, at most for `limit`.
async fn until_in_force(world: &PlatformWorld, version: u64, limit: Duration) {
    let waiting = timeout(limit, world.until_in_force(0, version)).await;
    assert!(waiting.is_ok(), "{version} is not in force after {limit:?}");
}

// The limit on silent connections held for the whole answer, and each try began anew.
#[test_case(ONE; "of one day")]
#[test_case(THREE; "of three")]
#[test_case(LONGEST; "of the longest")]
#[actix_rt::test]
async fn large_configuration_never_in_force_on_thin_link(bytes: usize) {
    let (world, hop) = world("large-config").await;
    let before = hop.passed();
    let written = large(6, bytes);
    let wire = wire_bytes(&written);
    world.put("op", "config", &written).await;
    until_in_force(&world, 6, link_time(wire) + APPLY_LIMIT).await;
    let read = hop.passed() - before;
    assert!(read < wire + wire / 5, "{read} bytes read of {wire}");
}

#[actix_rt::test]
async fn connection_that_falls_silent_within_large_configuration_is_kept() {
    let (world, hop) = world("large-silent").await;
    let written = large(6, THREE);
    let time = link_time(wire_bytes(&written));
    world.put("op", "config", &written).await;
    sleep(time / 2).await;
    hop.silence();
    until_in_force(&world, 6, time + ANSWER_TIMEOUT + APPLY_LIMIT / 2).await;
}

#[actix_rt::test]
async fn newer_configurations_during_read_are_never_in_force() {
    let (world, _hop) = world("large-newer").await;
    let time = link_time(wire_bytes(&large(6, THREE)));
    for version in 6..9 {
        world.put("op", "config", &large(version, THREE)).await;
        sleep(time / 3).await;
    }
    until_in_force(&world, 8, time * 2 + APPLY_LIMIT).await;
}

// The feed answers with each version, and together they were longer than any answer may be.
#[actix_rt::test]
async fn feed_of_many_large_configurations_is_never_read() {
    let (world, hop) = world("large-feed").await;
    let time = link_time(wire_bytes(&large(6, THREE)));
    hop.cut();
    for version in 6..16 {
        world.put("op", "config", &large(version, THREE)).await;
    }
    hop.mend();
    until_in_force(&world, 15, time * 2 + APPLY_LIMIT).await;
}

// A relay that others had told of a newer configuration said that its routes and keys are
// unknown.
#[test_case("/added/a", API_KEY; "for an added route")]
#[test_case("/read/a", "key-added"; "for an added key")]
#[actix_rt::test]
async fn relay_that_is_behind_refuses_for_good(path: &str, key: &str) {
    let mut world = PlatformWorld::start("large-behind").await;
    let hop = world.add_hop().await;
    world.start_relay();
    world.put("op", "config", &config(5, &[API_KEY])).await;
    world.runner("app-1", "app", &[]).await;
    world.until_ready().await;
    // By now the relays have read each other's addresses.
    sleep(Duration::from_secs(2)).await;
    hop.limit_pace(LINK_PACE / 100);
    let mut written = large(6, ONE);
    let mut added = written["routes"][0].clone();
    added["name"] = json!("added");
    added["prefix"] = json!("/added/");
    let routes = written["routes"].as_array_mut();
    routes.expect("there are routes").push(added);
    let keys = written["tenants"][0]["api_keys"].as_array_mut();
    keys.expect("there are keys").push(json!("key-added"));
    world.put("op", "config", &written).await;
    world.until_in_force(0, 6).await;
    world
        .until_relay_logged(1, "other gateways hold a newer configuration")
        .await;
    let request = world
        .request_at(1, Method::GET, path, "behind")
        .insert_header(("authorization", format!("Token {key}")));
    let reply = world.send(request, "").await;
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE, "{reply:?}");
    assert!(reply.retry_after.is_some(), "{reply:?}");
}
