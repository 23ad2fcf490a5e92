//! Prefix cache: which leading blocks of a prompt were prefilled recently.

use std::collections::HashMap;

use briarhall_types::BYTES_PER_TOKEN;

/// Tokens of one cached block.
pub const BLOCK_TOKENS: u64 = 1_024;

#[expect(clippy::cast_possible_truncation, reason = "4 KiB fits in any usize")]
const BLOCK_BYTES: usize = (BLOCK_TOKENS * BYTES_PER_TOKEN) as usize;

/// Chain of digests, one for each whole block of a prompt.
pub type BlockChain = Vec<u64>;

/// Returns the digests of a prompt's whole blocks; each also covers all blocks
/// before it.
#[must_use]
pub fn block_chain(prompt: &[u8]) -> BlockChain {
    let mut hasher = blake3::Hasher::new();
    let blocks = prompt.chunks_exact(BLOCK_BYTES);
    blocks
        .map(|block| {
            hasher.update(block);
            let mut buf = [0; 8];
            hasher.finalize_xof().fill(&mut buf);
            u64::from_le_bytes(buf)
        })
        .collect()
}

/// Cache of a limited number of blocks, with least-recently-used eviction.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    clock: u64,
    last_used: HashMap<u64, u64>,
}

impl PrefixCache {
    /// Creates an empty cache of `capacity` blocks.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            clock: 0,
            last_used: HashMap::new(),
        }
    }

    /// Returns how many leading tokens are cached.
    #[must_use]
    pub fn hit_tokens(&self, chain: &[u64]) -> u64 {
        let blocks = chain
            .iter()
            .take_while(|block| self.last_used.contains_key(block));
        blocks.count() as u64 * BLOCK_TOKENS
    }

    /// Inserts a prompt's blocks and returns how many blocks were evicted.
    pub fn insert(&mut self, chain: &[u64]) -> usize {
        self.clock += 1;
        for block in chain {
            self.last_used.insert(*block, self.clock);
        }
        let excess = self.last_used.len().saturating_sub(self.capacity);
        if excess == 0 {
            return 0;
        }
        let mut ages = self
            .last_used
            .iter()
            .map(|(b, at)| (*at, *b))
            .collect::<Vec<_>>();
        ages.sort_unstable();
        for (_, block) in &ages[..excess] {
            self.last_used.remove(block);
        }
        excess
    }
}
