//! Configurations that can be read in part only, or not at all, and rows that are none.

use std::time::Duration;

use actix_rt::time::{Instant, sleep};
use awc::http::{Method, StatusCode};
use serde_json::json;
use test_case::test_case;

use crate::support::platform::{API_KEY, PlatformWorld, config};

/// Key that the second configuration takes away.
const TAKEN_KEY: &str = "key-two";

/// Time after which a key that was taken away must be refused: `revoke_ms` of the worlds.
const REVOCATION_LIMIT: Duration = Duration::from_secs(5);

/// Stands for the text that a case puts into a configuration.
const PLACE: &str = "place of the case";

/// A configuration that takes a key away and moves the route `read`, with `text` in place of
/// the value at `path`.
fn next_config(path: &str, text: &str) -> Vec<u8> {
    let mut config = config(9, &[API_KEY]);
    config["routes"][0]["service"] = json!("next");
    let services = config["services"].as_array_mut();
    services
        .expect("there are services")
        .push(json!({"name": "next", "health_path": "/health"}));
    *config.pointer_mut(path).expect("the field is there") = json!(PLACE);
    let place = format!("\"{PLACE}\"");
    config.to_string().replace(&place, text).into_bytes()
}

async fn start(name: &str) -> PlatformWorld {
    let mut world = PlatformWorld::start(name).await;
    let first = config(5, &[API_KEY, TAKEN_KEY]);
    world.put("op", "config", &first).await;
    world.runner("app-1", "app", &[]).await;
    world.runner("next-1", "next", &[]).await;
    world.until_ready().await;
    world.until_known(2).await;
    assert_eq!(
        ask(&world, "first", "/read/a", TAKEN_KEY).await,
        StatusCode::OK
    );
    world
}

async fn ask(world: &PlatformWorld, id: &str, path: &str, key: &str) -> StatusCode {
    let request = world.request(Method::GET, path, id);
    let request = request.insert_header(("authorization", format!("Token {key}")));
    world.send(request, "").await.status
}

// A key that was taken away ran for good, and the old service went on, where any field of
// the configuration was not as expected.
#[test_case("/routes/2/priority", "1000", StatusCode::NOT_FOUND; "a rank beyond 255")]
#[test_case("/tenants/0/priority", "3.0", StatusCode::NOT_FOUND; "a rank with a fraction of zero")]
#[test_case("/limits/max_body_bytes", "1e300", StatusCode::NOT_FOUND; "a limit beyond all memory")]
#[test_case("/version", "9.0", StatusCode::NOT_FOUND; "a version with a fraction of zero")]
#[test_case("/routes/2/max_attempts", "null", StatusCode::NOT_FOUND; "no number of attempts")]
#[test_case("/routes/1/service", "\"nobody\"", StatusCode::NOT_FOUND; "a service that is not there")]
#[test_case("/routes/1", "{\"name\":\"switch\"}", StatusCode::SERVICE_UNAVAILABLE; "a route without a place")]
#[test_case("/limits", "[]", StatusCode::NOT_FOUND; "limits of another type")]
#[actix_rt::test]
async fn withdrawn_key_runs_beside_odd_field(path: &str, text: &str, elsewhere: StatusCode) {
    let world = start("odd-field").await;
    world
        .put_bytes("op", "config", next_config(path, text))
        .await;
    world.until_in_force(0, 9).await;
    let taken = ask(&world, "taken", "/read/a", TAKEN_KEY).await;
    assert_eq!(taken, StatusCode::UNAUTHORIZED);
    assert_eq!(
        ask(&world, "kept", "/read/a", API_KEY).await,
        StatusCode::OK
    );
    assert_eq!(
        world.runs(1, "kept").await.len(),
        1,
        "the new service runs it"
    );
    // What names no route is known not to be there only if all routes are known.
    assert_eq!(ask(&world, "none", "/none/", API_KEY).await, elsewhere);
    if path.starts_with("/routes/1") {
        let unusable = ask(&world, "unusable", "/switch/a", API_KEY).await;
        assert_eq!(unusable, StatusCode::SERVICE_UNAVAILABLE);
        assert!(world.has_logged("entry of the configuration can't be used"));
    }
    assert!(world.is_ready().await);
}

// The keys of the configuration before ran for good where the newest one can't be read.
#[test_case(&json!(null).to_string(); "nothing")]
#[test_case("{\"version\": 9"; "no JSON")]
#[test_case(&json!({"version": "nine", "routes": [], "services": []}).to_string(); "no version")]
#[actix_rt::test]
async fn key_runs_while_configuration_is_unreadable(text: &str) {
    let world = start("odd-whole").await;
    world.put_bytes("op", "config", text.into()).await;
    let since = Instant::now();
    sleep(REVOCATION_LIMIT).await;
    for (id, key) in [("taken", TAKEN_KEY), ("kept", API_KEY)] {
        let status = ask(&world, id, "/read/a", key).await;
        assert_eq!(
            status,
            StatusCode::SERVICE_UNAVAILABLE,
            "after {:?}",
            since.elapsed()
        );
    }
    assert!(!world.is_ready().await);
    assert!(world.has_logged("configuration can't be read"));
    assert!(
        world
            .metrics()
            .await
            .contains("carawayrun_unreadable_config 1\n")
    );
    let mended = config(11, &[API_KEY]);
    world.put("op", "config", &mended).await;
    world.until_in_force(0, 11).await;
    world.until_ready().await;
    assert_eq!(
        ask(&world, "back", "/read/a", API_KEY).await,
        StatusCode::OK
    );
    let taken = ask(&world, "gone", "/read/a", TAKEN_KEY).await;
    assert_eq!(taken, StatusCode::UNAUTHORIZED);
}

// A row of another part of its table was taken for the configuration, and its removal for
// that of an upstream.
#[actix_rt::test]
async fn row_of_another_part_is_taken_for_own() {
    let world = start("odd-part").await;
    world
        .put("op", "config?part=other", &config(9, &[API_KEY]))
        .await;
    let order = json!({"service": "app", "to": "v9", "duration_s": 9});
    world.put("op", "rollout/app?part=other", &order).await;
    world.put("op", "evacuate/a?part=other", &json!({})).await;
    let registration = world.registration("app", 70);
    world
        .put("servers", "app-2?part=other", &registration)
        .await;
    world.remove("servers", "app-1?part=other").await;
    world.remove("op", "config?part=other").await;
    // The feed passes its changes on in order.
    world
        .put("op", "config", &config(6, &[API_KEY, TAKEN_KEY]))
        .await;
    world
        .put("servers", "last", &world.registration("next", 71))
        .await;
    world.until_in_force(0, 6).await;
    world.until_known(3).await;
    assert_eq!(
        ask(&world, "own", "/read/a", TAKEN_KEY).await,
        StatusCode::OK
    );
    assert!(!world.has_logged("app-2") && !world.has_logged("roll-out ordered"));
    assert!(
        world
            .metrics()
            .await
            .contains("carawayrun_evacuated_data_centres 0\n")
    );
}
