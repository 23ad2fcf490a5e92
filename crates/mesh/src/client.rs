//! Client side of calls between routers.

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
use crate::transport::send_secret;

/// Reason why a call to another router failed.
#[derive(Debug, Error)]
pub enum MeshError {
    /// No connection could be opened.
    #[error("cannot connect to the router at {address}: {reason}")]
    Connect {
        /// Address of the router.
        address: SocketAddr,
        /// Text of the underlying error.
        reason: String,
    },
    /// The call failed or timed out.
    #[error("call to the router at {address} failed: {reason}")]
    Call {
        /// Address of the router.
        address: SocketAddr,
        /// Text of the underlying error.
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
    /// Opens a connection, with `limit` as timeout.
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
            send_secret(&mut stream, secret).await?;
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
            // An error is also returned to the callers whose calls it ends.
            let _reported_to_callers = dispatch.await;
        });
        Ok(Self {
            address,
            client: new.client,
        })
    }

    /// Pulls heartbeats and configuration changes.
    ///
    /// # Errors
    ///
    /// Returns an error when no answer arrives in time.
    pub async fn pull(&self, req: PullRequest, limit: Duration) -> Result<PullReply, MeshError> {
        let call = self.client.pull(context_for(limit), req);
        self.with_timeout(limit, call).await
    }

    /// Requests that the router writes a claim.
    ///
    /// # Errors
    ///
    /// Returns an error when no answer arrives in time; the claim may have been
    /// written.
    pub async fn claim(&self, req: ClaimRequest, limit: Duration) -> Result<ClaimReply, MeshError> {
        let call = self.client.claim(context_for(limit), req);
        self.with_timeout(limit, call).await
    }

    /// Requests the result of a claimed request.
    ///
    /// # Errors
    ///
    /// Returns an error when no answer arrives in time.
    pub async fn result(
        &self,
        req: ResultRequest,
        limit: Duration,
    ) -> Result<ResultReply, MeshError> {
        let call = self.client.result(context_for(limit), req);
        self.with_timeout(limit, call).await
    }

    /// Reports demand and returns the granted shares.
    ///
    /// # Errors
    ///
    /// Returns an error when no answer arrives in time.
    pub async fn share(&self, req: ShareRequest, limit: Duration) -> Result<ShareReply, MeshError> {
        let call = self.client.share(context_for(limit), req);
        self.with_timeout(limit, call).await
    }

    /// Sends notices of suspect requests.
    ///
    /// # Errors
    ///
    /// Returns an error when no answer arrives in time.
    pub async fn send_notices(
        &self,
        notices: Vec<SuspicionNotice>,
        limit: Duration,
    ) -> Result<(), MeshError> {
        let call = self.client.tell(context_for(limit), notices);
        self.with_timeout(limit, call).await
    }

    async fn with_timeout<F, T>(&self, limit: Duration, call: F) -> Result<T, MeshError>
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
