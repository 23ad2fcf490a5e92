//! A caller of the system: resolves router addresses, caches them for their time
//! to live, sends requests and checks every byte of the answers.

mod addresses;
mod completion;
mod outcome;
mod topup;

use std::net::SocketAddr;
use std::time::Duration;

use briarhall_net::HttpClient;

pub use addresses::AddressCache;
pub use completion::Answer;
pub use completion::CompletionRequest;
pub use completion::complete;
pub use outcome::CallOutcome;
pub use topup::TopUpAnswer;
pub use topup::top_up;

/// A caller with its key, client and timeouts.
#[derive(Debug, Clone)]
pub struct Caller {
    /// HTTP client for the calls.
    pub client: HttpClient,
    /// Key under the contract.
    pub key: String,
    /// Time after which a request without a final answer counts as lost. Longer
    /// than any contract's time limit.
    pub answer_timeout: Duration,
    /// Time after which a service call without an answer is sent again. Longer
    /// than any contract's time limit for services.
    pub call_timeout: Duration,
}

impl Caller {
    /// Creates a caller.
    #[must_use]
    pub fn new(
        client: HttpClient,
        key: &str,
        answer_timeout: Duration,
        call_timeout: Duration,
    ) -> Self {
        Self {
            client,
            key: key.to_owned(),
            answer_timeout,
            call_timeout,
        }
    }

    fn authorization(&self) -> String {
        format!("Bearer {}", self.key)
    }
}

/// Address of the router that a request is sent to.
pub type RouterAddress = SocketAddr;
