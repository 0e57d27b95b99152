//! Parsing of chat completion bodies and of answer chunks.

use serde_json::{Value, json};
use test_case::test_case;

use crate::traffic::Code;
use crate::traffic::gateway::chat::{ChatRequest, is_usage_only};

#[test]
fn unknown_fields_are_forwarded() {
    let sent = json!({
        "model": "scene",
        "messages": [{"role": "user", "content": "dim the hall"}],
        "temperature": 0.10,
        "tools": [{"type": "function"}],
        "stream": true,
        "stream_options": {"include_usage": true},
    });
    let mut chat = ChatRequest::read(sent.to_string().as_bytes()).unwrap();
    assert_eq!(chat.model, "scene");
    assert!(chat.stream);
    assert!(chat.include_usage);
    let mut expected = sent;
    expected["model"] = json!("scene-v2");
    let forwarded: Value = serde_json::from_slice(&chat.body_for("scene-v2")).unwrap();
    assert_eq!(forwarded, expected);
}

#[test]
fn requests_with_the_same_first_message_have_the_same_prefix() {
    let prefix = |last: &str| {
        let body = json!({"model": "m", "messages": [{"role": "system", "content": "rules"}, {"role": "user", "content": last}]});
        ChatRequest::read(body.to_string().as_bytes())
            .unwrap()
            .prefix
    };
    assert_eq!(prefix("one"), prefix("two"));
}

#[test_case("" ; "nothing")]
#[test_case("{" ; "half an object")]
#[test_case("[]" ; "a list")]
#[test_case(r#"{"messages":[{}]}"# ; "no model")]
#[test_case(r#"{"model":"m"}"# ; "no messages")]
#[test_case(r#"{"model":"m","messages":[]}"# ; "empty messages")]
#[test_case(r#"{"model":1,"messages":[{}]}"# ; "a number as model")]
#[test_case(r#"{"model":"m","messages":[{}],"stream":"yes"}"# ; "a text as stream")]
fn malformed_body_is_refused(body: &str) {
    let refusal = ChatRequest::read(body.as_bytes()).unwrap_err();
    assert_eq!(refusal.code, Code::MalformedBody);
}

#[test_case(r#"{"choices":[],"usage":{"total_tokens":3}}"#, true; "usage alone")]
#[test_case(r#"{"choices":[{"delta":{}}],"usage":null}"#, false; "text without usage")]
#[test_case(r#"{"choices":[{"delta":{"content":"\"usage\":"}}]}"#, false; "text about usage")]
#[test_case(r#"{"choices":[{"delta":{}}],"usage":{"total_tokens":3}}"#, false; "usage beside text")]
fn only_a_part_without_text_is_usage_only(chunk: &str, expected: bool) {
    assert_eq!(is_usage_only(chunk.as_bytes()), expected);
}
