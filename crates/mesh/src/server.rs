//! Server side of calls between routers.

use std::future::ready;
use std::time::Duration;

use async_io::Timer;
use async_net::TcpListener;
use async_net::TcpStream;
use briarhall_net::Admission;
use briarhall_net::Admitted;
use briarhall_net::Executor;
use briarhall_net::timeout;
use briarhall_policy::holdings::Pool;
use briarhall_policy::suspects::SuspicionNotice;
use briarhall_types::Digest;
use futures::StreamExt;
use futures_lite::future;
use tarpc::context::Context;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;

use crate::ClaimReply;
use crate::ClaimRequest;
use crate::PullReply;
use crate::PullRequest;
use crate::ResultReply;
use crate::ResultRequest;
use crate::ShareReply;
use crate::ShareRequest;
use crate::messages::Mesh;
use crate::transport::framed;
use crate::transport::received_secret;

/// Maximum time to wait for the secret on a new connection.
const SECRET_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before the next accept after an accept failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Handles the calls of other routers.
pub trait MeshHandler: Clone + Send + Sync + 'static {
    /// Returns heartbeats and configuration changes.
    fn pull(&self, req: PullRequest) -> impl Future<Output = PullReply> + Send;
    /// Writes a claim on behalf of the requesting router.
    fn claim(&self, req: ClaimRequest) -> impl Future<Output = ClaimReply> + Send;
    /// Returns the result of a claimed request.
    fn result(&self, req: ResultRequest) -> impl Future<Output = ResultReply> + Send;
    /// Records demand and returns shares of limits.
    fn share(&self, req: ShareRequest) -> impl Future<Output = ShareReply> + Send;
    /// Applies notices of suspect requests.
    fn apply_notices(&self, notices: Vec<SuspicionNotice>) -> impl Future<Output = ()> + Send;
}

/// Implements the tarpc service with a handler.
#[derive(Debug, Clone)]
struct Adapter<H> {
    handler: H,
}

impl<H> Mesh for Adapter<H>
where
    H: MeshHandler,
{
    async fn pull(self, _: Context, req: PullRequest) -> PullReply {
        self.handler.pull(req).await
    }

    async fn claim(self, _: Context, req: ClaimRequest) -> ClaimReply {
        self.handler.claim(req).await
    }

    async fn result(self, _: Context, req: ResultRequest) -> ResultReply {
        self.handler.result(req).await
    }

    async fn share(self, _: Context, req: ShareRequest) -> ShareReply {
        self.handler.share(req).await
    }

    async fn tell(self, _: Context, notices: Vec<SuspicionNotice>) {
        self.handler.apply_notices(notices).await;
    }
}

/// Accepts connections of other routers and answers their calls with `handler`.
/// Never returns. A connection for which `admission` has no place is closed.
pub async fn serve_mesh<H>(
    listener: TcpListener,
    secret: Digest,
    executor: Executor,
    admission: Admission,
    handler: H,
) where
    H: MeshHandler,
{
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let Ok(admitted) = admission.connect(Pool::Peers, peer.ip()).await else {
                    continue;
                };
                let connection =
                    serve_connection(stream, secret, admitted, executor.clone(), handler.clone());
                executor.detach(connection);
            }
            Err(e) => {
                log::warn!(error = e.to_string().as_str(); "cannot accept a connection from another router");
                Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection<H>(
    mut stream: TcpStream,
    secret: Digest,
    admitted: Admitted,
    executor: Executor,
    handler: H,
) where
    H: MeshHandler,
{
    // A failure only makes answers slower.
    let _ignored = stream.set_nodelay(true);
    let client = &admitted.client;
    let secret = timeout(SECRET_TIMEOUT, received_secret(&mut stream, &secret));
    let evicted = async {
        client.evicted().await;
        Ok(false)
    };
    let has_secret = future::or(secret, evicted).await;
    if has_secret != Ok(true) {
        log::debug!("closed a connection from a peer that did not send the mesh secret");
        return;
    }
    // From here on it is a router, which does not go for others.
    if client.begin_waiting().is_err() {
        return;
    }
    let channel = BaseChannel::with_defaults(framed(stream));
    let calls = channel.execute(Adapter { handler }.serve());
    calls
        .for_each(|call| {
            executor.detach(call);
            ready(())
        })
        .await;
}
