//! The leases on duties: each duty covers the endpoints that hash to it.

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
use briarhall_policy::duty::Duty;
use briarhall_policy::duty::Lease;
use briarhall_policy::duty::Move;
use briarhall_policy::duty::ORDER_LIMIT;
use briarhall_policy::rendezvous;
use briarhall_settings::StewardSettings;
use briarhall_types::Revision;
use compact_str::CompactString;
use compact_str::format_compact;

/// Duties that endpoints are split into.
pub const DUTIES: u64 = 4;
/// Kind of the objects that hold the leases.
const DUTY_KIND: &str = "duty";
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
    duties: Mutex<BTreeMap<u64, Duty>>,
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
        let duties = (0..DUTIES).map(|duty| (duty, Duty::new(name.clone())));
        Self {
            duties: Mutex::new(duties.collect()),
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
        for duty in 0..DUTIES {
            self.executor.detach(Arc::clone(self).keep_lease(duty));
        }
        self.executor.detach(Arc::clone(self).sweep_engines());
        self.executor.detach(Arc::clone(self).carry_out_orders());
    }

    /// Returns the duty that covers an endpoint.
    pub fn duty_of(endpoint: &str) -> u64 {
        rendezvous::weight("duty", endpoint) % DUTIES
    }

    /// Returns the fencing number for orders to an endpoint, if this steward
    /// may give them now.
    pub fn may_order(&self, endpoint: &str) -> Option<Revision> {
        let duty = Self::duty_of(endpoint);
        self.duties().get(&duty)?.may_order(Instant::now())
    }

    /// Gives up every lease, so that others need not wait for them to run out.
    pub async fn release_all(&self) {
        for duty in 0..DUTIES {
            self.with(duty, Duty::stop);
        }
        // Orders given before this moment must have ended.
        Timer::after(ORDER_LIMIT).await;
        for duty in 0..DUTIES {
            let release = self.duties().get(&duty).and_then(Duty::release);
            if let Some((version, lease)) = release {
                let name = lease_name(duty);
                let precondition = Precondition::Version(version);
                let released = self.platform.put(DUTY_KIND, &name, precondition, &lease);
                if let Err(e) = released.await {
                    log::info!(duty = duty, error = e.to_string().as_str(); "lease runs out instead");
                }
            }
        }
    }

    fn duties(&self) -> MutexGuard<'_, BTreeMap<u64, Duty>> {
        self.duties.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn with<T, F>(&self, duty: u64, f: F) -> T
    where
        F: FnOnce(&mut Duty) -> T,
    {
        let mut duties = self.duties();
        let new = || Duty::new(self.name.clone());
        f(duties.entry(duty).or_insert_with(new))
    }

    async fn keep_lease(self: Arc<Self>, duty: u64) {
        loop {
            self.look(duty).await;
            if let Move::Write(version, lease) = self.with(duty, |d| d.next(Instant::now())) {
                self.write(duty, version, lease).await;
            }
            Timer::after(LOOK_EVERY).await;
        }
    }

    async fn look(&self, duty: u64) {
        let name = lease_name(duty);
        let read = self.platform.get::<Lease>(DUTY_KIND, &name);
        let lease = match read.await {
            Ok(object) => Some((object.version, object.value)),
            Err(PlatformError::NotFound) => None,
            // Unknown: what was seen before stands.
            Err(_) => return,
        };
        self.with(duty, |d| d.read(lease, Instant::now()));
    }

    async fn write(&self, duty: u64, version: Option<Revision>, lease: Lease) {
        let began = Instant::now();
        let precondition = version.map_or(Precondition::Absent, Precondition::Version);
        let name = lease_name(duty);
        let written = self.platform.put(DUTY_KIND, &name, precondition, &lease);
        match written.await {
            Ok(written) => {
                let taken = !self.with(duty, |d| d.is_held());
                let now = Instant::now();
                self.with(duty, |d| d.written(written.version, lease, began, now));
                if taken {
                    self.metrics.count("duty.taken");
                    log::info!(duty = duty, fencing = written.version; "duty taken");
                }
            }
            // The next look tells what happened.
            Err(e) => log::debug!(duty = duty, error = e.to_string().as_str(); "lease not written"),
        }
    }
}

fn lease_name(duty: u64) -> CompactString {
    format_compact!("duty-{duty}")
}
