//! HTTP requests of callers.

use std::fmt;
use std::time::Duration;

use awc::Client;
use awc::http::Method;
use serde_json::{Value, json};

use super::Failure;

/// Time limit of one call, including its answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// A request of a caller.
#[derive(Clone, Debug, Default)]
pub struct CallRequest {
    pub url: String,
    pub method: String,
    pub customer: Option<String>,
    /// Value of the `idempotency-key` header.
    pub key: Option<String>,
    pub body: String,
}

/// The answer that a caller received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallAnswer {
    pub status: u16,
    /// Header `x-agatepin-outcome`; empty where absent.
    pub outcome: String,
    /// Header `x-agatepin-version`, `MODEL/VERSION`; empty where absent.
    pub version: String,
    pub body: String,
}

impl fmt::Display for CallAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.status, self.outcome)?;
        if !self.version.is_empty() {
            write!(f, " {}", self.version)?;
        }
        write!(f, "\n{}\n", comparable_text(&self.body))
    }
}

/// Body of a chat completion request with one message.
pub fn chat_body(model: &str, content: &str, stream: bool) -> String {
    chat_body_with_limit(model, content, stream, None)
}

/// Body of a chat completion request with one message; `max_tokens` limits the length of the
/// completion.
pub fn chat_body_with_limit(
    model: &str,
    content: &str,
    stream: bool,
    max_tokens: Option<u32>,
) -> String {
    let mut body = json!({
        "model": model,
        "messages": [{ "role": "user", "content": content }],
        "stream": stream,
    });
    if let Some(max_tokens) = max_tokens {
        body["max_tokens"] = json!(max_tokens);
    }
    body.to_string()
}

/// Sends `request` and reads the complete answer.
///
/// # Errors
///
/// The connection fails or the answer is incomplete; any status is an answer.
pub async fn send(request: CallRequest) -> Result<CallAnswer, Failure> {
    let method = Method::from_bytes(request.method.as_bytes()).map_err(|err| err.to_string())?;
    let client = Client::builder().timeout(CALL_TIMEOUT).finish();
    let mut call = client.request(method, &request.url);
    if let Some(customer) = request.customer {
        call = call.insert_header(("x-customer", customer));
    }
    if let Some(key) = request.key {
        call = call.insert_header(("idempotency-key", key));
    }
    if request.url.ends_with("/chat/completions") {
        call = call.content_type("application/json");
    }
    let sent = call.send_body(request.body).await;
    let mut response = sent.map_err(|err| format!("{}: {err}", request.url))?;
    let body = response.body().await.map_err(|err| err.to_string())?;
    let header = |name: &str| {
        let value = response.headers().get(name);
        let text = value.and_then(|value| value.to_str().ok());
        text.unwrap_or_default().to_owned()
    };
    Ok(CallAnswer {
        status: response.status().as_u16(),
        outcome: header("x-agatepin-outcome"),
        version: header("x-agatepin-version"),
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}

/// Gets the body of `url`.
///
/// # Errors
///
/// The call fails or its status is not 200.
pub async fn get_text(url: String) -> Result<String, Failure> {
    let request = CallRequest {
        url,
        method: "GET".to_owned(),
        ..CallRequest::default()
    };
    let answer = send(request).await?;
    if answer.status != 200 {
        return Err(format!(
            "GET request returned status {}, expected 200",
            answer.status
        ));
    }
    Ok(answer.body)
}

/// The text of a completion without its generated ids, which differ in each run; any other body
/// unchanged.
fn comparable_text(body: &str) -> String {
    if body.contains("data: ") {
        return streamed_text(body);
    }
    let parsed = serde_json::from_str::<Value>(body).unwrap_or_default();
    let content = parsed["choices"][0]["message"]["content"].as_str();
    content.unwrap_or(body).to_owned()
}

/// The tokens of a streamed completion, with error events and the end marker in full.
fn streamed_text(body: &str) -> String {
    let mut text = String::new();
    for line in body.lines() {
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            text.push_str(" [DONE]");
            continue;
        }
        let event: Value = serde_json::from_str(data).unwrap_or_default();
        match event["choices"][0]["delta"]["content"].as_str() {
            Some(token) => text.push_str(token),
            None if event["error"].is_object() => text.push_str(data),
            None => {}
        }
    }
    text
}
