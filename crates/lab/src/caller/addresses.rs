//! Cache of the router addresses that a caller may use.

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

const REFRESH_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Debug, Deserialize)]
struct AddressList {
    addresses: Vec<AddressEntry>,
    keep_for_seconds: u64,
}

#[derive(Debug, Deserialize)]
struct AddressEntry {
    address: SocketAddr,
}

#[derive(Debug)]
struct CachedAddresses {
    addresses: Vec<SocketAddr>,
    expires_at: Instant,
}

/// Router addresses, cached for the time to live that the routers state and used
/// in rotation.
#[derive(Debug, Clone)]
pub struct AddressCache {
    caller: Caller,
    cached: Arc<Mutex<CachedAddresses>>,
    next_index: Arc<AtomicUsize>,
}

impl AddressCache {
    /// Creates a cache that first asks the `initial` addresses.
    #[must_use]
    pub fn new(caller: Caller, initial: Vec<SocketAddr>) -> Self {
        let cached = CachedAddresses {
            addresses: initial,
            expires_at: Instant::now(),
        };
        Self {
            caller,
            cached: Arc::new(Mutex::new(cached)),
            next_index: Arc::default(),
        }
    }

    /// Returns the address for the next request.
    pub async fn next(&self) -> Option<SocketAddr> {
        if self.is_expired() {
            self.refresh().await;
        }
        let addresses = self.addresses();
        let next_index = self.next_index.fetch_add(1, Ordering::Relaxed);
        addresses.get(next_index % addresses.len().max(1)).copied()
    }

    /// Returns the cached addresses.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let cached = self.cached.lock().unwrap_or_else(PoisonError::into_inner);
        cached.addresses.clone()
    }

    fn is_expired(&self) -> bool {
        let cached = self.cached.lock().unwrap_or_else(PoisonError::into_inner);
        Instant::now() >= cached.expires_at
    }

    /// Asks one address after the other for the current list. Keeps the old
    /// addresses if none answers.
    async fn refresh(&self) {
        let addresses = self.addresses();
        let first = self.next_index.load(Ordering::Relaxed);
        for i in 0..addresses.len() {
            let address = addresses[(first + i) % addresses.len()];
            let asked = Instant::now();
            let call = Call::get(address, "/v1/addresses")
                .header("authorization", self.caller.authorization());
            let answer = self
                .caller
                .client
                .fetch::<AddressList>(call, REFRESH_TIMEOUT)
                .await;
            let Ok(answer) = answer else {
                continue;
            };
            if answer.addresses.is_empty() {
                continue;
            }
            let mut cached = self.cached.lock().unwrap_or_else(PoisonError::into_inner);
            cached.addresses = answer.addresses.into_iter().map(|e| e.address).collect();
            cached.expires_at = asked + Duration::from_secs(answer.keep_for_seconds);
            return;
        }
    }
}
