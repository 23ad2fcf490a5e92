//! Just enough HTTP/1.1 for stand-ins: heads, bodies with a length or in chunks.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Result;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::os::fd::FromRawFd;
use std::thread;
use std::time::Duration;

/// A message's first line and headers, names in lower case.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut of_name = self.headers.iter().filter(|(n, _)| n == name);
        of_name.next().map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    pub fn is_chunked(&self) -> bool {
        self.header("transfer-encoding")
            .is_some_and(|value| value.to_ascii_lowercase().contains("chunked"))
    }

    pub fn length(&self) -> Option<usize> {
        self.header("content-length")?.trim().parse().ok()
    }
}

/// A connection with the bytes that were read ahead.
pub struct Conn {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _result = stream.set_nodelay(true);
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    pub fn open(to: SocketAddr, limit: Duration) -> Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&to, limit)?))
    }

    /// Bytes that were read and belong to no message yet.
    pub fn read_ahead(&self) -> &[u8] {
        &self.buf
    }

    /// Reads more bytes; `false` at the end of the connection.
    pub fn fill(&mut self) -> Result<bool> {
        let mut bytes = [0; 16 * 1024];
        let read = self.stream.read(&mut bytes)?;
        self.buf.extend_from_slice(&bytes[..read]);
        Ok(read > 0)
    }

    /// Reads a head; `None` if the connection ends before its first byte.
    pub fn head(&mut self) -> Result<Option<Head>> {
        let end = loop {
            if let Some(at) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                break at + 4;
            }
            if !self.fill()? {
                if self.buf.is_empty() {
                    return Ok(None);
                }
                return Err(ErrorKind::UnexpectedEof.into());
            }
        };
        let bytes = self.buf.drain(..end).collect::<Vec<_>>();
        let text = String::from_utf8_lossy(&bytes);
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(n, v)| (n.trim().to_ascii_lowercase(), v.trim().to_owned()));
        Ok(Some(Head {
            first,
            headers: headers.collect(),
        }))
    }

    pub fn take(&mut self, len: usize) -> Result<Vec<u8>> {
        while self.buf.len() < len {
            if !self.fill()? {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buf.drain(..len).collect())
    }

    pub fn line(&mut self) -> Result<String> {
        loop {
            if let Some(at) = self.buf.windows(2).position(|w| w == b"\r\n") {
                let bytes = self.take(at + 2)?;
                return Ok(String::from_utf8_lossy(&bytes[..at]).into_owned());
            }
            if !self.fill()? {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads one chunk; it is empty at the end of the body.
    pub fn chunk(&mut self) -> Result<Vec<u8>> {
        let line = self.line()?;
        let size = line.split(';').next().unwrap_or_default().trim();
        let size = usize::from_str_radix(size, 16).map_err(|_| ErrorKind::InvalidData)?;
        let bytes = self.take(size)?;
        if size == 0 {
            while !self.line()?.is_empty() {}
        } else if !self.line()?.is_empty() {
            return Err(ErrorKind::InvalidData.into());
        }
        Ok(bytes)
    }

    /// Reads the whole body of a request.
    pub fn request_body(&mut self, head: &Head) -> Result<Vec<u8>> {
        if head.is_chunked() {
            let mut body = Vec::new();
            loop {
                let chunk = self.chunk()?;
                if chunk.is_empty() {
                    return Ok(body);
                }
                body.extend_from_slice(&chunk);
            }
        }
        self.take(head.length().unwrap_or(0))
    }

    pub fn write(&mut self, bytes: &[u8]) -> Result<()> {
        self.stream.write_all(bytes)
    }
}

/// Opens a connection like one of an Ethernet path, with segments of 1,460 bytes, whose
/// client has a small receive buffer.
pub fn open_small(to: SocketAddr, receive_buffer: i32) -> Result<TcpStream> {
    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    const SEGMENT: i32 = 1_460;
    let SocketAddr::V4(to) = to else {
        return Err(ErrorKind::Unsupported.into());
    };
    let mut address = [0_u8; 16];
    address[..2].copy_from_slice(&(AF_INET as u16).to_ne_bytes());
    address[2..4].copy_from_slice(&to.port().to_be_bytes());
    address[4..8].copy_from_slice(&to.ip().octets());
    // SAFETY: each call gets pointers to values that live through it, with their lengths.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return Err(std::io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        for (level, option, value) in [
            (SOL_SOCKET, SO_RCVBUF, receive_buffer),
            (IPPROTO_TCP, TCP_MAXSEG, SEGMENT),
        ] {
            if setsockopt(fd, level, option, &raw const value, 4) != 0 {
                return Err(std::io::Error::last_os_error());
            }
        }
        if connect(fd, address.as_ptr(), 16) != 0 {
            return Err(std::io::Error::last_os_error());
        }
        Ok(stream)
    }
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, option: i32, value: *const i32, len: u32) -> i32;
    fn connect(fd: i32, address: *const u8, len: u32) -> i32;
}

/// Serves each connection on a thread of its own, until the process ends.
pub fn listen<H>(address: SocketAddr, handler: H) -> Result<()>
where
    H: Fn(Conn) + Clone + Send + 'static,
{
    let listener = TcpListener::bind(address)?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || handler(Conn::new(stream)));
        }
    });
    Ok(())
}

/// Returns an answer with a length.
pub fn answer(status: &str, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
