//! Requests and responses of the OpenAI-compatible completion API.

use serde::{Deserialize, Serialize};

/// Maximum number of tokens of an answer if the request sets no limit.
const DEFAULT_MAX_TOKENS: u32 = 16;

/// Upper bound of the maximum number of tokens of an answer.
pub(crate) const MAX_TOKENS: u32 = 32_768;

/// Event that ends a complete stream.
const DONE_EVENT: &str = "data: [DONE]\n\n";

/// Endpoint that a caller uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Endpoint {
    /// `POST /v1/completions`.
    Text,
    /// `POST /v1/chat/completions`.
    Chat,
}

#[derive(Deserialize)]
struct RequestBody {
    model: String,
    prompt: Option<String>,
    messages: Option<Vec<RequestMessage>>,
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct RequestMessage {
    #[allow(dead_code, reason = "checked to be present, not used for routing")]
    role: String,
    content: String,
}

/// A validated completion request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CompletionRequest {
    pub(crate) endpoint: Endpoint,
    /// Name of the route.
    pub(crate) route: String,
    pub(crate) prompt: String,
    /// Maximum number of tokens of the answer, from 1 to [`MAX_TOKENS`].
    pub(crate) limit: u32,
    pub(crate) stream: bool,
}

impl CompletionRequest {
    /// Parses a request body. The error says what the caller must correct.
    pub(crate) fn parse(endpoint: Endpoint, body: &[u8]) -> Result<Self, String> {
        let parsed: RequestBody =
            serde_json::from_slice(body).map_err(|e| format!("the body isn't valid: {e}"))?;
        let prompt = match (endpoint, parsed.prompt, parsed.messages) {
            (Endpoint::Text, Some(prompt), _) => prompt,
            (Endpoint::Chat, _, Some(messages)) if !messages.is_empty() => join_messages(&messages),
            (Endpoint::Text, ..) => return Err("the body has no prompt".to_owned()),
            (Endpoint::Chat, ..) => return Err("the body has no messages".to_owned()),
        };
        let limit = parsed.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        if limit == 0 || limit > MAX_TOKENS {
            return Err(format!("max_tokens must be from 1 to {MAX_TOKENS}"));
        }
        Ok(Self {
            endpoint,
            route: parsed.model,
            prompt,
            limit,
            stream: parsed.stream,
        })
    }
}

fn join_messages(messages: &[RequestMessage]) -> String {
    let contents: Vec<_> = messages.iter().map(|m| m.content.as_str()).collect();
    contents.join("\n")
}

#[derive(Serialize)]
struct Chunk<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Serialize, Default)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<MessagePart<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<MessagePart<'a>>,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct MessagePart<'a> {
    role: &'static str,
    content: &'a str,
}

#[derive(Serialize)]
struct Usage {
    completion_tokens: u32,
}

/// Formats the response to one request.
pub(crate) struct ResponseWriter {
    pub(crate) endpoint: Endpoint,
    /// ID of the request.
    pub(crate) id: String,
    /// Name of the route.
    pub(crate) model: String,
    /// Maximum number of tokens of the answer.
    pub(crate) limit: u32,
}

impl ResponseWriter {
    /// Finish reason of an answer of `count` tokens.
    fn finish_reason(&self, count: u32) -> &'static str {
        if count < self.limit { "stop" } else { "length" }
    }

    /// Events that end a complete stream of `count` tokens.
    pub(crate) fn end(&self, count: u32) -> String {
        let mut end = self.event("", Some(self.finish_reason(count)));
        end.push_str(DONE_EVENT);
        end
    }

    /// Event with one token.
    pub(crate) fn token(&self, text: &str) -> String {
        self.event(text, None)
    }

    /// Event with `text`, and with a finish reason if it is the last.
    fn event(&self, text: &str, finish_reason: Option<&str>) -> String {
        let part = MessagePart {
            role: "assistant",
            content: text,
        };
        let (object, choice) = match self.endpoint {
            Endpoint::Text => (
                "text_completion",
                Choice {
                    text: Some(text),
                    finish_reason,
                    ..Choice::default()
                },
            ),
            Endpoint::Chat => (
                "chat.completion.chunk",
                Choice {
                    delta: Some(part),
                    finish_reason,
                    ..Choice::default()
                },
            ),
        };
        format!("data: {}\n\n", self.json(object, choice, None))
    }

    /// Complete answer of `count` tokens as one JSON document.
    pub(crate) fn complete(&self, text: &str, count: u32) -> String {
        let part = MessagePart {
            role: "assistant",
            content: text,
        };
        let finish_reason = Some(self.finish_reason(count));
        let (object, choice) = match self.endpoint {
            Endpoint::Text => (
                "text_completion",
                Choice {
                    text: Some(text),
                    finish_reason,
                    ..Choice::default()
                },
            ),
            Endpoint::Chat => (
                "chat.completion",
                Choice {
                    message: Some(part),
                    finish_reason,
                    ..Choice::default()
                },
            ),
        };
        let usage = Usage {
            completion_tokens: count,
        };
        self.json(object, choice, Some(usage))
    }

    fn json(&self, object: &'static str, choice: Choice<'_>, usage: Option<Usage>) -> String {
        let chunk = Chunk {
            id: &self.id,
            object,
            model: &self.model,
            choices: [choice],
            usage,
        };
        serde_json::to_string(&chunk).expect("strings and numbers always serialise")
    }
}
