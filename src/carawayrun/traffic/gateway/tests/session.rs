//! Tokens of sessions.

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
fn a_token_of_any_gateway_holds_at_all() {
    let token = pin().to_token(&keys(OLD, None));
    let read = SessionHeader::read(&token, "luzcena", &keys(OLD, None));
    assert_eq!(read, Ok(SessionHeader::Token(pin())));
}

#[test]
fn a_token_holds_while_the_key_is_changed() {
    let token = pin().to_token(&keys(OLD, None));
    let read = SessionHeader::read(&token, "luzcena", &keys(NEW, Some(OLD)));
    assert_eq!(read, Ok(SessionHeader::Token(pin())));
}

#[test]
fn another_teams_token_is_refused() {
    let token = pin().to_token(&keys(OLD, None));
    let refusal = SessionHeader::read(&token, "lathe", &keys(OLD, None)).unwrap_err();
    assert_eq!(refusal.code, Code::ForbiddenVersion);
}

#[test]
fn a_forged_token_is_refused() {
    let token = pin().to_token(&keys(NEW, None));
    let refusal = SessionHeader::read(&token, "luzcena", &keys(OLD, None)).unwrap_err();
    assert_eq!(refusal.code, Code::MalformedHeader);
}

#[test]
fn a_token_with_any_character_changed_is_refused() {
    let token = pin().to_token(&keys(OLD, None));
    for place in "crs1.".len()..token.len() {
        let mut changed = token.clone().into_bytes();
        changed[place] = if changed[place] == b'A' { b'B' } else { b'A' };
        let changed = String::from_utf8(changed).unwrap();
        let read = SessionHeader::read(&changed, "luzcena", &keys(OLD, None));
        assert!(read.is_err(), "{changed}");
    }
}

#[test]
fn a_message_under_the_same_key_is_no_token() {
    use base64::Engine;
    let sealed = keys(OLD, None).seal(br#"{"team":"luzcena","version":"scene-v1"}"#);
    let text = base64::engine::general_purpose::URL_SAFE_NO_PAD.encode(sealed);
    let read = SessionHeader::read(&format!("crs1.{text}"), "luzcena", &keys(OLD, None));
    assert_eq!(read.unwrap_err().code, Code::MalformedHeader);
}

#[test]
fn any_other_text_is_the_callers_own_id() {
    let read = SessionHeader::read("room-4", "luzcena", &keys(OLD, None));
    assert_eq!(read, Ok(SessionHeader::CallerId("room-4".into())));
}
