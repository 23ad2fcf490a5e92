//! Results of claimed requests of this router, for callers that send the same
//! idempotency key again.

use std::collections::HashMap;
use std::collections::VecDeque;

use briarhall_mesh::StoredResult;
use briarhall_policy::claims::ClaimId;

use super::Reply;

/// Largest number of results kept.
const MAX_RESULTS: usize = 20_000;

#[derive(Debug)]
enum State {
    Running(Vec<Reply<Option<StoredResult>>>),
    Ended(StoredResult),
}

/// Results by claim; the oldest are dropped first.
#[derive(Debug, Default)]
pub struct Results {
    states: HashMap<ClaimId, State>,
    ended: VecDeque<ClaimId>,
}

impl Results {
    /// Records that a request with a claim is in progress.
    pub fn started(&mut self, claim: ClaimId) {
        self.states
            .entry(claim)
            .or_insert_with(|| State::Running(Vec::new()));
    }

    /// Records the result of a claimed request and answers those who wait.
    pub fn ended(&mut self, claim: ClaimId, result: &StoredResult) {
        let before = self.states.insert(claim, State::Ended(result.clone()));
        if let Some(State::Running(waiters)) = before {
            for waiter in waiters {
                waiter.send(Some(result.clone()));
            }
        }
        self.ended.push_back(claim);
        if self.ended.len() > MAX_RESULTS
            && let Some(oldest) = self.ended.pop_front()
        {
            self.states.remove(&oldest);
        }
    }

    /// Answers with the result when the request has ended, or with `None` at
    /// once if the claim is not known.
    pub fn wait(&mut self, claim: &ClaimId, reply: Reply<Option<StoredResult>>) {
        match self.states.get_mut(claim) {
            None => reply.send(None),
            Some(State::Ended(result)) => reply.send(Some(result.clone())),
            Some(State::Running(waiters)) => waiters.push(reply),
        }
    }
}
