//! Test fixture: a site with a customer and a caller.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use briarhall_lab::caller::Answer;
use briarhall_lab::caller::Caller;
use briarhall_lab::caller::CompletionRequest;
use briarhall_lab::caller::TopUpAnswer;
use briarhall_lab::caller::complete;
use briarhall_lab::caller::top_up;
use briarhall_lab::load::prompt;
use briarhall_lab::run::Lab;
use briarhall_lab::site::CustomerSpec;
use briarhall_lab::site::Site;
use briarhall_lab::site::SiteSpec;
use briarhall_standins::service::ServiceFaults;
use serde_json::Value;

/// Longest wait for an expected condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running site with one customer.
pub struct Fixture {
    pub lab: Lab,
    pub site: Site,
    pub customer: CustomerSpec,
    pub caller: Caller,
}

impl Fixture {
    pub async fn start(spec: SiteSpec, customer: CustomerSpec) -> Self {
        let lab = Lab::start().expect("the lab's threads start");
        let site = Site::start(spec, lab.client.clone()).await;
        let site = site.expect("the site starts");
        let customers = [customer.clone()];
        site.apply_contracts(&customers)
            .expect("the contract is accepted");
        Self {
            caller: lab.caller(&customer),
            lab,
            site,
            customer,
        }
    }

    /// Returns a router's address for callers.
    pub fn router(&self, number: usize) -> SocketAddr {
        self.site.routers[&number].callers
    }

    /// Sends a top-up in a task.
    pub fn send_top_up(&self, router: usize, key: &str) -> async_executor::Task<TopUpAnswer> {
        let (caller, address, key) = (self.caller.clone(), self.router(router), key.to_owned());
        self.lab
            .executor
            .spawn(async move { top_up(&caller, address, &key).await })
    }

    /// Sends a completion in a task.
    pub fn send(&self, router: usize, request: CompletionRequest) -> async_executor::Task<Answer> {
        let (caller, address) = (self.caller.clone(), self.router(router));
        self.lab
            .executor
            .spawn(async move { complete(&caller, address, &request).await })
    }

    /// Sets the faults of every service.
    pub async fn service_faults(&self, faults: ServiceFaults) {
        for service in self.site.services.values() {
            let posted = self
                .site
                .post(service.address, "/control/faults", &faults)
                .await;
            posted.expect("the service answers");
        }
    }

    /// Returns how often the effect of a key took place.
    pub async fn effects(&self, key: &str) -> u64 {
        let effects = self.site.effects().await.expect("the services answer");
        effects.get(key).copied().unwrap_or(0)
    }

    /// Returns the KV tokens held, summed over all engines.
    pub async fn kv_used(&self) -> u64 {
        let ledgers = self.site.ledgers().await.expect("the engines answer");
        ledgers.iter().map(|ledger| ledger.kv_used).sum()
    }

    /// Returns the status of a router.
    pub async fn status(&self, number: usize) -> Value {
        let status = self.site.status(&self.site.routers[&number]).await;
        status.expect("the router answers")
    }

    /// Returns the customer's contract as JSON. Versions differ in `in_flight`.
    pub fn contract(&self, in_flight: u32) -> Value {
        let customer = CustomerSpec {
            in_flight,
            ..self.customer.clone()
        };
        contract_json(&customer)
    }
}

/// Returns the contract of a customer as JSON.
pub fn contract_json(customer: &CustomerSpec) -> Value {
    let yaml = briarhall_lab::site::contract_yaml(customer);
    let document = briarhall_settings::Document::parse("contract", &yaml).expect("valid YAML");
    let contract = briarhall_settings::contract_from(&document).expect("a valid contract");
    serde_json::to_value(contract).expect("a contract is JSON")
}

/// Returns a completion. Its prompt is unique to `number` and `tokens`.
pub fn completion(number: u64, tokens: u64, max_tokens: u64) -> CompletionRequest {
    CompletionRequest {
        prompt: prompt("test", number, tokens),
        max_tokens,
        idempotency_key: None,
    }
}

pub async fn sleep_ms(millis: u64) {
    Timer::after(Duration::from_millis(millis)).await;
}

/// Waits until a condition holds and returns how long it took.
pub async fn wait_until<F>(what: &str, condition: F) -> Duration
where
    F: AsyncFn() -> bool,
{
    let started = Instant::now();
    while !condition().await {
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "timed out waiting until {what}"
        );
        Timer::after(POLL_INTERVAL).await;
    }
    started.elapsed()
}

/// Defines a test that starts a site and runs a body on it.
macro_rules! site_test {
    ($(#[$doc:meta])* $name:ident, $spec:expr, $customer:expr, $body:expr) => {
        $(#[$doc])*
        #[test]
        fn $name() {
            async_io::block_on(async {
                let mut fixture = crate::common::Fixture::start($spec, $customer).await;
                let body = $body;
                body(&mut fixture).await;
            });
        }
    };
}
