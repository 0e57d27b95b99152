//! Request and answer bodies of chat completions.

use std::collections::BTreeMap;
use std::hash::Hasher;

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use rustc_hash::FxHasher;
use serde::Deserialize;
use serde_json::value::{RawValue, to_raw_value};

use super::refusal::Refusal;
use crate::traffic::Code;

/// A request for a chat completion. Fields that the gateway does not need are
/// forwarded unchanged.
#[derive(Debug)]
pub(super) struct ChatRequest {
    /// Name of a model or version.
    pub(super) model: CompactString,
    /// Whether the answer is streamed.
    pub(super) stream: bool,
    /// Whether the stream includes a last part with the usage.
    pub(super) include_usage: bool,
    /// Hash of the first message, equal for requests with a common prefix.
    pub(super) prefix: u64,
    /// Total size of the messages, in bytes.
    pub(super) prompt_bytes: usize,
    fields: BTreeMap<CompactString, Box<RawValue>>,
}

#[derive(Deserialize)]
struct KnownFields<'a> {
    model: CompactString,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(default)]
    stream_options: Option<StreamOptions>,
    #[serde(borrow)]
    messages: Vec<&'a RawValue>,
}

#[derive(Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

impl ChatRequest {
    /// Parses the body of a request.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] that says what is wrong.
    pub(super) fn read(body: &[u8]) -> Result<Self, Refusal> {
        let known: KnownFields<'_> =
            serde_json::from_slice(body).map_err(|error| malformed(&error))?;
        let Some(first) = known.messages.first() else {
            return Err(Refusal::new(
                Code::MalformedBody,
                "`messages` is empty; give at least one message",
            ));
        };
        let mut hasher = FxHasher::default();
        hasher.write(first.get().as_bytes());
        Ok(Self {
            model: known.model,
            stream: known.stream.unwrap_or_default(),
            include_usage: known
                .stream_options
                .is_some_and(|options| options.include_usage),
            prefix: hasher.finish(),
            prompt_bytes: known.messages.iter().map(|text| text.get().len()).sum(),
            fields: serde_json::from_slice(body).map_err(|error| malformed(&error))?,
        })
    }

    /// Returns the body with `version` as its model.
    pub(super) fn body_for(&mut self, version: &str) -> Bytes {
        let name = to_raw_value(version).expect("a text can be written as JSON");
        self.fields.insert("model".into(), name);
        let body = serde_json::to_vec(&self.fields).expect("raw values can be written as JSON");
        Bytes::from(body)
    }
}

fn malformed(error: &serde_json::Error) -> Refusal {
    let message = format_compact!("the body is not a chat completion: {error}");
    Refusal::new(Code::MalformedBody, message)
}

/// Returns the text of an answer, which is one body or the parts of a stream.
pub(super) fn answer_text(chunks: &[Bytes]) -> String {
    #[derive(Deserialize)]
    struct Part {
        #[serde(default)]
        choices: Vec<Choice>,
    }
    #[derive(Deserialize)]
    struct Choice {
        #[serde(default, alias = "message")]
        delta: Option<Message>,
    }
    #[derive(Deserialize)]
    struct Message {
        #[serde(default)]
        content: Option<String>,
    }
    let mut text = String::new();
    let whole = chunks.concat();
    for part in serde_json::Deserializer::from_slice(&whole).into_iter::<Part>() {
        let Ok(part) = part else {
            break;
        };
        let deltas = part.choices.into_iter().filter_map(|choice| choice.delta);
        text.extend(deltas.filter_map(|delta| delta.content));
    }
    text
}

/// Whether a part of a stream carries the usage and no text.
pub(super) fn is_usage_only(chunk: &[u8]) -> bool {
    #[derive(Deserialize)]
    struct Part<'a> {
        #[serde(borrow)]
        choices: Vec<&'a RawValue>,
        #[serde(borrow, default)]
        usage: Option<&'a RawValue>,
    }
    const USAGE_FIELD: &[u8] = b"\"usage\":";
    chunk
        .windows(USAGE_FIELD.len())
        .any(|window| window == USAGE_FIELD)
        && serde_json::from_slice(chunk)
            .is_ok_and(|part: Part<'_>| part.choices.is_empty() && part.usage.is_some())
}
