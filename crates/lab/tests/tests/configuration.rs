//! A configuration change is in force at all routers within seconds and is never
//! undone by an older version.

use std::time::Duration;
use std::time::Instant;

use briarhall_lab::caller::CallOutcome;
use briarhall_lab::site::CustomerSpec;
use briarhall_lab::site::SiteSpec;
use briarhall_standins::platform::Faults;
use briarhall_standins::platform::Outage;
use serde_json::Value;

use crate::common::Fixture;
use crate::common::completion;
use crate::common::sleep_ms;
use crate::common::wait_until;

fn spec() -> SiteSpec {
    SiteSpec {
        engines: 1,
        services: 0,
        proxies: true,
        ..SiteSpec::default()
    }
}

fn customer() -> CustomerSpec {
    CustomerSpec::tidewire()
}

fn version(status: &Value) -> u64 {
    status["contracts"][0]["version"].as_u64().unwrap_or(0)
}

async fn set_platform_faults(fixture: &Fixture, faults: Faults) {
    fixture
        .site
        .platform_faults(faults)
        .await
        .expect("the platform answers");
}

/// Returns a contract whose only model does not exist. A router that has it
/// refuses requests for the previous model.
fn contract_without_model(fixture: &Fixture) -> Value {
    let mut contract = fixture.contract(7);
    contract["models"][0]["name"] = "closed".into();
    contract
}

site_test!(
    /// Two operators change the same version through two routers. One change is
    /// accepted, the other one refused, and all routers have the accepted one.
    only_one_of_two_concurrent_changes_is_accepted,
    spec(),
    customer(),
    async |fixture: &mut Fixture| {
        for round in 0..4 {
            let from = version(&fixture.status(0).await);
            let contracts = [fixture.contract(100 + round), fixture.contract(200 + round)];
            let routers = &fixture.site.routers;
            let first = fixture.site.apply(&routers[&0], &contracts[0], Some(from));
            let second = fixture.site.apply(&routers[&1], &contracts[1], Some(from));
            let (first, second) = futures::future::join(first, second).await;
            assert_ne!(first.is_ok(), second.is_ok(), "{first:?} {second:?}");
            let accepted = first.or(second).expect("one of them is accepted");
            assert_eq!(accepted["state"], "accepted");
            let version = accepted["version"].as_u64().unwrap_or(0);
            fixture
                .site
                .wait_status("at the accepted version", |status| self::version(status) == version)
                .await
                .expect("all routers have it");
        }
    }
);

/// Time in which a change must be in force at all routers.
const IN_FORCE: Duration = Duration::from_secs(10);

site_test!(
    /// Guards against routers that wait for the answer to a watch that was lost, while the
    /// platform answers all else. It found no fault: they watch anew after 5 s.
    lost_watches_delay_a_change_by_seconds_only,
    spec(),
    customer(),
    async |fixture: &mut Fixture| {
        let from = version(&fixture.status(0).await);
        let faults = Faults {
            lost_watches: 1,
            ..Faults::default()
        };
        set_platform_faults(fixture, faults).await;
        let began = Instant::now();
        let applied = fixture
            .site
            .apply(&fixture.site.routers[&0], &fixture.contract(50), Some(from))
            .await;
        let applied = applied.expect("the change is accepted");
        assert_eq!(applied["state"], "accepted");
        fixture
            .site
            .wait_status("at the new version", |status| version(status) > from)
            .await
            .expect("all routers have it");
        let took = began.elapsed();
        println!("in force after {took:?}");
        assert!(took < IN_FORCE, "{took:?}");
    }
);

site_test!(
    platform_loses_the_answer_to_a_write,
    spec(),
    customer(),
    async |fixture: &mut Fixture| {
        let from = version(&fixture.status(0).await);
        let faults = Faults {
            lost_answers_percent: 100,
            ..Faults::default()
        };
        set_platform_faults(fixture, faults).await;
        let applied = fixture
            .site
            .apply(&fixture.site.routers[&0], &fixture.contract(50), Some(from))
            .await;
        let applied = applied.expect("the router finds the change in the object");
        assert_eq!(applied["state"], "accepted");
        set_platform_faults(fixture, Faults::default()).await;
    }
);

/// Partitions router 2 from the platform, or all routers from each other, changes
/// the contract through router 0, and checks that router 2 never admits under the
/// old contract once the change is accepted.
async fn check_partition(fixture: &mut Fixture, from_platform: bool, from_mesh: bool) {
    let router = &fixture.site.routers[&2];
    if from_platform {
        let proxy = router
            .platform_proxy
            .as_ref()
            .expect("the site has proxies");
        proxy.partition().await.expect("the proxy answers");
    }
    if from_mesh {
        // In both directions: all mesh addresses are blocked, not only router 2's.
        for router in fixture.site.routers.values() {
            let proxy = router.mesh_proxy.as_ref().expect("the site has proxies");
            proxy.partition().await.expect("the proxy answers");
        }
    }
    let from = version(&fixture.status(0).await);
    let accepted = fixture
        .site
        .apply(
            &fixture.site.routers[&0],
            &contract_without_model(fixture),
            Some(from),
        )
        .await;
    let in_force = accepted.as_ref().is_ok_and(|a| a["state"] == "accepted");
    assert_eq!(in_force, !from_mesh, "{accepted:?}");
    if in_force {
        for number in 0..10 {
            let answer = fixture.send(2, completion(number, 1_000, 2)).await;
            assert_ne!(
                answer.outcome,
                CallOutcome::Answered,
                "admitted under the old contract"
            );
            sleep_ms(100).await;
        }
    }
    for router in fixture.site.routers.values() {
        for proxy in [&router.platform_proxy, &router.mesh_proxy] {
            let proxy = proxy.as_ref().expect("the site has proxies");
            proxy.heal().await.expect("the proxy answers");
        }
    }
    fixture
        .site
        .wait_status("current and at the new version", |status| {
            status["standing"] == "current" && version(status) > from
        })
        .await
        .expect("all routers come back");
}

site_test!(
    router_partitioned_from_platform,
    spec(),
    customer(),
    async |fixture: &mut Fixture| {
        check_partition(fixture, true, false).await;
    }
);
site_test!(
    routers_partitioned_from_each_other,
    spec(),
    customer(),
    async |fixture: &mut Fixture| {
        check_partition(fixture, false, true).await;
    }
);

site_test!(
    /// A router that can reach neither the platform nor the mesh stops admitting
    /// before the others report a change as accepted.
    frozen_router_stops_admitting,
    SiteSpec {
        routers: 5,
        ..spec()
    },
    customer(),
    async |fixture: &mut Fixture| {
        let frozen = &fixture.site.routers[&4];
        frozen.process.freeze();
        // While it is frozen its connections stay open without data, and when it
        // resumes its state is that of before the change.
        let from = version(&fixture.status(0).await);
        let applied = fixture
            .site
            .apply(&fixture.site.routers[&0], &contract_without_model(fixture), Some(from))
            .await;
        assert_eq!(applied.expect("a quorum is left")["state"], "accepted");
        frozen.process.thaw();
        for number in 0..10 {
            let answer = fixture.send(4, completion(number, 1_000, 2)).await;
            assert_ne!(answer.outcome, CallOutcome::Answered, "admitted under the old contract");
        }
    }
);

site_test!(
    /// While the platform hangs, a new router gets its configuration from its peers
    /// and becomes current.
    router_started_during_an_outage,
    spec(),
    customer(),
    async |fixture: &mut Fixture| {
        let down = Faults {
            outage: Outage::Hang,
            ..Faults::default()
        };
        set_platform_faults(fixture, down).await;
        fixture.site.start_router(1).await.expect("it starts");
        let site = &fixture.site;
        let elapsed = wait_until("the new router is current", async || {
            let status = site.status(&site.routers[&1]).await;
            status.is_ok_and(|s| s["standing"] == "current" && version(&s) > 0)
        });
        assert!(elapsed.await < Duration::from_secs(5));
        set_platform_faults(fixture, Faults::default()).await;
    }
);

site_test!(
    router_started_with_stale_platform_reads,
    spec(),
    customer(),
    async |fixture: &mut Fixture| {
        let from = version(&fixture.status(0).await);
        let applied = fixture
            .site
            .apply(
                &fixture.site.routers[&0],
                &contract_without_model(fixture),
                Some(from),
            )
            .await;
        assert_eq!(applied.expect("the change is made")["state"], "accepted");
        let stale = Faults {
            stale_by: 30,
            ..Faults::default()
        };
        set_platform_faults(fixture, stale).await;
        fixture.site.start_router(1).await.expect("it starts");
        for number in 0..20 {
            let answer = fixture.send(1, completion(number, 1_000, 2)).await;
            assert_ne!(
                answer.outcome,
                CallOutcome::Answered,
                "admitted under a stale contract"
            );
            sleep_ms(100).await;
        }
        set_platform_faults(fixture, Faults::default()).await;
    }
);

site_test!(
    /// All routers are killed and replaced at once. The new ones form a roster and
    /// accept changes without the old ones.
    all_routers_restart_at_once,
    spec(),
    customer(),
    async |fixture: &mut Fixture| {
        for router in fixture.site.routers.values_mut() {
            router.process.kill();
        }
        for number in 0..3 {
            fixture.site.start_router(number).await.expect("it starts");
        }
        fixture.site.wait_ready().await.expect("all are on the roster");
        let from = version(&fixture.status(0).await);
        let applied = fixture
            .site
            .apply(&fixture.site.routers[&2], &fixture.contract(9), Some(from))
            .await;
        assert_eq!(applied.expect("the change is made")["state"], "accepted");
    }
);
