//! Whole answers, own answers, in time: connections that go silent or break,
//! engines that die half-way, callers that hang up.

use std::time::Duration;
use std::time::Instant;

use briarhall_lab::caller::CompletionPlan;
use briarhall_lab::caller::Verdict;
use briarhall_lab::caller::complete;
use briarhall_lab::site::CustomerSpec;
use briarhall_lab::site::SiteSpec;
use briarhall_standins::proxy::OpenConnections;
use briarhall_standins::proxy::ProxyFaults;

use crate::common::Bench;
use crate::common::plan;
use crate::common::rest;
use crate::common::until;

/// Engines in real time, so that an answer takes seconds.
fn slow() -> SiteSpec {
    SiteSpec {
        engines: 3,
        time_scale: 1.0,
        proxies: true,
        ..SiteSpec::default()
    }
}

fn customer() -> CustomerSpec {
    CustomerSpec {
        model_seconds: 15,
        ..CustomerSpec::tidewire()
    }
}

/// A prompt whose answer streams for some seconds.
fn long_answer(number: u64) -> CompletionPlan {
    plan(number, 2_000, 200)
}

async fn silence_engines(bench: &Bench) {
    for engine in bench.site.engines.values() {
        let proxy = engine.proxy.as_ref().expect("engines stand behind proxies");
        let silenced = proxy.open_connections(OpenConnections::Silence).await;
        silenced.expect("the proxy answers");
    }
}

site_test!(
    /// Each token comes once although every open connection goes silent twice.
    engine_connections_go_silent_for_good,
    slow(),
    customer(),
    async |bench: &mut Bench| {
        let sent = (0..6).map(|n| bench.send(n % 3, long_answer(n as u64)));
        let sent = sent.collect::<Vec<_>>();
        rest(800).await;
        silence_engines(bench).await;
        rest(1_600).await;
        silence_engines(bench).await;
        for task in sent {
            assert_eq!(task.await.verdict, Verdict::Answered);
        }
    }
);

site_test!(
    engine_connections_are_cut_again_and_again,
    slow(),
    customer(),
    async |bench: &mut Bench| {
        for engine in bench.site.engines.values() {
            let cut = ProxyFaults {
                cut_from_after: Some(3_000),
                ..ProxyFaults::default()
            };
            let proxy = engine.proxy.as_ref().expect("engines stand behind proxies");
            proxy.set(cut).await.expect("the proxy answers");
        }
        let sent = (0..6).map(|n| bench.send(n % 3, long_answer(n as u64)));
        for task in sent.collect::<Vec<_>>() {
            assert_eq!(task.await.verdict, Verdict::Answered);
        }
    }
);

site_test!(
    /// The answer goes on at another engine, at the right token.
    engine_killed_in_mid_stream,
    slow(),
    customer(),
    async |bench: &mut Bench| {
        let sent = (0..9).map(|n| bench.send(n % 3, long_answer(n as u64)));
        let sent = sent.collect::<Vec<_>>();
        rest(1_000).await;
        bench.site.engines.get_mut(&0).expect("engine 0 runs").process.kill();
        for task in sent {
            assert_eq!(task.await.verdict, Verdict::Answered);
        }
    }
);

site_test!(
    engine_frozen_in_mid_stream,
    slow(),
    customer(),
    async |bench: &mut Bench| {
        let sent = (0..9).map(|n| bench.send(n % 3, long_answer(n as u64)));
        let sent = sent.collect::<Vec<_>>();
        rest(1_000).await;
        bench.site.engines[&0].process.freeze();
        for task in sent {
            assert_eq!(task.await.verdict, Verdict::Answered);
        }
        bench.site.engines[&0].process.thaw();
    }
);

site_test!(
    /// With no engine left a request gets its final answer by its deadline.
    every_engine_is_frozen,
    slow(),
    CustomerSpec {
        model_seconds: 4,
        ..CustomerSpec::tidewire()
    },
    async |bench: &mut Bench| {
        let running = bench.send(0, long_answer(1));
        rest(1_000).await;
        for engine in bench.site.engines.values() {
            engine.process.freeze();
        }
        let late = bench.send(1, long_answer(2));
        for task in [running, late] {
            let answer = task.await;
            let ended = matches!(answer.verdict, Verdict::NotRun(_) | Verdict::Unknown(_));
            assert!(ended, "{:?}", answer.verdict);
            assert!(answer.retry_after.is_some(), "no word when to come back");
            assert!(answer.total < Duration::from_secs(5), "{:?}", answer.total);
        }
        for engine in bench.site.engines.values() {
            engine.process.thaw();
        }
    }
);

site_test!(
    /// A caller that hangs up leaves nothing running.
    caller_hangs_up,
    slow(),
    customer(),
    async |bench: &mut Bench| {
        let caller = bench.caller.clone();
        let address = bench.router(0);
        let plan = long_answer(1);
        let call = Box::pin(complete(&caller, address, &plan));
        let hung_up = briarhall_net::timeout(Duration::from_millis(700), call).await;
        assert!(hung_up.is_err(), "the answer takes longer than that");
        until("engines are empty", async || bench.kv_used().await == 0).await;
    }
);

site_test!(
    /// Requests whose platform and neighbours have gone silent go on.
    platform_and_mesh_connections_go_silent,
    slow(),
    customer(),
    async |bench: &mut Bench| {
        for router in bench.site.routers.values() {
            for proxy in [&router.platform_proxy, &router.mesh_proxy] {
                let proxy = proxy.as_ref().expect("the site has proxies");
                let silenced = proxy.open_connections(OpenConnections::Silence).await;
                silenced.expect("the proxy answers");
            }
        }
        let end = Instant::now() + Duration::from_secs(5);
        let mut number = 0;
        while Instant::now() < end {
            number += 1;
            let answer = bench.send(number % 3, plan(number as u64, 1_000, 4)).await;
            assert_eq!(answer.verdict, Verdict::Answered, "request {number}");
        }
    }
);
