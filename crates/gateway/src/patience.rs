//! How long a gateway waits for a replica before it tries another one.
//!
//! Whether another may be tried is known only when the time comes: the retry budget is
//! shared by all requests under way.

use std::pin::pin;
use std::time::Duration;
use std::time::Instant;

use briarhall_net::timeout;
use briarhall_types::ServiceName;

use crate::attempt::Attempts;
use crate::job::Job;
use crate::place::Placement;
use crate::state::Shared;
use crate::wire::Wire;

/// Time between two looks at a spent budget.
const BUDGET_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The replica sent nothing for too long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Silent;

/// Time limits for a replica.
#[derive(Debug, Clone, Copy)]
pub struct Patience<'a> {
    /// Control state, with the retry budget.
    shared: &'a Shared,
    /// Service of the replica.
    service: &'a ServiceName,
    /// When another replica is to be tried, if the request may be sent again.
    retry_at: Option<Instant>,
    /// When the wait ends in any case.
    ends: Instant,
}

impl<'a> Patience<'a> {
    /// Returns the limits of a send that may take the time `left`, with another replica
    /// tried after `retry_after` if the request may be sent again then.
    pub fn new<W>(
        shared: &'a Shared,
        job: &'a Job,
        attempts: &Attempts,
        placement: &Placement<W>,
        retry_after: Duration,
        left: Duration,
    ) -> Self
    where
        W: Wire,
    {
        let runs = attempts.may_have_run + placement.attempts();
        let may_retry = job.is_retryable() && runs < job.max_attempts && retry_after < left;
        let now = Instant::now();
        Self {
            shared,
            service: &job.service,
            retry_at: may_retry.then(|| now + retry_after),
            ends: now + left,
        }
    }

    /// Waits for `fut` until another replica is to be tried and the budget allows it.
    ///
    /// # Errors
    ///
    /// Returns [`Silent`] when that time has come; `fut` is then dropped.
    pub async fn wait<F>(&self, fut: F) -> Result<F::Output, Silent>
    where
        F: Future,
    {
        let mut fut = pin!(fut);
        loop {
            let now = Instant::now();
            let next = match self.retry_at {
                Some(at) if at > now => at,
                Some(_) => now + BUDGET_CHECK_INTERVAL,
                None => self.ends,
            };
            let wait = next.min(self.ends).saturating_duration_since(now);
            if let Ok(output) = timeout(wait, fut.as_mut()).await {
                return Ok(output);
            }
            if Instant::now() >= self.ends || self.may_retry() {
                return Err(Silent);
            }
        }
    }

    /// Returns how long the wait may last, for the log.
    #[must_use]
    pub fn limit(&self) -> Duration {
        let until = self.retry_at.unwrap_or(self.ends);
        until.saturating_duration_since(Instant::now())
    }

    fn may_retry(&self) -> bool {
        self.retry_at.is_some() && self.shared.has_budget(self.service)
    }
}
