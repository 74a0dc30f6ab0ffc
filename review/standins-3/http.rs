//! A small HTTP/1.1 client and the parsing of heads, for the stand-ins.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A head: its first line and its headers, with names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn parse(bytes: &[u8]) -> Self {
        let text = String::from_utf8_lossy(bytes);
        let mut lines = text.split("\r\n");
        let line = lines.next().unwrap_or_default().to_owned();
        let header = |l: &str| {
            let (name, value) = l.split_once(':')?;
            Some((name.trim().to_ascii_lowercase(), value.trim().to_owned()))
        };
        let headers = lines.filter_map(header).collect();
        Self { line, headers }
    }

    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, v)| v.as_str())
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.get(name)?.parse().ok()
    }

    /// The status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        let word = self.line.split(' ').nth(1);
        word.and_then(|w| w.parse().ok()).unwrap_or(0)
    }
}

/// What a client got.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if no complete head came.
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the body came whole, by its length or its last chunk.
    pub whole: bool,
}

impl Answer {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Position after the empty line that ends a head.
pub fn head_end(bytes: &[u8]) -> Option<usize> {
    Some(bytes.windows(4).position(|w| w == b"\r\n\r\n")? + 4)
}

/// Connects from any address, sends `request` and reads the answer until it is complete, the
/// connection ends, or `limit` has passed.
pub fn exchange(to: SocketAddr, request: &[u8], limit: Duration) -> Answer {
    let mut answer = Answer::default();
    let _ = try_exchange(to, request, limit, &mut answer);
    answer
}

fn try_exchange(
    to: SocketAddr,
    request: &[u8],
    limit: Duration,
    answer: &mut Answer,
) -> io::Result<()> {
    let end = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&to, limit.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    stream.write_all(request)?;
    let mut bytes = Vec::new();
    let mut buffer = [0; 16 << 10];
    loop {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Ok(());
        }
        stream.set_read_timeout(Some(left))?;
        let read = stream.read(&mut buffer)?;
        bytes.extend_from_slice(&buffer[..read]);
        let Some(at) = head_end(&bytes) else {
            if read == 0 {
                return Ok(());
            }
            continue;
        };
        answer.head = Head::parse(&bytes[..at]);
        answer.status = answer.head.status();
        let rest = &bytes[at..];
        (answer.body, answer.whole) = body(&answer.head, rest);
        if answer.whole || read == 0 {
            return Ok(());
        }
    }
}

/// The body as far as it came, and whether it is whole.
fn body(head: &Head, rest: &[u8]) -> (Vec<u8>, bool) {
    if head.get("transfer-encoding").is_some() {
        return chunks(rest);
    }
    match head.number("content-length") {
        Some(length) => {
            let length = length as usize;
            (
                rest[..rest.len().min(length)].to_vec(),
                rest.len() >= length,
            )
        }
        None => (rest.to_vec(), false),
    }
}

fn chunks(mut rest: &[u8]) -> (Vec<u8>, bool) {
    let mut data = Vec::new();
    loop {
        let Some(end) = rest.windows(2).position(|w| w == b"\r\n") else {
            return (data, false);
        };
        let size = std::str::from_utf8(&rest[..end]).unwrap_or_default();
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
            return (data, false);
        };
        rest = &rest[end + 2..];
        if size == 0 {
            return (data, true);
        }
        data.extend_from_slice(&rest[..rest.len().min(size)]);
        if rest.len() < size + 2 {
            return (data, false);
        }
        rest = &rest[size + 2..];
    }
}

/// A request with a length.
pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
