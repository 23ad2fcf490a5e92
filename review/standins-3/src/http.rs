//! A minimal HTTP/1.1 reader for the stand-ins.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

/// A message as it was read.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the path and query of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// Reads the head of a message; what follows it is returned too.
pub fn read_head(stream: &mut TcpStream) -> io::Result<Option<(Message, Vec<u8>)>> {
    let mut buf = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        if let Some(end) = find(&buf, b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buf[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let start = lines.next().unwrap_or("").to_owned();
            let headers = lines.filter_map(|line| {
                let (name, value) = line.split_once(':')?;
                Some((name.trim().to_owned(), value.trim().to_owned()))
            });
            let message = Message {
                start,
                headers: headers.collect(),
                body: Vec::new(),
            };
            return Ok(Some((message, buf[end + 4..].to_vec())));
        }
        let n = stream.read(&mut chunk)?;
        if n == 0 {
            return if buf.is_empty() {
                Ok(None)
            } else {
                Err(io::ErrorKind::UnexpectedEof.into())
            };
        }
        buf.extend_from_slice(&chunk[..n]);
    }
}

/// Reads a request with a body of known length.
pub fn read_request(stream: &mut TcpStream) -> io::Result<Option<Message>> {
    let Some((mut message, mut body)) = read_head(stream)? else {
        return Ok(None);
    };
    let length = message.header("content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
    let mut chunk = [0; 16 * 1024];
    while body.len() < length {
        let n = stream.read(&mut chunk)?;
        if n == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        body.extend_from_slice(&chunk[..n]);
    }
    message.body = body;
    Ok(Some(message))
}

/// What a client got.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The head and the body as far as it came; none if no head came.
    pub message: Option<Message>,
    /// Whether the answer is complete.
    pub complete: bool,
    /// What went wrong, if something did.
    pub error: String,
    pub took: Duration,
}

impl Answer {
    pub fn status(&self) -> u16 {
        self.message.as_ref().map_or(0, Message::status)
    }
}

/// Sends a request on a connection of its own and reads the answer, until `limit`.
pub fn call(to: SocketAddr, request: &[u8], limit: Duration) -> Answer {
    let began = Instant::now();
    let mut message = None;
    let result = exchange(to, request, limit, began, &mut message);
    Answer {
        complete: matches!(result, Ok(true)),
        error: match result {
            Ok(true) => String::new(),
            Ok(false) => "the answer ended early".to_owned(),
            Err(e) => e.to_string(),
        },
        message,
        took: began.elapsed(),
    }
}

fn exchange(
    to: SocketAddr,
    request: &[u8],
    limit: Duration,
    began: Instant,
    got: &mut Option<Message>,
) -> io::Result<bool> {
    let mut stream = TcpStream::connect_timeout(&to, limit.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    stream.write_all(request)?;
    read_answer(&mut stream, limit, began, got)
}

/// Reads an answer on a connection; returns whether it is complete.
pub fn read_answer(
    stream: &mut TcpStream,
    limit: Duration,
    began: Instant,
    got: &mut Option<Message>,
) -> io::Result<bool> {
    let left = || -> io::Result<Duration> {
        let left = limit.saturating_sub(began.elapsed());
        if left.is_zero() {
            return Err(io::Error::new(io::ErrorKind::TimedOut, "no answer in time"));
        }
        Ok(left)
    };
    let timed_out = |e: io::Error| match e.kind() {
        io::ErrorKind::WouldBlock => io::Error::new(io::ErrorKind::TimedOut, "no answer in time"),
        _ => e,
    };
    stream.set_read_timeout(Some(left()?))?;
    let head = read_head(stream).map_err(timed_out)?;
    let Some((message, mut rest)) = head else {
        return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "closed without an answer"));
    };
    let length = message.header("content-length").and_then(|n| n.parse::<usize>().ok());
    let chunked = message
        .header("transfer-encoding")
        .is_some_and(|v| v.eq_ignore_ascii_case("chunked"));
    *got = Some(message);
    let mut chunk = [0; 16 * 1024];
    loop {
        let decoded = if chunked {
            decode_chunks(&rest)
        } else {
            let complete = length.is_some_and(|length| rest.len() >= length);
            (rest.clone(), complete)
        };
        if let Some(message) = got.as_mut() {
            message.body = decoded.0;
        }
        if decoded.1 {
            return Ok(true);
        }
        stream.set_read_timeout(Some(left()?))?;
        let n = stream.read(&mut chunk).map_err(timed_out)?;
        if n == 0 {
            return Ok(!chunked && length.is_none());
        }
        rest.extend_from_slice(&chunk[..n]);
    }
}

fn decode_chunks(mut bytes: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    loop {
        let Some(end) = find(bytes, b"\r\n") else {
            return (body, false);
        };
        let size = String::from_utf8_lossy(&bytes[..end]).into_owned();
        let size = size.split(';').next().unwrap_or("").trim().to_owned();
        let Ok(size) = usize::from_str_radix(&size, 16) else {
            return (body, false);
        };
        bytes = &bytes[end + 2..];
        if size == 0 {
            return (body, find(bytes, b"\r\n").is_some());
        }
        if bytes.len() < size + 2 {
            body.extend_from_slice(&bytes[..size.min(bytes.len())]);
            return (body, false);
        }
        body.extend_from_slice(&bytes[..size]);
        bytes = &bytes[size + 2..];
    }
}

pub fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|window| window == what)
}
