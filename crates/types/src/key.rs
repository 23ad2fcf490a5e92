//! Digests of access keys and idempotency keys.
//!
//! Keys themselves are never stored: a contract holds the digest, and a
//! presented key is digested before it is compared.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error as _;
use thiserror::Error;

/// An error that occurs when a text is not a digest.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("a key digest is 64 hexadecimal digits; print one with `briarhall key digest`")]
pub struct KeyDigestError;

/// A BLAKE3 digest; comparison takes constant time.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct Digest(blake3::Hash);

impl Digest {
    /// Digests a byte string.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self(blake3::hash(bytes))
    }

    /// Digests several parts, each with its length, so that no two different
    /// sequences of parts give the same input.
    #[must_use]
    pub fn of_parts(parts: &[&[u8]]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.finalize())
    }

    /// Creates a digest from its bytes.
    #[must_use]
    pub fn from_bytes(bytes: [u8; 32]) -> Self {
        Self(blake3::Hash::from_bytes(bytes))
    }

    /// Returns the bytes.
    #[must_use]
    pub fn to_bytes(self) -> [u8; 32] {
        *self.0.as_bytes()
    }

    /// Returns the first eight bytes as a number, to choose a shard.
    #[must_use]
    pub fn prefix(&self) -> u64 {
        let mut buf = [0; 8];
        buf.copy_from_slice(&self.0.as_bytes()[..8]);
        u64::from_le_bytes(buf)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0.to_hex())
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({:.8}…)", self.0.to_hex())
    }
}

impl FromStr for Digest {
    type Err = KeyDigestError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let hash = blake3::Hash::from_hex(text).map_err(|_e| KeyDigestError)?;
        Ok(Self(hash))
    }
}

impl Serialize for Digest {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_str(&self.0.to_hex())
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(D::Error::custom)
    }
}
