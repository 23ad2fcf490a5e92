//! The answering side.

use std::future::ready;
use std::time::Duration;

use async_io::Timer;
use async_net::TcpListener;
use async_net::TcpStream;
use briarhall_net::Executor;
use briarhall_net::timeout;
use briarhall_policy::suspects::SuspicionNotice;
use briarhall_types::Digest;
use futures::StreamExt;
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
use crate::transport::is_proved;

const PROOF_LIMIT: Duration = Duration::from_secs(2);
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Answers other routers' calls.
pub trait MeshHandler: Clone + Send + Sync + 'static {
    /// Gives news.
    fn pull(&self, req: PullRequest) -> impl Future<Output = PullReply> + Send;
    /// Writes a claim on behalf of the asking router.
    fn claim(&self, req: ClaimRequest) -> impl Future<Output = ClaimReply> + Send;
    /// Tells what became of a claim.
    fn result(&self, req: ResultRequest) -> impl Future<Output = ResultReply> + Send;
    /// Grants shares of limits.
    fn share(&self, req: ShareRequest) -> impl Future<Output = ShareReply> + Send;
    /// Takes notice of requests under suspicion.
    fn tell(&self, notices: Vec<SuspicionNotice>) -> impl Future<Output = ()> + Send;
}

/// Gives a handler the form that tarpc calls.
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
        self.handler.tell(notices).await;
    }
}

/// Accepts connections of other routers for ever and answers with `handler`.
pub async fn serve_mesh<H>(listener: TcpListener, secret: Digest, executor: Executor, handler: H)
where
    H: MeshHandler,
{
    loop {
        match listener.accept().await {
            Ok((stream, _peer)) => {
                let executor = executor.clone();
                let handler = handler.clone();
                let connection = serve_connection(stream, secret, executor.clone(), handler);
                executor.detach(connection);
            }
            Err(e) => {
                log::warn!(error = e.to_string().as_str(); "cannot accept a router's connection");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection<H>(mut stream: TcpStream, secret: Digest, executor: Executor, handler: H)
where
    H: MeshHandler,
{
    // Without it answers are only slower.
    let _slower = stream.set_nodelay(true);
    let proved = timeout(PROOF_LIMIT, is_proved(&mut stream, &secret)).await;
    if proved != Ok(true) {
        log::warn!("a connection to the mesh did not prove the secret");
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
