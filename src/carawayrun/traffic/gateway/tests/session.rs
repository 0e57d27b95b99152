//! Validation of session tokens.

use crate::peer::Keys;
use crate::traffic::Code;
use crate::traffic::gateway::session::{Pin, SessionHeader};

fn keys(secret: &str, previous: Option<&str>) -> Keys {
    Keys::new(secret.as_bytes(), previous.map(str::as_bytes)).unwrap()
}

fn pin() -> Pin {
    Pin {
        team: "luzcena".into(),
        version: "scene-v1".into(),
    }
}

const OLD: &str = "an old cluster key";
const NEW: &str = "a new cluster key";

#[test]
fn token_is_accepted_by_every_gateway_with_the_key() {
    let token = pin().to_token(&keys(OLD, None));
    let read = SessionHeader::read(&token, "luzcena", &keys(OLD, None));
    assert_eq!(read, Ok(SessionHeader::Token(pin())));
}

#[test]
fn token_under_the_previous_key_is_accepted() {
    let token = pin().to_token(&keys(OLD, None));
    let read = SessionHeader::read(&token, "luzcena", &keys(NEW, Some(OLD)));
    assert_eq!(read, Ok(SessionHeader::Token(pin())));
}

#[test]
fn token_of_another_team_is_refused() {
    let token = pin().to_token(&keys(OLD, None));
    let refusal = SessionHeader::read(&token, "lathe", &keys(OLD, None)).unwrap_err();
    assert_eq!(refusal.code, Code::ForbiddenVersion);
}

#[test]
fn token_under_an_unknown_key_is_refused() {
    let token = pin().to_token(&keys(NEW, None));
    let refusal = SessionHeader::read(&token, "luzcena", &keys(OLD, None)).unwrap_err();
    assert_eq!(refusal.code, Code::MalformedHeader);
}

#[test]
fn token_with_any_changed_character_is_refused() {
    let token = pin().to_token(&keys(OLD, None));
    for index in "crs1.".len()..token.len() {
        let mut changed = token.clone().into_bytes();
        changed[index] = if changed[index] == b'A' { b'B' } else { b'A' };
        let changed = String::from_utf8(changed).unwrap();
        let read = SessionHeader::read(&changed, "luzcena", &keys(OLD, None));
        assert!(read.is_err(), "{changed}");
    }
}

#[test]
fn message_without_the_token_domain_is_refused() {
    use base64::Engine;
    let sealed = keys(OLD, None).seal(br#"{"team":"luzcena","version":"scene-v1"}"#);
    let text = base64::engine::general_purpose::URL_SAFE_NO_PAD.encode(sealed);
    let read = SessionHeader::read(&format!("crs1.{text}"), "luzcena", &keys(OLD, None));
    assert_eq!(read.unwrap_err().code, Code::MalformedHeader);
}

#[test]
fn text_without_the_token_prefix_is_a_caller_id() {
    let read = SessionHeader::read("room-4", "luzcena", &keys(OLD, None));
    assert_eq!(read, Ok(SessionHeader::CallerId("room-4".into())));
}
