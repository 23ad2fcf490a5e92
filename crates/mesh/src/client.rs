//! The calling side.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use async_net::TcpStream;
use briarhall_net::Executor;
use briarhall_net::timeout;
use briarhall_policy::suspects::SuspicionNotice;
use briarhall_types::Digest;
use tarpc::client::Config;
use tarpc::client::RpcError;
use tarpc::context;
use tarpc::context::Context;
use thiserror::Error;

use crate::ClaimReply;
use crate::ClaimRequest;
use crate::PullReply;
use crate::PullRequest;
use crate::ResultReply;
use crate::ResultRequest;
use crate::ShareReply;
use crate::ShareRequest;
use crate::messages::MeshClient;
use crate::transport::framed;
use crate::transport::prove;

/// Says why a call to another router gave no answer.
#[derive(Debug, Error)]
pub enum MeshError {
    /// No connection could be opened.
    #[error("cannot connect to the router at {address}: {reason}")]
    Connect {
        /// Where the call went.
        address: SocketAddr,
        /// What was seen.
        reason: String,
    },
    /// The call failed or took too long.
    #[error("call to the router at {address} failed: {reason}")]
    Call {
        /// Where the call went.
        address: SocketAddr,
        /// What was seen.
        reason: String,
    },
}

/// A connection to another router.
#[derive(Debug, Clone)]
pub struct MeshPeer {
    address: SocketAddr,
    client: MeshClient,
}

impl MeshPeer {
    /// Opens a connection within `limit`.
    ///
    /// # Errors
    ///
    /// Returns an error when the router cannot be reached.
    pub async fn connect(
        address: SocketAddr,
        secret: &Digest,
        executor: &Executor,
        limit: Duration,
    ) -> Result<Self, MeshError> {
        let connect = async {
            let mut stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            prove(&mut stream, secret).await?;
            Ok::<_, std::io::Error>(stream)
        };
        let error = |reason: String| MeshError::Connect { address, reason };
        let stream = timeout(limit, connect)
            .await
            .map_err(|e| error(e.to_string()))?
            .map_err(|e| error(e.to_string()))?;
        let new = MeshClient::new(Config::default(), framed(stream));
        let dispatch = new.dispatch;
        executor.detach(async move {
            // Its error reaches the callers whose calls it ends.
            let _seen_by_callers = dispatch.await;
        });
        Ok(Self {
            address,
            client: new.client,
        })
    }

    /// Asks for news.
    ///
    /// # Errors
    ///
    /// Returns an error when no answer came in time.
    pub async fn pull(&self, req: PullRequest, limit: Duration) -> Result<PullReply, MeshError> {
        let call = self.client.pull(context_for(limit), req);
        self.within(limit, call).await
    }

    /// Asks to write a claim.
    ///
    /// # Errors
    ///
    /// Returns an error when no answer came in time; the claim may have been
    /// written.
    pub async fn claim(&self, req: ClaimRequest, limit: Duration) -> Result<ClaimReply, MeshError> {
        let call = self.client.claim(context_for(limit), req);
        self.within(limit, call).await
    }

    /// Asks what became of a claim.
    ///
    /// # Errors
    ///
    /// Returns an error when no answer came in time.
    pub async fn result(
        &self,
        req: ResultRequest,
        limit: Duration,
    ) -> Result<ResultReply, MeshError> {
        let call = self.client.result(context_for(limit), req);
        self.within(limit, call).await
    }

    /// Reports demand.
    ///
    /// # Errors
    ///
    /// Returns an error when no answer came in time.
    pub async fn share(&self, req: ShareRequest, limit: Duration) -> Result<ShareReply, MeshError> {
        let call = self.client.share(context_for(limit), req);
        self.within(limit, call).await
    }

    /// Gives notice of requests under suspicion.
    ///
    /// # Errors
    ///
    /// Returns an error when no answer came in time.
    pub async fn tell(
        &self,
        notices: Vec<SuspicionNotice>,
        limit: Duration,
    ) -> Result<(), MeshError> {
        let call = self.client.tell(context_for(limit), notices);
        self.within(limit, call).await
    }

    async fn within<F, T>(&self, limit: Duration, call: F) -> Result<T, MeshError>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let error = |reason: String| MeshError::Call {
            address: self.address,
            reason,
        };
        timeout(limit, call)
            .await
            .map_err(|e| error(e.to_string()))?
            .map_err(|e| error(e.to_string()))
    }
}

fn context_for(limit: Duration) -> Context {
    let mut cx = context::current();
    cx.deadline = Instant::now() + limit;
    cx
}
