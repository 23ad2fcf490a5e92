//! Starts and replaces the processes of a site.

use std::net::SocketAddr;

use briarhall_types::Digest;
use briarhall_types::EndpointKind;
use briarhall_types::EndpointRecord;
use briarhall_types::EndpointState;
use compact_str::CompactString;

use super::Endpoint;
use super::FaultProxy;
use super::MODEL;
use super::OPERATOR_KEY;
use super::Process;
use super::Router;
use super::SERVICE;
use super::Site;
use super::SiteError;
use super::process;

impl Site {
    /// Starts an engine and adds it to the platform's list of VMs.
    ///
    /// # Errors
    ///
    /// Returns an error when it does not start.
    pub async fn start_engine(&mut self, number: usize) -> Result<(), SiteError> {
        let mut args = vec![
            "--model".to_owned(),
            self.spec.engine.name.to_owned(),
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

    /// Starts a plain service and adds it to the platform's list of VMs.
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
        let rate = (self.spec.engine.prefill_rate * self.spec.time_scale) as u64;
        let record = EndpointRecord {
            name: CompactString::from(name),
            kind,
            serves: CompactString::from(if engine { MODEL } else { SERVICE }),
            address: proxy.as_ref().map_or(address, |proxy| proxy.address),
            zone: CompactString::from(self.zone(number)),
            state: EndpointState::Live,
            kv_tokens: if engine { self.spec.kv_tokens } else { 0 },
            prefill_rate: if engine { rate } else { 0 },
        };
        self.register_vm(&record).await?;
        Ok(Endpoint {
            process,
            record,
            address,
            proxy,
        })
    }

    /// Starts a router. If one with this number exists, kills it and reuses its
    /// addresses and proxies.
    ///
    /// # Errors
    ///
    /// Returns an error when it does not start.
    pub async fn start_router(&mut self, number: usize) -> Result<(), SiteError> {
        Box::pin(self.replace_router(number)).await
    }

    async fn replace_router(&mut self, number: usize) -> Result<(), SiteError> {
        let previous = self.routers.remove(&number);
        let name = format!("router-{number:02}");
        let (mesh_proxy, platform_proxy, listen) = if let Some(mut router) = previous {
            router.process.kill();
            let listen = [router.callers, router.operators, router.mesh];
            (router.mesh_proxy, router.platform_proxy, listen)
        } else {
            let platform = Some(self.platform_address);
            let mesh_proxy = self.proxy(&format!("{name}-mesh"), None).await?;
            let platform_proxy = self.proxy(&format!("{name}-platform"), platform).await?;
            let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
            (mesh_proxy, platform_proxy, [any_port; 3])
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
        mesh_proxy: Option<&FaultProxy>,
        platform_proxy: Option<&FaultProxy>,
        [callers, operators, mesh]: [SocketAddr; 3],
    ) -> String {
        let platform = platform_proxy
            .as_ref()
            .map_or(self.platform_address, |p| p.address);
        let advertise =
            mesh_proxy.map_or_else(String::new, |p| format!("advertise_mesh: {}\n", p.address));
        let seeds = self.routers.values().map(|router| {
            let proxy = router.mesh_proxy.as_ref();
            let address = proxy.map_or(router.mesh, |proxy| proxy.address);
            format!("  - {address}\n")
        });
        let seeds = seeds.collect::<String>();
        let seeds = if seeds.is_empty() {
            String::new()
        } else {
            format!("mesh_seeds:\n{seeds}")
        };
        let limits = self.spec.router_limits;
        let limits = limits.map_or_else(String::new, |[memory_mb, max_fds]| {
            format!("memory_mb: {memory_mb}\nmax_fds: {max_fds}\n")
        });
        format!(
            "zone: {zone}\ncallers: {callers}\noperators: {operators}\nmesh: {mesh}\n\
             platform: {platform}\nmesh_secret_file: {secret}\npolicy: {policy}\n\
             address_ttl: {ttl}ms\nreport_lag: {lag}ms\nlog: {log}\n{advertise}{seeds}{limits}\
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

    async fn proxy(
        &self,
        name: &str,
        target: Option<SocketAddr>,
    ) -> Result<Option<FaultProxy>, SiteError> {
        if !self.spec.proxies {
            return Ok(None);
        }
        let proxy = FaultProxy::start(name, target, &self.dir, &self.client).await?;
        Ok(Some(proxy))
    }
}
