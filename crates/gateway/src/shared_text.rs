//! A list in the form in which other gateways read it, made once for all of them.
//!
//! Many ask at the same moment, as each change of a list is news to all. A copy for each
//! would take more memory and processor time than a small VM has, and room from the answers
//! to clients.

use std::io;
use std::io::Read;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::Weak;

use bytes::Bytes;
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;

/// Most earlier texts that may still be under way, to gateways that read them slowly.
const MAX_EARLIER: usize = 4;

/// A text, and the same in the `deflate` coding of HTTP.
#[derive(Debug)]
pub struct Encoded {
    plain: Vec<u8>,
    deflated: OnceLock<Vec<u8>>,
}

impl Encoded {
    fn deflated(&self) -> &[u8] {
        self.deflated.get_or_init(|| {
            let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
            let written = encoder.write_all(&self.plain);
            // Writing to memory does not fail; an empty text would be refused as unreadable.
            let text = written.and_then(|()| encoder.finish());
            text.unwrap_or_default()
        })
    }
}

/// Bytes that keep the text alive as long as they are under way.
struct Plain(Arc<Encoded>);

impl AsRef<[u8]> for Plain {
    fn as_ref(&self) -> &[u8] {
        &self.0.plain
    }
}

struct Deflated(Arc<Encoded>);

impl AsRef<[u8]> for Deflated {
    fn as_ref(&self) -> &[u8] {
        self.0.deflated()
    }
}

/// Returns the bytes of a text, which share its memory.
pub fn bytes(text: Arc<Encoded>, deflate: bool) -> Bytes {
    if deflate {
        Bytes::from_owner(Deflated(text))
    } else {
        Bytes::from_owner(Plain(text))
    }
}

/// Decodes the `deflate` coding of HTTP.
///
/// # Errors
///
/// Returns an error when the bytes are not in it, or longer than `limit` without it.
pub fn inflate(deflated: &[u8], limit: usize) -> io::Result<Vec<u8>> {
    let mut text = Vec::new();
    let most = u64::try_from(limit).unwrap_or(u64::MAX);
    let len = ZlibDecoder::new(deflated)
        .take(most.saturating_add(1))
        .read_to_end(&mut text)?;
    if len > limit {
        return Err(io::Error::other(format!("longer than {limit} bytes")));
    }
    Ok(text)
}

/// The current text of one list, by what tells it from earlier ones.
#[derive(Debug)]
pub struct SharedText<K> {
    inner: Mutex<Inner<K>>,
}

#[derive(Debug)]
struct Inner<K> {
    current: Option<(K, Arc<Encoded>)>,
    /// Texts that were replaced, and may be under way.
    earlier: Vec<Weak<Encoded>>,
}

impl<K> Default for SharedText<K> {
    fn default() -> Self {
        let inner = Inner {
            current: None,
            earlier: Vec::new(),
        };
        Self {
            inner: Mutex::new(inner),
        }
    }
}

impl<K> SharedText<K>
where
    K: PartialEq,
{
    /// Returns the text with this key, made by `encode` unless it is the current one. Returns
    /// `None` while too many earlier ones are under way.
    pub fn get<F>(&self, key: K, encode: F) -> Option<Arc<Encoded>>
    where
        F: FnOnce() -> Vec<u8>,
    {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((current, text)) = &inner.current
            && *current == key
        {
            return Some(Arc::clone(text));
        }
        inner.earlier.retain(|text| text.strong_count() > 0);
        if inner.earlier.len() >= MAX_EARLIER {
            return None;
        }
        let text = Arc::new(Encoded {
            plain: encode(),
            deflated: OnceLock::new(),
        });
        if let Some((_, replaced)) = inner.current.replace((key, Arc::clone(&text))) {
            inner.earlier.push(Arc::downgrade(&replaced));
        }
        Some(text)
    }
}
