//! A contract's limits apply to all routers together, and each router's quota
//! follows its traffic.

use std::time::Duration;
use std::time::Instant;

use async_executor::Task;
use briarhall_lab::caller::CallOutcome;
use briarhall_lab::caller::top_up;
use briarhall_lab::site::CustomerSpec;
use briarhall_lab::site::SiteSpec;

use crate::common::Fixture;
use crate::common::completion;
use crate::common::sleep_ms;

const REQUESTS_PER_SECOND: u32 = 60;
const ROUTERS: u32 = 3;
/// Enough callers at each router to exceed the limit by far.
const CALLERS_PER_ROUTER: usize = 6;

fn spec() -> SiteSpec {
    SiteSpec {
        engines: 2,
        ..SiteSpec::default()
    }
}

fn limited() -> CustomerSpec {
    CustomerSpec {
        requests_per_second: REQUESTS_PER_SECOND,
        ..CustomerSpec::tidewire()
    }
}

/// Sends top-ups to a router as fast as it answers. Each task returns how many were
/// answered.
fn flood(fixture: &Fixture, router: usize, seconds: u64) -> Vec<Task<u32>> {
    let end = Instant::now() + Duration::from_secs(seconds);
    let flood = |caller_number: usize| {
        let (caller, address) = (fixture.caller.clone(), fixture.router(router));
        fixture.lab.executor.spawn(async move {
            let mut answered = 0;
            let mut number = 0;
            while Instant::now() < end {
                number += 1;
                let key = format!("flood-{router}-{caller_number}-{seconds}-{number}");
                match top_up(&caller, address, &key).await.outcome {
                    CallOutcome::Answered => answered += 1,
                    CallOutcome::NotRun(429) => sleep_ms(5).await,
                    other => panic!("{other:?}"),
                }
            }
            answered
        })
    };
    (0..CALLERS_PER_ROUTER).map(flood).collect()
}

async fn total(floods: Vec<Task<u32>>) -> u32 {
    let mut total = 0;
    for flood in floods {
        total += flood.await;
    }
    total
}

site_test!(
    /// The upper bound is the rate, one second's tokens in the buckets, and one
    /// request for each router. The lower bound is half the rate.
    rate_over_all_routers,
    spec(),
    limited(),
    async |fixture: &mut Fixture| {
        let seconds = 6;
        let floods = (0..3).flat_map(|router| flood(fixture, router, seconds));
        let answered = total(floods.collect()).await;
        let seconds = u32::try_from(seconds).expect("a few seconds");
        let max_answered = REQUESTS_PER_SECOND * (seconds + 1) + ROUTERS;
        assert!(answered <= max_answered, "{answered} answered, limit {max_answered}");
        assert!(answered >= REQUESTS_PER_SECOND * seconds / 2, "only {answered}");
    }
);

site_test!(
    /// After all traffic has moved to one router, that router gets most of the
    /// limit.
    quota_follows_the_traffic,
    spec(),
    limited(),
    async |fixture: &mut Fixture| {
        total(flood(fixture, 0, 4)).await;
        total(flood(fixture, 1, 4)).await;
        let seconds = 3;
        let answered = total(flood(fixture, 1, seconds)).await;
        let min_answered =
            REQUESTS_PER_SECOND * u32::try_from(seconds).expect("a few seconds") * 7 / 10;
        assert!(answered >= min_answered, "{answered} answered, expected {min_answered}");
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
    async |fixture: &mut Fixture| {
        // Quotas are granted on demand, so each router gets some requests first.
        let warm_up = (0..9).map(|n| fixture.send(n % 3, completion(n as u64, 1_000, 4)));
        for task in warm_up.collect::<Vec<_>>() {
            task.await;
        }
        let sent = (0..60).map(|n| fixture.send(n % 3, completion(100 + n as u64, 1_000, 60)));
        let sent = sent.collect::<Vec<_>>();
        for _ in 0..10 {
            let mut in_flight = 0;
            for number in 0..3 {
                in_flight += fixture.status(number).await["in_flight"]
                    .as_u64()
                    .unwrap_or(0);
            }
            assert!(in_flight <= 7, "{in_flight} in flight");
            sleep_ms(100).await;
        }
        for task in sent {
            let answer = task.await;
            assert!(answer.retry_after.is_some() || answer.first_token.is_some());
        }
    }
);
