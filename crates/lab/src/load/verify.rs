//! Checks that an answer is complete and belongs to its request.

use serde::Deserialize;

use crate::engine::text::tokens;

/// Expected content of a chat answer.
#[derive(Debug, Clone)]
pub(super) struct ExpectedAnswer {
    pub(super) version: String,
    pub(super) id: String,
    pub(super) word_count: usize,
}

#[derive(Deserialize)]
struct AnswerPart {
    id: String,
    #[serde(default)]
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Option<Message>,
    #[serde(default)]
    message: Option<Message>,
}

#[derive(Deserialize)]
struct Message {
    #[serde(default)]
    content: Option<String>,
}

/// Answer of a plain call.
#[derive(Deserialize)]
struct Echo {
    id: String,
    body: String,
}

impl ExpectedAnswer {
    /// Checks the payloads of a chat answer: one document, or the chunks of a stream.
    pub(super) fn check(&self, payloads: &[Vec<u8>]) -> Result<(), String> {
        let mut text = String::new();
        for payload in payloads {
            let part: AnswerPart =
                serde_json::from_slice(payload).map_err(|error| error.to_string())?;
            if part.id != self.id {
                return Err(format!(
                    "answer of request {} sent to request {}",
                    part.id, self.id
                ));
            }
            for choice in part.choices {
                let message = choice.delta.or(choice.message);
                text.push_str(
                    &message
                        .and_then(|message| message.content)
                        .unwrap_or_default(),
                );
            }
        }
        let good = tokens(&self.version, &self.id, self.word_count, false).concat();
        let bad = tokens(&self.version, &self.id, self.word_count, true).concat();
        if text == good || text == bad {
            return Ok(());
        }
        Err(format!(
            "the answer to {} is incomplete or altered: `{text}`",
            self.id
        ))
    }
}

/// Checks that a plain call's answer echoes the request's id and body.
pub(super) fn check_echo(answer: &[u8], id: &str, sent: &str) -> Result<(), String> {
    let echo: Echo = serde_json::from_slice(answer).map_err(|error| error.to_string())?;
    if echo.id != id {
        return Err(format!(
            "answer of request {} sent to request {id}",
            echo.id
        ));
    }
    if echo.body != sent {
        return Err(format!(
            "the answer to {id} echoes another body: `{}`",
            echo.body
        ));
    }
    Ok(())
}
