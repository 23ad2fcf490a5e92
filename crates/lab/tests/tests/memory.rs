//! Reserved engine memory is always freed, and prompts larger than one engine are
//! answered.

use std::time::Duration;

use briarhall_endpoint::wire::KvExport;
use briarhall_endpoint::wire::Order;
use briarhall_endpoint::wire::PrefillCall;
use briarhall_endpoint::wire::ReserveCall;
use briarhall_lab::caller::CallOutcome;
use briarhall_lab::site::CustomerSpec;
use briarhall_lab::site::SiteSpec;
use briarhall_net::Call;
use compact_str::CompactString;

use crate::common::Fixture;
use crate::common::completion;
use crate::common::sleep_ms;
use crate::common::wait_until;

/// A gang's reservation lapses 5 s after its router has died, and a steward frees
/// it within 2 s of that.
const MEMORY_FREE_TIMEOUT: Duration = Duration::from_secs(9);

fn spec() -> SiteSpec {
    SiteSpec {
        engines: 6,
        stewards: 2,
        time_scale: 2.0,
        ..SiteSpec::default()
    }
}

fn customer() -> CustomerSpec {
    CustomerSpec {
        model_time_limit_s: 40,
        ..CustomerSpec::lagon_bleu()
    }
}

async fn reservations(fixture: &Fixture) -> u64 {
    let ledgers = fixture.site.ledgers().await.expect("the engines answer");
    ledgers.iter().map(|ledger| ledger.reservations).sum()
}

/// Sends a prompt larger than one engine, kills its router `after_ms` later, and
/// waits until the engines hold nothing.
async fn router_killed(fixture: &mut Fixture, after_ms: u64) {
    let giant = fixture.send(0, completion(1, 1_000_000, 16));
    sleep_ms(after_ms).await;
    fixture
        .site
        .routers
        .get_mut(&0)
        .expect("router 0 runs")
        .process
        .kill();
    drop(giant);
    let freed = wait_until("engines are empty", async || fixture.kv_used().await == 0).await;
    assert!(freed < MEMORY_FREE_TIMEOUT, "freed after {freed:?}");
    assert_eq!(reservations(fixture).await, 0);
}

macro_rules! router_killed {
    ($name:ident, $after_ms:expr) => {
        site_test!($name, spec(), customer(), async |fixture: &mut Fixture| {
            router_killed(fixture, $after_ms).await;
        });
    };
}

router_killed!(router_killed_while_it_reserves, 30);
router_killed!(router_killed_while_parts_are_prefilled, 1_500);

site_test!(
    giant_prompt_caller_disconnects,
    spec(),
    customer(),
    async |fixture: &mut Fixture| {
        let giant = fixture.send(0, completion(1, 1_000_000, 16));
        wait_until("reservations are held", async || {
            reservations(fixture).await > 2
        })
        .await;
        drop(giant);
        let freed = wait_until("engines are empty", async || fixture.kv_used().await == 0).await;
        assert!(freed < Duration::from_secs(4), "freed after {freed:?}");
    }
);

site_test!(
    /// Prompts larger than one engine that run at once do not deadlock, and short
    /// requests are answered beside them.
    concurrent_giants_with_short_requests,
    SiteSpec {
        engines: 8,
        time_scale: 10.0,
        ..spec()
    },
    customer(),
    async |fixture: &mut Fixture| {
        let giants = (0..4).map(|n| fixture.send(n % 3, completion(100 + n as u64, 1_000_000, 16)));
        let giants = giants.collect::<Vec<_>>();
        for number in 0..60 {
            let answer = fixture.send(number % 3, completion(number as u64, 2_000, 8)).await;
            assert_eq!(answer.outcome, CallOutcome::Answered);
            let first = answer.first_token.expect("it was answered");
            assert!(first < Duration::from_secs(1), "short request: first token after {first:?}");
        }
        for giant in giants {
            assert_eq!(giant.await.outcome, CallOutcome::Answered);
        }
        wait_until("engines are empty", async || fixture.kv_used().await == 0).await;
        assert_eq!(reservations(fixture).await, 0);
    }
);

site_test!(
    engine_of_a_gang_is_killed,
    SiteSpec {
        engines: 8,
        ..spec()
    },
    customer(),
    async |fixture: &mut Fixture| {
        let giant = fixture.send(0, completion(1, 1_000_000, 16));
        sleep_ms(1_500).await;
        fixture.site.engines.remove(&0);
        assert_eq!(giant.await.outcome, CallOutcome::Answered);
        wait_until("engines are empty", async || fixture.kv_used().await == 0).await;
    }
);

/// Reserves memory under an owner that never renews the reservation.
async fn reserve_without_owner(fixture: &Fixture, name: &str) {
    let call = ReserveCall {
        name: CompactString::from(name),
        tokens: 50_000,
        owner: CompactString::const_new("gone"),
        lease_ms: 100,
    };
    let address = fixture.site.engines[&0].address;
    let reserved = fixture.site.post(address, "/v1/reservations", &call).await;
    reserved.expect("the engine answers");
}

/// Freezes the steward that holds the leases, waits until the other one takes over,
/// and resumes the first one, which then acts as if it still held them.
async fn check_steward_pause(fixture: &mut Fixture) {
    reserve_without_owner(fixture, "first").await;
    wait_until("the first steward frees", async || {
        fixture.kv_used().await == 0
    })
    .await;
    fixture.site.stewards[&0].freeze();
    reserve_without_owner(fixture, "second").await;
    let freed = wait_until("the second steward frees", async || {
        fixture.kv_used().await == 0
    })
    .await;
    assert!(freed < Duration::from_secs(12), "freed after {freed:?}");
    fixture.site.stewards[&0].thaw();
    reserve_without_owner(fixture, "third").await;
    wait_until("one of them frees", async || fixture.kv_used().await == 0).await;
}

site_test!(
    steward_paused_with_engines_that_check_fencing,
    spec(),
    customer(),
    async |fixture: &mut Fixture| check_steward_pause(fixture).await
);

site_test!(
    steward_paused_with_engines_that_ignore_fencing,
    SiteSpec {
        checks_fencing: false,
        ..spec()
    },
    customer(),
    async |fixture: &mut Fixture| check_steward_pause(fixture).await
);

site_test!(
    /// Orders carry the lease's fencing token; an engine refuses an older token.
    order_with_old_fencing_token_is_refused,
    spec(),
    customer(),
    async |fixture: &mut Fixture| {
        let loadout = serde_json::json!({"action": "load", "subject": "harbour-v2", "bytes": 1000});
        let path = "/v1/objects/loadout/engine-00";
        let call = Call::new(hyper::Method::PUT, fixture.site.platform_address, path).json(&loadout);
        fixture.site.client.send(call, Duration::from_secs(2)).await.expect("the platform answers");
        let orders = async || {
            let address = fixture.site.engines[&0].address;
            let ledger = fixture.site.get::<briarhall_endpoint::wire::Ledger>(address, "/v1/ledger");
            ledger.await.expect("the engine answers").orders
        };
        wait_until("the order is given", async || !orders().await.is_empty()).await;
        let orders_given = orders().await;
        assert!(orders_given[0].fencing_token > 0);
        let old = Order {
            fencing_token: orders_given[0].fencing_token - 1,
            ..orders_given[0].clone()
        };
        let call = Call::post(fixture.site.engines[&0].address, "/v1/orders").json(&old);
        let reply = fixture.site.client.send(call, Duration::from_secs(2)).await;
        assert_eq!(reply.expect("the engine answers").status(), 412);
    }
);

site_test!(
    /// KV exported by one engine can be imported by another one in place of a
    /// prefill.
    kv_export_can_be_imported_by_another_engine,
    spec(),
    customer(),
    async |fixture: &mut Fixture| {
        for engine in [0, 1] {
            let call = ReserveCall {
                name: CompactString::const_new("moved"),
                tokens: 20_000,
                owner: CompactString::const_new("test"),
                lease_ms: 30_000,
            };
            let address = fixture.site.engines[&engine].address;
            let reserved = fixture.site.post(address, "/v1/reservations", &call).await;
            reserved.expect("the engine answers");
        }
        let from = fixture.site.engines[&0].address;
        let to = fixture.site.engines[&1].address;
        let prefill = PrefillCall {
            tokens: 20_000,
            whole_tokens: 20_000,
            priority: 0,
        };
        let path = "/v1/reservations/moved/prefill";
        fixture.site.post(from, path, &prefill).await.expect("it is prefilled");
        let path = "/v1/reservations/moved/kv";
        let export = fixture.site.get::<KvExport>(from, path).await.expect("it is exported");
        assert_eq!(export.tokens, 20_000);
        fixture.site.post(to, path, &export).await.expect("it is imported");
        let imported = fixture.site.get::<KvExport>(to, path).await.expect("it is there");
        assert_eq!(imported, export);
    }
);
