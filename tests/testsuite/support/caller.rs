//! A caller of a gateway, as tests see it.

use std::time::Duration;

use awc::Client;
use awc::http::header::HeaderMap;
use awc::http::{Method, StatusCode};
use serde_json::Value;

/// Longest answer that is read, in bytes.
const MAX_ANSWER: usize = 64 << 20;

/// Whether the system says that a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Ran {
    No,
    Yes,
    /// The system says so, or no answer came.
    Unknown,
}

/// What came back for one request.
#[derive(Debug, Clone, Default)]
pub(crate) struct Answer {
    /// Zero where no answer came.
    pub(crate) status: u16,
    pub(crate) request_id: String,
    pub(crate) version: String,
    pub(crate) upstream: String,
    pub(crate) session: String,
    pub(crate) session_moved: String,
    pub(crate) retry_after: bool,
    pub(crate) body: String,
}

impl Answer {
    fn of_head(status: u16, headers: &HeaderMap) -> Self {
        let header = |name: &str| {
            let value = headers.get(name);
            value
                .and_then(|value| value.to_str().ok())
                .unwrap_or_default()
                .to_owned()
        };
        Self {
            status,
            request_id: header("x-request-id"),
            version: header("x-carawayrun-version"),
            upstream: header("x-carawayrun-upstream"),
            session: header("x-carawayrun-session"),
            session_moved: header("x-carawayrun-session-moved"),
            retry_after: headers.contains_key("retry-after"),
            body: String::new(),
        }
    }

    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }

    /// Stable code of an error; empty for success.
    pub(crate) fn code(&self) -> String {
        self.json()["error"]["code"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }

    pub(crate) fn is_ok(&self) -> bool {
        (200..300).contains(&self.status)
    }

    pub(crate) fn ran(&self) -> Ran {
        if self.is_ok() {
            return Ran::Yes;
        }
        match self.json()["error"]["ran"].as_str() {
            Some("no") => Ran::No,
            Some("yes") => Ran::Yes,
            _ => Ran::Unknown,
        }
    }

    /// The text of a chat answer, streamed or not.
    pub(crate) fn text(&self) -> String {
        if !self.body.starts_with("data:") {
            return self.json()["choices"][0]["message"]["content"]
                .as_str()
                .unwrap_or_default()
                .to_owned();
        }
        self.events()
            .iter()
            .filter_map(|event| event["choices"][0]["delta"]["content"].as_str())
            .collect()
    }

    /// True where a stream ended with its end marker.
    pub(crate) fn is_whole(&self) -> bool {
        self.body.trim_end().ends_with("data: [DONE]")
    }

    /// True where a stream ended with an error that says so.
    pub(crate) fn ends_in_error(&self) -> bool {
        let events = self.events();
        events
            .last()
            .is_some_and(|event| event["error"]["code"].is_string())
    }

    pub(crate) fn events(&self) -> Vec<Value> {
        let lines = self
            .body
            .lines()
            .filter_map(|line| line.strip_prefix("data: "));
        lines
            .filter_map(|data| serde_json::from_str(data).ok())
            .collect()
    }
}

/// One request to be sent.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    method: Method,
    path: String,
    headers: Vec<(String, String)>,
    body: String,
}

impl Call {
    pub(crate) fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }
}

/// Sends requests of one team to one gateway.
#[derive(Debug, Clone)]
pub(crate) struct Caller {
    url: String,
    key: String,
}

impl Caller {
    pub(crate) fn new(url: &str, key: &str) -> Self {
        Self {
            url: url.to_owned(),
            key: key.to_owned(),
        }
    }

    /// Address of the gateway.
    pub(crate) fn addr(&self) -> &str {
        self.url.trim_start_matches("http://")
    }

    pub(crate) fn chat(model: &str, words: u32, stream: bool) -> Call {
        let body = serde_json::json!({
            "model": model,
            "stream": stream,
            "max_tokens": words,
            "messages": [{"role": "user", "content": "light the hall"}],
        });
        Self::post("/v1/chat/completions", &body.to_string())
    }

    pub(crate) fn post(path: &str, body: &str) -> Call {
        Call {
            method: Method::POST,
            path: path.to_owned(),
            headers: Vec::new(),
            body: body.to_owned(),
        }
    }

    pub(crate) fn get(path: &str) -> Call {
        Call {
            method: Method::GET,
            path: path.to_owned(),
            headers: Vec::new(),
            body: String::new(),
        }
    }

    /// Sends one request on a connection of its own and reads all of the answer.
    pub(crate) async fn send(&self, call: Call) -> Answer {
        let client = Client::builder().timeout(Duration::from_mins(1)).finish();
        let mut request = client
            .request(call.method, format!("{}{}", self.url, call.path))
            .insert_header(("authorization", format!("Bearer {}", self.key)))
            .insert_header(("content-type", "application/json"));
        for (name, value) in &call.headers {
            request = request.insert_header((name.as_str(), value.as_str()));
        }
        match request.send_body(call.body).await {
            Ok(mut answer) => {
                let mut seen = Answer::of_head(answer.status().as_u16(), answer.headers());
                match answer.body().limit(MAX_ANSWER).await {
                    Ok(body) => seen.body = String::from_utf8_lossy(&body).into_owned(),
                    Err(_) => seen.status = 0,
                }
                seen
            }
            Err(_) => Answer::default(),
        }
    }
}

/// Reads JSON from a stand-in or the operators' API; `Null` where it fails.
pub(crate) async fn read_json(url: &str, key: &str) -> Value {
    let request = Client::default()
        .get(url)
        .insert_header(("authorization", format!("Bearer {key}")));
    match request.send().await {
        Ok(mut answer) if answer.status() == StatusCode::OK => {
            answer.json().limit(MAX_ANSWER).await.unwrap_or(Value::Null)
        }
        _ => Value::Null,
    }
}

/// Sends JSON and returns the status; zero where no answer came.
pub(crate) async fn send_json(method: Method, url: &str, key: &str, body: &Value) -> u16 {
    let client = Client::builder().timeout(Duration::from_secs(30)).finish();
    let request = client
        .request(method, url)
        .insert_header(("authorization", format!("Bearer {key}")));
    match request.send_json(body).await {
        Ok(answer) => answer.status().as_u16(),
        Err(_) => 0,
    }
}
