//! The resources of a test world.

use serde_json::{Value, json};
use sha2::{Digest, Sha256};

use super::world::Slot;

/// Keys of the two teams of every world.
pub(crate) const LUZCENA_KEY: &str = "key-luzcena";
pub(crate) const ASSOCIATION_KEY: &str = "key-association";

/// Two teams, two services, two versions and an upstream for each slot.
pub(super) fn of(slots: &[Slot]) -> Value {
    let all = [
        services(),
        versions(),
        teams(),
        slots.iter().map(upstream).collect(),
    ];
    Value::from(all.concat())
}

fn services() -> Vec<Value> {
    let scene = json!({
        "backend": "engine",
        "tasks": [
            {"name": "plan", "class": "interactive", "quality": 0.5, "latencyMs": 60000},
            {"name": "tweak", "class": "normal", "quality": 0.5, "latencyMs": 60000, "cascade": true},
        ],
    });
    let home = json!({
        "backend": "plain",
        "routes": [
            {"method": "GET", "path": "/status", "idempotent": true, "class": "interactive", "priceMicros": 1},
            {"method": "POST", "path": "/switch", "idempotent": false, "class": "interactive", "priceMicros": 5},
        ],
    });
    vec![
        resource("Service", "scene", &scene),
        resource("Service", "home", &home),
    ]
}

fn versions() -> Vec<Value> {
    vec![version("scene-v1", 100), version("scene-v2", 400)]
}

fn teams() -> Vec<Value> {
    vec![
        team("luzcena", LUZCENA_KEY, &["scene-v1", "scene-v2"]),
        team("association", ASSOCIATION_KEY, &["scene-v1"]),
    ]
}

fn upstream(slot: &Slot) -> Value {
    let spec = json!({
        "service": slot.service,
        "dataCentre": slot.data_centre(),
        "slots": 8,
        "versions": versions_of(slot),
    });
    resource("Upstream", &slot.upstream, &spec)
}

/// Versions that the upstream of a slot should have loaded.
pub(super) fn versions_of(slot: &Slot) -> &'static [&'static str] {
    if slot.service == "scene" {
        &["scene-v1", "scene-v2"]
    } else {
        &[]
    }
}

/// A resource as the API takes it.
pub(crate) fn resource(kind: &str, name: &str, spec: &Value) -> Value {
    json!({"apiVersion": "carawayrun/v1", "kind": kind, "metadata": {"name": name}, "spec": spec})
}

fn version(name: &str, price: u64) -> Value {
    resource(
        "Version",
        name,
        &json!({
            "model": "scene",
            "service": "scene",
            "price": {"prompt": price, "cached": price / 10, "completion": 3 * price},
            "quality": {"plan": 0.9, "tweak": 0.9},
            "latencyMs": 50,
        }),
    )
}

fn team(name: &str, key: &str, versions: &[&str]) -> Value {
    resource(
        "Team",
        name,
        &json!({
            "keyDigests": [digest(key)],
            "versions": versions,
            "services": ["home"],
            "limits": {"rate": 10000.0, "burst": 10000.0, "concurrency": 1000},
        }),
    )
}

/// SHA-256 digest of a key, as manifests carry it.
pub(super) fn digest(key: &str) -> String {
    let bytes = Sha256::digest(key);
    bytes
        .iter()
        .fold(String::new(), |text, byte| text + &format!("{byte:02x}"))
}
