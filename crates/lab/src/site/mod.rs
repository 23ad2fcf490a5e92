//! A site on loopback: a platform, engines, services and routers, each a
//! process of its own.

mod contracts;
mod error;
mod process;
mod proxied;

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use briarhall_endpoint::wire::Ledger;
use briarhall_net::Call;
use briarhall_net::HttpClient;
use briarhall_standins::platform::Faults;
use briarhall_standins::platform::Stats;
use briarhall_types::Digest;
use briarhall_types::EndpointKind;
use briarhall_types::EndpointRecord;
use briarhall_types::EndpointState;
use compact_str::CompactString;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::json;

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

const CALL_LIMIT: Duration = Duration::from_secs(5);
/// Longer than a router waits for a change to be in force.
const OPERATOR_LIMIT: Duration = Duration::from_secs(15);
const READY_LIMIT: Duration = Duration::from_secs(20);
const READY_POLL: Duration = Duration::from_millis(50);
/// Prefill rate of the stand-in engine in its own time, in tokens a second.
pub const PREFILL_RATE: f64 = 16_700.0;

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
    /// Whether engines refuse old fencing numbers.
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

    /// Starts an engine and puts it on the platform's list.
    ///
    /// # Errors
    ///
    /// Returns an error when it does not start.
    pub async fn start_engine(&mut self, number: usize) -> Result<(), SiteError> {
        let mut args = vec![
            "--time-scale".to_owned(),
            self.spec.time_scale.to_string(),
            "--kv-tokens".to_owned(),
            self.spec.kv_tokens.to_string(),
            "--report-lag-ms".to_owned(),
            self.spec.report_lag.as_millis().to_string(),
        ];
        if self.spec.checks_fencing {
            args.push("--checks-fencing".to_owned());
        }
        let name = format!("engine-{number:02}");
        let process = Process::start("standin-engine", &name, &args, &self.dir)?;
        let endpoint = self
            .endpoint(process, &name, EndpointKind::Engine, number)
            .await?;
        self.engines.insert(number, endpoint);
        Ok(())
    }

    /// Starts a plain service and puts it on the platform's list.
    ///
    /// # Errors
    ///
    /// Returns an error when it does not start.
    pub async fn start_service(&mut self, number: usize) -> Result<(), SiteError> {
        let name = format!("service-{number:02}");
        let process = Process::start("standin-service", &name, &[], &self.dir)?;
        let endpoint = self
            .endpoint(process, &name, EndpointKind::Service, number)
            .await?;
        self.services.insert(number, endpoint);
        Ok(())
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "rates are positive and far below 2^63"
    )]
    async fn endpoint(
        &self,
        process: Process,
        name: &str,
        kind: EndpointKind,
        number: usize,
    ) -> Result<Endpoint, SiteError> {
        let address = process.address("listening")?;
        let proxy = self.proxy(name, Some(address)).await?;
        let engine = kind == EndpointKind::Engine;
        let rate = (PREFILL_RATE * self.spec.time_scale) as u64;
        let record = EndpointRecord {
            name: CompactString::from(name),
            kind,
            serves: CompactString::from(if engine { MODEL } else { SERVICE }),
            address: proxy.as_ref().map_or(address, |proxy| proxy.carried),
            zone: CompactString::from(self.zone(number)),
            state: EndpointState::Live,
            kv_tokens: if engine { self.spec.kv_tokens } else { 0 },
            prefill_rate: if engine { rate } else { 0 },
        };
        self.list_vm(&record).await?;
        Ok(Endpoint {
            process,
            record,
            address,
            proxy,
        })
    }

    /// Puts an endpoint on the platform's list, or changes its entry.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform does not answer.
    pub async fn list_vm(&self, record: &EndpointRecord) -> Result<(), SiteError> {
        let body = json!({ "name": record.name, "record": record });
        self.post(self.platform_address, "/v1/control/vms", &body)
            .await
    }

    /// Takes an endpoint off the platform's list.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform does not answer.
    pub async fn unlist_vm(&self, name: &str) -> Result<(), SiteError> {
        let body = json!({ "name": name, "record": null });
        self.post(self.platform_address, "/v1/control/vms", &body)
            .await
    }

    /// Starts a router, on the addresses it had before if it ran before.
    ///
    /// # Errors
    ///
    /// Returns an error when it does not start.
    pub async fn start_router(&mut self, number: usize) -> Result<(), SiteError> {
        Box::pin(self.replace_router(number)).await
    }

    async fn replace_router(&mut self, number: usize) -> Result<(), SiteError> {
        let before = self.routers.remove(&number);
        let name = format!("router-{number:02}");
        let (mesh_proxy, platform_proxy, listen) = if let Some(mut router) = before {
            router.process.kill();
            let listen = [router.callers, router.operators, router.mesh];
            (router.mesh_proxy, router.platform_proxy, listen)
        } else {
            let platform = Some(self.platform_address);
            let mesh_proxy = self.proxy(&format!("{name}-mesh"), None).await?;
            let platform_proxy = self.proxy(&format!("{name}-platform"), platform).await?;
            let free = SocketAddr::from(([127, 0, 0, 1], 0));
            (mesh_proxy, platform_proxy, [free; 3])
        };
        let settings =
            self.router_settings(number, mesh_proxy.as_ref(), platform_proxy.as_ref(), listen);
        let path = self.dir.join(format!("{name}.yaml"));
        process::write(&path, &settings)?;
        let args = ["--settings".to_owned(), path.display().to_string()];
        let process = Process::start("briarhall-router", &name, &args, &self.dir)?;
        let mesh = process.address("mesh")?;
        if let Some(proxy) = &mesh_proxy {
            self.post(proxy.control, "/target", &mesh).await?;
        }
        let router = Router {
            name: process.text("router"),
            zone: self.zone(number).to_owned(),
            callers: process.address("callers")?,
            operators: process.address("operators")?,
            mesh,
            process,
            mesh_proxy,
            platform_proxy,
        };
        self.routers.insert(number, router);
        Ok(())
    }

    fn router_settings(
        &self,
        number: usize,
        mesh_proxy: Option<&ProxiedAddress>,
        platform_proxy: Option<&ProxiedAddress>,
        [callers, operators, mesh]: [SocketAddr; 3],
    ) -> String {
        let platform = platform_proxy
            .as_ref()
            .map_or(self.platform_address, |p| p.carried);
        let advertise =
            mesh_proxy.map_or_else(String::new, |p| format!("advertise_mesh: {}\n", p.carried));
        let seeds = self.routers.values().map(|router| {
            let proxy = router.mesh_proxy.as_ref();
            let address = proxy.map_or(router.mesh, |proxy| proxy.carried);
            format!("  - {address}\n")
        });
        let seeds = seeds.collect::<String>();
        let seeds = if seeds.is_empty() {
            String::new()
        } else {
            format!("mesh_seeds:\n{seeds}")
        };
        format!(
            "zone: {zone}\ncallers: {callers}\noperators: {operators}\nmesh: {mesh}\n\
             platform: {platform}\nmesh_secret_file: {secret}\npolicy: {policy}\n\
             address_ttl: {ttl}ms\nreport_lag: {lag}ms\nlog: {log}\n{advertise}{seeds}\
             operator_keys:\n  - name: lab\n    digest: {digest}\n",
            zone = self.zone(number),
            secret = self.dir.join("mesh-secret").display(),
            policy = self.spec.policy,
            ttl = self.spec.address_ttl.as_millis(),
            lag = self.spec.report_lag.as_millis() + 150,
            log = self.spec.log,
            digest = Digest::of(OPERATOR_KEY.as_bytes()),
        )
    }

    /// Starts a steward.
    ///
    /// # Errors
    ///
    /// Returns an error when it does not start.
    pub fn start_steward(&mut self, number: usize) -> Result<(), SiteError> {
        let name = format!("steward-{number:02}");
        let settings = format!(
            "zone: {}\nplatform: {}\nsweep_every: 300ms\nlapsed_for: 500ms\nlog: {}\n",
            self.zone(number),
            self.platform_address,
            self.spec.log,
        );
        let path = self.dir.join(format!("{name}.yaml"));
        process::write(&path, &settings)?;
        let args = ["--settings".to_owned(), path.display().to_string()];
        let process = Process::start("briarhall-steward", &name, &args, &self.dir)?;
        self.stewards.insert(number, process);
        Ok(())
    }

    fn zone(&self, number: usize) -> &str {
        &self.spec.zones[number % self.spec.zones.len()]
    }

    async fn proxy(
        &self,
        name: &str,
        target: Option<SocketAddr>,
    ) -> Result<Option<ProxiedAddress>, SiteError> {
        if !self.spec.proxies {
            return Ok(None);
        }
        let proxy = ProxiedAddress::start(name, target, &self.dir, &self.client).await?;
        Ok(Some(proxy))
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

    /// Reads a router's status.
    ///
    /// # Errors
    ///
    /// Returns an error when it does not answer.
    pub async fn status(&self, router: &Router) -> Result<Value, SiteError> {
        let call = Call::get(router.operators, "/operator/status");
        self.operator_call(call).await
    }

    /// Applies a contract through a router, and returns its answer.
    ///
    /// # Errors
    ///
    /// Returns an error when the change is refused or not answered.
    pub async fn apply(
        &self,
        router: &Router,
        contract: &Value,
        from_version: Option<u64>,
    ) -> Result<Value, SiteError> {
        let customer = contract["customer"].as_str().unwrap_or_default();
        let path = format!("/operator/contracts/{customer}");
        let body = json!({ "from_version": from_version, "contract": contract });
        let call = Call::new(hyper::Method::PUT, router.operators, path).json(&body);
        Box::pin(self.operator_call(call)).await
    }

    /// Makes a call as the operator.
    ///
    /// # Errors
    ///
    /// Returns an error when it is refused or not answered.
    pub async fn operator_call(&self, call: Call) -> Result<Value, SiteError> {
        let call = call.header("authorization", format!("Bearer {OPERATOR_KEY}"));
        Ok(Box::pin(self.client.fetch(call, OPERATOR_LIMIT)).await?)
    }

    /// Applies contracts with the operator's command, as an operator would.
    ///
    /// # Errors
    ///
    /// Returns an error when the command fails.
    pub fn apply_contracts(&self, customers: &[CustomerSpec]) -> Result<(), SiteError> {
        let router = self.routers.values().next().ok_or(SiteError::NoRouter)?;
        let key = self.dir.join("operator-key");
        process::write(&key, OPERATOR_KEY)?;
        for customer in customers {
            let path = self.dir.join(format!("{}.yaml", customer.name));
            process::write(&path, &contract_yaml(customer))?;
            let args = [
                "--router".to_owned(),
                router.operators.to_string(),
                "--key-file".to_owned(),
                key.display().to_string(),
                "contract".to_owned(),
                "apply".to_owned(),
                path.display().to_string(),
            ];
            process::run_to_end("briarhall", &args)?;
        }
        Ok(())
    }

    /// Makes the platform misbehave.
    ///
    /// # Errors
    ///
    /// Returns an error when it does not answer.
    pub async fn platform_faults(&self, faults: Faults) -> Result<(), SiteError> {
        self.post(self.platform_address, "/v1/control/faults", &faults)
            .await
    }

    /// Reads the platform's counts.
    ///
    /// # Errors
    ///
    /// Returns an error when it does not answer.
    pub async fn platform_stats(&self) -> Result<Stats, SiteError> {
        self.get(self.platform_address, "/v1/control/stats").await
    }

    /// Reads how often each key had its effect, over all services.
    ///
    /// # Errors
    ///
    /// Returns an error when a service does not answer.
    pub async fn effects(&self) -> Result<BTreeMap<String, u64>, SiteError> {
        let mut all = BTreeMap::new();
        for service in self.services.values() {
            let path = "/control/effects";
            let effects = self
                .get::<BTreeMap<String, u64>>(service.address, path)
                .await?;
            for (key, count) in effects {
                *all.entry(key).or_default() += count;
            }
        }
        Ok(all)
    }

    /// Reads what really happened at each engine.
    ///
    /// # Errors
    ///
    /// Returns an error when an engine does not answer.
    pub async fn ledgers(&self) -> Result<Vec<Ledger>, SiteError> {
        let mut ledgers = Vec::new();
        for engine in self.engines.values() {
            ledgers.push(self.get(engine.address, "/v1/ledger").await?);
        }
        Ok(ledgers)
    }

    /// Returns whether any engine took the prompt with this digest.
    ///
    /// # Errors
    ///
    /// Returns an error when an engine does not answer.
    pub async fn any_engine_took(&self, digest: &blake3::Hash) -> Result<bool, SiteError> {
        for engine in self.engines.values() {
            let path = format!("/v1/taken/{}", digest.to_hex());
            if self.get::<bool>(engine.address, &path).await? {
                return Ok(true);
            }
        }
        Ok(false)
    }

    /// Reads a document.
    ///
    /// # Errors
    ///
    /// Returns an error when the process does not answer.
    pub async fn get<T>(&self, address: SocketAddr, path: &str) -> Result<T, SiteError>
    where
        T: DeserializeOwned,
    {
        Ok(self
            .client
            .fetch(Call::get(address, path), CALL_LIMIT)
            .await?)
    }

    /// Sends a document to one of the stand-ins' switches.
    ///
    /// # Errors
    ///
    /// Returns an error when the process does not answer.
    pub async fn post<T>(&self, address: SocketAddr, path: &str, body: &T) -> Result<(), SiteError>
    where
        T: serde::Serialize,
    {
        let call = Call::post(address, path).json(body);
        self.client.send(call, CALL_LIMIT).await?;
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
