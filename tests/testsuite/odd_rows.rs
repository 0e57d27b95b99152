//! Rows of the store that other writers left and that are none.

use awc::http::{Method, StatusCode};
use serde_json::{Value, json};
use test_case::test_case;

use crate::support::platform::{API_KEY, PlatformWorld, config};

const RELAYS: usize = 2;

/// Depth of the nested values, which a parser that recurses can't bear.
const DEPTH: usize = 10_000;

/// Tables that relays read, with a key that each takes for its own.
const TABLES: [(&str, &str); 4] = [
    ("servers", "odd"),
    ("op", "rollout/odd"),
    ("rollouts", "odd"),
    ("gateways", "odd"),
];

/// When the rows are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Moment {
    /// Before the relays start.
    Start,
    /// While they follow the store.
    Running,
    /// Right before the store is restored from a copy that has them too.
    Restore,
}

/// A row of each table with a number in place of all of its numbers.
fn numbered_rows(number: &str) -> [String; 4] {
    [
        format!(
            r#"{{"service":"app","address":"127.0.0.1:9","zone":"a","version":"v9","batch_slots":{number},
            "state":"draining","warmup_left_ms":{number},"sequence":{number},"born":{number}}}"#
        ),
        format!(r#"{{"service":"app","to":"v9","duration_s":{number}}}"#),
        format!(
            r#"{{"service":"odd","to":"v9","order":{number},"startedMs":{number},"phase":"spread",
            "share":{number},"steppedMs":{number}}}"#
        ),
        format!(r#"{{"address":"127.0.0.1:9","writtenMs":{number}}}"#),
    ]
}

/// Writes all odd rows, each under a key of its own.
async fn write_odd_rows(world: &PlatformWorld) {
    let mut odd: Vec<Vec<u8>> = vec![
        ("[".repeat(3 * DEPTH) + &"]".repeat(3 * DEPTH)).into(),
        (r#"{"a":"#.repeat(DEPTH) + "0" + &"}".repeat(DEPTH)).into(),
        br#"{"service":"app","address":"127.0.0.1:70000","zone":"a","version":"v1","batch_slots":8,"state":"ready"}"#.into(),
        vec![0xff, 0xfe, b'"'],
        Vec::new(),
        b"null".into(),
        b"[]".into(),
    ];
    for number in ["1e400", "1e300", "-1", "4294967296", "18446744073709551616"] {
        odd.extend(numbered_rows(number).map(String::into_bytes));
    }
    for (table, key) in TABLES {
        for (number, value) in odd.iter().enumerate() {
            let key = format!("{key}-{number}");
            world.put_bytes(table, &key, value.clone()).await;
        }
    }
    // Numbers that fit their fields.
    for number in [u64::from(u32::MAX), u64::MAX] {
        let rows = numbered_rows(&number.to_string());
        for ((table, key), row) in TABLES.iter().zip(rows) {
            let key = format!("{key}-{number}");
            world.put_bytes(table, &key, row.into_bytes()).await;
        }
    }
}

fn extreme_config(version: u64) -> Value {
    let mut config = config(version, &[API_KEY]);
    for name in ["timeout_ms", "objective_ms"] {
        config["routes"][0][name] = json!(1e300);
    }
    for name in ["header_timeout_ms", "idle_timeout_ms"] {
        config["limits"][name] = json!(1e300);
    }
    config["routes"][1]["service"] = Value::Null;
    config["routes"][1]["backends"] =
        json!([{"service": "app", "weight": 1e300}, {"service": "app", "weight": 4e9}]);
    config
}

async fn assert_served(world: &PlatformWorld, name: &str) {
    for relay in 0..RELAYS {
        for (method, path) in [(Method::GET, "/read/a"), (Method::POST, "/switch/a")] {
            let id = format!("{name}-{path}-{relay}").replace('/', "");
            let request = world.request_at(relay, method, path, &id);
            let reply = world.send(request, "").await;
            assert_eq!(reply.status, StatusCode::OK, "{id}");
        }
    }
}

// A number too large for a time ended the thread that follows the store.
#[test_case(Moment::Start; "at the start")]
#[test_case(Moment::Running; "while it runs")]
#[test_case(Moment::Restore; "beside a restore")]
#[actix_rt::test]
async fn odd_row_ends_thread_that_follows_store(moment: Moment) {
    let mut world = PlatformWorld::start_store("odd-rows").await;
    world.put("op", "config", &config(5, &[API_KEY])).await;
    if moment == Moment::Start {
        write_odd_rows(&world).await;
    }
    for _ in 0..RELAYS {
        world.start_relay();
    }
    world.runner("app-1", "app", &[]).await;
    for relay in 0..RELAYS {
        world.until_relay_logged(relay, "app-1").await;
        world
            .until(async |world| world.is_relay_ready(relay).await)
            .await;
    }
    if moment != Moment::Start {
        write_odd_rows(&world).await;
    }
    if moment == Moment::Restore {
        world.post_store("/restore?age_ms=0").await;
    }
    assert_served(&world, "odd").await;
    world.runner("app-2", "app", &[]).await;
    world.put("op", "config", &extreme_config(6)).await;
    for relay in 0..RELAYS {
        world.until_relay_logged(relay, "app-2").await;
        world.until_in_force(relay, 6).await;
    }
    assert_served(&world, "extreme").await;
    world.put("op", "config", &config(7, &[API_KEY])).await;
    for relay in 0..RELAYS {
        world.until_in_force(relay, 7).await;
    }
    assert_served(&world, "after").await;
}

// The line came with each read of all rows.
#[actix_rt::test]
async fn invalid_row_is_logged_with_each_read() {
    let mut world = PlatformWorld::start_store("odd-lines").await;
    world.put("op", "config", &config(5, &[API_KEY])).await;
    world.put("servers", "no-registration", &json!([])).await;
    world.put_bytes("servers", "no-json", b"{".into()).await;
    world.put("op", "rollout/no-order", &json!([])).await;
    world.start_relay();
    world.runner("app-1", "app", &[]).await;
    world.until_ready().await;
    for number in 0..3 {
        world.post_store("/drop-history").await;
        let id = format!("app-{}", number + 2);
        world.runner(&id, "app", &[]).await;
        world.until_ready().await;
    }
    for (name, text) in [
        ("no-registration", "registration is invalid; ignored"),
        ("no-json", "store row is not valid JSON; ignored"),
        ("no-order", "roll-out order is invalid; ignored"),
    ] {
        assert_eq!(world.count_logged(0, &[name, text]), 1, "{name}");
    }
    world.put("servers", "no-registration", &json!([1])).await;
    world
        .until(async |world| world.count_logged(0, &["no-registration", "ignored"]) == 2)
        .await;
}
