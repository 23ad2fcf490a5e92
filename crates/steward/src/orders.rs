//! Orders to engines: what each engine should have loaded, as the platform's
//! objects say, given with the shard's fencing token and paced by the weight
//! store.

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
const LOOK_EVERY: Duration = Duration::from_secs(1);
const LONGEST_PACE: Duration = Duration::from_secs(5);

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

/// What was ordered last, by engine.
type Given = BTreeMap<EndpointName, GivenOrder>;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct GivenOrder {
    loadout: Revision,
    fencing_token: Revision,
}

impl<P> Steward<P>
where
    P: FleetApi,
{
    /// Gives orders whenever what should be loaded has changed, for ever.
    pub async fn carry_out_orders(self: Arc<Self>) {
        let mut given = Given::new();
        loop {
            Timer::after(LOOK_EVERY).await;
            if let Err(e) = self.order_changed(&mut given).await {
                log::debug!(error = e.to_string().as_str(); "cannot look for orders");
            }
        }
    }

    async fn order_changed(&self, given: &mut Given) -> Result<(), PlatformError> {
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
            let order = GivenOrder {
                loadout: loadout.version,
                fencing_token,
            };
            if given.get(&engine.name) == Some(&order) {
                continue;
            }
            if self.give(engine, &loadout.value).await {
                given.insert(engine.name.clone(), order);
            }
        }
        Ok(())
    }

    /// Waits for its turn at the weight store, then looks at the lease again:
    /// the wait may have outlasted it.
    async fn give(&self, engine: &EndpointRecord, loadout: &Loadout) -> bool {
        while let Err(PlatformError::Limited { retry_after }) = self
            .platform
            .take_weights(&loadout.subject, loadout.bytes)
            .await
        {
            Timer::after(retry_after.min(LONGEST_PACE)).await;
        }
        let Some(fencing_token) = self.may_order(&engine.name) else {
            return false;
        };
        let order = Order {
            action: loadout.action.clone(),
            subject: loadout.subject.clone(),
            fencing_token,
        };
        let ordered = self
            .engines
            .order(engine.address, &order, ORDER_TIMEOUT)
            .await;
        match ordered {
            Ok(()) => {
                self.metrics.count("order.given");
                log::info!(engine = engine.name.as_str(), action = order.action.as_str(), subject = order.subject.as_str(), fencing = fencing_token; "order given");
                true
            }
            Err(e) => {
                log::warn!(engine = engine.name.as_str(), error = e.to_string().as_str(); "order not taken");
                false
            }
        }
    }
}
