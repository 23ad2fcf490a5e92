//! `briarhall-lab experiment`: compares placement policies under the same
//! arrivals, for several seeds.

use std::collections::BTreeMap;
use std::time::Duration;

use async_io::Timer;
use briarhall_lab::counts::Counts;
use briarhall_lab::counts::Percentiles;
use briarhall_lab::counts::Records;
use briarhall_lab::load::Arrival;
use briarhall_lab::load::LoadSpec;
use briarhall_lab::load::arrivals;
use briarhall_lab::load::without_long;
use briarhall_lab::run::Lab;
use briarhall_lab::site::CustomerSpec;
use briarhall_lab::site::EngineKind;
use briarhall_lab::site::Site;
use briarhall_lab::site::SiteSpec;
use serde::Serialize;

use crate::args::ExperimentArgs;
use crate::error::LabError;

const ENGINES: usize = 20;
const SERVICES: usize = 1;

/// Parameters of one row of the table, which covers all seeds.
#[derive(Debug, Clone)]
struct Scenario {
    engine: EngineKind,
    policy: String,
    objective: String,
    load_percent: u64,
    routers: usize,
}

#[derive(Debug, Serialize)]
struct Row {
    policy: String,
    objective: String,
    load_percent: u64,
    routers: usize,
    engine_killed: bool,
    /// Summed over the seeds.
    counts: Counts,
    /// In real milliseconds, over all seeds.
    first_token_ms: BTreeMap<&'static str, Percentiles>,
    /// Time to first token of short requests when the load has no long ones.
    short_alone_ms: Option<Percentiles>,
    short_p50_ratio: Option<f64>,
    short_p99_ratio: Option<f64>,
}

#[derive(Debug, Serialize)]
struct Report {
    engine: &'static str,
    time_scale: f64,
    engines: usize,
    seeds: Vec<u64>,
    load_report_lag_ms: u64,
    rows: Vec<Row>,
}

/// Runs the experiment.
///
/// # Errors
///
/// Returns an error when a site does not start, or a run is not clean.
pub fn run(args: &ExperimentArgs) -> Result<(), LabError> {
    let lab = Lab::start()?;
    let seeds = parse_numbers(&args.seeds)?;
    let engine = parse_engine(args)?;
    let mut rows = Vec::new();
    for scenario in scenarios(args, engine)? {
        let row = async_io::block_on(measure(&lab, args, &scenario, &seeds))?;
        if !args.json {
            print(&row, rows.is_empty());
        }
        rows.push(row);
    }
    let clean = rows.iter().all(|row| row.counts.is_clean());
    let report = Report {
        engine: engine.name,
        time_scale: time_scale(engine),
        engines: ENGINES,
        seeds,
        load_report_lag_ms: args.report_lag_ms,
        rows,
    };
    if args.json {
        println!("{}", serde_json::to_string(&report).unwrap_or_default());
    }
    if clean {
        Ok(())
    } else {
        Err(LabError::NotClean)
    }
}

/// Returns the simulated seconds per real second. `sheet` engines run in real
/// time, because their passes are short.
fn time_scale(engine: EngineKind) -> f64 {
    if engine == EngineKind::SHEET {
        1.0
    } else {
        10.0
    }
}

fn parse_engine(args: &ExperimentArgs) -> Result<EngineKind, LabError> {
    let name = &args.engine;
    let unknown = || {
        LabError::Usage(format!(
            "`{name}` is not an engine model; use plain or sheet"
        ))
    };
    EngineKind::named(name).ok_or_else(unknown)
}

fn scenarios(args: &ExperimentArgs, engine: EngineKind) -> Result<Vec<Scenario>, LabError> {
    let mut scenarios = Vec::new();
    for routers in parse_numbers(&args.routers)? {
        for load_percent in parse_numbers(&args.loads)? {
            for objective in args.objectives.split(',') {
                for policy in args.policies.split(',') {
                    scenarios.push(Scenario {
                        engine,
                        policy: policy.to_owned(),
                        objective: objective.to_owned(),
                        load_percent,
                        routers: usize::try_from(routers).unwrap_or(1),
                    });
                }
            }
        }
    }
    Ok(scenarios)
}

fn parse_numbers(text: &str) -> Result<Vec<u64>, LabError> {
    let number = |part: &str| {
        let invalid = || {
            LabError::Usage(format!(
                "`{part}` is not a whole number; write such as 1,2,3"
            ))
        };
        part.trim().parse().map_err(|_e| invalid())
    };
    text.split(',').map(number).collect()
}

async fn measure(
    lab: &Lab,
    args: &ExperimentArgs,
    scenario: &Scenario,
    seeds: &[u64],
) -> Result<Row, LabError> {
    let mut alone = Records::default();
    let mut mixed = Records::default();
    let mut counts = Counts::default();
    for seed in seeds {
        let arrivals = arrivals(&load(args, scenario, *seed));
        let (records, _) = run_once(lab, args, scenario, without_long(&arrivals)).await?;
        alone.add(records);
        let (records, counted) = run_once(lab, args, scenario, arrivals).await?;
        mixed.add(records);
        counts.add(counted);
    }
    let first_token_ms = mixed.first_token_ms();
    let short_alone_ms = alone.first_token_ms().remove("short");
    let short = first_token_ms.get("short").copied();
    let ratio = |of: fn(&Percentiles) -> f64| Some(of(&short?) / of(&short_alone_ms?));
    Ok(Row {
        policy: scenario.policy.clone(),
        objective: scenario.objective.clone(),
        load_percent: scenario.load_percent,
        routers: scenario.routers,
        engine_killed: args.kill_engine,
        counts,
        short_p50_ratio: ratio(|p| p.p50),
        short_p99_ratio: ratio(|p| p.p99),
        first_token_ms,
        short_alone_ms,
    })
}

/// Sends a load to a new site, so that no run warms up another.
async fn run_once(
    lab: &Lab,
    args: &ExperimentArgs,
    scenario: &Scenario,
    arrivals: Vec<Arrival>,
) -> Result<(Records, Counts), LabError> {
    let spec = SiteSpec {
        routers: scenario.routers,
        engines: ENGINES,
        services: SERVICES,
        engine: scenario.engine,
        time_scale: time_scale(scenario.engine),
        policy: scenario.policy.clone(),
        report_lag: Duration::from_millis(args.report_lag_ms),
        log: "warn".to_owned(),
        ..SiteSpec::default()
    };
    let mut site = Site::start(spec, lab.client.clone()).await?;
    let customers = [CustomerSpec::tidewire(), CustomerSpec::lagon_bleu()];
    let customers = customers.map(|customer| CustomerSpec {
        objective: scenario.objective.clone(),
        ..customer
    });
    site.apply_contracts(&customers)?;
    let callers = lab.callers(&site, &customers);
    let sender = lab.clone();
    let sending = async move { sender.send("run", &callers, arrivals).await };
    let sending = lab.executor.spawn(sending);
    if args.kill_engine {
        Timer::after(Duration::from_secs(args.seconds) / 2).await;
        site.engines.remove(&0);
    }
    let records = sending.await;
    let counts = records.counts(&site).await?;
    Ok((records, counts))
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn load(args: &ExperimentArgs, scenario: &Scenario, seed: u64) -> LoadSpec {
    LoadSpec {
        seed,
        duration: Duration::from_secs(args.seconds),
        capacity: ENGINES as f64 * scenario.engine.prefill_rate * time_scale(scenario.engine),
        quadratic_cost: scenario.engine.quadratic_cost,
        load_fraction: scenario.load_percent as f64 / 100.0,
        top_ups_per_second: 5.0,
        giants: args.giants,
        customers: 2,
    }
}

fn print(row: &Row, first: bool) {
    if first {
        println!(
            "POLICY         OBJECTIVE      LOAD ROUTERS  ANSWERED REFUSED UNKNOWN | SHORT p50  p99  ALONE p50  p99  RATIO p50  p99 | p95 MEDIUM   LONG   HUGE  GIANT"
        );
    }
    let value =
        |class: &str, of: fn(&Percentiles) -> f64| row.first_token_ms.get(class).map_or(0.0, of);
    let alone = |of: fn(&Percentiles) -> f64| row.short_alone_ms.as_ref().map_or(0.0, of);
    println!(
        "{:<14} {:<14} {:>4} {:>7}  {:>8} {:>7} {:>7} | {:>9.1} {:>6.1} {:>7.1} {:>6.1} {:>7.2} {:>5.2} | {:>10.0} {:>6.0} {:>6.0} {:>6.0}",
        row.policy,
        row.objective,
        row.load_percent,
        row.routers,
        row.counts.answered,
        row.counts.not_run,
        row.counts.unknown,
        value("short", |p| p.p50),
        value("short", |p| p.p99),
        alone(|p| p.p50),
        alone(|p| p.p99),
        row.short_p50_ratio.unwrap_or(0.0),
        row.short_p99_ratio.unwrap_or(0.0),
        value("medium", |p| p.p95),
        value("long", |p| p.p95),
        value("huge", |p| p.p95),
        value("giant", |p| p.p95),
    );
    for example in &row.counts.examples {
        println!("    example: {example}");
    }
}
