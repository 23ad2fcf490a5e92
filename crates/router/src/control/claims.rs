//! Claims on idempotency keys, recorded in chains of segments in the object
//! API.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use briarhall_policy::claims::Chain;
use briarhall_policy::claims::Claim;
use briarhall_policy::claims::DecidedClaim;
use briarhall_policy::claims::SegmentNumber;
use briarhall_policy::claims::Step;
use briarhall_policy::claims::range_of;
use briarhall_policy::claims::window_start;
use briarhall_policy::rendezvous;
use briarhall_types::Contract;
use briarhall_types::Digest;

use super::ChainEvent;
use super::ClaimAnswer;
use super::Control;
use super::Reply;
use super::Wakeup;

/// How long claims are remembered beyond the longest window of a contract.
const WINDOW_MARGIN: Duration = Duration::from_mins(1);

/// A caller that waits for a claim to be decided.
#[derive(Debug)]
pub(super) struct ClaimWaiter {
    until: Instant,
    reply: Reply<ClaimAnswer>,
}

impl Control {
    pub(super) fn claim(&mut self, claim: Claim, until: Instant, reply: Reply<ClaimAnswer>) {
        let range = range_of(&claim.key);
        let chain = self.chains.entry(range).or_default();
        let id = claim.id;
        if let Some(status) = chain.submit(claim) {
            reply.send(ClaimAnswer::Decided(status));
            return;
        }
        self.claim_waiters.insert(id, ClaimWaiter { until, reply });
        if self.active_chains.insert(range) {
            self.wake(Wakeup::Chain(range));
        }
    }

    /// Returns the address of the preferred writer for a claim on the key, or
    /// `None` if that is this router.
    pub(super) fn claim_writer(&self, key: &Digest, now: Instant) -> Option<SocketAddr> {
        let serving = self.members.serving(now).map(|h| &h.router);
        let writer = rendezvous::pick(&range_of(key), serving)?;
        if *writer == self.me.name {
            return None;
        }
        self.members.heartbeat(writer).map(|h| h.mesh_address)
    }

    pub(super) fn chain_step(&mut self, range: u64, now: Instant) -> Step {
        let chain = self.chains.get_mut(&range);
        let step = chain.map_or(Step::Idle, |chain| chain.step(now, now_ms()));
        if step == Step::Idle {
            self.active_chains.remove(&range);
        }
        step
    }

    pub(super) fn chain_event(&mut self, range: u64, event: ChainEvent, now: Instant) {
        let Some(chain) = self.chains.get_mut(&range) else {
            return;
        };
        let decided = match event {
            ChainEvent::Loaded(segments) => chain.loaded(segments, now),
            ChainEvent::Written => chain.written(now),
            ChainEvent::Read(segment) => chain.apply_segment(&segment, now),
            ChainEvent::NumberTaken => no_decision(chain, Chain::number_taken),
            ChainEvent::OutcomeUnknown => no_decision(chain, Chain::outcome_unknown),
            ChainEvent::NotWritten => no_decision(chain, Chain::not_written),
            ChainEvent::Absent => no_decision(chain, Chain::absent),
        };
        for decision in decided {
            if let Some(waiter) = self.claim_waiters.remove(&decision.id) {
                waiter.reply.send(ClaimAnswer::Decided(decision.status));
            }
        }
    }

    /// Gives up claims whose time limit has passed. Their holders never send
    /// the requests.
    pub(super) fn expire_claims(&mut self, now: Instant) {
        let waiters = &self.claim_waiters;
        let expired = |id: &_| waiters.get(id).is_none_or(|waiter| now >= waiter.until);
        let mut removed = Vec::new();
        for chain in self.chains.values_mut() {
            removed.extend(chain.remove_waiting(expired));
        }
        for id in removed {
            if let Some(waiter) = self.claim_waiters.remove(&id) {
                waiter.reply.send(ClaimAnswer::Undecided);
            }
        }
    }

    /// Forgets claims older than the longest idempotency window of any contract
    /// plus its longest time limit, because a holder may send until its time
    /// limit after the claim. Returns the segments that may be deleted.
    pub(super) fn trim_chains(&mut self, now: Instant) -> Vec<(u64, SegmentNumber)> {
        let contracts = self
            .config_store
            .records()
            .map(|(_, _, record)| &record.contract);
        let kept = contracts.map(|contract| contract.idempotency_window + longest_limit(contract));
        let window = kept.max().unwrap_or_default() + WINDOW_MARGIN;
        let start = window_start(now_ms(), window);
        let mut old = Vec::new();
        let mut due = Vec::new();
        for (range, chain) in &mut self.chains {
            chain.retain_from(start);
            let numbers = chain.take_discarded();
            old.extend(numbers.into_iter().map(|number| (*range, number)));
            if chain.has_old_segments(now) && self.active_chains.insert(*range) {
                due.push(*range);
            }
        }
        for range in due {
            self.wake(Wakeup::Chain(range));
        }
        old
    }
}

fn longest_limit(contract: &Contract) -> Duration {
    let models = contract.models.iter().map(|terms| terms.time_limit);
    let services = contract.services.iter().map(|terms| terms.time_limit);
    models.chain(services).max().unwrap_or_default()
}

fn no_decision<F>(chain: &mut Chain, event: F) -> Vec<DecidedClaim>
where
    F: FnOnce(&mut Chain),
{
    event(chain);
    Vec::new()
}

fn now_ms() -> u64 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    u64::try_from(now.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
