//! Parsing of request headers.

use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use test_case::test_case;

use crate::traffic::Code;
use crate::traffic::gateway::headers::{DEFAULT_DEADLINE_MS, RequestHeaders};

fn headers(pairs: &[(&'static str, &'static str)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in pairs {
        headers.append(
            HeaderName::from_static(name),
            HeaderValue::from_static(value),
        );
    }
    headers
}

#[test]
fn missing_headers_take_the_defaults() {
    let parsed = RequestHeaders::read(&headers(&[])).unwrap();
    assert_eq!(parsed.bearer, "");
    assert_eq!(parsed.deadline_ms, DEFAULT_DEADLINE_MS);
    assert_eq!(
        (parsed.task, parsed.session, parsed.quality),
        (None, None, None)
    );
}

#[test]
fn every_header_is_parsed() {
    let parsed = RequestHeaders::read(&headers(&[
        ("authorization", "bearer  secret"),
        ("x-carawayrun-task", "tweak"),
        ("x-carawayrun-session", "room-4"),
        ("x-carawayrun-deadline-ms", "250"),
        ("x-carawayrun-quality", "0.75"),
        ("idempotency-key", "k-1"),
        ("content-type", "text/plain"),
    ]))
    .unwrap();
    assert_eq!(parsed.bearer, "secret");
    assert_eq!(parsed.task.as_deref(), Some("tweak"));
    assert_eq!(parsed.session.as_deref(), Some("room-4"));
    assert_eq!(parsed.deadline_ms, 250);
    assert_eq!(parsed.quality, Some(0.75));
    assert_eq!(parsed.idempotency_key.as_deref(), Some("k-1"));
    assert_eq!(parsed.content_type, "text/plain");
}

#[test_case("authorization", "Basic abc"; "another scheme")]
#[test_case("authorization", "secret"; "no scheme")]
#[test_case("x-carawayrun-deadline-ms", "soon"; "a deadline in words")]
#[test_case("x-carawayrun-deadline-ms", "-5"; "a negative deadline")]
#[test_case("x-carawayrun-deadline-ms", "3600001"; "too long a deadline")]
#[test_case("x-carawayrun-quality", "1.5"; "too high a quality")]
#[test_case("x-carawayrun-quality", "NaN"; "a quality that is no number")]
#[test_case("idempotency-key", ""; "an empty key")]
#[test_case("x-carawayrun-task", "0123456789012345678901234567890123456789012345678901234567890123"; "a long task")]
fn invalid_value_is_refused(name: &'static str, value: &'static str) {
    let refusal = RequestHeaders::read(&headers(&[(name, value)])).unwrap_err();
    assert_eq!(refusal.code, Code::MalformedHeader);
    assert!(refusal.message.contains(name), "{}", refusal.message);
}

#[test]
fn deadline_of_zero_is_expired() {
    let refusal = RequestHeaders::read(&headers(&[("x-carawayrun-deadline-ms", "0")])).unwrap_err();
    assert_eq!(refusal.code, Code::DeadlineExpired);
}

#[test_case("authorization")]
#[test_case("idempotency-key")]
#[test_case("x-carawayrun-session")]
#[test_case("x-carawayrun-task")]
#[test_case("x-carawayrun-deadline-ms")]
#[test_case("x-carawayrun-quality")]
fn duplicate_header_is_refused(name: &'static str) {
    let refusal = RequestHeaders::read(&headers(&[(name, "1"), (name, "1")])).unwrap_err();
    assert_eq!(refusal.code, Code::DuplicateHeader);
    assert!(refusal.message.contains(name), "{}", refusal.message);
}
