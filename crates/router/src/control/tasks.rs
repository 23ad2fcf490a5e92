//! Input and output of the control thread: each task asks what to do, does it,
//! and comes back with what was seen.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_io::Timer;
use briarhall_endpoint::EngineClient;
use briarhall_mesh::MeshPeer;
use briarhall_mesh::ShareReply;
use briarhall_net::Executor;
use briarhall_platform::Change;
use briarhall_platform::ObjectApi;
use briarhall_platform::PlatformError;
use briarhall_platform::Precondition;
use briarhall_policy::book::ConfigValue;
use briarhall_policy::book::Entry;
use briarhall_policy::book::ROSTER;
use briarhall_policy::book::Update;
use briarhall_policy::claims::Segment;
use briarhall_policy::claims::SegmentNumber;
use briarhall_policy::claims::Step;
use briarhall_policy::claims::chain_kind;
use briarhall_policy::claims::segment_name;
use briarhall_policy::claims::segment_number;
use briarhall_policy::sharer::REPORT_LIMIT;
use briarhall_types::EndpointName;
use briarhall_types::Revision;
use futures::future::join_all;
use serde_json::Value;

use super::ChainEvent;
use super::ControlHandle;
use super::Kick;
use super::Msg;
use super::messages::SharePlan;
use crate::peers::Peers;

/// Kind of the objects that hold the configuration.
pub const CONFIG_KIND: &str = "config";
/// Kind of the objects that routers write to learn the newest revision.
const PULSE_KIND: &str = "pulse";

const WATCH_WAIT: Duration = Duration::from_secs(5);
const RETRY_PAUSE: Duration = Duration::from_millis(300);
const PULL_EVERY: Duration = Duration::from_millis(250);
const PULL_LIMIT: Duration = Duration::from_millis(700);
const CONFIRM_EVERY: Duration = Duration::from_millis(500);
const ROSTER_EVERY: Duration = Duration::from_millis(200);
const LIST_EVERY: Duration = Duration::from_millis(500);
const LOAD_EVERY: Duration = Duration::from_millis(100);
const LOAD_LIMIT: Duration = Duration::from_millis(300);
const SHARE_EVERY: Duration = Duration::from_millis(300);
const TELL_LIMIT: Duration = Duration::from_millis(700);
const TICK_EVERY: Duration = Duration::from_millis(100);
const TRIM_EVERY: Duration = Duration::from_secs(10);
const CHAIN_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// What the tasks work with.
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
    P: ObjectApi,
{
    /// Starts every task.
    pub fn start(&self, kicks: Receiver<Kick>) {
        let executor = &self.executor;
        executor.detach(self.clone().watch_config());
        executor.detach(self.clone().gossip());
        executor.detach(self.clone().confirm());
        executor.detach(self.clone().keep_roster());
        executor.detach(self.clone().list_vms());
        executor.detach(self.clone().read_loads());
        executor.detach(self.clone().share());
        executor.detach(self.clone().tick());
        executor.detach(self.clone().trim());
        executor.detach(self.clone().follow_kicks(kicks));
    }

    async fn watch_config(self) {
        let mut since = None;
        loop {
            let next = match since {
                None => self.list_config(0).await,
                Some(since) => self.next_changes(since).await,
            };
            match next {
                Ok(update) => {
                    since = Some(update.up_to);
                    self.control.tell(Msg::Update(Box::new(update))).await;
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

    async fn gossip(self) {
        loop {
            let plan = self.control.ask(Msg::PullPlan).await;
            let pulls = plan.addresses.iter().map(|address| {
                let req = plan.req.clone();
                let cx = &self;
                async move {
                    let asked = Instant::now();
                    let call = |peer: MeshPeer| async move { peer.pull(req, PULL_LIMIT).await };
                    match cx.peers.call(*address, call).await {
                        Ok(reply) => cx.control.tell(Msg::Pulled(Box::new(reply), asked)).await,
                        Err(e) => log::debug!(error = e.to_string().as_str(); "pull failed"),
                    }
                }
            });
            // A slow neighbour must not hold up the next round.
            let round = async {
                join_all(pulls).await;
            };
            futures::future::join(round, Timer::after(PULL_EVERY)).await;
        }
    }

    /// A write tells the newest revision; a listing at least that new shows
    /// everything written before it.
    async fn confirm(self) {
        let mut version = None;
        loop {
            Timer::after(CONFIRM_EVERY).await;
            let Some(plan) = self.control.ask(Msg::ConfirmPlan).await else {
                continue;
            };
            let asked = Instant::now();
            let name = plan.router.replace('/', "-");
            let precondition = version.map_or(Precondition::Absent, Precondition::Version);
            let pulse = self.platform.put(PULSE_KIND, &name, precondition, &());
            match pulse.await {
                Ok(written) => {
                    version = Some(written.version);
                    if let Ok(update) = self.list_config(written.version).await {
                        let msg = Msg::Confirmed(Box::new(update), asked);
                        self.control.tell(msg).await;
                    }
                }
                Err(PlatformError::Conflict { current }) => version = current,
                Err(e) => log::debug!(error = e.to_string().as_str(); "cannot ask the platform"),
            }
        }
    }

    async fn keep_roster(self) {
        loop {
            Timer::after(ROSTER_EVERY).await;
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
            // The watch brings what was written; until then the plan is stale.
            Timer::after(ROSTER_EVERY).await;
        }
    }

    async fn list_vms(self) {
        loop {
            match self.platform.vms().await {
                Ok(listing) => self.control.tell(Msg::Listed(listing.items)).await,
                Err(e) => log::debug!(error = e.to_string().as_str(); "cannot list VMs"),
            }
            Timer::after(LIST_EVERY).await;
        }
    }

    async fn read_loads(self) {
        loop {
            let engines = self.control.ask(Msg::Engines).await;
            let reads = engines
                .into_iter()
                .map(|(name, address)| self.read_load(name, address));
            let round = async {
                join_all(reads).await;
            };
            futures::future::join(round, Timer::after(LOAD_EVERY)).await;
        }
    }

    async fn read_load(&self, name: EndpointName, address: SocketAddr) {
        let report = self.engines.load(address, LOAD_LIMIT).await;
        if let Ok(report) = report {
            self.control.tell(Msg::Load(name, report)).await;
        }
    }

    async fn share(self) {
        loop {
            let plans = self.control.ask(Msg::SharePlans).await;
            join_all(plans.into_iter().map(|plan| self.report_demand(plan))).await;
            Timer::after(SHARE_EVERY).await;
        }
    }

    async fn report_demand(&self, plan: SharePlan) {
        let asked = Instant::now();
        let Some(reply) = self.ask_sharer(plan).await else {
            return;
        };
        self.control.tell(Msg::Granted(reply, asked)).await;
    }

    async fn ask_sharer(&self, plan: SharePlan) -> Option<ShareReply> {
        let Some(address) = plan.address else {
            return Some(self.control.ask(|reply| Msg::Share(plan.req, reply)).await);
        };
        let call = |peer: MeshPeer| async move { peer.share(plan.req, REPORT_LIMIT).await };
        self.peers.call(address, call).await.ok()
    }

    async fn tick(self) {
        loop {
            Timer::after(TICK_EVERY).await;
            self.control.tell(Msg::Tick).await;
        }
    }

    async fn trim(self) {
        loop {
            Timer::after(TRIM_EVERY).await;
            for (range, number) in self.control.ask(Msg::ChainTrim).await {
                self.delete_segment(range, number).await;
            }
        }
    }

    async fn delete_segment(&self, range: u64, number: SegmentNumber) {
        let kind = chain_kind(range);
        let name = segment_name(number);
        let Ok(object) = self.platform.get::<Value>(&kind, &name).await else {
            return;
        };
        // Several routers may trim one chain; the first does it.
        let _gone = self.platform.delete(&kind, &name, object.version).await;
    }

    async fn follow_kicks(self, kicks: Receiver<Kick>) {
        while let Ok(kick) = kicks.recv().await {
            let cx = self.clone();
            match kick {
                Kick::Chain(range) => self.executor.detach(cx.drive_chain(range)),
                Kick::Notices => self.executor.detach(cx.send_notices()),
            }
        }
    }

    async fn send_notices(self) {
        let (addresses, notices) = self.control.ask(Msg::TakeNotices).await;
        if notices.is_empty() {
            return;
        }
        let tells = addresses.into_iter().map(|address| {
            let notices = notices.clone();
            let call = |peer: MeshPeer| async move { peer.tell(notices, TELL_LIMIT).await };
            self.peers.call(address, call)
        });
        // Convictions also travel with every pull, so a lost notice is made up.
        join_all(tells).await;
    }

    /// Works on a chain until it has nothing to do.
    async fn drive_chain(self, range: u64) {
        let kind = chain_kind(range);
        loop {
            let step = self.control.ask(|reply| Msg::ChainStep(range, reply)).await;
            let event = match step {
                Step::Idle => return,
                Step::Load => self.load_chain(&kind).await,
                Step::Write(number, segment) => self.write_segment(&kind, number, &segment).await,
                Step::Read(number) => self.read_segment(&kind, number).await,
            };
            match event {
                Some(event) => self.control.tell(Msg::ChainEvent(range, event)).await,
                None => {
                    Timer::after(CHAIN_RETRY_PAUSE).await;
                }
            }
        }
    }

    async fn load_chain(&self, kind: &str) -> Option<ChainEvent> {
        // A listing may be stale; the conditional write finds that out.
        let listing = self.platform.list::<Segment>(kind, 0).await.ok()?;
        let segments = listing.items.into_iter().filter_map(|object| {
            let number = segment_number(&object.name)?;
            Some((number, object.value))
        });
        Some(ChainEvent::Loaded(segments.collect()))
    }

    async fn write_segment(
        &self,
        kind: &str,
        number: SegmentNumber,
        segment: &Segment,
    ) -> Option<ChainEvent> {
        let name = segment_name(number);
        let written = self
            .platform
            .put(kind, &name, Precondition::Absent, segment);
        match written.await {
            Ok(_) => Some(ChainEvent::Written),
            Err(PlatformError::Conflict { .. }) => Some(ChainEvent::Refused),
            Err(e) if e.may_have_written() => Some(ChainEvent::Unsure),
            Err(_) => {
                Timer::after(CHAIN_RETRY_PAUSE).await;
                Some(ChainEvent::NotWritten)
            }
        }
    }

    async fn read_segment(&self, kind: &str, number: SegmentNumber) -> Option<ChainEvent> {
        let name = segment_name(number);
        match self.platform.get::<Segment>(kind, &name).await {
            Ok(object) => Some(ChainEvent::Read(object.value)),
            Err(PlatformError::NotFound) => {
                // The read may be stale; ask again no faster than this.
                Timer::after(CHAIN_RETRY_PAUSE).await;
                Some(ChainEvent::Absent)
            }
            Err(_) => None,
        }
    }
}

/// Objects that are not understood are left out, so that what was in force
/// before stays in force.
fn update(since: Revision, up_to: Revision, changes: Vec<Change<Value>>) -> Update {
    let mut entries = BTreeMap::new();
    for change in changes {
        let value = change.value.map(serde_json::from_value::<ConfigValue>);
        let value = match value.transpose() {
            Ok(value) => value,
            Err(e) => {
                let name = change.name.as_str();
                log::error!(object = name, error = e.to_string().as_str(); "a configuration object is not understood and left out");
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
