//! Draining endpoints and planned restarts.

use std::time::Duration;

use async_executor::Task;
use briarhall_lab::caller::CallOutcome;
use briarhall_lab::caller::complete;
use briarhall_lab::load::LoadSpec;
use briarhall_lab::load::arrivals;
use briarhall_lab::site::CustomerSpec;
use briarhall_lab::site::SiteSpec;
use briarhall_types::EndpointState;

use crate::common::Fixture;
use crate::common::completion;
use crate::common::sleep_ms;
use crate::common::wait_until;

/// Time after which a draining endpoint gets no new requests.
const DRAIN_NOTICE_MS: u64 = 3_000;
/// Pause between two calls of a caller: less than a router waits before its
/// process ends.
const CALL_PAUSE_MS: u64 = 100;
/// Tokens of a call that takes longer than a router waits before its process ends.
const LONG_CALL_TOKENS: u64 = 300;

fn spec() -> SiteSpec {
    SiteSpec {
        engines: 3,
        ..SiteSpec::default()
    }
}

async fn started_requests(fixture: &Fixture) -> u64 {
    let ledger = fixture
        .site
        .get::<briarhall_endpoint::wire::Ledger>(fixture.site.engines[&0].address, "/v1/ledger");
    ledger.await.expect("the engine answers").started
}

async fn check_gets_no_new_requests(fixture: &Fixture) {
    sleep_ms(DRAIN_NOTICE_MS).await;
    let before = started_requests(fixture).await;
    for number in 0..30 {
        let answer = fixture
            .send(number % 3, completion(number as u64, 1_000, 4))
            .await;
        assert_eq!(answer.outcome, CallOutcome::Answered);
    }
    assert_eq!(started_requests(fixture).await, before);
}

site_test!(
    /// The platform lists the endpoint as draining, with a delay.
    endpoint_listed_as_draining_gets_no_new_requests,
    SiteSpec {
        vm_lag: Duration::from_millis(1_500),
        ..spec()
    },
    CustomerSpec::tidewire(),
    async |fixture: &mut Fixture| {
        let mut record = fixture.site.engines[&0].record.clone();
        record.state = EndpointState::Draining;
        fixture.site.register_vm(&record).await.expect("the platform answers");
        check_gets_no_new_requests(fixture).await;
    }
);

site_test!(
    /// The endpoint itself reports that it is draining; the platform's list still
    /// has it as live.
    endpoint_reporting_draining_gets_no_new_requests,
    SiteSpec {
        vm_lag: Duration::from_millis(200),
        ..spec()
    },
    CustomerSpec::tidewire(),
    async |fixture: &mut Fixture| {
        let address = fixture.site.engines[&0].address;
        let posted = fixture.site.post(address, "/v1/control/leave", &()).await;
        posted.expect("the engine answers");
        check_gets_no_new_requests(fixture).await;
    }
);

site_test!(
    /// Each router in turn is stopped and replaced under load. Callers use cached
    /// addresses of stopped routers until the time to live ends, and still every
    /// request must be answered.
    rolling_restart_fails_no_request,
    SiteSpec {
        engines: 6,
        address_ttl: Duration::from_secs(1),
        ..spec()
    },
    CustomerSpec::tidewire(),
    async |fixture: &mut Fixture| {
        let load = LoadSpec {
            seed: 5,
            duration: Duration::from_secs(22),
            capacity: 6.0 * 167_000.0,
            quadratic_cost: 0.0,
            load_fraction: 0.2,
            top_ups_per_second: 3.0,
            giants: 0,
            customers: 1,
        };
        let customers = [fixture.customer.clone()];
        let callers = fixture.lab.callers(&fixture.site, &customers);
        let lab = fixture.lab.clone();
        let sending = fixture.lab.executor.spawn(async move {
            lab.send("rolling", &callers, arrivals(&load)).await
        });
        sleep_ms(1_000).await;
        for number in 0..3 {
            fixture.site.routers[&number].process.terminate();
            let mut router = fixture.site.routers.remove(&number).expect("it runs");
            let mut waited = 0;
            while router.process.is_running() {
                assert!(waited < 200, "router {number} is still running");
                waited += 1;
                sleep_ms(50).await;
            }
            assert_eq!(router.process.exit_code(), Some(0), "router {number}");
            fixture.site.routers.insert(number, router);
            fixture.site.start_router(number).await.expect("it starts");
            fixture.site.wait_ready().await.expect("it is ready");
        }
        let records = sending.await;
        let counts = records.counts(&fixture.site).await.expect("the stand-ins answer");
        assert!(counts.is_clean(), "{counts:?}");
        assert_eq!(counts.answered, counts.requests, "{counts:?}");
    }
);

/// Calls one router until it takes no more connections or refuses a call as not
/// run. Returns the outcomes and how long the shortest answer took.
fn call_until_stopped(fixture: &Fixture, router: usize) -> Task<(Vec<CallOutcome>, Duration)> {
    let (caller, address) = (fixture.caller.clone(), fixture.router(router));
    fixture.lab.executor.spawn(async move {
        let mut outcomes = Vec::new();
        let mut shortest = Duration::MAX;
        loop {
            let number = (router * 1_000 + outcomes.len()) as u64;
            let request = completion(number, 100, LONG_CALL_TOKENS);
            let answer = complete(&caller, address, &request).await;
            let answered = answer.outcome == CallOutcome::Answered;
            outcomes.push(answer.outcome);
            if !answered {
                return (outcomes, shortest);
            }
            shortest = shortest.min(answer.total);
            sleep_ms(CALL_PAUSE_MS).await;
        }
    })
}

site_test!(
    /// Guards against calls that a router admits after it found none in flight and
    /// cuts off when its process ends.
    calls_around_a_routers_end_are_not_cut,
    SiteSpec {
        address_ttl: Duration::from_millis(200),
        ..spec()
    },
    CustomerSpec::tidewire(),
    async |fixture: &mut Fixture| {
        let callers = [0, 1, 2].map(|router| call_until_stopped(fixture, router));
        sleep_ms(500).await;
        for router in fixture.site.routers.values() {
            router.process.terminate();
        }
        let mut answered = 0;
        let mut last = Vec::new();
        for caller in callers {
            let (outcomes, shortest) = caller.await;
            assert!(shortest > Duration::from_millis(200), "{shortest:?}");
            answered += outcomes.len() as u64 - 1;
            last.extend(outcomes.last().cloned());
        }
        let ledgers = fixture.site.ledgers().await.expect("the engines answer");
        let started = ledgers.iter().map(|ledger| ledger.started).sum::<u64>();
        assert_eq!(started, answered, "calls that ran and calls with an answer; the last: {last:?}");
    }
);

site_test!(
    stewards_are_restarted_in_turn,
    SiteSpec {
        stewards: 2,
        ..spec()
    },
    CustomerSpec::tidewire(),
    async |fixture: &mut Fixture| {
        for number in 0..2 {
            let steward = fixture.site.stewards.get_mut(&number).expect("it runs");
            steward.terminate();
            let mut steward = fixture.site.stewards.remove(&number).expect("it runs");
            for _ in 0..100 {
                if !steward.is_running() {
                    break;
                }
                sleep_ms(50).await;
            }
            assert_eq!(steward.exit_code(), Some(0));
            fixture.site.start_steward(number).expect("it starts");
            let answer = fixture.send(0, completion(number as u64, 1_000, 4)).await;
            assert_eq!(answer.outcome, CallOutcome::Answered);
        }
        wait_until("engines are empty", async || fixture.kv_used().await == 0).await;
    }
);
