//! Sends a load to a site and records the answers.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use briarhall_net::Executor;
use briarhall_net::HttpClient;
use briarhall_net::SpawnThreadsError;
use briarhall_net::Threads;
use briarhall_net::TimerRuntime;
use futures::future::join_all;

use crate::caller::AddressCache;
use crate::caller::CallOutcome;
use crate::caller::Caller;
use crate::caller::CompletionRequest;
use crate::caller::complete;
use crate::caller::top_up;
use crate::counts::CompletionRecord;
use crate::counts::Records;
use crate::counts::TopUpRecord;
use crate::load::Arrival;
use crate::load::RequestKind;
use crate::load::prompt;
use crate::site::CustomerSpec;
use crate::site::Site;

const THREADS: usize = 3;
/// Added to a contract's time limit: after that a service call is sent again.
const CALL_TIMEOUT_MARGIN: Duration = Duration::from_secs(1);
/// Added to a contract's time limit: after that a request counts as lost.
const ANSWER_TIMEOUT_MARGIN: Duration = Duration::from_secs(5);

/// The lab's own threads and client.
#[derive(Debug, Clone)]
pub struct Lab {
    /// Executor of the lab's tasks.
    pub executor: Executor,
    /// HTTP client for all calls of the lab.
    pub client: HttpClient,
}

impl Lab {
    /// Starts the lab's threads.
    ///
    /// # Errors
    ///
    /// Returns an error when the system refuses a thread.
    pub fn start() -> Result<Self, SpawnThreadsError> {
        let executor = Executor::default();
        let timers = TimerRuntime::start()?;
        Threads::start("lab", THREADS, &executor, &timers)?;
        let client = HttpClient::new(executor.clone());
        Ok(Self { executor, client })
    }

    /// Returns a caller with the customer's key and time limits.
    #[must_use]
    pub fn caller(&self, customer: &CustomerSpec) -> Caller {
        let answer_timeout =
            Duration::from_secs(customer.model_time_limit_s) + ANSWER_TIMEOUT_MARGIN;
        let call_timeout = Duration::from_secs(customer.service_time_limit_s) + CALL_TIMEOUT_MARGIN;
        Caller::new(
            self.client.clone(),
            &customer.key,
            answer_timeout,
            call_timeout,
        )
    }

    /// Returns a caller with its address cache for each customer.
    #[must_use]
    pub fn callers(&self, site: &Site, customers: &[CustomerSpec]) -> Vec<AddressedCaller> {
        let callers = customers.iter().map(|customer| {
            let caller = self.caller(customer);
            AddressedCaller {
                addresses: AddressCache::new(caller.clone(), site.caller_addresses()),
                caller,
            }
        });
        callers.collect()
    }

    /// Sends each request at its arrival time and waits until all have ended.
    pub async fn send(
        &self,
        run: &str,
        callers: &[AddressedCaller],
        arrivals: Vec<Arrival>,
    ) -> Records {
        let started = Instant::now();
        let mut completions = Vec::new();
        let mut top_ups = Vec::new();
        for arrival in arrivals {
            let wait = arrival.at.saturating_sub(started.elapsed());
            if !wait.is_zero() {
                Timer::after(wait).await;
            }
            let caller = callers[arrival.customer % callers.len()].clone();
            match arrival.kind {
                RequestKind::Completion { tokens, max_tokens } => {
                    let request = CompletionRequest {
                        prompt: prompt(run, arrival.number, tokens),
                        max_tokens,
                        idempotency_key: None,
                    };
                    let task = caller.complete(request, tokens, arrival.customer);
                    completions.push(self.executor.spawn(task));
                }
                RequestKind::TopUp { copies } => {
                    let key = format!("{run}-{}", arrival.number);
                    top_ups.push(self.executor.spawn(caller.top_up(key, copies)));
                }
            }
        }
        Records {
            completions: join_all(completions).await,
            top_ups: join_all(top_ups).await.into_iter().flatten().collect(),
        }
    }
}

/// A caller with its cache of router addresses.
#[derive(Debug, Clone)]
pub struct AddressedCaller {
    /// The caller.
    pub caller: Caller,
    /// The addresses that it may use.
    pub addresses: AddressCache,
}

impl AddressedCaller {
    async fn complete(
        self,
        request: CompletionRequest,
        tokens: u64,
        customer: usize,
    ) -> CompletionRecord {
        let digest = request.digest();
        let started = Instant::now();
        let answer = loop {
            let address = self.address().await;
            let answer = complete(&self.caller, address, &request).await;
            if !self.should_resend(started, matches!(answer.outcome, CallOutcome::Lost(_))) {
                break answer;
            }
        };
        CompletionRecord {
            tokens,
            digest,
            customer,
            answer,
        }
    }

    async fn top_up(self, key: String, copies: usize) -> Vec<TopUpRecord> {
        let mut sent = Vec::new();
        for _ in 0..copies {
            sent.push(self.clone().top_up_once(key.clone()));
        }
        join_all(sent).await
    }

    async fn top_up_once(self, key: String) -> TopUpRecord {
        let started = Instant::now();
        loop {
            let address = self.address().await;
            let top_up = top_up(&self.caller, address, &key).await;
            if !self.should_resend(started, matches!(top_up.outcome, CallOutcome::Lost(_))) {
                return TopUpRecord { key, top_up };
            }
        }
    }

    async fn address(&self) -> SocketAddr {
        let address = self.addresses.next().await;
        address.expect("a caller knows at least the first address")
    }

    /// Returns whether to send the request again: the guide for callers says to,
    /// until the answer timeout, when a connection broke without a final answer.
    fn should_resend(&self, started: Instant, broken: bool) -> bool {
        broken && started.elapsed() < self.caller.answer_timeout
    }
}
