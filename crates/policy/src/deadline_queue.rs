//! Long prompts that wait at the router until an engine has room for them.
//!
//! A long prompt that is sent early is bound to one engine's queue and holds
//! memory there that short requests need. If it waits at the router, it goes to
//! whichever engine becomes free first. Prompts are sent in the order of their
//! virtual deadlines, and no more at a time than there are open engines.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::hash::Hash;

/// A position in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Position<K> {
    deadline: i64,
    key: K,
}

/// Waiting prompts, ordered by virtual deadline.
#[derive(Debug)]
pub struct DeadlineQueue<K> {
    /// Tokens of each prompt, by its position.
    order: BTreeMap<Position<K>, u64>,
    positions: HashMap<K, Position<K>>,
    tokens: u64,
}

impl<K> Default for DeadlineQueue<K> {
    fn default() -> Self {
        Self {
            order: BTreeMap::new(),
            positions: HashMap::new(),
            tokens: 0,
        }
    }
}

impl<K> DeadlineQueue<K>
where
    K: Copy + Ord + Hash,
{
    /// Adds a prompt. One that waits already keeps its position.
    pub fn enter(&mut self, key: K, deadline: i64, tokens: u64) {
        if self.positions.contains_key(&key) {
            return;
        }
        let position = Position { deadline, key };
        self.positions.insert(key, position);
        self.order.insert(position, tokens);
        self.tokens += tokens;
    }

    /// Removes a prompt that was sent or has ended. Repeated calls do nothing.
    pub fn leave(&mut self, key: &K) {
        let Some(position) = self.positions.remove(key) else {
            return;
        };
        self.tokens -= self.order.remove(&position).unwrap_or(0);
    }

    /// Returns whether a prompt is among the first `open` waiting prompts.
    #[must_use]
    pub fn is_among_first(&self, key: &K, open: usize) -> bool {
        self.order
            .keys()
            .take(open)
            .any(|position| position.key == *key)
    }

    /// Returns whether a prompt waits.
    #[must_use]
    pub fn contains(&self, key: &K) -> bool {
        self.positions.contains_key(key)
    }

    /// Returns the total tokens of all waiting prompts.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.tokens
    }
}
