//! Rendezvous hashing: every router picks the same member for a key without
//! coordination, and when members change, only the keys of those members move.

use std::hash::Hash;
use std::hash::Hasher;

const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0100_0000_01b3;

/// FNV-1a with a final mix; stable across processes and versions.
#[derive(Debug)]
struct StableHasher(u64);

impl Hasher for StableHasher {
    fn finish(&self) -> u64 {
        let mut x = self.0;
        x ^= x >> 33;
        x = x.wrapping_mul(0xff51_afd7_ed55_8ccd);
        x ^= x >> 33;
        x = x.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
        x ^ (x >> 33)
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(PRIME);
        }
    }
}

/// Returns the weight of `member` for `key`.
pub fn weight<K, M>(key: &K, member: &M) -> u64
where
    K: Hash + ?Sized,
    M: Hash + ?Sized,
{
    let mut hasher = StableHasher(OFFSET_BASIS);
    key.hash(&mut hasher);
    member.hash(&mut hasher);
    hasher.finish()
}

/// Returns the member with the greatest weight for `key`.
pub fn pick<'a, K, M, I>(key: &K, members: I) -> Option<&'a M>
where
    K: Hash + ?Sized,
    M: Hash + Ord + ?Sized + 'a,
    I: IntoIterator<Item = &'a M>,
{
    members
        .into_iter()
        .max_by_key(|member| (weight(key, *member), *member))
}
