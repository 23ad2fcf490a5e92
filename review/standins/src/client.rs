//! Clients: one request on a connection of its own, read to its end.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::http::Conn;
use crate::http::Head;
use crate::http::open_small;

/// Receive buffer of a client that reads slowly.
const SMALL_BUFFER: i32 = 16 * 1024;
pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// A request of a client.
#[derive(Debug, Clone)]
pub struct Request {
    pub id: String,
    pub method: &'static str,
    pub path: String,
    pub headers: Vec<(&'static str, String)>,
    pub deadline: Duration,
    pub body: Vec<u8>,
    /// Bytes a second at which the answer is read, if that is slow.
    pub read_per_s: Option<usize>,
}

impl Request {
    pub fn new(method: &'static str, path: &str, id: String, deadline: Duration) -> Self {
        Self {
            id,
            method,
            path: path.to_owned(),
            headers: Vec::new(),
            deadline,
            body: Vec::new(),
            read_per_s: None,
        }
    }
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// A whole answer came, with this status.
    Whole(u16),
    /// No connection was opened.
    NotConnected(String),
    /// The connection ended before the head of an answer was whole.
    NoAnswer(String),
    /// The connection ended within the body.
    CutShort(u16, String),
    /// The client's time ran out.
    Deadline,
}

#[derive(Debug, Clone)]
pub struct Outcome {
    pub id: String,
    pub to: SocketAddr,
    /// When its last byte was sent.
    pub sent: Instant,
    pub ended: Instant,
    pub end: End,
    pub head: Option<Head>,
    pub body: Vec<u8>,
    /// Bytes after the whole answer, on a connection with no request waiting.
    pub extra: usize,
}

/// Sends a request to a gateway and reads the answer.
pub fn send(to: SocketAddr, req: &Request) -> Outcome {
    let began = Instant::now();
    let mut outcome = Outcome {
        id: req.id.clone(),
        to,
        sent: began,
        ended: began,
        end: End::Deadline,
        head: None,
        body: Vec::new(),
        extra: 0,
    };
    let opened = match req.read_per_s {
        Some(_) => open_small(to, SMALL_BUFFER).map(Conn::new),
        None => Conn::open(to, Duration::from_secs(1).min(req.deadline)),
    };
    match opened {
        Ok(mut conn) => send_on(&mut conn, req, &mut outcome, "close"),
        Err(e) => outcome.end = End::NotConnected(e.to_string()),
    }
    outcome.ended = Instant::now();
    outcome
}

/// Sends a request on an open connection and reads the answer.
pub fn send_on(conn: &mut Conn, req: &Request, outcome: &mut Outcome, connection: &str) {
    let until = Instant::now() + req.deadline;
    let mut text = format!("{} {} HTTP/1.1\r\nHost: {HOST}\r\n", req.method, req.path);
    let ms = req.deadline.as_millis();
    text.push_str(&format!("Request-Id: {}\r\nDeadline-Ms: {ms}\r\n", req.id));
    text.push_str(&format!(
        "Authorization: Bearer {KEY}\r\nConnection: {connection}\r\n"
    ));
    for (name, value) in &req.headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !req.body.is_empty() || req.method == "POST" {
        text.push_str(&format!("Content-Length: {}\r\n", req.body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(&req.body);
    if let Err(e) = conn.write(&bytes) {
        outcome.end = End::NoAnswer(e.to_string());
        return;
    }
    outcome.sent = Instant::now();
    let head = match timed(conn, until, Conn::head) {
        Ok(Some(head)) => head,
        Ok(None) => {
            outcome.end = End::NoAnswer("closed".to_owned());
            return;
        }
        Err(e) if is_timeout(&e) => return,
        Err(e) => {
            outcome.end = End::NoAnswer(e.to_string());
            return;
        }
    };
    let status = head.status();
    outcome.head = Some(head.clone());
    loop {
        let read = if head.is_chunked() {
            timed(conn, until, Conn::chunk).map(|chunk| (chunk.is_empty(), chunk))
        } else {
            let left = head.length().unwrap_or(0) - outcome.body.len();
            let step = req.read_per_s.map_or(16 * 1024, |per_s| per_s / 20).max(1);
            timed(conn, until, |conn| conn.take(step.min(left)))
                .map(|bytes| (bytes.len() == left, bytes))
        };
        match read {
            Ok((is_last, bytes)) => {
                outcome.body.extend_from_slice(&bytes);
                if is_last {
                    outcome.end = End::Whole(status);
                    outcome.extra = conn.read_ahead().len();
                    return;
                }
            }
            Err(e) if is_timeout(&e) => return,
            Err(e) => {
                outcome.end = End::CutShort(status, e.to_string());
                return;
            }
        }
        if req.read_per_s.is_some() {
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

fn is_timeout(e: &std::io::Error) -> bool {
    matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}

fn timed<T, F>(conn: &mut Conn, until: Instant, read: F) -> std::io::Result<T>
where
    F: FnOnce(&mut Conn) -> std::io::Result<T>,
{
    let left = until.saturating_duration_since(Instant::now());
    if left.is_zero() {
        return Err(ErrorKind::TimedOut.into());
    }
    conn.stream.set_read_timeout(Some(left))?;
    read(conn)
}

/// Makes a call of the platform or of a client to the directory.
pub fn call(to: SocketAddr, path: &str) -> std::io::Result<(u16, String)> {
    let limit = Duration::from_secs(1);
    let mut conn = Conn::open(to, limit)?;
    conn.stream.set_read_timeout(Some(limit))?;
    conn.write(
        format!("GET {path} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n\r\n").as_bytes(),
    )?;
    let head = conn.head()?.ok_or(ErrorKind::UnexpectedEof)?;
    let body = conn.take(head.length().unwrap_or(0))?;
    Ok((head.status(), String::from_utf8_lossy(&body).into_owned()))
}

/// Asks a directory for addresses of gateways.
pub fn resolve(directory: SocketAddr, zone: &str) -> Option<(Vec<SocketAddr>, Duration)> {
    let path = format!("/v1/resolve?name={HOST}&region=port-louis&zone={zone}");
    let (status, body) = call(directory, &path).ok()?;
    if status != 200 {
        return None;
    }
    let list = body.split_once("\"addresses\":[")?.1.split_once(']')?.0;
    let addresses = list
        .split(',')
        .filter_map(|text| text.trim().trim_matches('"').parse().ok());
    let addresses = addresses.collect::<Vec<_>>();
    let ttl = body.split_once("\"ttl_s\":")?.1;
    let ttl = ttl
        .split(|c: char| c != '.' && !c.is_ascii_digit())
        .next()?
        .parse::<f64>()
        .ok()?;
    (!addresses.is_empty()).then(|| (addresses, Duration::from_secs_f64(ttl)))
}
