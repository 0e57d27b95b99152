//! Tests of configurations in all the forms that their format allows, and beyond.

use proptest::prelude::*;
use proptest::sample::select;
use serde_json::value::RawValue;
use serde_json::{Value, json};
use test_case::test_case;

use super::parse_catalog;
use crate::relay::catalog::{Catalog, Limits};
use crate::store::table::Row;

/// Stands for the text that a case puts into a configuration.
const PLACE: &str = "place of the case";

/// Forms that numbers have in JSON, whatever types read them.
const NUMBERS: [&str; 12] = [
    "0",
    "1",
    "8.0",
    "8e0",
    "0.25",
    "255",
    "256",
    "70000",
    "4294967296",
    "18446744073709551616",
    "1e300",
    "1e400",
];

/// What may stand in place of any value.
const OTHERS: [&str; 7] = ["\"odd\"", "[]", "{}", "true", "null", "-1", "[[[[0]]]]"];

/// Numbers of the configuration, with those that may be left out.
const NUMBER_FIELDS: [(&str, bool); 13] = [
    ("/routes/0/timeout_ms", false),
    ("/routes/0/objective_ms", true),
    ("/routes/0/priority", true),
    ("/routes/0/max_attempts", true),
    ("/routes/1/backends/0/weight", false),
    ("/services/0/warmup_per_s", true),
    ("/services/0/engine/kv_capacity", true),
    ("/limits/max_header_bytes", false),
    ("/limits/max_body_bytes", false),
    ("/limits/header_timeout_ms", false),
    ("/limits/idle_timeout_ms", false),
    ("/tenants/0/priority", true),
    ("/services/1/max_connections", true),
];

/// Other fields, and whole entries.
const OTHER_FIELDS: [&str; 22] = [
    "/routes/0",
    "/routes/0/name",
    "/routes/0/hostname",
    "/routes/0/prefix",
    "/routes/0/route_type",
    "/routes/0/service",
    "/routes/0/sizes",
    "/routes/0/public",
    "/routes/0/stream_resume",
    "/routes/1/backends",
    "/routes/1/backends/0",
    "/routes/1/backends/0/service",
    "/services/0",
    "/services/0/name",
    "/services/0/engine",
    "/services/0/health_path",
    "/services/1",
    "/limits",
    "/tenants/0",
    "/tenants/0/name",
    "/tenants/0/api_keys",
    "/tenants/0/api_keys/0",
];

fn whole() -> Value {
    let route = |name: &str| {
        json!({
            "name": name, "hostname": "a.example", "prefix": format!("/{name}/"),
            "route_type": "safe", "timeout_ms": 100, "objective_ms": 60, "priority": 1,
            "max_attempts": 2, "public": false, "stream_resume": false, "sizes": [],
        })
    };
    let mut first = route("first");
    first["service"] = json!("engines");
    let mut split = route("split");
    split["backends"] =
        json!([{"service": "plain", "weight": 3}, {"service": "other", "weight": 1}]);
    let mut last = route("last");
    last["service"] = json!("other");
    json!({
        "version": 7,
        "routes": [first, split, last],
        "services": [
            {"name": "engines", "engine": {"kv_capacity": 10}, "warmup_per_s": 2, "health_path": "/h"},
            {"name": "plain", "max_connections": 10},
            {"name": "other"},
        ],
        "limits": {"max_header_bytes": 1, "max_body_bytes": 2, "header_timeout_ms": 3, "idle_timeout_ms": 4},
        "tenants": [
            {"name": "one", "api_keys": ["k1"], "priority": 2},
            {"name": "two", "api_keys": ["k2"]},
        ],
    })
}

// The configuration with `text` in place of the value at `path`.
fn parse_with(path: &str, text: &str) -> Result<Catalog, String> {
    let mut value = whole();
    let place = value.pointer_mut(path);
    if let Some(place) = place {
        *place = json!(PLACE);
    } else {
        let (parent, name) = path.rsplit_once('/').expect("a path has a slash");
        value.pointer_mut(parent).expect("it is there")[name] = json!(PLACE);
    }
    let text = value.to_string().replace(&format!("\"{PLACE}\""), text);
    let row = Row {
        key: "config".into(),
        version: 3,
        value: RawValue::from_string(text).expect("it is JSON"),
    };
    let parsed = parse_catalog(&row).expect("it is the configuration");
    parsed.map_err(|error| error.to_string())
}

// Names the service of a route's first target with a weight; `None` if the route can't be
// used.
fn service_of<'a>(catalog: &'a Catalog, prefix: &str) -> Option<&'a str> {
    let key = catalog.find_route("a.example", prefix)?;
    let targets = &catalog.route(key).targets;
    let target = targets.iter().find(|target| target.weight > 0.0)?;
    Some(catalog.service(target.service).name.as_str())
}

proptest! {
    // A number wider than its field kept the whole configuration out of force.
    #[test]
    fn form_of_number_keeps_configuration_out_of_force(
        (path, _) in select(&NUMBER_FIELDS[..]),
        text in select(&NUMBERS[..]),
    ) {
        let catalog = parse_with(path, text);
        prop_assert!(catalog.is_ok(), "{catalog:?}");
        let catalog = catalog.unwrap();
        prop_assert_eq!(catalog.version, 7);
        let is_weightless = path.ends_with("weight") && text == "0";
        prop_assert!(catalog.faults.is_empty(), "{:?}", catalog.faults);
        prop_assert_eq!(service_of(&catalog, "/first/a"), Some("engines"));
        let split = if is_weightless { "other" } else { "plain" };
        prop_assert_eq!(service_of(&catalog, "/split/a"), Some(split));
        prop_assert_eq!(service_of(&catalog, "/last/a"), Some("other"));
        prop_assert_eq!(catalog.api_keys.len(), 2);
    }

    // One entry that can't be used kept the others, and a key's withdrawal, out of force.
    #[test]
    fn unusable_entry_keeps_others_out_of_force(
        path in select([&OTHER_FIELDS[..], &NUMBER_FIELDS.map(|(path, _)| path)].concat()),
        text in select(&OTHERS[..]),
    ) {
        let catalog = parse_with(path, text);
        prop_assert!(catalog.is_ok(), "{catalog:?}");
        let catalog = catalog.unwrap();
        prop_assert_eq!(catalog.version, 7);
        prop_assert_eq!(service_of(&catalog, "/last/a"), Some("other"));
        prop_assert!(catalog.api_keys.contains_key("k2"));
        prop_assert!(!catalog.is_open());
        // What is not in force is told, and refused as such.
        if service_of(&catalog, "/first/a") != Some("engines") {
            prop_assert!(!catalog.faults.is_empty() || text == "\"odd\"");
            let is_placed = catalog.find_route("a.example", "/first/a").is_some();
            let is_elsewhere = path.starts_with("/routes/0/") && text == "\"odd\"";
            prop_assert!(is_placed || catalog.has_unplaced_routes || is_elsewhere);
        }
        if !catalog.api_keys.contains_key("k1") {
            let is_empty = path.ends_with("api_keys") && text == "[]";
            let is_other = path.ends_with("api_keys/0") && text == "\"odd\"";
            prop_assert!(catalog.has_unread_teams || is_empty || is_other);
        }
        prop_assert_eq!(catalog.limits == Limits::default(), path == "/limits"
            || (path.starts_with("/limits") && text != "-1"));
    }
}

// A field that may be left out could not be null.
#[test]
fn null_keeps_configuration_out_of_force() {
    let optional = NUMBER_FIELDS.iter().filter(|(_, is_optional)| *is_optional);
    let others = [
        "/routes/0/sizes",
        "/routes/0/public",
        "/routes/0/stream_resume",
        "/routes/1/service",
        "/routes/2/backends",
        "/services/0/health_path",
    ];
    for path in optional.map(|(path, _)| *path).chain(others) {
        let catalog = parse_with(path, "null").expect("it can be read");
        assert!(catalog.faults.is_empty(), "{path}: {:?}", catalog.faults);
    }
}

#[test_case("/version", "null"; "no version")]
#[test_case("/version", "\"7\""; "a text as version")]
#[test_case("/version", "7.5"; "a version with a fraction")]
#[test_case("/version", "-7"; "a negative version")]
#[test_case("/version", "1e400"; "a version beyond all types")]
#[test_case("/routes", "{}"; "routes that are no list")]
#[test_case("/services", "null"; "no services")]
#[test_case("/tenants", "\"odd\""; "teams that are no list")]
#[test_case("", "null"; "nothing")]
fn configuration_that_says_nothing_is_an_error(path: &str, text: &str) {
    if path.is_empty() {
        let row = Row {
            key: "config".into(),
            version: 3,
            value: RawValue::NULL.to_owned(),
        };
        let parsed = parse_catalog(&row).expect("it is the configuration");
        parsed.expect_err("it can't be read");
    } else {
        parse_with(path, text).expect_err("it can't be read");
    }
}

#[test_case("7.0"; "a fraction of zero")]
#[test_case("7e0"; "an exponent")]
fn version_is_read_in_each_form(text: &str) {
    let catalog = parse_with("/version", text).expect("it can be read");
    assert_eq!(catalog.version, 7);
}

// A weight below one counted as none.
#[test]
fn weight_below_one_is_none() {
    let catalog = parse_with("/routes/1/backends/0/weight", "0.4").expect("it can be read");
    let key = catalog
        .find_route("a.example", "/split/a")
        .expect("it is there");
    let weight = catalog.route(key).targets[0].weight;
    assert!((weight - 0.4).abs() < 1e-9, "{weight}");
}

// A route to a service that is not there kept the whole configuration out of force.
#[test_case("/routes/0/service", "/first/a", None; "of the route")]
#[test_case("/routes/1/backends/0/service", "/split/a", Some("other"); "of one of its parts")]
fn unknown_service_keeps_others_out_of_force(path: &str, prefix: &str, expected: Option<&str>) {
    let catalog = parse_with(path, "\"nobody\"").expect("it can be read");
    assert!(catalog.find_route("a.example", prefix).is_some());
    assert_eq!(service_of(&catalog, prefix), expected);
    assert_eq!(service_of(&catalog, "/last/a"), Some("other"));
    let reasons: Vec<_> = catalog.faults.iter().map(|fault| &fault.reason).collect();
    assert!(reasons[0].contains("nobody"), "{reasons:?}");
}
