//! Answers the calls of other routers.

use std::time::Duration;
use std::time::Instant;

use briarhall_mesh::ClaimReply;
use briarhall_mesh::ClaimRequest;
use briarhall_mesh::MeshHandler;
use briarhall_mesh::PullReply;
use briarhall_mesh::PullRequest;
use briarhall_mesh::ResultReply;
use briarhall_mesh::ResultRequest;
use briarhall_mesh::ShareReply;
use briarhall_mesh::ShareRequest;
use briarhall_policy::claims::ClaimStatus;
use briarhall_policy::suspects::SuspicionNotice;

use crate::control::ClaimAnswer;
use crate::control::ControlHandle;
use crate::control::Msg;

/// Part of the asking router's time limit that is kept for returning the reply.
const REPLY_MARGIN: Duration = Duration::from_millis(50);

/// Answers other routers.
#[derive(Debug, Clone)]
pub struct MeshService {
    /// The control thread.
    pub control: ControlHandle,
}

impl MeshHandler for MeshService {
    async fn pull(&self, req: PullRequest) -> PullReply {
        let req = Box::new(req);
        self.control.ask(|reply| Msg::Pull(req, reply)).await
    }

    async fn claim(&self, req: ClaimRequest) -> ClaimReply {
        let limit = Duration::from_millis(req.limit_ms).saturating_sub(REPLY_MARGIN);
        let until = Instant::now() + limit;
        let request = req.claim.request;
        let answer = self
            .control
            .ask(|reply| Msg::Claim(req.claim, until, reply));
        match answer.await {
            ClaimAnswer::Decided(ClaimStatus::Granted) => ClaimReply::Granted,
            ClaimAnswer::Decided(ClaimStatus::Taken(active)) => ClaimReply::Taken {
                id: active.id,
                holder: active.holder,
                same_request: active.request == request,
            },
            ClaimAnswer::Decided(ClaimStatus::Void) | ClaimAnswer::Undecided => {
                ClaimReply::Undecided
            }
        }
    }

    async fn result(&self, req: ResultRequest) -> ResultReply {
        let wait = Duration::from_millis(req.wait_ms);
        let ask = self.control.ask(|reply| Msg::ClaimResult(req.claim, reply));
        match briarhall_net::timeout(wait, ask).await {
            Ok(Some(result)) => ResultReply::Ended(result),
            Ok(None) => ResultReply::Unknown,
            Err(_elapsed) => ResultReply::Running,
        }
    }

    async fn share(&self, req: ShareRequest) -> ShareReply {
        self.control.ask(|reply| Msg::Share(req, reply)).await
    }

    async fn apply_notices(&self, notices: Vec<SuspicionNotice>) {
        self.control.send(Msg::ApplyNotices(notices)).await;
    }
}
