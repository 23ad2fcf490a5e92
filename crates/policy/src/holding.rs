//! Long prompts that wait at the router until an engine has room for them.
//!
//! Sent early, a long prompt is bound to one engine's queue and holds memory
//! there that short requests need. Kept back, it goes to whichever engine comes
//! free first. Those that wait go in the order of their virtual deadlines, and
//! no more at a time than engines are open.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::hash::Hash;

/// A place in the order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Place<K> {
    deadline: i64,
    key: K,
}

/// Prompts that wait, by virtual deadline.
#[derive(Debug)]
pub struct Holding<K> {
    order: BTreeMap<Place<K>, u64>,
    places: HashMap<K, Place<K>>,
    tokens: u64,
}

impl<K> Default for Holding<K> {
    fn default() -> Self {
        Self {
            order: BTreeMap::new(),
            places: HashMap::new(),
            tokens: 0,
        }
    }
}

impl<K> Holding<K>
where
    K: Copy + Ord + Hash,
{
    /// A prompt waits. One that waits already keeps its place.
    pub fn enter(&mut self, key: K, deadline: i64, tokens: u64) {
        if self.places.contains_key(&key) {
            return;
        }
        let place = Place { deadline, key };
        self.places.insert(key, place);
        self.order.insert(place, tokens);
        self.tokens += tokens;
    }

    /// A prompt was sent or has ended. Repeats do nothing.
    pub fn leave(&mut self, key: &K) {
        let Some(place) = self.places.remove(key) else {
            return;
        };
        self.tokens -= self.order.remove(&place).unwrap_or(0);
    }

    /// Returns whether a prompt is among the first `open` that wait.
    #[must_use]
    pub fn may_go(&self, key: &K, open: usize) -> bool {
        self.order.keys().take(open).any(|place| place.key == *key)
    }

    /// Returns whether a prompt waits.
    #[must_use]
    pub fn contains(&self, key: &K) -> bool {
        self.places.contains_key(key)
    }

    /// Returns the tokens of all that wait.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.tokens
    }
}
