//! A contract's limits hold over all routers together and follow the traffic.

use std::time::Duration;
use std::time::Instant;

use async_executor::Task;
use briarhall_lab::caller::Verdict;
use briarhall_lab::caller::top_up;
use briarhall_lab::site::CustomerSpec;
use briarhall_lab::site::SiteSpec;

use crate::common::Bench;
use crate::common::plan;
use crate::common::rest;

const RATE: u32 = 60;
const ROUTERS: u32 = 3;
/// Callers at each router, enough to ask for far more than the limit.
const CALLERS: usize = 6;

fn spec() -> SiteSpec {
    SiteSpec {
        engines: 2,
        ..SiteSpec::default()
    }
}

fn limited() -> CustomerSpec {
    CustomerSpec {
        requests_per_second: RATE,
        ..CustomerSpec::tidewire()
    }
}

/// Tops up at a router as fast as it answers; returns how many were answered.
fn flood(bench: &Bench, router: usize, seconds: u64) -> Vec<Task<u32>> {
    let end = Instant::now() + Duration::from_secs(seconds);
    let flood = |caller_number: usize| {
        let (caller, address) = (bench.caller.clone(), bench.router(router));
        bench.lab.executor.spawn(async move {
            let mut answered = 0;
            let mut number = 0;
            while Instant::now() < end {
                number += 1;
                let key = format!("flood-{router}-{caller_number}-{seconds}-{number}");
                match top_up(&caller, address, &key).await.verdict {
                    Verdict::Answered => answered += 1,
                    Verdict::NotRun(429) => rest(5).await,
                    other => panic!("{other:?}"),
                }
            }
            answered
        })
    };
    (0..CALLERS).map(flood).collect()
}

async fn total(floods: Vec<Task<u32>>) -> u32 {
    let mut total = 0;
    for flood in floods {
        total += flood.await;
    }
    total
}

site_test!(
    /// The rate, the second's worth that buckets hold, and one request for
    /// each router: no more is admitted, and nearly the limit is.
    rate_over_all_routers,
    spec(),
    limited(),
    async |bench: &mut Bench| {
        let seconds = 6;
        let floods = (0..3).flat_map(|router| flood(bench, router, seconds));
        let answered = total(floods.collect()).await;
        let seconds = u32::try_from(seconds).expect("a few seconds");
        let most = RATE * (seconds + 1) + ROUTERS;
        assert!(answered <= most, "{answered} of at most {most}");
        assert!(answered >= RATE * seconds / 2, "only {answered}");
    }
);

site_test!(
    /// After all traffic has moved to one router, it gets most of the limit.
    share_moves_to_the_traffic,
    spec(),
    limited(),
    async |bench: &mut Bench| {
        total(flood(bench, 0, 4)).await;
        total(flood(bench, 1, 4)).await;
        let seconds = 3;
        let answered = total(flood(bench, 1, seconds)).await;
        let wanted = RATE * u32::try_from(seconds).expect("a few seconds") * 7 / 10;
        assert!(answered >= wanted, "{answered} of {wanted}");
    }
);

site_test!(
    in_flight_over_all_routers,
    SiteSpec {
        time_scale: 1.0,
        ..spec()
    },
    CustomerSpec {
        in_flight: 7,
        ..CustomerSpec::tidewire()
    },
    async |bench: &mut Bench| {
        // Demand first, so that shares are granted.
        let warm = (0..9).map(|n| bench.send(n % 3, plan(n as u64, 1_000, 4)));
        for task in warm.collect::<Vec<_>>() {
            task.await;
        }
        let sent = (0..60).map(|n| bench.send(n % 3, plan(100 + n as u64, 1_000, 60)));
        let sent = sent.collect::<Vec<_>>();
        for _ in 0..10 {
            let mut in_flight = 0;
            for number in 0..3 {
                in_flight += bench.status(number).await["in_flight"]
                    .as_u64()
                    .unwrap_or(0);
            }
            assert!(in_flight <= 7, "{in_flight} in flight");
            rest(100).await;
        }
        for task in sent {
            let answer = task.await;
            assert!(answer.retry_after.is_some() || answer.first_token.is_some());
        }
    }
);
