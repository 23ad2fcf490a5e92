//! No engine loses memory for good, and prompts larger than one engine.

use std::time::Duration;

use briarhall_endpoint::wire::KvExport;
use briarhall_endpoint::wire::Order;
use briarhall_endpoint::wire::PrefillCall;
use briarhall_endpoint::wire::ReserveCall;
use briarhall_lab::caller::Verdict;
use briarhall_lab::site::CustomerSpec;
use briarhall_lab::site::SiteSpec;
use briarhall_net::Call;
use compact_str::CompactString;

use crate::common::Bench;
use crate::common::plan;
use crate::common::rest;
use crate::common::until;

/// A gang's reservation lapses 5 s after its router's death, and a steward
/// frees it within 2 s of that.
const FREED_WITHIN: Duration = Duration::from_secs(9);

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
        model_seconds: 40,
        ..CustomerSpec::lagon_bleu()
    }
}

async fn reservations(bench: &Bench) -> u64 {
    let ledgers = bench.site.ledgers().await.expect("the engines answer");
    ledgers.iter().map(|ledger| ledger.reservations).sum()
}

/// Kills the router that holds a prompt larger than one engine `after`
/// milliseconds, and waits until nothing is held.
async fn router_killed(bench: &mut Bench, after: u64) {
    let giant = bench.send(0, plan(1, 1_000_000, 16));
    rest(after).await;
    bench
        .site
        .routers
        .get_mut(&0)
        .expect("router 0 runs")
        .process
        .kill();
    drop(giant);
    let freed = until("engines are empty", async || bench.kv_used().await == 0).await;
    assert!(freed < FREED_WITHIN, "freed after {freed:?}");
    assert_eq!(reservations(bench).await, 0);
}

macro_rules! router_killed {
    ($name:ident, $after:expr) => {
        site_test!($name, spec(), customer(), async |bench: &mut Bench| {
            router_killed(bench, $after).await;
        });
    };
}

router_killed!(router_killed_while_it_reserves, 30);
router_killed!(router_killed_while_parts_are_prefilled, 1_500);

site_test!(
    caller_of_a_giant_hangs_up,
    spec(),
    customer(),
    async |bench: &mut Bench| {
        let giant = bench.send(0, plan(1, 1_000_000, 16));
        until("memory is held", async || reservations(bench).await > 2).await;
        drop(giant);
        let freed = until("engines are empty", async || bench.kv_used().await == 0).await;
        assert!(freed < Duration::from_secs(4), "freed after {freed:?}");
    }
);

site_test!(
    /// Two at once never wait for each other, and short ones go on.
    two_giants_beside_short_requests,
    SiteSpec {
        engines: 8,
        time_scale: 10.0,
        ..spec()
    },
    customer(),
    async |bench: &mut Bench| {
        let giants = (0..4).map(|n| bench.send(n % 3, plan(100 + n as u64, 1_000_000, 16)));
        let giants = giants.collect::<Vec<_>>();
        for number in 0..60 {
            let answer = bench.send(number % 3, plan(number as u64, 2_000, 8)).await;
            assert_eq!(answer.verdict, Verdict::Answered);
            let first = answer.first_token.expect("it was answered");
            assert!(first < Duration::from_secs(1), "a short one waited {first:?}");
        }
        for giant in giants {
            assert_eq!(giant.await.verdict, Verdict::Answered);
        }
        until("engines are empty", async || bench.kv_used().await == 0).await;
        assert_eq!(reservations(bench).await, 0);
    }
);

site_test!(
    engine_of_a_gang_is_killed,
    SiteSpec {
        engines: 8,
        ..spec()
    },
    customer(),
    async |bench: &mut Bench| {
        let giant = bench.send(0, plan(1, 1_000_000, 16));
        rest(1_500).await;
        bench.site.engines.remove(&0);
        assert_eq!(giant.await.verdict, Verdict::Answered);
        until("engines are empty", async || bench.kv_used().await == 0).await;
    }
);

/// Holds memory in the name of an owner that never comes back.
async fn abandon_memory(bench: &Bench, name: &str) {
    let call = ReserveCall {
        name: CompactString::from(name),
        tokens: 50_000,
        owner: CompactString::const_new("gone"),
        lease_ms: 100,
    };
    let address = bench.site.engines[&0].address;
    let reserved = bench.site.post(address, "/v1/reservations", &call).await;
    reserved.expect("the engine answers");
}

/// Freezes the steward that holds the leases, lets another take over, and
/// thaws the first, which still believes that it holds them.
async fn paused_steward(bench: &mut Bench) {
    abandon_memory(bench, "first").await;
    until("the first steward frees", async || {
        bench.kv_used().await == 0
    })
    .await;
    bench.site.stewards[&0].freeze();
    abandon_memory(bench, "second").await;
    let freed = until("the second steward frees", async || {
        bench.kv_used().await == 0
    })
    .await;
    assert!(freed < Duration::from_secs(12), "freed after {freed:?}");
    bench.site.stewards[&0].thaw();
    abandon_memory(bench, "third").await;
    until("one of them frees", async || bench.kv_used().await == 0).await;
}

site_test!(
    steward_paused_with_engines_that_check_fencing,
    spec(),
    customer(),
    async |bench: &mut Bench| paused_steward(bench).await
);

site_test!(
    steward_paused_with_engines_that_ignore_fencing,
    SiteSpec {
        checks_fencing: false,
        ..spec()
    },
    customer(),
    async |bench: &mut Bench| paused_steward(bench).await
);

site_test!(
    /// Orders carry the lease's fencing token; an old one is refused.
    orders_are_fenced,
    spec(),
    customer(),
    async |bench: &mut Bench| {
        let loadout = serde_json::json!({"action": "load", "subject": "harbour-v2", "bytes": 1000});
        let path = "/v1/objects/loadout/engine-00";
        let call = Call::new(hyper::Method::PUT, bench.site.platform_address, path).json(&loadout);
        bench.site.client.send(call, Duration::from_secs(2)).await.expect("the platform answers");
        let orders = async || {
            let address = bench.site.engines[&0].address;
            let ledger = bench.site.get::<briarhall_endpoint::wire::Ledger>(address, "/v1/ledger");
            ledger.await.expect("the engine answers").orders
        };
        until("the order is given", async || !orders().await.is_empty()).await;
        let given = orders().await;
        assert!(given[0].fencing_token > 0);
        let old = Order {
            fencing_token: given[0].fencing_token - 1,
            ..given[0].clone()
        };
        let call = Call::post(bench.site.engines[&0].address, "/v1/orders").json(&old);
        let reply = bench.site.client.send(call, Duration::from_secs(2)).await;
        assert_eq!(reply.expect("the engine answers").status(), 412);
    }
);

site_test!(
    /// KV that one engine exports spares another the prefill.
    kv_moves_between_engines,
    spec(),
    customer(),
    async |bench: &mut Bench| {
        for engine in [0, 1] {
            let call = ReserveCall {
                name: CompactString::const_new("moved"),
                tokens: 20_000,
                owner: CompactString::const_new("test"),
                lease_ms: 30_000,
            };
            let address = bench.site.engines[&engine].address;
            let reserved = bench.site.post(address, "/v1/reservations", &call).await;
            reserved.expect("the engine answers");
        }
        let from = bench.site.engines[&0].address;
        let to = bench.site.engines[&1].address;
        let prefill = PrefillCall {
            tokens: 20_000,
            whole_tokens: 20_000,
            priority: 0,
        };
        let path = "/v1/reservations/moved/prefill";
        bench.site.post(from, path, &prefill).await.expect("it is prefilled");
        let path = "/v1/reservations/moved/kv";
        let export = bench.site.get::<KvExport>(from, path).await.expect("it is exported");
        assert_eq!(export.tokens, 20_000);
        bench.site.post(to, path, &export).await.expect("it is imported");
        let imported = bench.site.get::<KvExport>(to, path).await.expect("it is there");
        assert_eq!(imported, export);
    }
);
