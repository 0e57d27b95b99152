//! Tests of the platform adapter.

use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use actix_http::header::{self, HeaderName, HeaderValue};
use actix_http::{RequestHead, ResponseHead, StatusCode};
use serde_json::json;
use test_case::test_case;

use super::{
    OutboundHeaders, load_settings, parse_answer, parse_catalog, parse_order, parse_registration,
    parse_request, upstream_request,
};
use crate::relay::RelaySettings;
use crate::relay::catalog::RouteKind;
use crate::relay::message::Execution;
use crate::relay::shares::TeamWeights;
use crate::store::table::Row;

fn row(key: &str, value: &serde_json::Value) -> Row {
    Row {
        key: key.into(),
        version: 3,
        value: serde_json::value::to_raw_value(value).unwrap(),
    }
}

fn request(headers: &[(&'static str, &'static str)]) -> RequestHead {
    let mut head = RequestHead::default();
    for (name, value) in headers {
        let name = HeaderName::from_static(name);
        head.headers.append(name, HeaderValue::from_static(value));
    }
    head
}

#[test]
fn request_head_is_parsed() {
    let head = request(&[
        ("x-carawayrun-request-id", "r-1"),
        ("authorization", "Token key"),
        ("x-carawayrun-deadline-ms", "2500"),
        ("x-carawayrun-token-count", "1460,80"),
        (
            "x-carawayrun-prompt-prefix",
            "5c1e:800,91bd:410, broken,e440:250",
        ),
    ]);
    let parsed = parse_request(&head).request;
    assert_eq!(parsed.id, "r-1");
    assert_eq!(parsed.api_key.as_deref(), Some("key"));
    assert_eq!(parsed.deadline, Some(Duration::from_millis(2_500)));
    assert_eq!((parsed.prompt_tokens, parsed.output_tokens), (1_460, 80));
    let parts: Vec<_> = parsed.prefixes.iter().map(|part| part.tokens).collect();
    assert_eq!(parts, [800, 410, 250]);
}

#[test_case("x-carawayrun-tenant"; "the team")]
#[test_case("x-carawayrun-hold"; "a reservation")]
#[test_case("x-carawayrun-pin-ms"; "a pin")]
#[test_case("x-carawayrun-kv-backup"; "a backup")]
#[test_case("kv-from"; "another run's memory")]
#[test_case("kv-fetch"; "another engine's memory")]
#[test_case("x-carawayrun-expect-instance"; "an upstream")]
#[test_case("authorization"; "the key")]
#[test_case("connection"; "a header of one connection")]
#[test_case("x-private"; "a header that Connection names")]
fn reserved_and_hop_by_hop_headers_are_not_forwarded(name: &'static str) {
    let head = request(&[(name, "x-private"), ("connection", "close, x-private")]);
    assert!(parse_request(&head).headers.get(name).is_none());
}

#[test]
fn request_id_is_forwarded_if_connection_names_it() {
    let head = request(&[
        ("x-carawayrun-request-id", "r-1"),
        ("connection", "x-carawayrun-request-id"),
    ]);
    assert!(
        parse_request(&head)
            .headers
            .contains_key("x-carawayrun-request-id")
    );
}

#[test]
fn gateway_headers_replace_those_of_the_client() {
    let head = request(&[("x-carawayrun-model", "*"), ("last-event-id", "2")]);
    let set = OutboundHeaders {
        upstream: "i-1",
        team: Some("shops"),
        time_left: Duration::from_micros(1_500),
        model: Some("small"),
        urgency: Some(4),
        resume_after: Some("7"),
    };
    let passed = upstream_request(&head, &parse_request(&head).headers, &set);
    let text = |name| passed.headers.get(name).unwrap().to_str().unwrap();
    assert_eq!(text("x-carawayrun-expect-instance"), "i-1");
    assert_eq!(text("x-carawayrun-tenant"), "shops");
    assert_eq!(text("x-carawayrun-deadline-ms"), "1");
    assert_eq!(text("x-carawayrun-model"), "small");
    assert_eq!(text("x-carawayrun-request-priority"), "4");
    assert_eq!(text("last-event-id"), "7");
}

#[test_case(503, Some("x-carawayrun-not-executed"), Execution::NotRun; "the not-executed header")]
#[test_case(421, None, Execution::NotRun; "a misdirected request")]
#[test_case(503, None, Execution::MayHaveRun; "a failure without that header")]
#[test_case(200, None, Execution::MayHaveRun; "a success")]
fn answer_says_whether_the_request_ran(
    status: u16,
    header: Option<&'static str>,
    expected: Execution,
) {
    let mut head = ResponseHead::new(StatusCode::from_u16(status).unwrap());
    if let Some(name) = header {
        let name = HeaderName::from_static(name);
        head.headers.insert(name, HeaderValue::from_static("1"));
    }
    assert_eq!(parse_answer(&head).execution, expected);
}

#[test_case(&json!({"service": "a"}); "fields are missing")]
#[test_case(&json!({"service": 7, "address": "10.0.0.1:80", "zone": "a", "version": "v1", "batch_slots": 4, "state": "ready"}); "a field of another type")]
#[test_case(&json!({"service": "a", "address": "10.0.0.1:80", "zone": "a", "version": "v1", "batch_slots": 4, "state": "odd"}); "an unknown state")]
#[test_case(&json!("text"); "not an object")]
fn invalid_registration_is_rejected_with_its_key(value: &serde_json::Value) {
    let read = parse_registration(&row("i-1", value));
    let error = read.unwrap_err().to_string();
    assert!(error.contains("i-1"), "{error}");
}

#[test]
fn configuration_is_parsed() {
    let value = json!({
        "version": 7, "later": true,
        "routes": [
            {"name": "long", "hostname": "A.example", "prefix": "/a/b/", "route_type": "streaming",
             "stream_resume": true, "timeout_ms": 100, "objective_ms": 60, "service": "s"},
            {"name": "short", "hostname": "a.example", "prefix": "/a/", "route_type": "new-kind",
             "timeout_ms": 100, "objective_ms": 40, "backends": [{"service": "s", "weight": 0}, {"service": "t", "weight": 5}]},
        ],
        "services": [{"name": "s", "engine": {}}, {"name": "t"}],
        "limits": {"max_header_bytes": 1, "max_body_bytes": 2, "header_timeout_ms": 3, "idle_timeout_ms": 4},
        "tenants": [{"name": "team", "api_keys": ["k1", "k2"], "priority": 2}],
    });
    let catalog = parse_catalog(&row("config", &value)).unwrap().unwrap();
    let long = catalog.find_route("a.example", "/a/b/c").unwrap();
    let short = catalog.find_route("a.example", "/a/c").unwrap();
    assert_eq!(catalog.route(long).name, "long");
    assert_eq!(
        catalog.route(long).kind,
        RouteKind::Stream { resumable: true }
    );
    // Requests of unknown route types run at most once.
    assert_eq!(catalog.route(short).kind, RouteKind::Once);
    assert_eq!(catalog.find_route("a.example", "/b/"), None);
    assert_eq!(catalog.team(catalog.api_keys["k2"]).name, "team");
    assert!(catalog.services[0].has_engines);
    let shortest = catalog.shortest_objective(catalog.route(long).targets[0].service);
    assert_eq!(shortest, Some(Duration::from_millis(40)));
}

#[test_case(&json!({"kv_capacity": 425_805, "batch_slots": 64}), Some(425_805); "named")]
#[test_case(&json!({"batch_slots": 64}), None; "not named")]
#[test_case(&json!({"kv_capacity": "many"}), None; "of another type")]
fn memory_of_engines_is_parsed(engine: &serde_json::Value, expected: Option<u32>) {
    let value = json!({
        "version": 7, "routes": [], "services": [{"name": "s", "engine": engine}],
        "limits": {"max_header_bytes": 1, "max_body_bytes": 2, "header_timeout_ms": 3, "idle_timeout_ms": 4},
    });
    let catalog = parse_catalog(&row("config", &value)).unwrap().unwrap();
    assert!(catalog.services[0].has_engines);
    assert_eq!(catalog.services[0].kv_capacity, expected);
}

// Requests of a route whose service is not there went to no other route, as nothing of its
// configuration came in force.
#[test]
fn route_with_an_unknown_service_keeps_its_place() {
    let route = |name, prefix, service| {
        json!({"name": name, "hostname": "a", "prefix": prefix, "route_type": "safe",
               "timeout_ms": 1, "service": service})
    };
    let value = json!({
        "version": 7, "services": [{"name": "s"}],
        "routes": [route("all", "/", "s"), route("lost", "/lost/", "nobody")],
        "limits": {"max_header_bytes": 1, "max_body_bytes": 2, "header_timeout_ms": 3, "idle_timeout_ms": 4},
    });
    let catalog = parse_catalog(&row("config", &value)).unwrap().unwrap();
    let lost = catalog.find_route("a", "/lost/a").unwrap();
    assert_eq!(catalog.route(lost).name, "lost");
    assert!(catalog.route(lost).targets.is_empty());
    let faults: Vec<_> = catalog
        .faults
        .iter()
        .map(|fault| fault.reason.as_str())
        .collect();
    let expected = [
        "names the unknown service nobody",
        "names no known service with a weight above zero",
    ];
    assert_eq!(faults, expected);
}

#[test]
fn order_has_the_version_of_its_row() {
    let value = json!({"service": "s", "to": "v2", "duration_s": 12});
    let order = parse_order(&row("rollout/s", &value), 2).unwrap().unwrap();
    assert_eq!((order.id.era, order.id.version), (2, 3));
    assert_eq!(order.limit, Duration::from_secs(12));
    assert!(super::parse_order(&row("config", &value), 2).is_none());
}

#[test_case("", "missing field `node_name`"; "nothing")]
#[test_case("node_name = 7", "invalid type"; "another type")]
#[test_case("node_name = ", "settings file"; "not TOML")]
fn settings_error_names_file_and_cause(text: &str, expected: &str) {
    let name = format!("carawayrun-settings-{}-{}", std::process::id(), text.len());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, text).unwrap();
    let error = load_settings(&path, 9464).unwrap_err().to_string();
    std::fs::remove_file(&path).unwrap();
    assert!(error.contains(expected), "{error}");
    assert!(error.contains("carawayrun-settings"), "{error}");
}

#[test_case("1.7", Some(1.7); "a decimal number")]
#[test_case("0", Some(0.0); "nothing is taken")]
#[test_case("-1", None; "negative")]
#[test_case("inf", None; "not finite")]
#[test_case("soon", None; "not a number")]
fn rate_limit_of_answer_is_parsed(text: &'static str, expected: Option<f64>) {
    let mut head = ResponseHead::new(StatusCode::OK);
    let name = HeaderName::from_static("server-limit");
    head.headers.insert(name, HeaderValue::from_static(text));
    assert_eq!(parse_answer(&head).rate_limit, expected);
}

#[test_case(503, &["3"], Some(3_000); "whole seconds")]
#[test_case(503, &[" 0.25 "], Some(250); "fraction")]
#[test_case(503, &["2", "5", "x"], Some(5_000); "several")]
#[test_case(503, &["1e30"], Some(86_400_000); "huge")]
#[test_case(503, &["inf"], Some(86_400_000); "infinite")]
#[test_case(503, &["0"], None; "zero")]
#[test_case(503, &["-3"], None; "negative")]
#[test_case(503, &["nan"], None; "no number")]
#[test_case(503, &["Wed, 21 Oct 2026 07:28:00 GMT"], None; "date")]
#[test_case(503, &["\u{e9}"], None; "unreadable")]
#[test_case(503, &[], None; "absent")]
#[test_case(429, &["3"], None; "too many requests")]
#[test_case(200, &["3"], None; "success")]
fn rest_of_answer_is_parsed(status: u16, values: &[&'static str], expected: Option<u64>) {
    let status = StatusCode::from_u16(status).expect("it is a status");
    let mut head = ResponseHead::new(status);
    for value in values {
        let value = HeaderValue::from_bytes(value.as_bytes());
        if let Ok(value) = value {
            head.headers.append(header::RETRY_AFTER, value);
        }
    }
    let rest = parse_answer(&head).rest;
    assert_eq!(rest.map(|rest| rest.as_millis() as u64), expected);
}

#[test_case(200, "1", true; "success")]
#[test_case(421, " 1 ", true; "moved")]
#[test_case(503, "1", true; "refusal")]
#[test_case(200, "0", false; "zero")]
#[test_case(200, "yes", false; "unknown value")]
fn departure_in_answer_is_parsed(status: u16, text: &'static str, expected: bool) {
    let status = StatusCode::from_u16(status).expect("it is a status");
    let mut head = ResponseHead::new(status);
    let name = HeaderName::from_static("server-leaving");
    head.headers.insert(name, HeaderValue::from_static(text));
    assert_eq!(parse_answer(&head).is_leaving, expected);
}

// A repeated answer to an earlier request was believed of the one just sent.
#[test_case(&["r-1"], false, true; "its id")]
#[test_case(&["r-0"], true, false; "another id on a new connection")]
#[test_case(&["r-0"], false, false; "another id on a kept connection")]
#[test_case(&[], true, true; "no id on a new connection")]
#[test_case(&[], false, false; "no id on a kept connection")]
#[test_case(&["r-1", "r-1"], false, true; "its id twice")]
#[test_case(&["r-1", "r-0"], false, false; "two ids")]
#[test_case(&["r-0", "r-1"], true, false; "two ids on a new connection")]
fn answer_of_earlier_request_is_believed(ids: &[&'static str], is_first: bool, expected: bool) {
    let mut head = ResponseHead::new(StatusCode::SERVICE_UNAVAILABLE);
    for id in ids {
        let name = HeaderName::from_static("x-carawayrun-request-id");
        head.headers.append(name, HeaderValue::from_static(id));
    }
    assert_eq!(parse_answer(&head).belongs_to("r-1", is_first), expected);
}

#[test_case("evacuate/dub-a", Some("dub-a"); "an order")]
#[test_case("evacuate/a/b", Some("a/b"); "a name with a slash")]
#[test_case("evacuate/", None; "no name")]
#[test_case("evacuate", None; "another row")]
#[test_case("rollout/evacuate/a", None; "a roll-out")]
fn order_names_evacuated_data_centre(key: &str, expected: Option<&str>) {
    assert_eq!(super::evacuated_data_centre(key), expected);
}

fn load_with_bound(line: &str) -> Result<RelaySettings, String> {
    static FILES: AtomicU32 = AtomicU32::new(0);
    let number = FILES.fetch_add(1, Ordering::Relaxed);
    let name = format!("carawayrun-bound-{}-{number}", std::process::id());
    let path = std::env::temp_dir().join(name);
    let text = format!(
        "node_name = \"edge-1\"\nip = \"10.0.0.1\"\nzone = \"a\"\nport_range = [7010, 7020]\n\
         [listen]\nfrontend = \"10.0.0.1:7001\"\nreadiness = \"10.0.0.1:7002\"\n\
         [limits]\nmax_fds = 4096\n\
         [bounds]\ngrace_s = 8\ndrain_ms = 2000\nrevoke_ms = 5000\n{line}\n\
         [platform]\naddress = \"10.0.0.9:7000\"\n"
    );
    std::fs::write(&path, text).unwrap();
    let loaded = load_settings(&path, 9464);
    std::fs::remove_file(&path).unwrap();
    loaded.map_err(|error| error.to_string())
}

#[test_case("", None; "absent")]
#[test_case("evacuate_ms = 5000", Some(Duration::from_secs(5)); "given")]
fn settings_hold_evacuation_limit(line: &str, expected: Option<Duration>) {
    assert_eq!(load_with_bound(line).unwrap().evacuation_limit, expected);
}

#[test_case("[team_weights]\nlarge = 2.5", &[("large", 2.5)]; "given")]
#[test_case("", &[]; "absent")]
fn settings_hold_weights_of_teams(table: &str, expected: &[(&str, f64)]) {
    let weights = load_with_bound(table).unwrap().team_weights;
    assert_eq!(weights, TeamWeights::new(expected.iter().copied()));
}

#[test_case("0"; "zero")]
#[test_case("-1.0"; "negative")]
#[test_case("nan"; "no number")]
#[test_case("inf"; "infinite")]
fn weight_of_team_is_more_than_zero(weight: &str) {
    let error = load_with_bound(&format!("[team_weights]\nlarge = {weight}")).unwrap_err();
    assert!(
        error.contains("`team_weights` must be more than zero"),
        "{error}"
    );
}

#[test]
fn evacuation_limit_of_zero_is_out_of_range() {
    let error = load_with_bound("evacuate_ms = 0").unwrap_err();
    assert!(error.contains("bounds.evacuate_ms"), "{error}");
}
