//! `briarhall-lab claims`: claims per second and the platform writes per second
//! that they need.

use std::time::Duration;
use std::time::Instant;

use briarhall_lab::caller::CallOutcome;
use briarhall_lab::caller::top_up;
use briarhall_lab::run::Lab;
use briarhall_lab::site::CustomerSpec;
use briarhall_lab::site::Site;
use briarhall_lab::site::SiteError;
use briarhall_lab::site::SiteSpec;
use futures::future::join_all;
use serde::Serialize;

use crate::args::ClaimsArgs;
use crate::error::LabError;

/// Numbers of callers. Each has one call in flight at a time.
const CALLERS: [usize; 4] = [1, 8, 64, 256];
const PLATFORM_WRITES: f64 = 400.0;

#[derive(Debug, Serialize)]
struct Row {
    callers: usize,
    answered: u64,
    refused: u64,
    claims_per_second: f64,
    writes_per_second: f64,
    conflicts_per_second: f64,
    claims_per_write: f64,
}

/// Measures claims with increasing numbers of callers.
///
/// # Errors
///
/// Returns an error when a site fails.
pub fn run(args: &ClaimsArgs) -> Result<(), LabError> {
    let lab = Lab::start()?;
    let mut rows = Vec::new();
    for callers in CALLERS {
        let row = async_io::block_on(measure(&lab, args, callers))?;
        if !args.json {
            println!(
                "{callers:>4} callers: {:>7.0} claims/s, {:>6.0} writes/s, {:>5.0} conflicts/s, {:>6.1} claims a write, {} refused",
                row.claims_per_second,
                row.writes_per_second,
                row.conflicts_per_second,
                row.claims_per_write,
                row.refused,
            );
        }
        rows.push(row);
    }
    if args.json {
        println!("{}", serde_json::to_string(&rows).unwrap_or_default());
    }
    Ok(())
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
async fn measure(lab: &Lab, args: &ClaimsArgs, callers: usize) -> Result<Row, LabError> {
    let site = start(lab).await?;
    let before = site.platform_stats().await?;
    let started = Instant::now();
    let end = started + Duration::from_secs(args.seconds);
    let tasks = (0..callers).map(|n| {
        lab.executor
            .spawn(top_up_until(lab.clone(), site.caller_addresses(), n, end))
    });
    let results = join_all(tasks.collect::<Vec<_>>()).await;
    let seconds = started.elapsed().as_secs_f64();
    let after = site.platform_stats().await?;
    let claim_writes = |stats: &briarhall_standins::platform::Stats| {
        let kinds = stats.writes_by_kind.iter();
        kinds
            .filter(|(kind, _)| kind.starts_with("claims"))
            .map(|(_, n)| *n)
            .sum::<u64>()
    };
    let writes = (claim_writes(&after) - claim_writes(&before)) as f64;
    let answered = results.iter().map(|(answered, _)| answered).sum::<u64>();
    Ok(Row {
        callers,
        answered,
        refused: results.iter().map(|(_, refused)| refused).sum(),
        claims_per_second: answered as f64 / seconds,
        writes_per_second: writes / seconds,
        conflicts_per_second: (after.conflicts - before.conflicts) as f64 / seconds,
        claims_per_write: answered as f64 / writes.max(1.0),
    })
}

async fn start(lab: &Lab) -> Result<Site, SiteError> {
    let spec = SiteSpec {
        engines: 0,
        services: 3,
        log: "warn".to_owned(),
        platform_writes: PLATFORM_WRITES,
        ..SiteSpec::default()
    };
    let site = Site::start(spec, lab.client.clone()).await?;
    site.apply_contracts(&[customer()])?;
    Ok(site)
}

/// Returns a customer whose limits are never reached.
fn customer() -> CustomerSpec {
    CustomerSpec {
        requests_per_second: 1_000_000,
        in_flight: 100_000,
        ..CustomerSpec::tidewire()
    }
}

/// Sends top-ups one after the other until `end`. Returns how many were answered
/// and how many were not.
async fn top_up_until(
    lab: Lab,
    addresses: Vec<std::net::SocketAddr>,
    number: usize,
    end: Instant,
) -> (u64, u64) {
    let caller = lab.caller(&customer());
    let (mut answered, mut refused) = (0, 0);
    let mut attempt = number;
    while Instant::now() < end {
        attempt += 1;
        let key = format!("claim-{number}-{attempt}");
        let reply = top_up(&caller, addresses[attempt % addresses.len()], &key).await;
        match reply.outcome {
            CallOutcome::Answered => answered += 1,
            _ => refused += 1,
        }
    }
    (answered, refused)
}
