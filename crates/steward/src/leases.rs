//! Leases that split the endpoints between stewards: a shard covers the endpoints
//! whose names hash to it.

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

/// Number of shards that endpoints are split into.
pub const SHARDS: u64 = 4;
/// Kind of the objects that hold the leases.
const LEASE_KIND: &str = "duty";
const LEASE_POLL_INTERVAL: Duration = Duration::from_millis(350);

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
    /// Creates a steward that holds no lease yet.
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
        self.executor.detach(Arc::clone(self).send_orders());
    }

    /// Returns the shard that covers an endpoint.
    pub fn shard_of(endpoint: &str) -> u64 {
        rendezvous::weight("duty", endpoint) % SHARDS
    }

    /// Returns the fencing token for orders to an endpoint, if this steward's
    /// lease lets it send them now.
    pub fn may_order(&self, endpoint: &str) -> Option<Revision> {
        let shard = Self::shard_of(endpoint);
        self.electors().get(&shard)?.may_order(Instant::now())
    }

    /// Releases every lease, so that other stewards need not wait for expiry.
    pub async fn release_all(&self) {
        for shard in 0..SHARDS {
            self.with_elector(shard, LeaseElector::stop);
        }
        // Orders sent before the stop end within this time.
        Timer::after(ORDER_TIMEOUT).await;
        for shard in 0..SHARDS {
            let release = self.electors().get(&shard).and_then(LeaseElector::release);
            if let Some((version, lease)) = release {
                let name = lease_name(shard);
                let precondition = Precondition::Version(version);
                let released = self.platform.put(LEASE_KIND, &name, precondition, &lease);
                if let Err(e) = released.await {
                    log::info!(duty = shard, error = e.to_string().as_str(); "cannot release the lease; it expires instead");
                }
            }
        }
    }

    fn electors(&self) -> MutexGuard<'_, BTreeMap<u64, LeaseElector>> {
        self.electors.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn with_elector<T, F>(&self, shard: u64, f: F) -> T
    where
        F: FnOnce(&mut LeaseElector) -> T,
    {
        let mut electors = self.electors();
        let new = || LeaseElector::new(self.name.clone());
        f(electors.entry(shard).or_insert_with(new))
    }

    async fn keep_lease(self: Arc<Self>, shard: u64) {
        loop {
            self.read_lease(shard).await;
            if let LeaseAction::Write(version, lease) =
                self.with_elector(shard, |e| e.next(Instant::now()))
            {
                self.write_lease(shard, version, lease).await;
            }
            Timer::after(LEASE_POLL_INTERVAL).await;
        }
    }

    async fn read_lease(&self, shard: u64) {
        let name = lease_name(shard);
        let read = self.platform.get::<Lease>(LEASE_KIND, &name);
        let lease = match read.await {
            Ok(object) => Some((object.version, object.value)),
            Err(PlatformError::NotFound) => None,
            // The lease's state is unknown; the last one read stays in use.
            Err(_) => return,
        };
        self.with_elector(shard, |e| e.read(lease, Instant::now()));
    }

    async fn write_lease(&self, shard: u64, version: Option<Revision>, lease: Lease) {
        let began = Instant::now();
        let precondition = version.map_or(Precondition::Absent, Precondition::Version);
        let name = lease_name(shard);
        let written = self.platform.put(LEASE_KIND, &name, precondition, &lease);
        match written.await {
            Ok(written) => {
                let acquired = !self.with_elector(shard, |e| e.is_held());
                let now = Instant::now();
                self.with_elector(shard, |e| e.written(written.version, lease, began, now));
                if acquired {
                    self.metrics.count("duty.taken");
                    log::info!(duty = shard, fencing = written.version; "lease acquired");
                }
            }
            // The write may have taken effect; the next read shows whether it did.
            Err(e) => {
                log::debug!(duty = shard, error = e.to_string().as_str(); "cannot write the lease");
            }
        }
    }
}

fn lease_name(shard: u64) -> CompactString {
    format_compact!("duty-{shard}")
}
