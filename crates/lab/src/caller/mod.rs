//! A caller: asks for addresses, keeps the answer for its time, sends requests
//! and checks every byte of the answers.

mod addresses;
mod completion;
mod topup;
mod verdict;

use std::net::SocketAddr;
use std::time::Duration;

use briarhall_net::HttpClient;

pub use addresses::AddressBook;
pub use completion::Answer;
pub use completion::CompletionPlan;
pub use completion::complete;
pub use topup::TopUp;
pub use topup::top_up;
pub use verdict::Verdict;

/// Who calls, and through what.
#[derive(Debug, Clone)]
pub struct Caller {
    /// The client.
    pub client: HttpClient,
    /// Key of the contract.
    pub key: String,
    /// Time after which a request without a final answer counts as lost. Longer
    /// than any contract's time limit.
    pub patience: Duration,
    /// Time after which a service call without an answer is sent again. Longer
    /// than any contract's time limit for services.
    pub call_limit: Duration,
}

impl Caller {
    /// Creates a caller.
    #[must_use]
    pub fn new(client: HttpClient, key: &str, patience: Duration, call_limit: Duration) -> Self {
        Self {
            client,
            key: key.to_owned(),
            patience,
            call_limit,
        }
    }

    fn authorization(&self) -> String {
        format!("Bearer {}", self.key)
    }
}

/// Where a request goes.
pub type RouterAddress = SocketAddr;
