//! I/O of the control thread: each task asks the control state what to do, does
//! it, and sends back the result.

mod chains;
mod config;
mod endpoints;
mod gossip;

use std::time::Duration;

use async_channel::Receiver;
use async_io::Timer;
use briarhall_endpoint::EngineClient;
use briarhall_net::Executor;
use briarhall_objects::FleetApi;

use super::ControlHandle;
use super::Msg;
use super::Wakeup;
use crate::peers::Peers;

/// Kind of the objects that hold the configuration.
pub const CONFIG_KIND: &str = "config";

const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Handles and clients that the tasks use.
#[derive(Debug, Clone)]
pub struct TaskContext<P> {
    /// The control thread.
    pub control: ControlHandle,
    /// The platform.
    pub platform: P,
    /// Other routers.
    pub peers: Peers,
    /// Engines.
    pub engines: EngineClient,
    /// Where tasks run.
    pub executor: Executor,
}

impl<P> TaskContext<P>
where
    P: FleetApi,
{
    /// Starts every task.
    pub fn start(&self, wakeups: Receiver<Wakeup>) {
        let executor = &self.executor;
        executor.detach(self.clone().watch_config());
        executor.detach(self.clone().gossip());
        executor.detach(self.clone().confirm());
        executor.detach(self.clone().maintain_roster());
        executor.detach(self.clone().list_vms());
        executor.detach(self.clone().read_loads());
        executor.detach(self.clone().share());
        executor.detach(self.clone().tick());
        executor.detach(self.clone().trim_chains());
        executor.detach(self.clone().handle_wakeups(wakeups));
    }

    async fn tick(self) {
        loop {
            Timer::after(TICK_INTERVAL).await;
            self.control.send(Msg::Tick).await;
        }
    }

    async fn handle_wakeups(self, wakeups: Receiver<Wakeup>) {
        while let Ok(wakeup) = wakeups.recv().await {
            let cx = self.clone();
            match wakeup {
                Wakeup::Chain(range) => self.executor.detach(cx.drive_chain(range)),
                Wakeup::Notices => self.executor.detach(cx.send_notices()),
            }
        }
    }
}
