//! The part of HTTP/1.1 that the stand-ins speak.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

/// A request or an answer.
#[derive(Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    /// Names are in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to its marked end.
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        let code = self.start.split(' ').nth(1);
        code.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn id(&self) -> &str {
        self.header("request-id").unwrap_or("")
    }
}

fn read_head(from: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.start = line.trim_end().to_owned();
    loop {
        line.clear();
        if from.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = text.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            message.headers.push((name, value.trim().to_owned()));
        }
    }
}

fn read_chunks(from: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size =
            usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let start = body.len();
        body.resize(start + size, 0);
        from.read_exact(&mut body[start..])?;
        let mut end = [0; 2];
        from.read_exact(&mut end)?;
        if size == 0 {
            return Ok(());
        }
    }
}

fn read_body(from: &mut impl BufRead, message: &mut Message, to_end: bool) -> io::Result<()> {
    if message.header("transfer-encoding").is_some() {
        read_chunks(from, &mut message.body)?;
    } else if let Some(length) = message.header("content-length") {
        let length = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
        message.body.resize(length, 0);
        from.read_exact(&mut message.body)?;
    } else if to_end {
        from.read_to_end(&mut message.body)?;
    }
    message.whole = true;
    Ok(())
}

/// Reads a request; `None` where the connection ends before one.
pub fn read_request(from: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(from)? else {
        return Ok(None);
    };
    read_body(from, &mut message, false)?;
    Ok(Some(message))
}

/// What came of a client's request.
#[derive(Debug)]
pub struct Outcome {
    /// The answer, also one that broke off; `None` where no head came.
    pub answer: Option<Message>,
    pub took: Duration,
}

impl Outcome {
    /// A word for the record.
    pub fn word(&self) -> String {
        match &self.answer {
            Some(a) if a.whole => a.status().to_string(),
            Some(a) => format!("{} cut", a.status()),
            None => "no answer".to_owned(),
        }
    }
}

/// A client's request on a connection of its own.
#[derive(Debug, Clone)]
pub struct Call<'a> {
    pub to: SocketAddr,
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub deadline_ms: u64,
    pub headers: &'a [(&'a str, &'a str)],
    pub body: &'a str,
}

impl Call<'_> {
    pub fn send(&self) -> Outcome {
        let began = Instant::now();
        let answer = self.exchange().unwrap_or(None);
        Outcome {
            answer,
            took: began.elapsed(),
        }
    }

    /// Sends the request on a connection that has carried another one before it.
    pub fn send_on_kept(&self, first: &Call<'_>) -> Outcome {
        let mut began = Instant::now();
        let mut exchange = || -> io::Result<Option<Message>> {
            let mut stream = self.connect()?;
            let mut from = BufReader::new(stream.try_clone()?);
            if first.exchange_on(&mut stream, &mut from, true)?.is_none() {
                return Ok(None);
            }
            began = Instant::now();
            self.exchange_on(&mut stream, &mut from, false)
        };
        let answer = exchange().unwrap_or(None);
        Outcome {
            answer,
            took: began.elapsed(),
        }
    }

    fn connect(&self) -> io::Result<TcpStream> {
        let stream = TcpStream::connect_timeout(&self.to, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(self.deadline_ms + 1_500)))?;
        Ok(stream)
    }

    fn exchange(&self) -> io::Result<Option<Message>> {
        let mut stream = self.connect()?;
        let mut from = BufReader::new(stream.try_clone()?);
        self.exchange_on(&mut stream, &mut from, false)
    }

    fn exchange_on(
        &self,
        stream: &mut TcpStream,
        from: &mut BufReader<TcpStream>,
        keep: bool,
    ) -> io::Result<Option<Message>> {
        let connection = if keep { "keep-alive" } else { "close" };
        let mut head = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nRequest-Id: {}\r\nDeadline-Ms: {}\r\n\
             Authorization: Bearer {}\r\nConnection: {connection}\r\n",
            self.method,
            self.path,
            crate::site::HOST,
            self.id,
            self.deadline_ms,
            crate::site::KEY,
        );
        for (name, value) in self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if self.method == "POST" {
            head.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        head.push_str("\r\n");
        head.push_str(self.body);
        stream.write_all(head.as_bytes())?;
        let Some(mut answer) = read_head(from)? else {
            return Ok(None);
        };
        // One that breaks off is returned with `whole` unset.
        let _broken = read_body(from, &mut answer, !keep);
        Ok(Some(answer))
    }
}

/// Returns the head of a replica's answer, up to the empty line.
pub fn answer_head(status: &str, id: &str, replica: &str, rest: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nRequest-Id: {id}\r\nResponse-Stamp: stamp-{replica}\r\n{rest}\r\n"
    )
}

/// Writes one chunk of a body.
pub fn write_chunk(to: &mut impl Write, bytes: &[u8]) -> io::Result<()> {
    write!(to, "{:x}\r\n", bytes.len())?;
    to.write_all(bytes)?;
    to.write_all(b"\r\n")?;
    to.flush()
}
