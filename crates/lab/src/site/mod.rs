//! A site on loopback: a platform, engines, services and routers, each a
//! process of its own.

mod calls;
mod contracts;
mod error;
mod process;
mod proxied;
mod start;

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use briarhall_net::HttpClient;
use briarhall_types::EndpointRecord;
use serde_json::Value;

pub use contracts::CustomerSpec;
pub use contracts::contract_yaml;
pub use error::SiteError;
pub use process::Process;
pub use proxied::ProxiedAddress;

/// Name of the model that the site runs.
pub const MODEL: &str = "harbour";
/// Name of the plain service that the site runs.
pub const SERVICE: &str = "topup";
/// Key of the operator.
pub const OPERATOR_KEY: &str = "operator-key-of-the-lab";

const READY_LIMIT: Duration = Duration::from_secs(20);
const READY_POLL: Duration = Duration::from_millis(50);

/// What the stand-in engines of a site are.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineKind {
    /// As the stand-in names it.
    pub name: &'static str,
    /// Prefill rate in its own time, in tokens a second, beside some writers.
    pub prefill_rate: f64,
    /// Tokens of prefill that a prompt costs beyond its length, for each token
    /// squared.
    pub squared: f64,
}

impl EngineKind {
    /// Prefill in proportion to length.
    pub const PLAIN: Self = Self {
        name: "plain",
        prefill_rate: 16_700.0,
        squared: 0.0,
    };
    /// The engine of the users' sheet: 154 tokens a millisecond, and 0.162 ms for
    /// a million pairs of a token and an earlier one.
    pub const SHEET: Self = Self {
        name: "sheet",
        prefill_rate: 154_000.0,
        squared: 154.0 * 0.162 / 2.0 / 1e6,
    };

    /// Returns the engine of that name.
    #[must_use]
    pub fn named(name: &str) -> Option<Self> {
        [Self::PLAIN, Self::SHEET]
            .into_iter()
            .find(|k| k.name == name)
    }
}

/// What to start.
#[derive(Debug, Clone)]
pub struct SiteSpec {
    /// Availability zones.
    pub zones: Vec<String>,
    /// Routers, spread over the zones.
    pub routers: usize,
    /// Model engines, spread over the zones.
    pub engines: usize,
    /// Plain services, spread over the zones.
    pub services: usize,
    /// Stewards, spread over the zones.
    pub stewards: usize,
    /// What the engines are.
    pub engine: EngineKind,
    /// Simulated seconds that pass at an engine in one real second.
    pub time_scale: f64,
    /// KV memory of an engine, in tokens.
    pub kv_tokens: u64,
    /// How routers choose endpoints.
    pub policy: String,
    /// Real time by which load reports lag.
    pub report_lag: Duration,
    /// How long callers may keep an answer about addresses.
    pub address_ttl: Duration,
    /// Whether engines refuse old fencing tokens.
    pub checks_fencing: bool,
    /// Writes a second that the platform takes.
    pub platform_writes: f64,
    /// Lag of the platform's list of VMs.
    pub vm_lag: Duration,
    /// Log levels of routers and stewards.
    pub log: String,
    /// Whether fault proxies stand before the platform, meshes and services.
    pub proxies: bool,
}

impl Default for SiteSpec {
    fn default() -> Self {
        let zones = ["vancouver-a", "burnaby-b", "nanaimo-c"];
        Self {
            zones: zones.map(str::to_owned).to_vec(),
            routers: 3,
            engines: 4,
            services: 1,
            stewards: 0,
            engine: EngineKind::PLAIN,
            time_scale: 10.0,
            kv_tokens: 400_000,
            policy: "lanes".to_owned(),
            report_lag: Duration::from_millis(50),
            address_ttl: Duration::from_secs(2),
            checks_fencing: true,
            platform_writes: 400.0,
            vm_lag: Duration::from_millis(300),
            log: "info".to_owned(),
            proxies: false,
        }
    }
}

/// A router process and where it listens.
#[derive(Debug)]
pub struct Router {
    /// The process.
    pub process: Process,
    /// Name of this incarnation.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where operators connect.
    pub operators: SocketAddr,
    /// Where it listens for other routers.
    pub mesh: SocketAddr,
    /// Proxy before its mesh address.
    pub mesh_proxy: Option<ProxiedAddress>,
    /// Proxy between it and the platform.
    pub platform_proxy: Option<ProxiedAddress>,
}

/// An engine or service process.
#[derive(Debug)]
pub struct Endpoint {
    /// The process.
    pub process: Process,
    /// As the platform lists it.
    pub record: EndpointRecord,
    /// Where the process itself listens.
    pub address: SocketAddr,
    /// Proxy before it.
    pub proxy: Option<ProxiedAddress>,
}

/// A running site. Dropping it ends every process it started.
#[derive(Debug)]
pub struct Site {
    /// What was started.
    pub spec: SiteSpec,
    /// Folder for settings and logs.
    pub dir: PathBuf,
    /// The client for the lab's own calls.
    pub client: HttpClient,
    /// The platform.
    pub platform: Process,
    /// Where the platform listens.
    pub platform_address: SocketAddr,
    /// Routers; one that was killed is gone.
    pub routers: BTreeMap<usize, Router>,
    /// Engines by number.
    pub engines: BTreeMap<usize, Endpoint>,
    /// Services by number.
    pub services: BTreeMap<usize, Endpoint>,
    /// Stewards by number.
    pub stewards: BTreeMap<usize, Process>,
}

impl Site {
    /// Starts a site and waits until each router may admit.
    ///
    /// # Errors
    ///
    /// Returns an error when a program is missing or does not start.
    pub async fn start(spec: SiteSpec, client: HttpClient) -> Result<Self, SiteError> {
        Box::pin(Self::start_all(spec, client)).await
    }

    async fn start_all(spec: SiteSpec, client: HttpClient) -> Result<Self, SiteError> {
        let mut site = Self::start_empty(spec, client)?;
        for number in 0..site.spec.engines {
            site.start_engine(number).await?;
        }
        for number in 0..site.spec.services {
            site.start_service(number).await?;
        }
        for number in 0..site.spec.routers {
            site.start_router(number).await?;
        }
        for number in 0..site.spec.stewards {
            site.start_steward(number)?;
        }
        site.wait_ready().await?;
        Ok(site)
    }

    fn start_empty(spec: SiteSpec, client: HttpClient) -> Result<Self, SiteError> {
        let dir = process::work_dir()?;
        let secret = dir.join("mesh-secret");
        process::write(&secret, "a secret that the routers of the lab share")?;
        let args = [
            "--writes".to_owned(),
            spec.platform_writes.to_string(),
            "--vm-lag-ms".to_owned(),
            spec.vm_lag.as_millis().to_string(),
        ];
        let platform = Process::start("standin-platform", "platform", &args, &dir)?;
        let platform_address = platform.address("listening")?;
        Ok(Self {
            spec,
            dir,
            client,
            platform,
            platform_address,
            routers: BTreeMap::new(),
            engines: BTreeMap::new(),
            services: BTreeMap::new(),
            stewards: BTreeMap::new(),
        })
    }

    fn zone(&self, number: usize) -> &str {
        &self.spec.zones[number % self.spec.zones.len()]
    }

    /// Waits until each router may admit and knows every endpoint and router.
    ///
    /// # Errors
    ///
    /// Returns an error when that takes too long.
    pub async fn wait_ready(&self) -> Result<(), SiteError> {
        let endpoints = self.engines.len() + self.services.len();
        let routers = self.routers.len();
        self.wait_status("ready", |status| {
            let count = |field: &str| status[field].as_array().map_or(0, Vec::len);
            let on_roster = status["routers"]
                .as_array()
                .is_some_and(|routers| routers.iter().all(|router| router["on_roster"] == true));
            status["standing"] == "current"
                && count("endpoints") >= endpoints
                && count("routers") == routers
                && on_roster
        })
        .await
    }

    /// Waits until the status of every router is as wanted.
    ///
    /// # Errors
    ///
    /// Returns an error when that takes too long.
    pub async fn wait_status<F>(&self, what: &str, wanted: F) -> Result<(), SiteError>
    where
        F: Fn(&Value) -> bool,
    {
        let end = Instant::now() + READY_LIMIT;
        for router in self.routers.values() {
            loop {
                let status = self.status(router).await;
                if status.as_ref().is_ok_and(&wanted) {
                    break;
                }
                if Instant::now() > end {
                    let seen = status.map_or_else(|e| e.to_string(), |s| s.to_string());
                    return Err(SiteError::NotReady {
                        what: what.to_owned(),
                        router: router.name.clone(),
                        seen,
                    });
                }
                Timer::after(READY_POLL).await;
            }
        }
        Ok(())
    }

    /// Returns the callers' addresses of the routers.
    #[must_use]
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.routers.values().map(|router| router.callers).collect()
    }

    /// Returns the folder with settings and logs.
    #[must_use]
    pub fn dir(&self) -> &Path {
        &self.dir
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        if std::env::var_os("BRIARHALL_KEEP_LOGS").is_none() {
            // What is left in the folder for temporary files does no harm.
            let _left = fs::remove_dir_all(&self.dir);
        }
    }
}
