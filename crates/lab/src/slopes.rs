//! `briarhall-lab slopes`: the cost of the control plane as a function of the
//! numbers of routers, replicas, contracts, changes and requests.

use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use briarhall_lab::load::LoadSpec;
use briarhall_lab::load::arrivals;
use briarhall_lab::load::without_long;
use briarhall_lab::run::Lab;
use briarhall_lab::site::CustomerSpec;
use briarhall_lab::site::Router;
use briarhall_lab::site::Site;
use briarhall_lab::site::SiteError;
use briarhall_lab::site::SiteSpec;
use briarhall_net::Call;
use briarhall_policy::members::Heartbeat;
use briarhall_policy::members::Members;
use briarhall_types::Digest;
use compact_str::CompactString;
use compact_str::format_compact;
use hyper::Method;
use serde::Serialize;
use serde_json::json;

use crate::args::SlopesArgs;
use crate::error::LabError;
use crate::fit::Line;
use crate::fit::Point;
use crate::fit::fit_line;

const ROUTER_COUNTS: [usize; 4] = [3, 6, 9, 18];
const REPLICA_COUNTS: [usize; 3] = [4, 16, 48];
const CONTRACT_COUNTS: [usize; 3] = [10, 100, 330];
const CHANGES_PER_SECOND: [u64; 3] = [0, 5, 20];
/// Load as fractions of the engines' capacity.
const LOAD_FRACTIONS: [f64; 3] = [0.05, 0.15, 0.3];
/// Numbers of routers whose heartbeats are in one answer to a pull.
const PULL_ROUTERS: [usize; 3] = [9, 90, 350];
const SETTLE_TIME: Duration = Duration::from_secs(1);
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Measured cost for each router.
#[derive(Debug, Clone, Copy, Serialize)]
struct Cost {
    /// CPU time of the control thread, in per cent of a core.
    control_percent: f64,
    /// CPU time of the traffic threads, in per cent of a core.
    traffic_percent: f64,
    /// Resident memory, in megabytes.
    memory_mb: f64,
    /// Reads at the platform per second and router.
    reads: f64,
    /// Writes at the platform per second and router.
    writes: f64,
}

/// Costs at several sizes, with a line fitted to each kind of cost.
#[derive(Debug, Serialize)]
struct Sweep {
    /// The quantity that was varied.
    against: &'static str,
    sizes: Vec<f64>,
    costs: Vec<Cost>,
    control_percent: Option<Line>,
    traffic_percent: Option<Line>,
    memory_mb: Option<Line>,
    reads: Option<Line>,
    writes: Option<Line>,
}

/// Time from the start of a change until it is in force.
#[derive(Debug, Clone, Copy, Serialize)]
struct PropagationTime {
    routers: usize,
    /// Until every router had it, in milliseconds.
    held_ms: f64,
    /// Until it was reported as accepted, in milliseconds.
    accepted_ms: f64,
}

/// Size of an answer to a pull in the encoding used between routers.
#[derive(Debug, Serialize)]
struct PullBytes {
    routers: [usize; 3],
    bytes: Vec<usize>,
    line: Option<Line>,
}

#[derive(Debug, Serialize)]
struct Report {
    sweeps: Vec<Sweep>,
    pull_bytes: PullBytes,
    in_force: Vec<PropagationTime>,
}

/// Measures all costs and fits lines to them.
///
/// # Errors
///
/// Returns an error when a site fails.
pub fn run(args: &SlopesArgs) -> Result<(), LabError> {
    let lab = Lab::start()?;
    let report = async_io::block_on(measure_all(&lab, args))?;
    if args.json {
        println!("{}", serde_json::to_string(&report).unwrap_or_default());
    } else {
        print(&report);
    }
    Ok(())
}

async fn measure_all(lab: &Lab, args: &SlopesArgs) -> Result<Report, LabError> {
    let seconds = Duration::from_secs(args.seconds);
    let mut in_force = Vec::new();
    let routers = sweep_routers(lab, seconds, &mut in_force).await?;
    let sweeps = vec![
        routers,
        sweep_replicas(lab, seconds).await?,
        sweep_contracts(lab, seconds).await?,
        sweep_changes(lab, seconds).await?,
        sweep_requests(lab, seconds).await?,
    ];
    Ok(Report {
        sweeps,
        pull_bytes: pull_bytes(),
        in_force,
    })
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn pull_bytes() -> PullBytes {
    let bytes = PULL_ROUTERS.map(pull_reply_bytes);
    let points = PULL_ROUTERS.iter().zip(bytes);
    let points = points.map(|(x, y)| Point {
        x: *x as f64,
        y: y as f64,
    });
    PullBytes {
        routers: PULL_ROUTERS,
        bytes: bytes.to_vec(),
        line: fit_line(&points.collect::<Vec<_>>()),
    }
}

fn pull_reply_bytes(routers: usize) -> usize {
    let now = Instant::now();
    let heartbeat = |n: usize| Heartbeat {
        router: format_compact!("vancouver-a/{n:032}"),
        counter: 100_000,
        held: 1_000_000,
        newest: 999_999,
        caller_address: ([10, 0, 0, 1], 8_080).into(),
        mesh_address: ([10, 0, 0, 1], 8_082).into(),
        zone: CompactString::const_new("vancouver-a"),
        draining: false,
    };
    let mut members = Members::new(heartbeat(0).router);
    members.set_own_heartbeat(heartbeat(0), now);
    for n in 1..routers {
        members.apply_push(heartbeat(n), now);
    }
    serde_json::to_vec(&members.answer(now)).map_or(0, |text| text.len())
}

async fn sweep_routers(
    lab: &Lab,
    seconds: Duration,
    in_force: &mut Vec<PropagationTime>,
) -> Result<Sweep, LabError> {
    let mut sweep = SweepPoints::new("routers");
    for routers in ROUTER_COUNTS {
        let site = start(lab, routers, 4).await?;
        sweep.add(routers, measure_idle_cost(&site, seconds).await?);
        in_force.push(measure_propagation(&site).await?);
    }
    Ok(sweep.fit())
}

async fn sweep_replicas(lab: &Lab, seconds: Duration) -> Result<Sweep, LabError> {
    let mut sweep = SweepPoints::new("replicas");
    for replicas in REPLICA_COUNTS {
        let site = start(lab, 3, replicas).await?;
        sweep.add(replicas, measure_idle_cost(&site, seconds).await?);
    }
    Ok(sweep.fit())
}

async fn sweep_contracts(lab: &Lab, seconds: Duration) -> Result<Sweep, LabError> {
    let mut sweep = SweepPoints::new("contracts");
    for contracts in CONTRACT_COUNTS {
        let site = start(lab, 3, 4).await?;
        for number in 0..contracts {
            write_contract(&site, number, 100).await?;
        }
        Timer::after(SETTLE_TIME).await;
        sweep.add(contracts, measure_idle_cost(&site, seconds).await?);
    }
    Ok(sweep.fit())
}

async fn sweep_changes(lab: &Lab, seconds: Duration) -> Result<Sweep, LabError> {
    let mut sweep = SweepPoints::new("changes a second");
    for changes in CHANGES_PER_SECOND {
        let site = start(lab, 3, 4).await?;
        for number in 0..CONTRACT_COUNTS[1] {
            write_contract(&site, number, 100).await?;
        }
        Timer::after(SETTLE_TIME).await;
        let before = Snapshot::take(&site).await?;
        let started = Instant::now();
        let mut made = 0_u32;
        while started.elapsed() < seconds {
            if changes == 0 {
                Timer::after(SETTLE_TIME).await;
                continue;
            }
            write_contract(&site, made as usize % CONTRACT_COUNTS[1], 200 + made).await?;
            made += 1;
            let due = Duration::from_secs(1) * made / u32::try_from(changes).unwrap_or(1);
            Timer::after(due.saturating_sub(started.elapsed())).await;
        }
        sweep.add(
            usize::try_from(changes).unwrap_or(0),
            before.cost(&site).await?,
        );
    }
    Ok(sweep.fit())
}

#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "counts and rates are positive and far below 2^52"
)]
async fn sweep_requests(lab: &Lab, seconds: Duration) -> Result<Sweep, LabError> {
    let mut sweep = SweepPoints::new("requests a second and router");
    for load_fraction in LOAD_FRACTIONS {
        let site = start(lab, 3, 12).await?;
        let customers = [CustomerSpec::tidewire()];
        site.apply_contracts(&customers)?;
        let callers = lab.callers(&site, &customers);
        let load = LoadSpec {
            seed: 1,
            duration: seconds,
            capacity: 12.0 * 167_000.0 * 4.0,
            quadratic_cost: 0.0,
            load_fraction,
            top_ups_per_second: 0.0,
            giants: 0,
            customers: 1,
        };
        let arrivals = without_long(&arrivals(&load));
        let rate = arrivals.len() as f64 / seconds.as_secs_f64() / 3.0;
        let before = Snapshot::take(&site).await?;
        lab.send("slopes", &callers, arrivals).await;
        sweep.add(rate.round() as usize, before.cost(&site).await?);
    }
    Ok(sweep.fit())
}

async fn start(lab: &Lab, routers: usize, engines: usize) -> Result<Site, SiteError> {
    let spec = SiteSpec {
        routers,
        engines,
        services: 0,
        log: "warn".to_owned(),
        platform_writes: 2_000.0,
        ..SiteSpec::default()
    };
    let site = Site::start(spec, lab.client.clone()).await?;
    Timer::after(SETTLE_TIME).await;
    Ok(site)
}

async fn measure_idle_cost(site: &Site, seconds: Duration) -> Result<Cost, SiteError> {
    let before = Snapshot::take(site).await?;
    Timer::after(seconds).await;
    before.cost(site).await
}

/// Writes a contract directly to the platform's object API, as a script would.
async fn write_contract(site: &Site, number: usize, in_flight: u32) -> Result<(), SiteError> {
    let customer = format!("customer-{number:03}");
    let contract = json!({
        "kind": "contract",
        "change": "slopes",
        "operator": "lab",
        "contract": {
            "customer": customer,
            "key_digests": [Digest::of(customer.as_bytes())],
            "objective": "first-token",
            "idempotency_window": "10m",
            "models": [{
                "name": "harbour",
                "time_limit": "30s",
                "max_prompt_tokens": 1_000_000,
                "limits": { "requests_per_second": 100, "in_flight": in_flight },
            }],
            "services": [],
        },
    });
    let path = format!("/v1/objects/config/contract.{customer}");
    let call = Call::new(Method::PUT, site.platform_address, path).json(&contract);
    site.client.send(call, CALL_TIMEOUT).await?;
    Ok(())
}

async fn measure_propagation(site: &Site) -> Result<PropagationTime, SiteError> {
    let router = site.routers.values().next().ok_or(SiteError::NoRouter)?;
    let customer = CustomerSpec {
        name: "measured".to_owned(),
        ..CustomerSpec::tidewire()
    };
    let yaml = briarhall_lab::site::contract_yaml(&customer);
    let contract = briarhall_settings::Document::parse("contract", &yaml);
    let contract = contract.and_then(|document| briarhall_settings::contract_from(&document));
    let contract = contract.map(|contract| json!(contract)).unwrap_or_default();
    let started = Instant::now();
    let apply = site.apply(router, &contract, None);
    let held = async {
        site.wait_status("holding the change", |status| {
            status["contracts"]
                .as_array()
                .is_some_and(|c| !c.is_empty())
        })
        .await?;
        Ok::<_, SiteError>(started.elapsed())
    };
    let (applied, held) = futures::future::join(apply, held).await;
    applied?;
    Ok(PropagationTime {
        routers: site.routers.len(),
        accepted_ms: started.elapsed().as_secs_f64() * 1_000.0,
        held_ms: held?.as_secs_f64() * 1_000.0,
    })
}

/// Resource usage of a site, accumulated until a point in time.
struct Snapshot {
    at: Instant,
    control: Duration,
    traffic: Duration,
    reads: u64,
    writes: u64,
}

impl Snapshot {
    async fn take(site: &Site) -> Result<Self, SiteError> {
        let stats = site.platform_stats().await?;
        let sum = |thread: &str| {
            site.routers
                .values()
                .map(|r| r.process.thread_time(thread))
                .sum()
        };
        Ok(Self {
            at: Instant::now(),
            control: sum("control"),
            traffic: sum("traffic"),
            reads: stats.reads,
            writes: stats.writes,
        })
    }

    #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
    async fn cost(&self, site: &Site) -> Result<Cost, SiteError> {
        let now = Self::take(site).await?;
        let seconds = (now.at - self.at).as_secs_f64();
        let routers = site.routers.len() as f64;
        let percent = |used: Duration| used.as_secs_f64() * 100.0 / seconds / routers;
        let memory = |router: &Router| router.process.resident_bytes() as f64 / 1_000_000.0;
        Ok(Cost {
            control_percent: percent(now.control.saturating_sub(self.control)),
            traffic_percent: percent(now.traffic.saturating_sub(self.traffic)),
            memory_mb: site.routers.values().map(memory).sum::<f64>() / routers,
            reads: (now.reads - self.reads) as f64 / seconds / routers,
            writes: (now.writes - self.writes) as f64 / seconds / routers,
        })
    }
}

/// Costs measured so far in a sweep.
struct SweepPoints {
    against: &'static str,
    sizes: Vec<f64>,
    costs: Vec<Cost>,
}

impl SweepPoints {
    fn new(against: &'static str) -> Self {
        Self {
            against,
            sizes: Vec::new(),
            costs: Vec::new(),
        }
    }

    #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
    fn add(&mut self, size: usize, cost: Cost) {
        self.sizes.push(size as f64);
        self.costs.push(cost);
    }

    fn fit(self) -> Sweep {
        let fit = |of: fn(&Cost) -> f64| {
            let points = self.sizes.iter().zip(&self.costs);
            let points = points.map(|(x, cost)| Point { x: *x, y: of(cost) });
            fit_line(&points.collect::<Vec<_>>())
        };
        Sweep {
            against: self.against,
            control_percent: fit(|c| c.control_percent),
            traffic_percent: fit(|c| c.traffic_percent),
            memory_mb: fit(|c| c.memory_mb),
            reads: fit(|c| c.reads),
            writes: fit(|c| c.writes),
            sizes: self.sizes,
            costs: self.costs,
        }
    }
}

fn print(report: &Report) {
    for sweep in &report.sweeps {
        println!("against {}", sweep.against);
        for (size, cost) in sweep.sizes.iter().zip(&sweep.costs) {
            println!(
                "  {size:>6}: control {:>6.2} %, traffic {:>6.2} %, {:>6.1} MB, {:>6.2} reads/s, {:>6.2} writes/s",
                cost.control_percent, cost.traffic_percent, cost.memory_mb, cost.reads, cost.writes,
            );
        }
        let lines = [
            ("control %", sweep.control_percent),
            ("traffic %", sweep.traffic_percent),
            ("MB", sweep.memory_mb),
            ("reads/s", sweep.reads),
            ("writes/s", sweep.writes),
        ];
        for (name, line) in lines {
            if let Some(line) = line {
                println!(
                    "  {name}: {:.4} + {:.5} (± {:.5}) each",
                    line.base, line.slope, line.slope_error
                );
            }
        }
    }
    let pulls = &report.pull_bytes;
    println!(
        "answer to a pull: {:?} bytes for {:?} routers",
        pulls.bytes, pulls.routers
    );
    for time in &report.in_force {
        println!(
            "{} routers: held everywhere after {:.0} ms, accepted after {:.0} ms",
            time.routers, time.held_ms, time.accepted_ms,
        );
    }
}
