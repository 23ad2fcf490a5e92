//! Calls that must not run twice, while routers, the platform and services fail.

use briarhall_lab::caller::CallOutcome;
use briarhall_lab::site::CustomerSpec;
use briarhall_lab::site::SiteSpec;
use briarhall_standins::platform::Faults;
use briarhall_standins::platform::Outage;
use briarhall_standins::service::ServiceFaults;

use crate::common::Fixture;
use crate::common::completion;
use crate::common::sleep_ms;

fn spec() -> SiteSpec {
    SiteSpec {
        engines: 1,
        ..SiteSpec::default()
    }
}

fn customer() -> CustomerSpec {
    CustomerSpec {
        service_time_limit_s: 2,
        ..CustomerSpec::tidewire()
    }
}

/// Sends the key to router 0, kills it `after_ms` later, and sends the key to the
/// two others. The effect must take place at most once, and not at all if the
/// others state that the call did not run.
async fn kill_router_after(fixture: &mut Fixture, key: &str, after_ms: u64) {
    let first = fixture.send_top_up(0, key);
    sleep_ms(after_ms).await;
    fixture
        .site
        .routers
        .get_mut(&0)
        .expect("router 0 runs")
        .process
        .kill();
    let faults = Faults::default();
    fixture
        .site
        .platform_faults(faults)
        .await
        .expect("the platform answers");
    let second = fixture.send_top_up(1, key);
    let third = fixture.send_top_up(2, key);
    let outcomes = [
        first.await.outcome,
        second.await.outcome,
        third.await.outcome,
    ];
    let effects = fixture.effects(key).await;
    assert!(effects <= 1, "{effects} effects, {outcomes:?}");
    let not_run = |outcome: &CallOutcome| matches!(outcome, CallOutcome::NotRun(_));
    if outcomes[1..].iter().all(not_run) {
        assert_eq!(effects, 0, "{outcomes:?}");
    }
}

macro_rules! router_killed {
    ($name:ident, platform: $platform_delay_ms:expr, service: $delay_before_ms:expr, $delay_after_ms:expr, kill: $kill_after_ms:expr) => {
        site_test!($name, spec(), customer(), async |fixture: &mut Fixture| {
            fixture
                .service_faults(ServiceFaults {
                    delay_before_ms: $delay_before_ms,
                    delay_after_ms: $delay_after_ms,
                    ..ServiceFaults::default()
                })
                .await;
            let faults = Faults {
                slow_ms: $platform_delay_ms,
                ..Faults::default()
            };
            fixture
                .site
                .platform_faults(faults)
                .await
                .expect("the platform answers");
            kill_router_after(fixture, stringify!($name), $kill_after_ms).await;
        });
    };
}

router_killed!(router_killed_while_it_claims, platform: 300, service: 0, 0, kill: 150);
router_killed!(router_killed_between_claim_and_effect, platform: 0, service: 500, 0, kill: 200);
router_killed!(router_killed_between_effect_and_answer, platform: 0, service: 0, 500, kill: 200);
router_killed!(router_killed_after_the_answer, platform: 0, service: 0, 0, kill: 400);

site_test!(
    /// All three callers get the receipt of the same single effect.
    same_key_sent_to_all_routers_at_once,
    spec(),
    customer(),
    async |fixture: &mut Fixture| {
        for round in 0..15 {
            let key = format!("at-once-{round}");
            let sent = (0..3).map(|router| fixture.send_top_up(router, &key)).collect::<Vec<_>>();
            for task in sent {
                assert_eq!(task.await.outcome, CallOutcome::Answered);
            }
            assert_eq!(fixture.effects(&key).await, 1);
        }
    }
);

site_test!(
    platform_answers_are_lost_after_their_effect,
    spec(),
    CustomerSpec {
        service_time_limit_s: 6,
        ..CustomerSpec::tidewire()
    },
    async |fixture: &mut Fixture| {
        let faults = Faults {
            lost_answers_percent: 40,
            ..Faults::default()
        };
        fixture
            .site
            .platform_faults(faults)
            .await
            .expect("the platform answers");
        let keys = (0..24).map(|n| format!("lost-{n}")).collect::<Vec<_>>();
        let sent = keys.iter().enumerate();
        let sent = sent
            .map(|(n, key)| fixture.send_top_up(n % 3, key))
            .collect::<Vec<_>>();
        let mut answered = 0;
        for (key, task) in keys.iter().zip(sent) {
            let outcome = task.await.outcome;
            let effects = fixture.effects(key).await;
            assert!(effects <= 1, "{key}: {effects} effects");
            match outcome {
                CallOutcome::Answered => {
                    answered += 1;
                    assert_eq!(effects, 1, "{key}");
                }
                CallOutcome::NotRun(_) => assert_eq!(effects, 0, "{key}"),
                other => assert!(matches!(other, CallOutcome::Unknown(_)), "{key}: {other:?}"),
            }
        }
        assert!(answered >= 12, "only {answered} of 24 were answered");
    }
);

/// During an outage of the platform a non-repeatable call is refused without
/// effect, while repeatable requests are answered. The key works again after the
/// outage.
async fn check_platform_outage(fixture: &mut Fixture, outage: Outage) {
    let faults = Faults {
        outage,
        ..Faults::default()
    };
    fixture
        .site
        .platform_faults(faults)
        .await
        .expect("the platform answers");
    sleep_ms(2_500).await;
    let outcome = fixture.send_top_up(0, "down").await.outcome;
    assert_eq!(outcome, CallOutcome::NotRun(503));
    assert_eq!(fixture.effects("down").await, 0);
    let answer = fixture.send(1, completion(1, 2_000, 8)).await;
    assert_eq!(answer.outcome, CallOutcome::Answered);
    let faults = Faults::default();
    fixture
        .site
        .platform_faults(faults)
        .await
        .expect("the platform answers");
    sleep_ms(500).await;
    let outcome = fixture.send_top_up(2, "down").await.outcome;
    assert_eq!(outcome, CallOutcome::Answered);
    assert_eq!(fixture.effects("down").await, 1);
}

site_test!(
    platform_refuses,
    spec(),
    customer(),
    async |fixture: &mut Fixture| {
        check_platform_outage(fixture, Outage::Refuse).await;
    }
);
site_test!(
    platform_hangs,
    spec(),
    customer(),
    async |fixture: &mut Fixture| {
        check_platform_outage(fixture, Outage::Hang).await;
    }
);

site_test!(
    /// A router paused beyond its deadline resumes and may act as if it still held
    /// the claim, after another router has had the same key.
    router_paused_past_its_deadline,
    spec(),
    customer(),
    async |fixture: &mut Fixture| {
        let faults = Faults {
            slow_ms: 300,
            ..Faults::default()
        };
        fixture.site.platform_faults(faults).await.expect("the platform answers");
        let paused = fixture.send_top_up(0, "paused");
        sleep_ms(150).await;
        fixture.site.routers[&0].process.freeze();
        let faults = Faults::default();
        fixture.site.platform_faults(faults).await.expect("the platform answers");
        sleep_ms(2_500).await;
        let other = fixture.send_top_up(1, "paused").await.outcome;
        fixture.site.routers[&0].process.thaw();
        let paused = paused.await.outcome;
        sleep_ms(500).await;
        let effects = fixture.effects("paused").await;
        assert!(effects <= 1, "{effects} effects, {paused:?}, {other:?}");
        let not_run = |outcome: &CallOutcome| matches!(outcome, CallOutcome::NotRun(_));
        if not_run(&paused) && not_run(&other) {
            assert_eq!(effects, 0);
        }
    }
);

site_test!(
    service_answers_are_lost_after_their_effect,
    spec(),
    customer(),
    async |fixture: &mut Fixture| {
        fixture
            .service_faults(ServiceFaults {
                lost_answers_percent: 100,
                ..ServiceFaults::default()
            })
            .await;
        let first = fixture.send_top_up(0, "silent-service").await.outcome;
        assert!(matches!(first, CallOutcome::Unknown(_)), "{first:?}");
        fixture.service_faults(ServiceFaults::default()).await;
        for router in 0..3 {
            let again = fixture.send_top_up(router, "silent-service").await.outcome;
            assert!(matches!(again, CallOutcome::Unknown(_)), "{again:?}");
        }
        assert_eq!(fixture.effects("silent-service").await, 1);
    }
);

site_test!(
    /// A completion marked as not repeatable is claimed like a service call, and a
    /// second router refuses its key.
    non_repeatable_completion_is_claimed,
    spec(),
    customer(),
    async |fixture: &mut Fixture| {
        let request = briarhall_lab::caller::CompletionRequest {
            idempotency_key: Some("offer-1".to_owned()),
            ..completion(9, 1_000, 8)
        };
        let first = fixture.send(0, request.clone()).await.outcome;
        assert_eq!(first, CallOutcome::Answered);
        let again = fixture.send(1, request).await.outcome;
        assert_eq!(again, CallOutcome::Unknown(409));
        let ledgers = fixture.site.ledgers().await.expect("the engines answer");
        assert_eq!(ledgers.iter().map(|l| l.started).sum::<u64>(), 1);
    }
);
