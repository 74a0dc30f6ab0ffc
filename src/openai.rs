//! Forms of the callers' protocol: OpenAI-style completions.

use serde::{Deserialize, Serialize};

/// Tokens of an answer whose request names no limit.
const DEFAULT_TOKENS: u32 = 16;

/// Most tokens of one answer.
pub(crate) const MAX_TOKENS: u32 = 32_768;

/// Marks the end of a stream that is whole.
const DONE: &str = "data: [DONE]\n\n";

/// Which of the two forms a caller uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Form {
    /// `POST /v1/completions`.
    Text,
    /// `POST /v1/chat/completions`.
    Chat,
}

#[derive(Deserialize)]
struct Body {
    model: String,
    prompt: Option<String>,
    messages: Option<Vec<Message>>,
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct Message {
    #[allow(dead_code, reason = "checked to be present, not used for routing")]
    role: String,
    content: String,
}

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Completion {
    pub(crate) form: Form,
    /// Name of the route.
    pub(crate) route: String,
    pub(crate) prompt: String,
    /// Tokens of the whole answer, from 1 to [`MAX_TOKENS`].
    pub(crate) limit: u32,
    pub(crate) stream: bool,
}

impl Completion {
    /// Parses a body; the error tells the caller what to mend.
    pub(crate) fn parse(form: Form, body: &[u8]) -> Result<Self, String> {
        let parsed: Body =
            serde_json::from_slice(body).map_err(|e| format!("the body isn't valid: {e}"))?;
        let prompt = match (form, parsed.prompt, parsed.messages) {
            (Form::Text, Some(prompt), _) => prompt,
            (Form::Chat, _, Some(messages)) if !messages.is_empty() => join(&messages),
            (Form::Text, ..) => return Err("the body has no prompt".to_owned()),
            (Form::Chat, ..) => return Err("the body has no messages".to_owned()),
        };
        let limit = parsed.max_tokens.unwrap_or(DEFAULT_TOKENS);
        if limit == 0 || limit > MAX_TOKENS {
            return Err(format!("max_tokens must be from 1 to {MAX_TOKENS}"));
        }
        Ok(Self {
            form,
            route: parsed.model,
            prompt,
            limit,
            stream: parsed.stream,
        })
    }
}

fn join(messages: &[Message]) -> String {
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
    delta: Option<Part<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Part<'a>>,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct Part<'a> {
    role: &'static str,
    content: &'a str,
}

#[derive(Serialize)]
struct Usage {
    completion_tokens: u32,
}

/// Writes the answers to one request.
pub(crate) struct Writer {
    pub(crate) form: Form,
    /// Id of the request.
    pub(crate) id: String,
    /// Name of the route.
    pub(crate) model: String,
    /// Tokens that the answer may have.
    pub(crate) limit: u32,
}

impl Writer {
    /// Reason for which an answer of `count` tokens ended.
    fn reason(&self, count: u32) -> &'static str {
        if count < self.limit { "stop" } else { "length" }
    }

    /// The events that end a whole stream of `count` tokens.
    pub(crate) fn end(&self, count: u32) -> String {
        let mut end = self.event("", Some(self.reason(count)));
        end.push_str(DONE);
        end
    }

    /// The event that carries one token.
    pub(crate) fn token(&self, text: &str) -> String {
        self.event(text, None)
    }

    /// The event that carries `text`, or ends the text with a reason.
    fn event(&self, text: &str, finish: Option<&str>) -> String {
        let part = Part {
            role: "assistant",
            content: text,
        };
        let (object, choice) = match self.form {
            Form::Text => (
                "text_completion",
                Choice {
                    text: Some(text),
                    finish_reason: finish,
                    ..Choice::default()
                },
            ),
            Form::Chat => (
                "chat.completion.chunk",
                Choice {
                    delta: Some(part),
                    finish_reason: finish,
                    ..Choice::default()
                },
            ),
        };
        format!("data: {}\n\n", self.json(object, choice, None))
    }

    /// The whole answer of `count` tokens as one JSON document.
    pub(crate) fn whole(&self, text: &str, count: u32) -> String {
        let part = Part {
            role: "assistant",
            content: text,
        };
        let finish_reason = Some(self.reason(count));
        let (object, choice) = match self.form {
            Form::Text => (
                "text_completion",
                Choice {
                    text: Some(text),
                    finish_reason,
                    ..Choice::default()
                },
            ),
            Form::Chat => (
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
