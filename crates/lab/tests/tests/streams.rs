//! Streamed answers are complete, correct and in time although connections stop
//! carrying data or break, engines die mid-stream and callers disconnect.

use std::time::Duration;
use std::time::Instant;

use briarhall_lab::caller::CallOutcome;
use briarhall_lab::caller::CompletionRequest;
use briarhall_lab::caller::complete;
use briarhall_lab::site::CustomerSpec;
use briarhall_lab::site::SiteSpec;
use briarhall_standins::proxy::OpenConnections;
use briarhall_standins::proxy::ProxyFaults;

use crate::common::Fixture;
use crate::common::completion;
use crate::common::sleep_ms;
use crate::common::wait_until;

/// Engines run in real time, so that an answer takes seconds.
fn real_time_spec() -> SiteSpec {
    SiteSpec {
        engines: 3,
        time_scale: 1.0,
        proxies: true,
        ..SiteSpec::default()
    }
}

fn customer() -> CustomerSpec {
    CustomerSpec {
        model_time_limit_s: 15,
        ..CustomerSpec::tidewire()
    }
}

/// Returns a completion whose answer takes some seconds.
fn long_answer(number: u64) -> CompletionRequest {
    completion(number, 2_000, 200)
}

async fn silence_engines(fixture: &Fixture) {
    for engine in fixture.site.engines.values() {
        let proxy = engine.proxy.as_ref().expect("engines stand behind proxies");
        let silenced = proxy
            .disrupt_open_connections(OpenConnections::Silence)
            .await;
        silenced.expect("the proxy answers");
    }
}

site_test!(
    /// All connections to engines stop carrying data, twice. Each token must still
    /// come exactly once.
    engine_connections_go_silent,
    real_time_spec(),
    customer(),
    async |fixture: &mut Fixture| {
        let sent = (0..6).map(|n| fixture.send(n % 3, long_answer(n as u64)));
        let sent = sent.collect::<Vec<_>>();
        sleep_ms(800).await;
        silence_engines(fixture).await;
        sleep_ms(1_600).await;
        silence_engines(fixture).await;
        for task in sent {
            assert_eq!(task.await.outcome, CallOutcome::Answered);
        }
    }
);

site_test!(
    engine_connections_are_cut_repeatedly,
    real_time_spec(),
    customer(),
    async |fixture: &mut Fixture| {
        for engine in fixture.site.engines.values() {
            let cut = ProxyFaults {
                cut_from_after: Some(3_000),
                ..ProxyFaults::default()
            };
            let proxy = engine.proxy.as_ref().expect("engines stand behind proxies");
            proxy.set(cut).await.expect("the proxy answers");
        }
        let sent = (0..6).map(|n| fixture.send(n % 3, long_answer(n as u64)));
        for task in sent.collect::<Vec<_>>() {
            assert_eq!(task.await.outcome, CallOutcome::Answered);
        }
    }
);

site_test!(
    /// The answer continues on another engine with the next token.
    engine_killed_mid_stream,
    real_time_spec(),
    customer(),
    async |fixture: &mut Fixture| {
        let sent = (0..9).map(|n| fixture.send(n % 3, long_answer(n as u64)));
        let sent = sent.collect::<Vec<_>>();
        sleep_ms(1_000).await;
        fixture.site.engines.get_mut(&0).expect("engine 0 runs").process.kill();
        for task in sent {
            assert_eq!(task.await.outcome, CallOutcome::Answered);
        }
    }
);

site_test!(
    engine_frozen_mid_stream,
    real_time_spec(),
    customer(),
    async |fixture: &mut Fixture| {
        let sent = (0..9).map(|n| fixture.send(n % 3, long_answer(n as u64)));
        let sent = sent.collect::<Vec<_>>();
        sleep_ms(1_000).await;
        fixture.site.engines[&0].process.freeze();
        for task in sent {
            assert_eq!(task.await.outcome, CallOutcome::Answered);
        }
        fixture.site.engines[&0].process.thaw();
    }
);

site_test!(
    /// When no engine responds, a request gets its final answer by its deadline.
    every_engine_is_frozen,
    real_time_spec(),
    CustomerSpec {
        model_time_limit_s: 4,
        ..CustomerSpec::tidewire()
    },
    async |fixture: &mut Fixture| {
        let running = fixture.send(0, long_answer(1));
        sleep_ms(1_000).await;
        for engine in fixture.site.engines.values() {
            engine.process.freeze();
        }
        let late = fixture.send(1, long_answer(2));
        for task in [running, late] {
            let answer = task.await;
            let ended = matches!(answer.outcome, CallOutcome::NotRun(_) | CallOutcome::Unknown(_));
            assert!(ended, "{:?}", answer.outcome);
            assert!(answer.retry_after.is_some(), "the refusal has no retry-after");
            assert!(answer.total < Duration::from_secs(5), "{:?}", answer.total);
        }
        for engine in fixture.site.engines.values() {
            engine.process.thaw();
        }
    }
);

site_test!(
    /// A request stops running on its engine when its caller disconnects.
    caller_disconnects,
    real_time_spec(),
    customer(),
    async |fixture: &mut Fixture| {
        let caller = fixture.caller.clone();
        let address = fixture.router(0);
        let request = long_answer(1);
        let call = Box::pin(complete(&caller, address, &request));
        let timed_out = briarhall_net::timeout(Duration::from_millis(700), call).await;
        assert!(timed_out.is_err(), "the answer takes longer than that");
        wait_until("engines are empty", async || fixture.kv_used().await == 0).await;
    }
);

site_test!(
    /// Requests are answered although the routers' connections to the platform and
    /// to each other carry no more data.
    platform_and_mesh_connections_go_silent,
    real_time_spec(),
    customer(),
    async |fixture: &mut Fixture| {
        for router in fixture.site.routers.values() {
            for proxy in [&router.platform_proxy, &router.mesh_proxy] {
                let proxy = proxy.as_ref().expect("the site has proxies");
                let silenced = proxy.disrupt_open_connections(OpenConnections::Silence).await;
                silenced.expect("the proxy answers");
            }
        }
        let end = Instant::now() + Duration::from_secs(5);
        let mut number = 0;
        while Instant::now() < end {
            number += 1;
            let answer = fixture.send(number % 3, completion(number as u64, 1_000, 4)).await;
            assert_eq!(answer.outcome, CallOutcome::Answered, "request {number}");
        }
    }
);
