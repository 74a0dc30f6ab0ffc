//! Callers: whole and streamed requests, and raw bytes for bad input.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::{Value, json};

use super::LIMIT;

/// An HTTP agent that hands every status on and repeats nothing.
pub(crate) fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_per_read(Some(LIMIT))
        .max_idle_connections(0)
        .build()
        .into()
}

/// A completion request under construction.
#[derive(Clone)]
pub(crate) struct Ask {
    pub(crate) prompt: String,
    pub(crate) key: String,
    pub(crate) tokens: usize,
    headers: Vec<(String, String)>,
    route: String,
}

/// A whole answer.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    /// The body as JSON; null when it is none.
    pub(crate) body: Value,
    /// `Retry-After` in seconds.
    pub(crate) pause: Option<u64>,
}

impl Reply {
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

impl Ask {
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

    /// Marks the request as non-idempotent under a key.
    pub(crate) fn once(self, key: &str) -> Self {
        self.header("x-non-idempotent", "true")
            .header("idempotency-key", key)
    }

    /// The exact answer of the emulated model with `total` layers.
    pub(crate) fn expected(&self, total: u32) -> String {
        super::model::generate(&self.prompt, total, self.tokens).concat()
    }

    fn body(&self, stream: bool) -> String {
        json!({
            "model": self.route, "prompt": self.prompt,
            "max_tokens": self.tokens, "stream": stream,
        })
        .to_string()
    }

    /// Sends and reads the whole answer; the error is that of the connection.
    pub(crate) fn send(&self, to: SocketAddr) -> Result<Reply, ureq::Error> {
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
        let pause = reply.headers().get("retry-after");
        let pause = pause.and_then(|v| v.to_str().ok()?.parse().ok());
        let text = reply.body_mut().read_to_string()?;
        Ok(Reply {
            status: reply.status().as_u16(),
            body: serde_json::from_str(&text).unwrap_or(Value::Null),
            pause,
        })
    }

    /// Sends and hands back the stream while it comes.
    pub(crate) fn stream(&self, to: SocketAddr) -> Stream {
        let body = self.body(true);
        let extra: String = self
            .headers
            .iter()
            .map(|(name, value)| format!("{name}: {value}\r\n"))
            .collect();
        let head = format!(
            "POST /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
             content-type: application/json\r\nauthorization: Bearer {}\r\n\
             content-length: {}\r\n{extra}\r\n",
            self.key,
            body.len()
        );
        let mut socket = connect(to);
        socket.write_all(head.as_bytes()).expect("send the head");
        socket.write_all(body.as_bytes()).expect("send the body");
        Stream {
            lines: BufReader::new(socket),
        }
    }
}

/// Connects with a bound on each read.
pub(crate) fn connect(to: SocketAddr) -> TcpStream {
    let socket = TcpStream::connect_timeout(&to, Duration::from_secs(5)).expect("connect");
    socket
        .set_read_timeout(Some(LIMIT))
        .expect("bound the reads");
    socket
}

/// Sends raw bytes and reads until the connection ends.
pub(crate) fn raw(to: SocketAddr, bytes: &[u8]) -> String {
    let mut socket = connect(to);
    // The answer may come, and the connection close, before all is sent.
    let _ = socket.write_all(bytes);
    let mut answer = Vec::new();
    let _ = socket.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

/// A streamed answer; dropping it closes the connection.
pub(crate) struct Stream {
    lines: BufReader<TcpStream>,
}

/// One event of a stream.
#[derive(Debug, PartialEq)]
pub(crate) enum Event {
    Token(String),
    /// The answer is whole; only the closing marker follows.
    Finished,
    Failed(Value),
    /// The closing marker.
    Done,
    /// The connection ended, with or without a marker.
    End,
}

impl Stream {
    /// The next event; head lines and chunk sizes are passed over. A refusal
    /// in place of a stream is a failure.
    pub(crate) fn next(&mut self) -> Event {
        loop {
            let mut line = String::new();
            match self.lines.read_line(&mut line) {
                Ok(0) | Err(_) => return Event::End,
                Ok(_) => {}
            }
            if let Some(data) = line.trim().strip_prefix("data: ") {
                return parse(data);
            }
            if line.starts_with("{\"error\"") {
                return parse(line.trim());
            }
        }
    }

    /// Reads to the end: the text, and how it ended.
    pub(crate) fn rest(&mut self) -> (String, Event) {
        let mut text = String::new();
        loop {
            match self.next() {
                Event::Token(token) => text.push_str(&token),
                Event::Finished => {}
                end => return (text, end),
            }
        }
    }
}

fn parse(data: &str) -> Event {
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
