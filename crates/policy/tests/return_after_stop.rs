//! When clients come back that are refused while all gateways stop.

use std::time::Duration;
use std::time::Instant;

use bolero::TypeGenerator;
use briarhall_policy::return_after_stop::time_to_return;

/// Time between the first return and the last one.
const SPREAD: Duration = Duration::from_secs(1);

/// A moment at which clients are refused, in units of 10 ms.
#[derive(Debug, Clone, Copy, TypeGenerator)]
struct Refused {
    at: u8,
}

/// Guards against clients that come back before a gateway serves, all at the same moment,
/// or those last that were refused first.
#[test]
fn clients_come_back_in_their_order_soon_after_gateways_serve() {
    briarhall_fuzz::histories::<Refused, _>(1..40, |refused| {
        let since = Instant::now();
        let serving_at = since + Duration::from_millis(2_550);
        let mut moments = refused.iter().map(|r| u32::from(r.at)).collect::<Vec<_>>();
        moments.sort_unstable();
        moments.dedup();
        let moments = moments
            .iter()
            .map(|at| since + Duration::from_millis(10) * *at);
        let returns = moments.map(|at| at + time_to_return(since, serving_at, at));
        let returns = returns.collect::<Vec<_>>();
        assert!(returns.iter().all(|at| *at >= serving_at));
        assert!(returns.iter().all(|at| *at <= serving_at + SPREAD));
        assert!(returns.is_sorted_by(|earlier, later| earlier < later));
    });
}

/// Guards against a wait without end where a gateway is overdue.
#[test]
fn a_client_waits_a_moment_for_a_gateway_that_is_overdue() {
    let since = Instant::now();
    let now = since + Duration::from_secs(9);
    assert_eq!(time_to_return(since, since, now), SPREAD);
}
