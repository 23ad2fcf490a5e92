//! A request that crashes every engine on which it runs.

use briarhall_lab::caller::CallOutcome;
use briarhall_lab::caller::CompletionRequest;
use briarhall_lab::site::CustomerSpec;
use briarhall_lab::site::SiteSpec;

use crate::common::Fixture;
use crate::common::completion;
use crate::common::sleep_ms;

/// Number of engines that one such request may crash.
const MAX_CRASHED_ENGINES: usize = 2;

fn spec() -> SiteSpec {
    SiteSpec {
        engines: 8,
        time_scale: 2.0,
        ..SiteSpec::default()
    }
}

fn crashing_request() -> CompletionRequest {
    let mut request = completion(0, 2_000, 8);
    request.prompt.push_str("<<crash-engine>>");
    request
}

fn crashed_engines(fixture: &mut Fixture) -> usize {
    let engines = fixture.site.engines.values_mut();
    engines
        .map(|engine| usize::from(!engine.process.is_running()))
        .sum()
}

site_test!(
    /// Its caller sends it to one router after another. Other requests in
    /// flight must be answered.
    crashing_request_costs_at_most_two_engines,
    spec(),
    CustomerSpec::tidewire(),
    async |fixture: &mut Fixture| {
        let others = (1..40).map(|n| fixture.send(n % 3, completion(n as u64, 3_000, 100)));
        let others = others.collect::<Vec<_>>();
        sleep_ms(300).await;
        for router in [0, 1, 2, 0, 1, 2] {
            let answer = fixture.send(router, crashing_request()).await;
            assert_ne!(answer.outcome, CallOutcome::Answered);
        }
        for task in others {
            assert_eq!(task.await.outcome, CallOutcome::Answered);
        }
        let crashed = crashed_engines(fixture);
        assert!((1..=MAX_CRASHED_ENGINES).contains(&crashed), "{crashed} engines crashed");
        let last = fixture.send(2, crashing_request()).await.outcome;
        assert_eq!(last, CallOutcome::NotRun(422));
    }
);
