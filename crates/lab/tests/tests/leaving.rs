//! Endpoints that leave, and stops that were planned.

use std::time::Duration;

use briarhall_lab::caller::Verdict;
use briarhall_lab::load::LoadSpec;
use briarhall_lab::load::arrivals;
use briarhall_lab::site::CustomerSpec;
use briarhall_lab::site::SiteSpec;
use briarhall_types::EndpointState;

use crate::common::Bench;
use crate::common::plan;
use crate::common::rest;
use crate::common::until;

/// Time after which a draining endpoint gets nothing new.
const FEW_SECONDS: u64 = 3_000;

fn spec() -> SiteSpec {
    SiteSpec {
        engines: 3,
        ..SiteSpec::default()
    }
}

async fn started(bench: &Bench) -> u64 {
    let ledger = bench
        .site
        .get::<briarhall_endpoint::wire::Ledger>(bench.site.engines[&0].address, "/v1/ledger");
    ledger.await.expect("the engine answers").started
}

async fn gets_nothing_new(bench: &Bench) {
    rest(FEW_SECONDS).await;
    let before = started(bench).await;
    for number in 0..30 {
        let answer = bench.send(number % 3, plan(number as u64, 1_000, 4)).await;
        assert_eq!(answer.verdict, Verdict::Answered);
    }
    assert_eq!(started(bench).await, before);
}

site_test!(
    /// The platform's list says so, late.
    endpoint_leaves_by_the_list,
    SiteSpec {
        vm_lag: Duration::from_millis(1_500),
        ..spec()
    },
    CustomerSpec::tidewire(),
    async |bench: &mut Bench| {
        let mut record = bench.site.engines[&0].record.clone();
        record.state = EndpointState::Draining;
        bench.site.list_vm(&record).await.expect("the platform answers");
        gets_nothing_new(bench).await;
    }
);

site_test!(
    /// It says so itself; the list lags far behind.
    endpoint_leaves_by_its_own_word,
    SiteSpec {
        vm_lag: Duration::from_millis(200),
        ..spec()
    },
    CustomerSpec::tidewire(),
    async |bench: &mut Bench| {
        let address = bench.site.engines[&0].address;
        let told = bench.site.post(address, "/v1/control/leave", &()).await;
        told.expect("the engine answers");
        gets_nothing_new(bench).await;
    }
);

site_test!(
    /// Every router is stopped and replaced in turn, under load, with callers
    /// that keep the old addresses for their whole time.
    rolling_restart_cuts_off_nothing,
    SiteSpec {
        engines: 6,
        address_ttl: Duration::from_secs(1),
        ..spec()
    },
    CustomerSpec::tidewire(),
    async |bench: &mut Bench| {
        let load = LoadSpec {
            seed: 5,
            duration: Duration::from_secs(22),
            capacity: 6.0 * 167_000.0,
            squared: 0.0,
            part: 0.2,
            top_ups_per_second: 3.0,
            giants: 0,
            customers: 1,
        };
        let customers = [bench.customer.clone()];
        let books = bench.lab.books(&bench.site, &customers);
        let lab = bench.lab.clone();
        let sending = bench.lab.executor.spawn(async move {
            lab.send("rolling", &books, arrivals(&load)).await
        });
        rest(1_000).await;
        for number in 0..3 {
            bench.site.routers[&number].process.terminate();
            let mut router = bench.site.routers.remove(&number).expect("it runs");
            let mut waited = 0;
            while router.process.is_running() {
                assert!(waited < 200, "router {number} does not stop");
                waited += 1;
                rest(50).await;
            }
            assert_eq!(router.process.exit_code(), Some(0), "router {number}");
            bench.site.routers.insert(number, router);
            bench.site.start_router(number).await.expect("it starts");
            bench.site.wait_ready().await.expect("it is ready");
        }
        let records = sending.await;
        let counts = records.counts(&bench.site).await.expect("the stand-ins answer");
        assert!(counts.is_clean(), "{counts:?}");
        assert_eq!(counts.answered, counts.requests, "{counts:?}");
    }
);

site_test!(
    stewards_are_stopped_in_turn,
    SiteSpec {
        stewards: 2,
        ..spec()
    },
    CustomerSpec::tidewire(),
    async |bench: &mut Bench| {
        for number in 0..2 {
            let steward = bench.site.stewards.get_mut(&number).expect("it runs");
            steward.terminate();
            let mut steward = bench.site.stewards.remove(&number).expect("it runs");
            for _ in 0..100 {
                if !steward.is_running() {
                    break;
                }
                rest(50).await;
            }
            assert_eq!(steward.exit_code(), Some(0));
            bench.site.start_steward(number).expect("it starts");
            let answer = bench.send(0, plan(number as u64, 1_000, 4)).await;
            assert_eq!(answer.verdict, Verdict::Answered);
        }
        until("engines are empty", async || bench.kv_used().await == 0).await;
    }
);
