//! The addresses a caller was told to use.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use briarhall_net::Call;
use serde::Deserialize;

use super::Caller;

const ASK_LIMIT: Duration = Duration::from_secs(2);

#[derive(Debug, Deserialize)]
struct Answer {
    addresses: Vec<Entry>,
    keep_for_seconds: u64,
}

#[derive(Debug, Deserialize)]
struct Entry {
    address: SocketAddr,
}

#[derive(Debug)]
struct Kept {
    addresses: Vec<SocketAddr>,
    until: Instant,
}

/// Addresses kept for as long as the system allows, used in turn.
#[derive(Debug, Clone)]
pub struct AddressBook {
    caller: Caller,
    kept: Arc<Mutex<Kept>>,
    turn: Arc<AtomicUsize>,
}

impl AddressBook {
    /// Creates a book that first asks one of `known`.
    #[must_use]
    pub fn new(caller: Caller, known: Vec<SocketAddr>) -> Self {
        let kept = Kept {
            addresses: known,
            until: Instant::now(),
        };
        Self {
            caller,
            kept: Arc::new(Mutex::new(kept)),
            turn: Arc::default(),
        }
    }

    /// Returns the address for the next request.
    pub async fn next(&self) -> Option<SocketAddr> {
        if self.has_run_out() {
            self.ask().await;
        }
        let addresses = self.addresses();
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        addresses.get(turn % addresses.len().max(1)).copied()
    }

    /// Returns the addresses kept now.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        kept.addresses.clone()
    }

    fn has_run_out(&self) -> bool {
        let kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        Instant::now() >= kept.until
    }

    /// Asks one address after the other; without an answer the old ones stay.
    async fn ask(&self) {
        let addresses = self.addresses();
        let first = self.turn.load(Ordering::Relaxed);
        for i in 0..addresses.len() {
            let address = addresses[(first + i) % addresses.len()];
            let asked = Instant::now();
            let call = Call::get(address, "/v1/addresses")
                .header("authorization", self.caller.authorization());
            let answer = self.caller.client.fetch::<Answer>(call, ASK_LIMIT).await;
            let Ok(answer) = answer else {
                continue;
            };
            if answer.addresses.is_empty() {
                continue;
            }
            let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
            kept.addresses = answer.addresses.into_iter().map(|e| e.address).collect();
            kept.until = asked + Duration::from_secs(answer.keep_for_seconds);
            return;
        }
    }
}
