//! Polls the platform's list of VMs and the engines' load.

use std::net::SocketAddr;
use std::time::Duration;

use async_io::Timer;
use briarhall_objects::FleetApi;
use briarhall_types::EndpointName;
use futures::future::join_all;

use super::TaskContext;
use crate::control::Msg;

const LIST_INTERVAL: Duration = Duration::from_millis(500);
const LOAD_INTERVAL: Duration = Duration::from_millis(100);
const LOAD_TIMEOUT: Duration = Duration::from_millis(300);

impl<P> TaskContext<P>
where
    P: FleetApi,
{
    pub(super) async fn list_vms(self) {
        loop {
            match self.platform.vms().await {
                Ok(listing) => self.control.send(Msg::Listed(listing.items)).await,
                Err(e) => log::debug!(error = e.to_string().as_str(); "cannot list VMs"),
            }
            Timer::after(LIST_INTERVAL).await;
        }
    }

    pub(super) async fn read_loads(self) {
        loop {
            let engines = self.control.ask(Msg::Engines).await;
            let reads = engines
                .into_iter()
                .map(|(name, address)| self.read_load(name, address));
            let round = async {
                join_all(reads).await;
            };
            futures::future::join(round, Timer::after(LOAD_INTERVAL)).await;
        }
    }

    async fn read_load(&self, name: EndpointName, address: SocketAddr) {
        let report = self.engines.load(address, LOAD_TIMEOUT).await;
        if let Ok(report) = report {
            self.control.send(Msg::Load(name, report)).await;
        }
    }
}
