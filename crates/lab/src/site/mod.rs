//! A site on loopback: a stand-in platform, stand-in engines and services, routers
//! and stewards, each in its own process.

mod calls;
mod contracts;
mod error;
mod fault_proxy;
mod process;
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
pub use fault_proxy::FaultProxy;
pub use process::Process;

/// Name of the model that the engines serve.
pub const MODEL: &str = "harbour";
/// Name of the plain service.
pub const SERVICE: &str = "topup";
/// API key of the operator.
pub const OPERATOR_KEY: &str = "operator-key-of-the-lab";

const READY_TIMEOUT: Duration = Duration::from_secs(20);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Performance model of the stand-in engines of a site.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineKind {
    /// Value of the stand-in's `--model` flag.
    pub name: &'static str,
    /// Prefill rate in tokens per simulated second, while some requests decode.
    pub prefill_rate: f64,
    /// Prefill work of a prompt beyond its length, in tokens per squared token.
    pub quadratic_cost: f64,
}

impl EngineKind {
    /// Prefill time is proportional to prompt length.
    pub const PLAIN: Self = Self {
        name: "plain",
        prefill_rate: 16_700.0,
        quadratic_cost: 0.0,
    };
    /// The engine of the users' sheet: 154 tokens per millisecond, and 0.162 ms per
    /// million pairs of a token and an earlier one.
    pub const SHEET: Self = Self {
        name: "sheet",
        prefill_rate: 154_000.0,
        quadratic_cost: 154.0 * 0.162 / 2.0 / 1e6,
    };

    /// Returns the engine kind with this name.
    #[must_use]
    pub fn named(name: &str) -> Option<Self> {
        [Self::PLAIN, Self::SHEET]
            .into_iter()
            .find(|k| k.name == name)
    }
}

/// Processes of a site and their settings.
#[derive(Debug, Clone)]
pub struct SiteSpec {
    /// Availability zones.
    pub zones: Vec<String>,
    /// Number of routers, spread over the zones.
    pub routers: usize,
    /// Number of model engines, spread over the zones.
    pub engines: usize,
    /// Number of plain services, spread over the zones.
    pub services: usize,
    /// Number of stewards, spread over the zones.
    pub stewards: usize,
    /// Performance model of the engines.
    pub engine: EngineKind,
    /// Simulated seconds per real second at the engines.
    pub time_scale: f64,
    /// KV cache memory of an engine, in tokens.
    pub kv_tokens: u64,
    /// Placement policy of the routers.
    pub policy: String,
    /// Delay of load reports, in real time.
    pub report_lag: Duration,
    /// Time to live of the router addresses that callers cache.
    pub address_ttl: Duration,
    /// Whether engines refuse old fencing tokens.
    pub checks_fencing: bool,
    /// Rate limit of the platform for writes, per second.
    pub platform_writes: f64,
    /// Delay of changes to the platform's list of VMs.
    pub vm_lag: Duration,
    /// Log level directives of routers and stewards.
    pub log: String,
    /// Whether connections to the platform, the routers' mesh addresses and the
    /// endpoints pass through fault proxies.
    pub proxies: bool,
    /// `memory_mb` and `max_fds` of the routers, if not the defaults.
    pub router_limits: Option<[u64; 2]>,
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
            router_limits: None,
        }
    }
}

/// A router process and its addresses.
#[derive(Debug)]
pub struct Router {
    /// The process.
    pub process: Process,
    /// Name of this incarnation.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Address for other routers, without the proxy.
    pub mesh: SocketAddr,
    /// Proxy in front of its mesh address.
    pub mesh_proxy: Option<FaultProxy>,
    /// Proxy between the router and the platform.
    pub platform_proxy: Option<FaultProxy>,
}

/// An engine or service process.
#[derive(Debug)]
pub struct Endpoint {
    /// The process.
    pub process: Process,
    /// Its entry in the platform's list of VMs.
    pub record: EndpointRecord,
    /// Address of the process, without the proxy.
    pub address: SocketAddr,
    /// Proxy in front of it.
    pub proxy: Option<FaultProxy>,
}

/// A running site. Dropping it kills all its processes.
#[derive(Debug)]
pub struct Site {
    /// The specification that the site was started from.
    pub spec: SiteSpec,
    /// Directory of the settings and logs.
    pub dir: PathBuf,
    /// Client for the lab's own calls.
    pub client: HttpClient,
    /// The platform.
    pub platform: Process,
    /// Address of the platform.
    pub platform_address: SocketAddr,
    /// Routers by number.
    pub routers: BTreeMap<usize, Router>,
    /// Engines by number.
    pub engines: BTreeMap<usize, Endpoint>,
    /// Services by number.
    pub services: BTreeMap<usize, Endpoint>,
    /// Stewards by number.
    pub stewards: BTreeMap<usize, Process>,
}

impl Site {
    /// Starts a site and waits until every router may admit requests.
    ///
    /// # Errors
    ///
    /// Returns an error when a program is missing or does not start.
    pub async fn start(spec: SiteSpec, client: HttpClient) -> Result<Self, SiteError> {
        Box::pin(Self::start_all(spec, client)).await
    }

    async fn start_all(spec: SiteSpec, client: HttpClient) -> Result<Self, SiteError> {
        let mut site = Self::start_platform(spec, client)?;
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

    fn start_platform(spec: SiteSpec, client: HttpClient) -> Result<Self, SiteError> {
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

    /// Waits until every router may admit requests, knows all endpoints and routers,
    /// and sees them all on the roster.
    ///
    /// # Errors
    ///
    /// Returns an error when this takes more than 20 s.
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

    /// Waits until `wanted` holds for the status of every router. `what` describes
    /// that state in the error.
    ///
    /// # Errors
    ///
    /// Returns an error when this takes more than 20 s.
    pub async fn wait_status<F>(&self, what: &str, wanted: F) -> Result<(), SiteError>
    where
        F: Fn(&Value) -> bool,
    {
        let end = Instant::now() + READY_TIMEOUT;
        for router in self.routers.values() {
            loop {
                let status = self.status(router).await;
                if status.as_ref().is_ok_and(&wanted) {
                    break;
                }
                if Instant::now() > end {
                    let last_status = status.map_or_else(|e| e.to_string(), |s| s.to_string());
                    return Err(SiteError::NotReady {
                        what: what.to_owned(),
                        router: router.name.clone(),
                        last_status,
                    });
                }
                Timer::after(READY_POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Returns the callers' addresses of the routers.
    #[must_use]
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.routers.values().map(|router| router.callers).collect()
    }

    /// Returns the directory of the settings and logs.
    #[must_use]
    pub fn dir(&self) -> &Path {
        &self.dir
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        if std::env::var_os("BRIARHALL_KEEP_LOGS").is_none() {
            // A leftover in the directory for temporary files does no harm.
            let _left = fs::remove_dir_all(&self.dir);
        }
    }
}
