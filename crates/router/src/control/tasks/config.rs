//! Watches the configuration, confirms that it is current, and writes the
//! roster.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use briarhall_objects::Change;
use briarhall_objects::FleetApi;
use briarhall_objects::PlatformError;
use briarhall_objects::Precondition;
use briarhall_policy::config_store::ConfigValue;
use briarhall_policy::config_store::Entry;
use briarhall_policy::config_store::ROSTER;
use briarhall_policy::config_store::Update;
use briarhall_types::Revision;
use serde_json::Value;

use super::CONFIG_KIND;
use super::TaskContext;
use crate::control::Msg;

const WATCH_WAIT: Duration = Duration::from_secs(5);
const RETRY_PAUSE: Duration = Duration::from_millis(300);
const CONFIRM_INTERVAL: Duration = Duration::from_millis(500);
const ROSTER_INTERVAL: Duration = Duration::from_millis(200);
/// Kind of the objects that routers write to learn the newest revision.
const CONFIRMATION_KIND: &str = "pulse";

impl<P> TaskContext<P>
where
    P: FleetApi,
{
    pub(super) async fn watch_config(self) {
        let mut since = None;
        loop {
            let next = match since {
                None => self.list_config(0).await,
                Some(since) => self.next_changes(since).await,
            };
            match next {
                Ok(update) => {
                    since = Some(update.up_to);
                    self.control.send(Msg::Update(Box::new(update))).await;
                }
                Err(PlatformError::Expired) => since = None,
                Err(e) => {
                    log::warn!(error = e.to_string().as_str(); "cannot watch the configuration");
                    Timer::after(RETRY_PAUSE).await;
                }
            }
        }
    }

    async fn list_config(&self, at_least: Revision) -> Result<Update, PlatformError> {
        let listing = self.platform.list::<Value>(CONFIG_KIND, at_least).await?;
        let items = listing.items.into_iter().map(|object| Change {
            name: object.name,
            version: object.version,
            value: Some(object.value),
        });
        Ok(update(0, listing.revision, items.collect()))
    }

    async fn next_changes(&self, since: Revision) -> Result<Update, PlatformError> {
        let reply = self.platform.watch::<Value>(CONFIG_KIND, since, WATCH_WAIT);
        let reply = reply.await?;
        Ok(update(since, reply.revision, reply.changes))
    }

    /// Confirms with the platform that the configuration is current while there
    /// is no fresh quorum: a write returns the newest revision, and a listing at
    /// least that new shows everything written before it.
    pub(super) async fn confirm(self) {
        let mut version = None;
        loop {
            Timer::after(CONFIRM_INTERVAL).await;
            let Some(plan) = self.control.ask(Msg::ConfirmPlan).await else {
                continue;
            };
            let asked = Instant::now();
            let name = plan.router.replace('/', "-");
            let precondition = version.map_or(Precondition::Absent, Precondition::Version);
            let write = self
                .platform
                .put(CONFIRMATION_KIND, &name, precondition, &());
            match write.await {
                Ok(written) => {
                    version = Some(written.version);
                    if let Ok(update) = self.list_config(written.version).await {
                        let msg = Msg::Confirmed(Box::new(update), asked);
                        self.control.send(msg).await;
                    }
                }
                Err(PlatformError::Conflict { current }) => version = current,
                Err(e) => {
                    log::debug!(error = e.to_string().as_str(); "cannot confirm the configuration with the platform");
                }
            }
        }
    }

    pub(super) async fn maintain_roster(self) {
        loop {
            Timer::after(ROSTER_INTERVAL).await;
            let Some(plan) = self.control.ask(Msg::RosterPlan).await else {
                continue;
            };
            let precondition = match plan.version {
                0 => Precondition::Absent,
                version => Precondition::Version(version),
            };
            let members = plan.roster.members.len();
            let value = ConfigValue::Roster(plan.roster.into());
            let written = self.platform.put(CONFIG_KIND, ROSTER, precondition, &value);
            match written.await {
                Ok(_) => log::info!(members = members; "roster written"),
                Err(PlatformError::Conflict { .. }) => {}
                Err(e) => log::warn!(error = e.to_string().as_str(); "cannot write the roster"),
            }
            // The plan is stale until the watch delivers what was written.
            Timer::after(ROSTER_INTERVAL).await;
        }
    }
}

/// Builds an update. Objects that cannot be parsed are left out, so that their
/// previous values stay in force.
fn update(since: Revision, up_to: Revision, changes: Vec<Change<Value>>) -> Update {
    let mut entries = BTreeMap::new();
    for change in changes {
        let value = change.value.map(serde_json::from_value::<ConfigValue>);
        let value = match value.transpose() {
            Ok(value) => value,
            Err(e) => {
                let name = change.name.as_str();
                log::error!(object = name, error = e.to_string().as_str(); "ignoring a configuration object that cannot be parsed");
                continue;
            }
        };
        let entry = Entry {
            version: change.version,
            value,
        };
        entries.insert(change.name, entry);
    }
    Update {
        since,
        up_to,
        entries,
    }
}
