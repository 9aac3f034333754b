//! A request for a completion and the JSON of its response.

use serde::Deserialize;
use serde_json::{Value, json};
use shallottide_types::synthetic::expected_token;

const DEFAULT_MAX_TOKENS: u64 = 16;

/// The body of `POST /v1/completions` or `/v1/chat/completions`.
#[derive(Debug, Clone, Deserialize)]
pub(super) struct CompletionRequest {
    /// Requested model.
    #[serde(default)]
    pub(super) model: String,
    /// Prompt of a plain completion.
    #[serde(default)]
    prompt: String,
    /// Messages of a chat; their contents joined by newlines are the prompt.
    #[serde(default)]
    messages: Vec<Message>,
    /// Number of tokens to generate.
    #[serde(default = "default_max_tokens")]
    pub(super) max_tokens: u64,
    /// Whether to respond with server-sent events.
    #[serde(default)]
    pub(super) stream: bool,
}

#[derive(Debug, Clone, Deserialize)]
struct Message {
    #[serde(default)]
    content: String,
}

fn default_max_tokens() -> u64 {
    DEFAULT_MAX_TOKENS
}

/// The endpoint that a request was sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Interface {
    /// `/v1/completions`.
    Completion,
    /// `/v1/chat/completions`.
    Chat,
}

impl CompletionRequest {
    /// Returns the prompt that determines the generated text.
    pub(super) fn prompt(&self) -> String {
        if self.messages.is_empty() {
            return self.prompt.clone();
        }
        let contents = self.messages.iter().map(|m| m.content.as_str());
        contents.collect::<Vec<_>>().join("\n")
    }

    /// Returns the JSON of one server-sent event.
    pub(super) fn event(&self, interface: Interface, id: &str, prompt: &str, i: u64) -> String {
        let token = expected_token(prompt, i);
        let finish = (i + 1 == self.max_tokens).then_some("length");
        let choice = match interface {
            Interface::Completion => json!({"index": 0, "text": token, "finish_reason": finish}),
            Interface::Chat => {
                json!({"index": 0, "delta": {"content": token}, "finish_reason": finish})
            }
        };
        self.response(interface, id, &choice).to_string()
    }

    /// Returns the JSON of a complete, non-streamed response.
    pub(super) fn full_response(&self, interface: Interface, id: &str, text: &str) -> Value {
        let choice = match interface {
            Interface::Completion => json!({"index": 0, "text": text, "finish_reason": "length"}),
            Interface::Chat => json!({
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": "length",
            }),
        };
        self.response(interface, id, &choice)
    }

    fn response(&self, interface: Interface, id: &str, choice: &Value) -> Value {
        let object = match (interface, self.stream) {
            (Interface::Completion, _) => "text_completion",
            (Interface::Chat, true) => "chat.completion.chunk",
            (Interface::Chat, false) => "chat.completion",
        };
        json!({"id": id, "object": object, "model": self.model, "choices": [choice]})
    }
}
