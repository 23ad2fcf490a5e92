//! Frees engine memory whose owner's lease has lapsed.
//!
//! Names of holdings are unique, so a repeated or late free cannot affect other
//! memory.

use std::sync::Arc;

use async_io::Timer;
use briarhall_endpoint::wire::Holding;
use briarhall_objects::FleetApi;
use briarhall_policy::lease::ORDER_TIMEOUT;
use briarhall_types::EndpointKind;
use briarhall_types::EndpointRecord;
use futures::future::join_all;

use crate::leases::Steward;

impl<P> Steward<P>
where
    P: FleetApi,
{
    /// Frees lapsed holdings on the engines of this steward's shards, forever.
    pub async fn sweep_engines(self: Arc<Self>) {
        let mut engines = Vec::new();
        loop {
            // During an outage of the platform the last list stays in use.
            if let Ok(listing) = self.platform.vms().await {
                engines = listing.items;
                engines.retain(|record| record.kind == EndpointKind::Engine);
            }
            join_all(engines.iter().map(|engine| self.sweep(engine))).await;
            Timer::after(self.settings.sweep_every).await;
        }
    }

    async fn sweep(&self, engine: &EndpointRecord) {
        if self.may_order(&engine.name).is_none() {
            return;
        }
        let holdings = self.engines.holdings(engine.address, ORDER_TIMEOUT).await;
        let Ok(holdings) = holdings else {
            return;
        };
        for holding in holdings.iter().filter(|holding| self.has_lapsed(holding)) {
            // This steward's lease may have expired while the engine answered.
            if self.may_order(&engine.name).is_none() {
                return;
            }
            self.free(engine, holding).await;
        }
    }

    fn has_lapsed(&self, holding: &Holding) -> bool {
        let lapsed_for = i64::try_from(self.settings.lapsed_for.as_millis());
        holding.lease_left_ms < -lapsed_for.unwrap_or(i64::MAX)
    }

    async fn free(&self, engine: &EndpointRecord, holding: &Holding) {
        let freed = self
            .engines
            .free(engine.address, holding, ORDER_TIMEOUT)
            .await;
        let name = holding.name.as_str();
        match freed {
            Ok(()) => {
                self.metrics.count("memory.freed");
                log::warn!(engine = engine.name.as_str(), holding = name, owner = holding.owner.as_str(), tokens = holding.tokens; "freed memory whose lease had lapsed");
            }
            Err(e) => {
                log::info!(engine = engine.name.as_str(), holding = name, error = e.to_string().as_str(); "cannot free memory; the next sweep retries");
            }
        }
    }
}
