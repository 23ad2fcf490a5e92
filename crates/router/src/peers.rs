//! Connections to other routers, opened when needed and dropped on any error.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use briarhall_mesh::MeshError;
use briarhall_mesh::MeshPeer;
use briarhall_net::Executor;
use briarhall_types::Digest;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Connections to other routers.
#[derive(Debug, Clone)]
pub struct Peers {
    secret: Digest,
    executor: Executor,
    connections: Arc<Mutex<HashMap<SocketAddr, MeshPeer>>>,
}

impl Peers {
    /// Creates an empty set.
    #[must_use]
    pub fn new(secret: Digest, executor: Executor) -> Self {
        Self {
            secret,
            executor,
            connections: Arc::default(),
        }
    }

    /// Makes a call to the router at `address`.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no answer. The connection is then dropped,
    /// because it may never carry an answer again; the next call opens another.
    pub async fn call<T, F, C>(&self, address: SocketAddr, call: C) -> Result<T, MeshError>
    where
        C: FnOnce(MeshPeer) -> F,
        F: Future<Output = Result<T, MeshError>>,
    {
        let peer = self.peer(address).await?;
        let result = call(peer).await;
        if result.is_err() {
            self.connections().remove(&address);
        }
        result
    }

    async fn peer(&self, address: SocketAddr) -> Result<MeshPeer, MeshError> {
        let known = self.connections().get(&address).cloned();
        if let Some(peer) = known {
            return Ok(peer);
        }
        let peer =
            MeshPeer::connect(address, &self.secret, &self.executor, CONNECT_TIMEOUT).await?;
        self.connections().insert(address, peer.clone());
        Ok(peer)
    }

    fn connections(&self) -> MutexGuard<'_, HashMap<SocketAddr, MeshPeer>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
