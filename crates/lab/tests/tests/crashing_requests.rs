//! The request that crashes each engine that runs it.

use briarhall_lab::caller::CompletionPlan;
use briarhall_lab::caller::Verdict;
use briarhall_lab::site::CustomerSpec;
use briarhall_lab::site::SiteSpec;

use crate::common::Bench;
use crate::common::plan;
use crate::common::rest;

/// Engines that one such request may cost the fleet.
const MOST_DEATHS: usize = 2;

fn spec() -> SiteSpec {
    SiteSpec {
        engines: 8,
        time_scale: 2.0,
        ..SiteSpec::default()
    }
}

fn crashing() -> CompletionPlan {
    let mut plan = plan(0, 2_000, 8);
    plan.prompt.push_str("<<crash-engine>>");
    plan
}

fn dead_engines(bench: &mut Bench) -> usize {
    let engines = bench.site.engines.values_mut();
    engines
        .map(|engine| usize::from(!engine.process.is_running()))
        .sum()
}

site_test!(
    /// Its caller sends it to router after router; whoever ran beside it is
    /// answered.
    crashes_two_engines_at_the_most,
    spec(),
    CustomerSpec::tidewire(),
    async |bench: &mut Bench| {
        let innocent = (1..40).map(|n| bench.send(n % 3, plan(n as u64, 3_000, 100)));
        let innocent = innocent.collect::<Vec<_>>();
        rest(300).await;
        for router in [0, 1, 2, 0, 1, 2] {
            let answer = bench.send(router, crashing()).await;
            assert_ne!(answer.verdict, Verdict::Answered);
        }
        for task in innocent {
            assert_eq!(task.await.verdict, Verdict::Answered);
        }
        let dead = dead_engines(bench);
        assert!((1..=MOST_DEATHS).contains(&dead), "{dead} engines died");
        let last = bench.send(2, crashing()).await.verdict;
        assert_eq!(last, Verdict::NotRun(422));
    }
);
