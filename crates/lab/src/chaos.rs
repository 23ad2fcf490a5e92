//! `briarhall-lab chaos`: mixed load under random faults.

use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use briarhall_lab::counts::Counts;
use briarhall_lab::load::LoadSpec;
use briarhall_lab::load::arrivals;
use briarhall_lab::run::Lab;
use briarhall_lab::site::CustomerSpec;
use briarhall_lab::site::Endpoint;
use briarhall_lab::site::EngineKind;
use briarhall_lab::site::Site;
use briarhall_lab::site::SiteError;
use briarhall_lab::site::SiteSpec;
use briarhall_standins::platform::Faults;
use briarhall_standins::platform::Outage;
use briarhall_standins::proxy::OpenConnections;
use briarhall_standins::service::ServiceFaults;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use serde::Serialize;

use crate::args::ChaosArgs;
use crate::error::LabError;

const ROUTERS: usize = 4;
const ENGINES: usize = 10;
const SERVICES: usize = 2;
const TIME_SCALE: f64 = 10.0;
const LOAD_FRACTION: f64 = 0.25;
const PAUSE_MS: std::ops::Range<u64> = 300..1_500;
const FAULT_DURATION_MS: std::ops::Range<u64> = 300..3_000;
/// Time within which engines must free all KV memory after the last request has
/// ended.
const MEMORY_FREE_TIMEOUT: Duration = Duration::from_secs(45);

/// A fault to inject.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum Fault {
    KillRouter,
    FreezeRouter,
    KillEngine,
    FreezeEngine,
    SilenceEngine,
    CutEngine,
    SilenceMesh,
    SilencePlatform,
    CutRouterOff,
    KillSteward,
    PlatformRefuses,
    PlatformHangs,
    PlatformSlow,
    PlatformLosesAnswers,
    PlatformStale,
    ServiceLosesAnswers,
}

const FAULTS: [Fault; 16] = [
    Fault::KillRouter,
    Fault::FreezeRouter,
    Fault::KillEngine,
    Fault::FreezeEngine,
    Fault::SilenceEngine,
    Fault::CutEngine,
    Fault::SilenceMesh,
    Fault::SilencePlatform,
    Fault::CutRouterOff,
    Fault::KillSteward,
    Fault::PlatformRefuses,
    Fault::PlatformHangs,
    Fault::PlatformSlow,
    Fault::PlatformLosesAnswers,
    Fault::PlatformStale,
    Fault::ServiceLosesAnswers,
];

#[derive(Debug, Serialize)]
struct Report {
    seed: u64,
    #[serde(flatten)]
    counts: Counts,
    faults: Vec<Fault>,
    /// KV tokens that engines still hold at the end.
    kv_held: u64,
    /// Seconds from the last fault until engines held nothing.
    memory_freed_after: f64,
}

/// Runs mixed load under random faults.
///
/// # Errors
///
/// Returns an error when the site fails or the counts are not clean.
pub fn run(args: &ChaosArgs) -> Result<(), LabError> {
    let lab = Lab::start()?;
    let report = async_io::block_on(run_under_faults(&lab, args))?;
    if args.json {
        println!("{}", serde_json::to_string(&report).unwrap_or_default());
    } else {
        println!("{report:#?}");
    }
    if report.counts.is_clean() && report.kv_held == 0 {
        Ok(())
    } else {
        Err(LabError::NotClean)
    }
}

async fn run_under_faults(lab: &Lab, args: &ChaosArgs) -> Result<Report, LabError> {
    let spec = SiteSpec {
        routers: ROUTERS,
        engines: ENGINES,
        services: SERVICES,
        stewards: 2,
        time_scale: TIME_SCALE,
        log: "info".to_owned(),
        proxies: true,
        ..SiteSpec::default()
    };
    let mut site = Site::start(spec, lab.client.clone()).await?;
    let customers = [CustomerSpec::tidewire(), CustomerSpec::lagon_bleu()];
    site.apply_contracts(&customers)?;
    let callers = lab.callers(&site, &customers);
    let load = load(args);
    let sender = lab.clone();
    let run = format!("chaos-{}", args.seed);
    let sending = async move { sender.send(&run, &callers, arrivals(&load)).await };
    let sending = lab.executor.spawn(sending);
    let mut injector = FaultInjector {
        rng: StdRng::seed_from_u64(args.seed),
        faults: Vec::new(),
    };
    let end = Instant::now() + Duration::from_secs(args.seconds);
    while Instant::now() < end {
        injector.inject_fault(&mut site).await?;
    }
    let last_fault = Instant::now();
    let records = sending.await;
    let counts = records.counts(&site).await?;
    let kv_held = wait_for_memory(&site).await?;
    Ok(Report {
        seed: args.seed,
        counts,
        faults: injector.faults,
        kv_held,
        memory_freed_after: last_fault.elapsed().as_secs_f64(),
    })
}

#[expect(
    clippy::cast_precision_loss,
    reason = "the number of engines is far below 2^52"
)]
fn load(args: &ChaosArgs) -> LoadSpec {
    LoadSpec {
        seed: args.seed,
        duration: Duration::from_secs(args.seconds),
        capacity: ENGINES as f64 * EngineKind::PLAIN.prefill_rate * TIME_SCALE,
        quadratic_cost: EngineKind::PLAIN.quadratic_cost,
        load_fraction: LOAD_FRACTION,
        top_ups_per_second: 10.0,
        giants: 1,
        customers: 2,
    }
}

async fn wait_for_memory(site: &Site) -> Result<u64, SiteError> {
    let end = Instant::now() + MEMORY_FREE_TIMEOUT;
    loop {
        let ledgers = site.ledgers().await?;
        let held = ledgers.iter().map(|ledger| ledger.kv_used).sum();
        if held == 0 || Instant::now() > end {
            return Ok(held);
        }
        Timer::after(Duration::from_millis(100)).await;
    }
}

struct FaultInjector {
    rng: StdRng,
    faults: Vec<Fault>,
}

impl FaultInjector {
    async fn inject_fault(&mut self, site: &mut Site) -> Result<(), SiteError> {
        let fault = FAULTS
            .into_iter()
            .choose(&mut self.rng)
            .unwrap_or(Fault::KillRouter);
        self.faults.push(fault);
        let router = self.rng.random_range(0..ROUTERS);
        let engine = self.rng.random_range(0..ENGINES);
        match fault {
            Fault::KillRouter => {
                if let Some(router) = site.routers.get_mut(&router) {
                    router.process.kill();
                }
                self.wait_fault_duration().await;
                site.start_router(router).await?;
            }
            Fault::FreezeRouter => self.freeze(&site.routers[&router].process).await,
            Fault::KillEngine => {
                site.engines.remove(&engine);
                self.wait_fault_duration().await;
                site.start_engine(engine).await?;
            }
            Fault::FreezeEngine => self.freeze(&site.engines[&engine].process).await,
            Fault::SilenceEngine => {
                disrupt(&site.engines[&engine], OpenConnections::Silence).await?;
            }
            Fault::CutEngine => disrupt(&site.engines[&engine], OpenConnections::Cut).await?,
            Fault::SilenceMesh => {
                if let Some(proxy) = &site.routers[&router].mesh_proxy {
                    proxy
                        .disrupt_open_connections(OpenConnections::Silence)
                        .await?;
                }
            }
            Fault::SilencePlatform => {
                if let Some(proxy) = &site.routers[&router].platform_proxy {
                    proxy
                        .disrupt_open_connections(OpenConnections::Silence)
                        .await?;
                }
            }
            Fault::CutRouterOff => self.partition_router(&site.routers[&router]).await?,
            Fault::KillSteward => {
                let number = self.rng.random_range(0..2);
                site.stewards.remove(&number);
                site.start_steward(number)?;
            }
            Fault::ServiceLosesAnswers => self.service_fault(site).await?,
            fault => self.platform_fault(site, platform_faults(fault)).await?,
        }
        let pause = self.rng.random_range(PAUSE_MS);
        Timer::after(Duration::from_millis(pause)).await;
        Ok(())
    }

    async fn wait_fault_duration(&mut self) {
        let millis = self.rng.random_range(FAULT_DURATION_MS);
        Timer::after(Duration::from_millis(millis)).await;
    }

    async fn freeze(&mut self, process: &briarhall_lab::site::Process) {
        process.freeze();
        self.wait_fault_duration().await;
        process.thaw();
    }

    async fn partition_router(
        &mut self,
        router: &briarhall_lab::site::Router,
    ) -> Result<(), SiteError> {
        let proxies = [&router.mesh_proxy, &router.platform_proxy];
        for proxy in proxies.into_iter().flatten() {
            proxy.partition().await?;
        }
        self.wait_fault_duration().await;
        for proxy in proxies.into_iter().flatten() {
            proxy.heal().await?;
        }
        Ok(())
    }

    async fn platform_fault(&mut self, site: &Site, faults: Faults) -> Result<(), SiteError> {
        site.platform_faults(faults).await?;
        self.wait_fault_duration().await;
        site.platform_faults(Faults::default()).await
    }

    async fn service_fault(&mut self, site: &Site) -> Result<(), SiteError> {
        let faults = ServiceFaults {
            lost_answers_percent: 50,
            delay_before_ms: 100,
            ..ServiceFaults::default()
        };
        for service in site.services.values() {
            site.post(service.address, "/control/faults", &faults)
                .await?;
        }
        self.wait_fault_duration().await;
        let faults = ServiceFaults::default();
        for service in site.services.values() {
            site.post(service.address, "/control/faults", &faults)
                .await?;
        }
        Ok(())
    }
}

async fn disrupt(endpoint: &Endpoint, action: OpenConnections) -> Result<(), SiteError> {
    match &endpoint.proxy {
        Some(proxy) => proxy.disrupt_open_connections(action).await,
        None => Ok(()),
    }
}

fn platform_faults(fault: Fault) -> Faults {
    let faults = Faults::default();
    match fault {
        Fault::PlatformRefuses => Faults {
            outage: Outage::Refuse,
            ..faults
        },
        Fault::PlatformHangs => Faults {
            outage: Outage::Hang,
            ..faults
        },
        Fault::PlatformSlow => Faults {
            slow_ms: 400,
            ..faults
        },
        Fault::PlatformLosesAnswers => Faults {
            lost_answers_percent: 50,
            ..faults
        },
        _ => Faults {
            stale_by: 40,
            ..faults
        },
    }
}
