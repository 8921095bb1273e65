//! OpenAI-style requests and responses.

use serde::Deserialize;
use serde_json::{Value, json};

use crate::refusal::{Code, Refusal};

/// Average length of a token in bytes, used to estimate the length of prompts.
const BYTES_PER_TOKEN: usize = 4;

/// Endpoint of a model request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Interface {
    /// `POST /v1/chat/completions`.
    Chat,
    /// `POST /v1/completions`.
    Completion,
}

impl Interface {
    /// Returns the interface for a path without its query, or `None` for any other path.
    #[must_use]
    pub fn of_path(path: &str) -> Option<Self> {
        match path {
            "/v1/chat/completions" => Some(Self::Chat),
            "/v1/completions" => Some(Self::Completion),
            _ => None,
        }
    }

    /// Returns the path under which both the entry and the engines serve the interface.
    #[must_use]
    pub fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Completion => "/v1/completions",
        }
    }
}

/// Fields of a model request that routing needs, and the body to forward to the engine.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelRequest {
    /// Endpoint that the caller used; the engine is called at the same one.
    pub interface: Interface,
    /// Requested model, not checked against the configuration.
    pub model: String,
    /// Whether the caller asked for a stream; `false` when absent.
    pub stream: bool,
    /// Maximum number of tokens to generate: `max_completion_tokens`, else `max_tokens`. `None` when both are absent.
    pub max_tokens: Option<u32>,
    /// First bytes of the prompt, at most 512, for routing to an engine that may have them cached.
    pub prefix: Vec<u8>,
    /// Estimated length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Body for the engine: the caller's body with `stream` set to `true`.
    pub engine_body: Vec<u8>,
}

/// Length of the prompt's prefix that routing considers.
const PREFIX_BYTES: usize = 512;

#[derive(Debug, Deserialize)]
struct RequestFields {
    model: String,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    max_completion_tokens: Option<u32>,
}

/// Parses a model request.
///
/// # Errors
///
/// A refusal with [`Code::InvalidRequest`] whose message contains the position or the field of the error.
///
/// # Examples
///
/// ```
/// use tanagerford_caller::openai::{Interface, parse};
///
/// let body = br#"{"model": "m", "messages": [{"role": "user", "content": "hello"}]}"#;
/// assert_eq!(parse(Interface::Chat, body).unwrap().model, "m");
/// assert!(parse(Interface::Chat, b"{}").is_err());
/// ```
pub fn parse(interface: Interface, body: &[u8]) -> Result<ModelRequest, Refusal> {
    let mut value: Value = serde_json::from_slice(body).map_err(|error| invalid_json(&error))?;
    let fields = RequestFields::deserialize(&value).map_err(|error| invalid_json(&error))?;
    let prompt = prompt_text(interface, &value)?;
    if let Some(object) = value.as_object_mut() {
        // The sidecar always streams from the engine, so that it can measure the time between tokens and preempt.
        object.insert("stream".to_owned(), Value::Bool(true));
    }
    Ok(ModelRequest {
        interface,
        model: fields.model,
        stream: fields.stream,
        max_tokens: fields.max_completion_tokens.or(fields.max_tokens),
        prefix: prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)].to_vec(),
        prompt_tokens: u32::try_from(prompt.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX),
        engine_body: value.to_string().into_bytes(),
    })
}

fn invalid_json(error: &serde_json::Error) -> Refusal {
    Refusal::new(Code::InvalidRequest, format!("invalid JSON body: {error}"))
}

fn prompt_text(interface: Interface, value: &Value) -> Result<String, Refusal> {
    let field = match interface {
        Interface::Chat => "messages",
        Interface::Completion => "prompt",
    };
    match value.get(field) {
        Some(Value::Array(items)) if !items.is_empty() => {
            Ok(Value::from(items.clone()).to_string())
        }
        Some(Value::String(text)) if interface == Interface::Completion => Ok(text.clone()),
        _ => Err(Refusal::new(
            Code::InvalidRequest,
            format!("/{field}: expected the prompt of the request"),
        )),
    }
}

/// Assembles the events of a stream into one response for a caller that did not ask for a stream.
#[derive(Debug, Default)]
pub struct Assembler {
    id: String,
    text: String,
    finish_reason: Option<String>,
    tokens: u32,
}

impl Assembler {
    /// Adds the `data` field of one event. Events that are not JSON, such as `[DONE]`, are skipped. Each event with text
    /// counts as one token.
    pub fn add(&mut self, data: &[u8]) {
        let Ok(event) = serde_json::from_slice::<Value>(data) else {
            return;
        };
        if let Some(id) = event["id"].as_str() {
            id.clone_into(&mut self.id);
        }
        let choice = &event["choices"][0];
        let text = choice["delta"]["content"]
            .as_str()
            .or(choice["text"].as_str());
        if let Some(text) = text.filter(|text| !text.is_empty()) {
            self.text.push_str(text);
            self.tokens += 1;
        }
        if let Some(reason) = choice["finish_reason"].as_str() {
            self.finish_reason = Some(reason.to_owned());
        }
    }

    /// Returns the complete response as JSON.
    ///
    /// # Examples
    ///
    /// ```
    /// use tanagerford_caller::openai::{Assembler, Interface};
    ///
    /// let mut assembler = Assembler::default();
    /// assembler.add(br#"{"id": "a", "choices": [{"text": "hi", "finish_reason": "stop"}]}"#);
    /// assert!(assembler.finish(Interface::Completion, "m", 1).contains("\"text\":\"hi\""));
    /// ```
    #[must_use]
    pub fn finish(self, interface: Interface, model: &str, prompt_tokens: u32) -> String {
        let choice = match interface {
            Interface::Chat => json!({
                "index": 0,
                "message": {"role": "assistant", "content": self.text},
                "finish_reason": self.finish_reason,
            }),
            Interface::Completion => json!({
                "index": 0,
                "text": self.text,
                "finish_reason": self.finish_reason,
            }),
        };
        let object = match interface {
            Interface::Chat => "chat.completion",
            Interface::Completion => "text_completion",
        };
        let usage = json!({
            "prompt_tokens": prompt_tokens,
            "completion_tokens": self.tokens,
            "total_tokens": prompt_tokens.saturating_add(self.tokens),
        });
        json!({"id": self.id, "object": object, "model": model, "choices": [choice], "usage": usage})
            .to_string()
    }
}

/// Returns the body of the response to `GET /v1/models`.
#[must_use]
pub fn model_list(names: impl IntoIterator<Item = String>) -> String {
    let data: Vec<Value> = names
        .into_iter()
        .map(|name| json!({"id": name, "object": "model", "owned_by": "tanagerford"}))
        .collect();
    json!({"object": "list", "data": data}).to_string()
}
