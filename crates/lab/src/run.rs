//! Sends a load to a site and records what callers see.

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

use crate::caller::AddressBook;
use crate::caller::Caller;
use crate::caller::CompletionPlan;
use crate::caller::Verdict;
use crate::caller::complete;
use crate::caller::top_up;
use crate::counts::CompletionRecord;
use crate::counts::Records;
use crate::counts::TopUpRecord;
use crate::load::Arrival;
use crate::load::Item;
use crate::load::prompt;
use crate::site::CustomerSpec;
use crate::site::Site;

const THREADS: usize = 3;
/// Time beyond a contract's limit after which a service call is sent again.
const CALL_MARGIN: Duration = Duration::from_secs(1);
/// Time beyond a contract's limit after which a request counts as lost.
const PATIENCE_MARGIN: Duration = Duration::from_secs(5);

/// The lab's own threads and client.
#[derive(Debug, Clone)]
pub struct Lab {
    /// Where the lab's tasks run.
    pub executor: Executor,
    /// The lab's client.
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

    /// Returns a caller of a customer.
    #[must_use]
    pub fn caller(&self, customer: &CustomerSpec) -> Caller {
        let patience = Duration::from_secs(customer.model_seconds) + PATIENCE_MARGIN;
        let call_limit = Duration::from_secs(customer.service_seconds) + CALL_MARGIN;
        Caller::new(self.client.clone(), &customer.key, patience, call_limit)
    }

    /// Returns address books for customers.
    #[must_use]
    pub fn books(&self, site: &Site, customers: &[CustomerSpec]) -> Vec<CallerBook> {
        let books = customers.iter().map(|customer| {
            let caller = self.caller(customer);
            CallerBook {
                book: AddressBook::new(caller.clone(), site.caller_addresses()),
                caller,
            }
        });
        books.collect()
    }

    /// Sends a load and waits until each request has ended.
    pub async fn send(&self, run: &str, books: &[CallerBook], arrivals: Vec<Arrival>) -> Records {
        let started = Instant::now();
        let mut completions = Vec::new();
        let mut top_ups = Vec::new();
        for arrival in arrivals {
            let early = arrival.at.saturating_sub(started.elapsed());
            if !early.is_zero() {
                Timer::after(early).await;
            }
            let callers = books[arrival.customer % books.len()].clone();
            match arrival.item {
                Item::Completion { tokens, max_tokens } => {
                    let plan = CompletionPlan {
                        prompt: prompt(run, arrival.number, tokens),
                        max_tokens,
                        once_key: None,
                    };
                    let task = callers.complete(plan, tokens, arrival.customer);
                    completions.push(self.executor.spawn(task));
                }
                Item::TopUp { copies } => {
                    let key = format!("{run}-{}", arrival.number);
                    top_ups.push(self.executor.spawn(callers.top_up(key, copies)));
                }
            }
        }
        Records {
            completions: join_all(completions).await,
            top_ups: join_all(top_ups).await.into_iter().flatten().collect(),
        }
    }
}

/// A caller with its address book.
#[derive(Debug, Clone)]
pub struct CallerBook {
    /// The caller.
    pub caller: Caller,
    /// Its addresses.
    pub book: AddressBook,
}

impl CallerBook {
    async fn complete(
        self,
        plan: CompletionPlan,
        tokens: u64,
        customer: usize,
    ) -> CompletionRecord {
        let digest = plan.digest();
        let started = Instant::now();
        let answer = loop {
            let address = self.address().await;
            let answer = complete(&self.caller, address, &plan).await;
            if !self.sends_again(started, matches!(answer.verdict, Verdict::Lost(_))) {
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
            if !self.sends_again(started, matches!(top_up.verdict, Verdict::Lost(_))) {
                return TopUpRecord { key, top_up };
            }
        }
    }

    async fn address(&self) -> SocketAddr {
        let address = self.book.next().await;
        address.expect("a caller knows at least the first address")
    }

    /// A caller whose connection broke without a final answer sends the same
    /// again, as the guide tells it, as long as it has patience.
    fn sends_again(&self, started: Instant, broken: bool) -> bool {
        broken && started.elapsed() < self.caller.patience
    }
}
