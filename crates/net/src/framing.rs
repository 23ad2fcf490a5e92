//! How the end of an answer's body is marked.
//!
//! A body that ends with its connection cannot be told from one that broke off
//! by its framing alone, so callers that forward it have to know.

use hyper::HeaderMap;
use hyper::header::CONTENT_LENGTH;
use hyper::header::TRANSFER_ENCODING;

/// What marks the end of a body in an HTTP/1 answer (RFC 9112, section 6.3).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// The last chunk.
    Chunked,
    /// The length that the head states.
    Length,
    /// The end of the connection.
    Connection,
}

impl Framing {
    /// Returns the framing of the body that follows these headers, for an answer
    /// that may have a body.
    #[must_use]
    pub fn of(headers: &HeaderMap) -> Self {
        if let Some(last) = headers.get_all(TRANSFER_ENCODING).iter().next_back() {
            let codings = last.as_bytes().rsplit(|byte| *byte == b',');
            let last = codings.map(<[u8]>::trim_ascii).next();
            return if last.is_some_and(|coding| coding.eq_ignore_ascii_case(b"chunked")) {
                Self::Chunked
            } else {
                Self::Connection
            };
        }
        if headers.contains_key(CONTENT_LENGTH) {
            Self::Length
        } else {
            Self::Connection
        }
    }

    /// Returns its name in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Chunked => "chunked",
            Self::Length => "length",
            Self::Connection => "connection",
        }
    }
}
