//! Calls that must not run twice, with real processes under failure.

use briarhall_lab::caller::Verdict;
use briarhall_lab::site::CustomerSpec;
use briarhall_lab::site::SiteSpec;
use briarhall_standins::platform::Faults;
use briarhall_standins::platform::Outage;
use briarhall_standins::service::ServiceFaults;

use crate::common::Bench;
use crate::common::plan;
use crate::common::rest;

fn spec() -> SiteSpec {
    SiteSpec {
        engines: 1,
        ..SiteSpec::default()
    }
}

fn quick() -> CustomerSpec {
    CustomerSpec {
        service_seconds: 2,
        ..CustomerSpec::tidewire()
    }
}

/// Kills the router `after` milliseconds and sends the key to the two others.
async fn killed_after(bench: &mut Bench, key: &str, after: u64) {
    let first = bench.send_top_up(0, key);
    rest(after).await;
    bench
        .site
        .routers
        .get_mut(&0)
        .expect("router 0 runs")
        .process
        .kill();
    let faults = Faults::default();
    bench
        .site
        .platform_faults(faults)
        .await
        .expect("the platform answers");
    let second = bench.send_top_up(1, key);
    let third = bench.send_top_up(2, key);
    let verdicts = [
        first.await.verdict,
        second.await.verdict,
        third.await.verdict,
    ];
    let effects = bench.effects(key).await;
    assert!(effects <= 1, "{effects} effects, {verdicts:?}");
    let not_run = |v: &Verdict| matches!(v, Verdict::NotRun(_));
    if verdicts[1..].iter().all(not_run) {
        assert_eq!(effects, 0, "{verdicts:?}");
    }
}

macro_rules! router_killed {
    ($name:ident, platform: $slow:expr, service: $before:expr, $after_effect:expr, kill: $kill:expr) => {
        site_test!($name, spec(), quick(), async |bench: &mut Bench| {
            bench
                .service_faults(ServiceFaults {
                    delay_before_ms: $before,
                    delay_after_ms: $after_effect,
                    ..ServiceFaults::default()
                })
                .await;
            let faults = Faults {
                slow_ms: $slow,
                ..Faults::default()
            };
            bench
                .site
                .platform_faults(faults)
                .await
                .expect("the platform answers");
            killed_after(bench, stringify!($name), $kill).await;
        });
    };
}

router_killed!(router_killed_while_it_claims, platform: 300, service: 0, 0, kill: 150);
router_killed!(router_killed_between_claim_and_effect, platform: 0, service: 500, 0, kill: 200);
router_killed!(router_killed_between_effect_and_answer, platform: 0, service: 0, 500, kill: 200);
router_killed!(router_killed_after_the_answer, platform: 0, service: 0, 0, kill: 400);

site_test!(
    /// Both callers get the one receipt.
    one_key_at_all_routers_at_once,
    spec(),
    quick(),
    async |bench: &mut Bench| {
        for round in 0..15 {
            let key = format!("at-once-{round}");
            let sent = (0..3).map(|router| bench.send_top_up(router, &key)).collect::<Vec<_>>();
            for task in sent {
                assert_eq!(task.await.verdict, Verdict::Answered);
            }
            assert_eq!(bench.effects(&key).await, 1);
        }
    }
);

site_test!(
    platform_answers_are_lost_after_their_effect,
    spec(),
    CustomerSpec {
        service_seconds: 6,
        ..CustomerSpec::tidewire()
    },
    async |bench: &mut Bench| {
        let faults = Faults {
            lost_answers_percent: 40,
            ..Faults::default()
        };
        bench
            .site
            .platform_faults(faults)
            .await
            .expect("the platform answers");
        let keys = (0..24).map(|n| format!("lost-{n}")).collect::<Vec<_>>();
        let sent = keys.iter().enumerate();
        let sent = sent
            .map(|(n, key)| bench.send_top_up(n % 3, key))
            .collect::<Vec<_>>();
        let mut answered = 0;
        for (key, task) in keys.iter().zip(sent) {
            let verdict = task.await.verdict;
            let effects = bench.effects(key).await;
            assert!(effects <= 1, "{key}: {effects} effects");
            match verdict {
                Verdict::Answered => {
                    answered += 1;
                    assert_eq!(effects, 1, "{key}");
                }
                Verdict::NotRun(_) => assert_eq!(effects, 0, "{key}"),
                other => assert!(matches!(other, Verdict::Unknown(_)), "{key}: {other:?}"),
            }
        }
        assert!(answered >= 12, "only {answered} of 24 were answered");
    }
);

/// Refused at once and truly, while everything repeatable goes on; the key can
/// be used when the platform is back.
async fn platform_down(bench: &mut Bench, outage: Outage) {
    let faults = Faults {
        outage,
        ..Faults::default()
    };
    bench
        .site
        .platform_faults(faults)
        .await
        .expect("the platform answers");
    rest(2_500).await;
    let verdict = bench.send_top_up(0, "down").await.verdict;
    assert_eq!(verdict, Verdict::NotRun(503));
    assert_eq!(bench.effects("down").await, 0);
    let answer = bench.send(1, plan(1, 2_000, 8)).await;
    assert_eq!(answer.verdict, Verdict::Answered);
    let faults = Faults::default();
    bench
        .site
        .platform_faults(faults)
        .await
        .expect("the platform answers");
    rest(500).await;
    let verdict = bench.send_top_up(2, "down").await.verdict;
    assert_eq!(verdict, Verdict::Answered);
    assert_eq!(bench.effects("down").await, 1);
}

site_test!(
    platform_refuses,
    spec(),
    quick(),
    async |bench: &mut Bench| {
        platform_down(bench, Outage::Refuse).await;
    }
);
site_test!(
    platform_hangs,
    spec(),
    quick(),
    async |bench: &mut Bench| {
        platform_down(bench, Outage::Hang).await;
    }
);

site_test!(
    /// A paused router may come back believing that it still holds the claim.
    router_paused_past_its_deadline,
    spec(),
    quick(),
    async |bench: &mut Bench| {
        let faults = Faults {
            slow_ms: 300,
            ..Faults::default()
        };
        bench.site.platform_faults(faults).await.expect("the platform answers");
        let paused = bench.send_top_up(0, "paused");
        rest(150).await;
        bench.site.routers[&0].process.freeze();
        let faults = Faults::default();
        bench.site.platform_faults(faults).await.expect("the platform answers");
        rest(2_500).await;
        let other = bench.send_top_up(1, "paused").await.verdict;
        bench.site.routers[&0].process.thaw();
        let paused = paused.await.verdict;
        rest(500).await;
        let effects = bench.effects("paused").await;
        assert!(effects <= 1, "{effects} effects, {paused:?}, {other:?}");
        let denied = |v: &Verdict| matches!(v, Verdict::NotRun(_));
        if denied(&paused) && denied(&other) {
            assert_eq!(effects, 0);
        }
    }
);

site_test!(
    service_answers_are_lost_after_their_effect,
    spec(),
    quick(),
    async |bench: &mut Bench| {
        bench
            .service_faults(ServiceFaults {
                lost_answers_percent: 100,
                ..ServiceFaults::default()
            })
            .await;
        let first = bench.send_top_up(0, "silent-service").await.verdict;
        assert!(matches!(first, Verdict::Unknown(_)), "{first:?}");
        bench.service_faults(ServiceFaults::default()).await;
        for router in 0..3 {
            let again = bench.send_top_up(router, "silent-service").await.verdict;
            assert!(matches!(again, Verdict::Unknown(_)), "{again:?}");
        }
        assert_eq!(bench.effects("silent-service").await, 1);
    }
);

site_test!(
    /// A completion marked not repeatable is claimed like a service call.
    a_completion_that_must_not_run_twice,
    spec(),
    quick(),
    async |bench: &mut Bench| {
        let once = briarhall_lab::caller::CompletionPlan {
            once_key: Some("offer-1".to_owned()),
            ..plan(9, 1_000, 8)
        };
        let first = bench.send(0, once.clone()).await.verdict;
        assert_eq!(first, Verdict::Answered);
        let again = bench.send(1, once).await.verdict;
        assert_eq!(again, Verdict::Unknown(409));
        let ledgers = bench.site.ledgers().await.expect("the engines answer");
        assert_eq!(ledgers.iter().map(|l| l.started).sum::<u64>(), 1);
    }
);
