//! `briarhall-lab demo`: a site of the fleet's present size under mixed load.

use std::collections::BTreeMap;
use std::time::Duration;

use briarhall_lab::counts::Counts;
use briarhall_lab::counts::Percentiles;
use briarhall_lab::load::LoadSpec;
use briarhall_lab::load::arrivals;
use briarhall_lab::load::without_long;
use briarhall_lab::run::Lab;
use briarhall_lab::site::CustomerSpec;
use briarhall_lab::site::EngineKind;
use briarhall_lab::site::Site;
use briarhall_lab::site::SiteSpec;
use serde::Serialize;

use crate::args::DemoArgs;
use crate::error::LabError;

const ENGINES: usize = 20;
const SERVICES: usize = 3;
const ROUTERS: usize = 3;
const TIME_SCALE: f64 = 10.0;
const PHASE_DURATION: Duration = Duration::from_secs(12);
const LOAD_FRACTION: f64 = 0.5;

/// Time to first token of short requests without and with long ones.
#[derive(Debug, Serialize)]
struct Slowdown {
    without_long_ms: Percentiles,
    with_long_ms: Percentiles,
    p50_ratio: f64,
    p99_ratio: f64,
}

#[derive(Debug, Serialize)]
struct Report {
    #[serde(flatten)]
    counts: Counts,
    /// In real milliseconds, by length class. Engines run `time_scale` times faster
    /// than real time.
    first_token_ms: BTreeMap<&'static str, Percentiles>,
    longest_gap_ms: Option<Percentiles>,
    top_up_ms: Option<Percentiles>,
    short_slowdown: Option<Slowdown>,
    time_scale: f64,
}

/// Runs the demo.
///
/// # Errors
///
/// Returns an error when the site does not start, or the counts are not clean.
pub fn run(args: &DemoArgs) -> Result<(), LabError> {
    let lab = Lab::start()?;
    let report = async_io::block_on(run_demo(&lab, args.seed))?;
    if args.json {
        println!("{}", serde_json::to_string(&report).unwrap_or_default());
    } else {
        print(&report);
    }
    if report.counts.is_clean() {
        Ok(())
    } else {
        Err(LabError::NotClean)
    }
}

async fn run_demo(lab: &Lab, seed: u64) -> Result<Report, LabError> {
    let spec = SiteSpec {
        routers: ROUTERS,
        engines: ENGINES,
        services: SERVICES,
        time_scale: TIME_SCALE,
        log: "warn".to_owned(),
        ..SiteSpec::default()
    };
    let site = Site::start(spec, lab.client.clone()).await?;
    let customers = [CustomerSpec::tidewire(), CustomerSpec::lagon_bleu()];
    site.apply_contracts(&customers)?;
    let callers = lab.callers(&site, &customers);
    let mixed = arrivals(&load(seed));
    let alone = lab.send("alone", &callers, without_long(&mixed)).await;
    let records = lab.send("mixed", &callers, mixed).await;
    let counts = records.counts(&site).await?;
    let first_token_ms = records.first_token_ms();
    let short_slowdown = slowdown(&alone.first_token_ms(), &first_token_ms);
    Ok(Report {
        counts,
        longest_gap_ms: records.longest_gap_ms(),
        top_up_ms: records.top_up_ms(),
        first_token_ms,
        short_slowdown,
        time_scale: TIME_SCALE,
    })
}

#[expect(
    clippy::cast_precision_loss,
    reason = "the number of engines is far below 2^52"
)]
fn load(seed: u64) -> LoadSpec {
    LoadSpec {
        seed,
        duration: PHASE_DURATION,
        capacity: ENGINES as f64 * EngineKind::PLAIN.prefill_rate * TIME_SCALE,
        quadratic_cost: EngineKind::PLAIN.quadratic_cost,
        load_fraction: LOAD_FRACTION,
        top_ups_per_second: 20.0,
        giants: 2,
        customers: 2,
    }
}

fn slowdown(
    alone: &BTreeMap<&'static str, Percentiles>,
    mixed: &BTreeMap<&'static str, Percentiles>,
) -> Option<Slowdown> {
    let without_long_ms = *alone.get("short")?;
    let with_long_ms = *mixed.get("short")?;
    Some(Slowdown {
        without_long_ms,
        with_long_ms,
        p50_ratio: with_long_ms.p50 / without_long_ms.p50,
        p99_ratio: with_long_ms.p99 / without_long_ms.p99,
    })
}

fn print(report: &Report) {
    let counts = &report.counts;
    println!("requests         {:>8}", counts.requests);
    println!("answered         {:>8}", counts.answered);
    println!("not run          {:>8}", counts.not_run);
    println!("unknown          {:>8}", counts.unknown);
    println!("lost             {:>8}", counts.lost);
    println!("doubled          {:>8}", counts.doubled);
    println!("crossed          {:>8}", counts.crossed);
    println!("untrue refusals  {:>8}", counts.untrue_refusals);
    println!(
        "\ntime to first token, ms of real time; engines run {} times faster",
        report.time_scale
    );
    println!("LENGTH      COUNT       P50       P95       P99");
    for (class, p) in &report.first_token_ms {
        println!(
            "{class:<8} {:>8} {:>9.1} {:>9.1} {:>9.1}",
            p.count, p.p50, p.p95, p.p99
        );
    }
    if let Some(slowdown) = &report.short_slowdown {
        println!(
            "\nshort requests with long ones beside them: p50 {:.2} times, p99 {:.2} times as long",
            slowdown.p50_ratio, slowdown.p99_ratio,
        );
    }
    for example in &counts.examples {
        println!("example: {example}");
    }
}
