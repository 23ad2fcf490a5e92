//! Orders to engines.
//!
//! The platform's objects say what each engine should have loaded. Orders carry
//! the shard's fencing token, and the weight store limits their rate.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use briarhall_endpoint::wire::Order;
use briarhall_objects::FleetApi;
use briarhall_objects::PlatformError;
use briarhall_policy::lease::ORDER_TIMEOUT;
use briarhall_types::EndpointName;
use briarhall_types::EndpointRecord;
use briarhall_types::Revision;
use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::leases::Steward;

/// Kind of the objects that say what engines should have loaded.
const LOADOUT_KIND: &str = "loadout";
const LOADOUT_POLL_INTERVAL: Duration = Duration::from_secs(1);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// What one engine should have loaded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Loadout {
    /// What to do: `load`, `load-adapter` or `set-role`.
    action: CompactString,
    /// Model, adapter or role.
    subject: CompactString,
    /// Size of the weights, in bytes.
    bytes: u64,
}

/// Last order that each engine accepted.
type AcceptedOrders = BTreeMap<EndpointName, AcceptedOrder>;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct AcceptedOrder {
    loadout: Revision,
    fencing_token: Revision,
}

impl<P> Steward<P>
where
    P: FleetApi,
{
    /// Sends an order to each engine whose loadout or fencing token has changed,
    /// forever.
    pub async fn send_orders(self: Arc<Self>) {
        let mut accepted = AcceptedOrders::new();
        loop {
            Timer::after(LOADOUT_POLL_INTERVAL).await;
            if let Err(e) = self.send_changed_orders(&mut accepted).await {
                log::debug!(error = e.to_string().as_str(); "cannot list loadouts or VMs");
            }
        }
    }

    async fn send_changed_orders(
        &self,
        accepted: &mut AcceptedOrders,
    ) -> Result<(), PlatformError> {
        let loadouts = self.platform.list::<Loadout>(LOADOUT_KIND, 0).await?;
        if loadouts.items.is_empty() {
            return Ok(());
        }
        let vms = self.platform.vms().await?;
        for loadout in loadouts.items {
            let engine = vms.items.iter().find(|record| record.name == loadout.name);
            let (Some(engine), Some(fencing_token)) = (engine, self.may_order(&loadout.name))
            else {
                continue;
            };
            let order = AcceptedOrder {
                loadout: loadout.version,
                fencing_token,
            };
            if accepted.get(&engine.name) == Some(&order) {
                continue;
            }
            if self.send_order(engine, &loadout.value).await {
                accepted.insert(engine.name.clone(), order);
            }
        }
        Ok(())
    }

    /// Waits until the weight store's rate limit admits the load, then checks the
    /// lease again, as it may have expired during the wait. Returns whether the
    /// engine accepted the order.
    async fn send_order(&self, engine: &EndpointRecord, loadout: &Loadout) -> bool {
        while let Err(PlatformError::Limited { retry_after }) = self
            .platform
            .take_weights(&loadout.subject, loadout.bytes)
            .await
        {
            Timer::after(retry_after.min(MAX_RETRY_DELAY)).await;
        }
        let Some(fencing_token) = self.may_order(&engine.name) else {
            return false;
        };
        let order = Order {
            action: loadout.action.clone(),
            subject: loadout.subject.clone(),
            fencing_token,
        };
        let result = self
            .engines
            .order(engine.address, &order, ORDER_TIMEOUT)
            .await;
        match result {
            Ok(()) => {
                self.metrics.count("order.given");
                log::info!(engine = engine.name.as_str(), action = order.action.as_str(), subject = order.subject.as_str(), fencing = fencing_token; "engine accepted the order");
                true
            }
            Err(e) => {
                log::warn!(engine = engine.name.as_str(), error = e.to_string().as_str(); "engine did not accept the order");
                false
            }
        }
    }
}
