//! The leases on shards: each shard covers the endpoints that hash to it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use briarhall_endpoint::EngineClient;
use briarhall_net::Executor;
use briarhall_net::Metrics;
use briarhall_objects::FleetApi;
use briarhall_objects::PlatformError;
use briarhall_objects::Precondition;
use briarhall_policy::lease::Lease;
use briarhall_policy::lease::LeaseAction;
use briarhall_policy::lease::LeaseElector;
use briarhall_policy::lease::ORDER_TIMEOUT;
use briarhall_policy::rendezvous;
use briarhall_settings::StewardSettings;
use briarhall_types::Revision;
use compact_str::CompactString;
use compact_str::format_compact;

/// Duties that endpoints are split into.
pub const SHARDS: u64 = 4;
/// Kind of the objects that hold the leases.
const LEASE_KIND: &str = "duty";
const LOOK_EVERY: Duration = Duration::from_millis(350);

/// A steward's state.
#[derive(Debug)]
pub struct Steward<P> {
    /// Name, unique for each incarnation.
    pub name: CompactString,
    /// Settings.
    pub settings: StewardSettings,
    /// The platform.
    pub platform: P,
    /// Engines.
    pub engines: EngineClient,
    /// Metrics.
    pub metrics: Metrics,
    executor: Executor,
    electors: Mutex<BTreeMap<u64, LeaseElector>>,
}

impl<P> Steward<P>
where
    P: FleetApi,
{
    /// Creates a steward that holds nothing yet.
    #[must_use]
    pub fn new(
        name: CompactString,
        settings: StewardSettings,
        platform: P,
        engines: EngineClient,
        executor: Executor,
        metrics: Metrics,
    ) -> Self {
        let electors = (0..SHARDS).map(|shard| (shard, LeaseElector::new(name.clone())));
        Self {
            electors: Mutex::new(electors.collect()),
            name,
            settings,
            platform,
            engines,
            metrics,
            executor,
        }
    }

    /// Starts the tasks.
    pub fn start(self: &Arc<Self>) {
        for shard in 0..SHARDS {
            self.executor.detach(Arc::clone(self).keep_lease(shard));
        }
        self.executor.detach(Arc::clone(self).sweep_engines());
        self.executor.detach(Arc::clone(self).carry_out_orders());
    }

    /// Returns the shard that covers an endpoint.
    pub fn shard_of(endpoint: &str) -> u64 {
        rendezvous::weight("duty", endpoint) % SHARDS
    }

    /// Returns the fencing token for orders to an endpoint, if this steward
    /// may give them now.
    pub fn may_order(&self, endpoint: &str) -> Option<Revision> {
        let shard = Self::shard_of(endpoint);
        self.electors().get(&shard)?.may_order(Instant::now())
    }

    /// Gives up every lease, so that others need not wait for them to run out.
    pub async fn release_all(&self) {
        for shard in 0..SHARDS {
            self.with(shard, LeaseElector::stop);
        }
        // Orders given before this moment must have ended.
        Timer::after(ORDER_TIMEOUT).await;
        for shard in 0..SHARDS {
            let release = self.electors().get(&shard).and_then(LeaseElector::release);
            if let Some((version, lease)) = release {
                let name = lease_name(shard);
                let precondition = Precondition::Version(version);
                let released = self.platform.put(LEASE_KIND, &name, precondition, &lease);
                if let Err(e) = released.await {
                    log::info!(duty = shard, error = e.to_string().as_str(); "lease runs out instead");
                }
            }
        }
    }

    fn electors(&self) -> MutexGuard<'_, BTreeMap<u64, LeaseElector>> {
        self.electors.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn with<T, F>(&self, shard: u64, f: F) -> T
    where
        F: FnOnce(&mut LeaseElector) -> T,
    {
        let mut electors = self.electors();
        let new = || LeaseElector::new(self.name.clone());
        f(electors.entry(shard).or_insert_with(new))
    }

    async fn keep_lease(self: Arc<Self>, shard: u64) {
        loop {
            self.look(shard).await;
            if let LeaseAction::Write(version, lease) = self.with(shard, |d| d.next(Instant::now()))
            {
                self.write(shard, version, lease).await;
            }
            Timer::after(LOOK_EVERY).await;
        }
    }

    async fn look(&self, shard: u64) {
        let name = lease_name(shard);
        let read = self.platform.get::<Lease>(LEASE_KIND, &name);
        let lease = match read.await {
            Ok(object) => Some((object.version, object.value)),
            Err(PlatformError::NotFound) => None,
            // Unknown: what was seen before stands.
            Err(_) => return,
        };
        self.with(shard, |d| d.read(lease, Instant::now()));
    }

    async fn write(&self, shard: u64, version: Option<Revision>, lease: Lease) {
        let began = Instant::now();
        let precondition = version.map_or(Precondition::Absent, Precondition::Version);
        let name = lease_name(shard);
        let written = self.platform.put(LEASE_KIND, &name, precondition, &lease);
        match written.await {
            Ok(written) => {
                let taken = !self.with(shard, |d| d.is_held());
                let now = Instant::now();
                self.with(shard, |d| d.written(written.version, lease, began, now));
                if taken {
                    self.metrics.count("duty.taken");
                    log::info!(duty = shard, fencing = written.version; "duty taken");
                }
            }
            // The next look tells what happened.
            Err(e) => {
                log::debug!(duty = shard, error = e.to_string().as_str(); "lease not written");
            }
        }
    }
}

fn lease_name(shard: u64) -> CompactString {
    format_compact!("duty-{shard}")
}
