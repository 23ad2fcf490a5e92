//! Configuration in force everywhere within seconds and never back.

use std::time::Duration;

use briarhall_lab::caller::Verdict;
use briarhall_lab::site::CustomerSpec;
use briarhall_lab::site::SiteSpec;
use briarhall_standins::platform::Faults;
use briarhall_standins::platform::Outage;
use serde_json::Value;

use crate::common::Bench;
use crate::common::plan;
use crate::common::rest;
use crate::common::until;

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

async fn platform(bench: &Bench, faults: Faults) {
    bench
        .site
        .platform_faults(faults)
        .await
        .expect("the platform answers");
}

/// A contract that names a model that does not exist: whoever admits under it
/// refuses the old model.
fn closed(bench: &Bench) -> Value {
    let mut contract = bench.contract(7);
    contract["models"][0]["name"] = "closed".into();
    contract
}

site_test!(
    /// One of them wins, the other is told; nothing is mixed.
    operators_race,
    spec(),
    customer(),
    async |bench: &mut Bench| {
        for round in 0..4 {
            let from = version(&bench.status(0).await);
            let contracts = [bench.contract(100 + round), bench.contract(200 + round)];
            let routers = &bench.site.routers;
            let one = bench.site.apply(&routers[&0], &contracts[0], Some(from));
            let other = bench.site.apply(&routers[&1], &contracts[1], Some(from));
            let (one, other) = futures::future::join(one, other).await;
            assert_ne!(one.is_ok(), other.is_ok(), "{one:?} {other:?}");
            let won = one.or(other).expect("one of them won");
            assert_eq!(won["state"], "accepted");
            let version = won["version"].as_u64().unwrap_or(0);
            bench
                .site
                .wait_status("at the version that won", |status| self::version(status) == version)
                .await
                .expect("all routers hold it");
        }
    }
);

site_test!(
    answer_to_the_write_is_lost,
    spec(),
    customer(),
    async |bench: &mut Bench| {
        let from = version(&bench.status(0).await);
        let faults = Faults {
            lost_answers_percent: 100,
            ..Faults::default()
        };
        platform(bench, faults).await;
        let applied = bench
            .site
            .apply(&bench.site.routers[&0], &bench.contract(50), Some(from))
            .await;
        let applied = applied.expect("the object itself tells");
        assert_eq!(applied["state"], "accepted");
        platform(bench, Faults::default()).await;
    }
);

/// Cuts router 2 off, changes the contract through router 0, and checks that
/// router 2 never admits under the old one once the change is accepted.
async fn cut_off(bench: &mut Bench, from_platform: bool, from_mesh: bool) {
    let router = &bench.site.routers[&2];
    if from_platform {
        let proxy = router
            .platform_proxy
            .as_ref()
            .expect("the site has proxies");
        proxy.cut_off().await.expect("the proxy answers");
    }
    if from_mesh {
        // Both ways: what it hears, and what the others hear of it.
        for router in bench.site.routers.values() {
            let proxy = router.mesh_proxy.as_ref().expect("the site has proxies");
            proxy.cut_off().await.expect("the proxy answers");
        }
    }
    let from = version(&bench.status(0).await);
    let accepted = bench
        .site
        .apply(&bench.site.routers[&0], &closed(bench), Some(from))
        .await;
    let in_force = accepted.as_ref().is_ok_and(|a| a["state"] == "accepted");
    assert_eq!(in_force, !from_mesh, "{accepted:?}");
    if in_force {
        for number in 0..10 {
            let answer = bench.send(2, plan(number, 1_000, 2)).await;
            assert_ne!(
                answer.verdict,
                Verdict::Answered,
                "admitted under the old contract"
            );
            rest(100).await;
        }
    }
    for router in bench.site.routers.values() {
        for proxy in [&router.platform_proxy, &router.mesh_proxy] {
            let proxy = proxy.as_ref().expect("the site has proxies");
            proxy.heal().await.expect("the proxy answers");
        }
    }
    bench
        .site
        .wait_status("current and at the new version", |status| {
            status["standing"] == "current" && version(status) > from
        })
        .await
        .expect("all routers come back");
}

site_test!(
    cut_off_from_the_platform,
    spec(),
    customer(),
    async |bench: &mut Bench| {
        cut_off(bench, true, false).await;
    }
);
site_test!(
    cut_off_from_each_other,
    spec(),
    customer(),
    async |bench: &mut Bench| {
        cut_off(bench, false, true).await;
    }
);

site_test!(
    /// Cut off from both, a router stops admitting before the others report
    /// the change accepted.
    cut_off_from_both,
    SiteSpec {
        routers: 5,
        ..spec()
    },
    customer(),
    async |bench: &mut Bench| {
        let lonely = &bench.site.routers[&4];
        lonely.process.freeze();
        // Frozen, its connections stay open and nothing passes: cut off from
        // both in one stroke, and it comes back believing all is well.
        let from = version(&bench.status(0).await);
        let applied = bench.site.apply(&bench.site.routers[&0], &closed(bench), Some(from)).await;
        assert_eq!(applied.expect("a quorum is left")["state"], "accepted");
        lonely.process.thaw();
        for number in 0..10 {
            let answer = bench.send(4, plan(number, 1_000, 2)).await;
            assert_ne!(answer.verdict, Verdict::Answered, "admitted under the old contract");
        }
    }
);

site_test!(
    /// It learns from its neighbours, admits, and stops nobody.
    router_started_during_an_outage,
    spec(),
    customer(),
    async |bench: &mut Bench| {
        let down = Faults {
            outage: Outage::Hang,
            ..Faults::default()
        };
        platform(bench, down).await;
        bench.site.start_router(1).await.expect("it starts");
        let site = &bench.site;
        let took = until("the new router is current", async || {
            let status = site.status(&site.routers[&1]).await;
            status.is_ok_and(|s| s["standing"] == "current" && version(&s) > 0)
        });
        assert!(took.await < Duration::from_secs(5));
        platform(bench, Faults::default()).await;
    }
);

site_test!(
    stale_platform_reads,
    spec(),
    customer(),
    async |bench: &mut Bench| {
        let from = version(&bench.status(0).await);
        let applied = bench
            .site
            .apply(&bench.site.routers[&0], &closed(bench), Some(from))
            .await;
        assert_eq!(applied.expect("the change is made")["state"], "accepted");
        let stale = Faults {
            stale_by: 30,
            ..Faults::default()
        };
        platform(bench, stale).await;
        bench.site.start_router(1).await.expect("it starts");
        for number in 0..20 {
            let answer = bench.send(1, plan(number, 1_000, 2)).await;
            assert_ne!(
                answer.verdict,
                Verdict::Answered,
                "admitted under an old read"
            );
            rest(100).await;
        }
        platform(bench, Faults::default()).await;
    }
);

site_test!(
    /// Every VM is replaced at once: the newcomers agree without the old ones.
    every_router_restarts,
    spec(),
    customer(),
    async |bench: &mut Bench| {
        for router in bench.site.routers.values_mut() {
            router.process.kill();
        }
        for number in 0..3 {
            bench.site.start_router(number).await.expect("it starts");
        }
        bench.site.wait_ready().await.expect("all are on the roster");
        let from = version(&bench.status(0).await);
        let applied = bench.site.apply(&bench.site.routers[&2], &bench.contract(9), Some(from)).await;
        assert_eq!(applied.expect("the change is made")["state"], "accepted");
    }
);
