//! Calls to other routers: pulls, share reports and suspicion notices.

use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use briarhall_mesh::MeshPeer;
use briarhall_mesh::ShareReply;
use briarhall_objects::FleetApi;
use briarhall_policy::share_allocator::REPORT_TIMEOUT;
use futures::future::join_all;

use super::TaskContext;
use crate::control::Msg;
use crate::control::messages::SharePlan;

const PULL_INTERVAL: Duration = Duration::from_millis(250);
const PULL_TIMEOUT: Duration = Duration::from_millis(700);
const SHARE_INTERVAL: Duration = Duration::from_millis(300);
const NOTICE_TIMEOUT: Duration = Duration::from_millis(700);

impl<P> TaskContext<P>
where
    P: FleetApi,
{
    pub(super) async fn gossip(self) {
        loop {
            let plan = self.control.ask(Msg::PullPlan).await;
            let pulls = plan.addresses.iter().map(|address| {
                let req = plan.req.clone();
                let cx = &self;
                async move {
                    let asked = Instant::now();
                    let call = |peer: MeshPeer| async move { peer.pull(req, PULL_TIMEOUT).await };
                    match cx.peers.call(*address, call).await {
                        Ok(reply) => cx.control.send(Msg::Pulled(Box::new(reply), asked)).await,
                        Err(e) => log::debug!(error = e.to_string().as_str(); "cannot pull from another router"),
                    }
                }
            });
            // The next round waits for all calls of this one; their time limits
            // bound the delay that a slow router causes.
            let round = async {
                join_all(pulls).await;
            };
            futures::future::join(round, Timer::after(PULL_INTERVAL)).await;
        }
    }

    pub(super) async fn share(self) {
        loop {
            let plans = self.control.ask(Msg::SharePlans).await;
            join_all(plans.into_iter().map(|plan| self.report_demand(plan))).await;
            Timer::after(SHARE_INTERVAL).await;
        }
    }

    async fn report_demand(&self, plan: SharePlan) {
        let asked = Instant::now();
        let Some(reply) = self.ask_allocator(plan).await else {
            return;
        };
        self.control.send(Msg::Granted(reply, asked)).await;
    }

    async fn ask_allocator(&self, plan: SharePlan) -> Option<ShareReply> {
        let Some(address) = plan.address else {
            return Some(self.control.ask(|reply| Msg::Share(plan.req, reply)).await);
        };
        let call = |peer: MeshPeer| async move { peer.share(plan.req, REPORT_TIMEOUT).await };
        self.peers.call(address, call).await.ok()
    }

    pub(super) async fn send_notices(self) {
        let (addresses, notices) = self.control.ask(Msg::TakeNotices).await;
        if notices.is_empty() {
            return;
        }
        let calls = addresses.into_iter().map(|address| {
            let notices = notices.clone();
            let call =
                |peer: MeshPeer| async move { peer.send_notices(notices, NOTICE_TIMEOUT).await };
            self.peers.call(address, call)
        });
        // Blocked fingerprints are also part of every pull reply, which makes up
        // for lost notices.
        join_all(calls).await;
    }
}
