//! Callers: complete and streamed responses, and raw bytes for invalid input.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::{Value, json};

use super::TIMEOUT;

/// Returns an HTTP agent that treats no status as an error and sends no request twice.
pub(crate) fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_per_read(Some(TIMEOUT))
        .max_idle_connections(0)
        .build()
        .into()
}

/// A completion request and its expected answer.
#[derive(Clone)]
pub(crate) struct CompletionRequest {
    pub(crate) prompt: String,
    pub(crate) key: String,
    pub(crate) tokens: usize,
    headers: Vec<(String, String)>,
    route: String,
}

/// A complete response.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) status: u16,
    /// The body as JSON, or null if it isn't JSON.
    pub(crate) body: Value,
    /// `Retry-After` in seconds.
    pub(crate) retry_after: Option<u64>,
}

impl Response {
    pub(crate) fn text(&self) -> &str {
        self.body["choices"][0]["text"].as_str().unwrap_or("")
    }

    pub(crate) fn code(&self) -> &str {
        self.body["error"]["code"].as_str().unwrap_or("")
    }

    pub(crate) fn ran(&self) -> &str {
        self.body["error"]["ran"].as_str().unwrap_or("")
    }
}

impl CompletionRequest {
    pub(crate) fn new(key: &str, prompt: &str, tokens: usize) -> Self {
        Self {
            prompt: prompt.to_owned(),
            key: key.to_owned(),
            tokens,
            headers: Vec::new(),
            route: "quotations".to_owned(),
        }
    }

    pub(crate) fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    pub(crate) fn route(mut self, name: &str) -> Self {
        name.clone_into(&mut self.route);
        self
    }

    /// Marks the request as non-idempotent, with an idempotency key.
    pub(crate) fn non_idempotent(self, key: &str) -> Self {
        self.header("x-non-idempotent", "true")
            .header("idempotency-key", key)
    }

    /// Answer of the emulated model with this number of layers.
    pub(crate) fn expected(&self, layers: u32) -> String {
        super::model::generate(&self.prompt, layers, self.tokens).concat()
    }

    fn body(&self, stream: bool) -> String {
        json!({
            "model": self.route, "prompt": self.prompt,
            "max_tokens": self.tokens, "stream": stream,
        })
        .to_string()
    }

    /// Sends the request and reads the complete response; an error is one of the connection.
    pub(crate) fn send(&self, to: SocketAddr) -> Result<Response, ureq::Error> {
        let uri = format!("http://{to}/v1/completions");
        let request = agent()
            .post(uri)
            .header("content-type", "application/json")
            .header("authorization", format!("Bearer {}", self.key));
        let request = self
            .headers
            .iter()
            .fold(request, |r, (name, value)| r.header(name, value));
        let mut reply = request.send(self.body(false))?;
        let retry_after = reply.headers().get("retry-after");
        let retry_after = retry_after.and_then(|v| v.to_str().ok()?.parse().ok());
        let text = reply.body_mut().read_to_string()?;
        Ok(Response {
            status: reply.status().as_u16(),
            body: serde_json::from_str(&text).unwrap_or(Value::Null),
            retry_after,
        })
    }

    /// Sends the request and returns the stream as soon as it is sent.
    pub(crate) fn stream(&self, to: SocketAddr) -> EventStream {
        let body = self.body(true);
        let extra: String = self
            .headers
            .iter()
            .map(|(name, value)| format!("{name}: {value}\r\n"))
            .collect();
        let header = format!(
            "POST /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
             content-type: application/json\r\nauthorization: Bearer {}\r\n\
             content-length: {}\r\n{extra}\r\n",
            self.key,
            body.len()
        );
        let mut socket = connect(to);
        socket
            .write_all(header.as_bytes())
            .expect("send the header");
        socket.write_all(body.as_bytes()).expect("send the body");
        EventStream {
            lines: BufReader::new(socket),
        }
    }
}

/// Connects, with a timeout for each read.
pub(crate) fn connect(to: SocketAddr) -> TcpStream {
    let socket = TcpStream::connect_timeout(&to, Duration::from_secs(5)).expect("connect");
    socket
        .set_read_timeout(Some(TIMEOUT))
        .expect("set the read timeout");
    socket
}

/// Sends raw bytes and reads until the connection ends.
pub(crate) fn send_raw(to: SocketAddr, bytes: &[u8]) -> String {
    let mut socket = connect(to);
    // The instance may respond and close the connection before all bytes are sent.
    let _ = socket.write_all(bytes);
    let mut answer = Vec::new();
    let _ = socket.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

/// A streamed response; dropping it closes the connection.
pub(crate) struct EventStream {
    lines: BufReader<TcpStream>,
}

/// One event of a stream.
#[derive(Debug, PartialEq)]
pub(crate) enum Event {
    Token(String),
    /// The answer is complete; only `[DONE]` follows.
    Finished,
    Failed(Value),
    /// `[DONE]`, which ends the stream.
    Done,
    /// The connection was closed, whether or not `[DONE]` came before.
    Closed,
}

impl EventStream {
    /// Reads the next event and skips header lines and chunk sizes. A refusal in place of a
    /// stream counts as [`Event::Failed`].
    pub(crate) fn next(&mut self) -> Event {
        loop {
            let mut line = String::new();
            match self.lines.read_line(&mut line) {
                Ok(0) | Err(_) => return Event::Closed,
                Ok(_) => {}
            }
            if let Some(data) = line.trim().strip_prefix("data: ") {
                return parse_event(data);
            }
            if line.starts_with("{\"error\"") {
                return parse_event(line.trim());
            }
        }
    }

    /// Reads to the end; returns the text and the event that ended the stream.
    pub(crate) fn read_to_end(&mut self) -> (String, Event) {
        let mut text = String::new();
        loop {
            match self.next() {
                Event::Token(token) => text.push_str(&token),
                Event::Finished => {}
                last => return (text, last),
            }
        }
    }
}

fn parse_event(data: &str) -> Event {
    if data == "[DONE]" {
        return Event::Done;
    }
    let value: Value = serde_json::from_str(data).expect("events are JSON");
    if !value["error"].is_null() {
        return Event::Failed(value["error"].clone());
    }
    let choice = &value["choices"][0];
    match choice["text"].as_str() {
        Some(text) if !text.is_empty() => Event::Token(text.to_owned()),
        _ => Event::Finished,
    }
}
