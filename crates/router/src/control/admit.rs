//! Admits a request: checks that this router is current, then the key, the
//! contract, blocked requests and limits.

use std::time::Duration;
use std::time::Instant;

use briarhall_policy::config_store::VersionedContract;
use briarhall_policy::limits::LimitRefusal;
use briarhall_policy::limits::OverLimit;
use briarhall_policy::members::SyncState;
use briarhall_policy::share_allocator::CallKey;
use briarhall_policy::suspects::Fingerprint;
use briarhall_policy::suspects::Suspicion;
use briarhall_types::CallLimits;
use briarhall_types::Digest;
use briarhall_types::Problem;
use compact_str::format_compact;

use super::AdmitCall;
use super::Admitted;
use super::CallName;
use super::Control;
use super::InFlightRequest;
use super::RequestKey;

/// `Retry-After` sent while this router may not admit requests.
const NOT_CURRENT_RETRY: Duration = Duration::from_secs(1);
/// `Retry-After` sent while this router is about to end.
const STOPPING_RETRY: Duration = Duration::from_secs(1);

/// A contract's terms for one call.
#[derive(Debug, Clone, Copy)]
struct Terms {
    time_limit: Duration,
    repeatable: bool,
    limits: CallLimits,
}

impl Control {
    pub(super) fn admit(&mut self, call: &AdmitCall, now: Instant) -> Result<Admitted, Problem> {
        self.check_open()?;
        self.check_sync_state(now)?;
        let contract = self.config_store.by_key(&call.key).ok_or_else(bad_key)?;
        let terms = terms(&contract, call)?;
        let fingerprint = fingerprint(&contract, call);
        self.check_suspicion(&fingerprint)?;
        let key = call_key(&contract, &call.call);
        self.check_limits(&key, &terms.limits, call.tokens, now)?;
        self.record_arrival(call, now);
        let request_key = self.requests.insert(InFlightRequest { call: key });
        self.metrics.count("admitted");
        Ok(Admitted {
            request_key,
            customer: contract.contract.customer.clone(),
            time_limit: terms.time_limit,
            repeatable: terms.repeatable,
            objective: contract.contract.objective,
            fingerprint,
        })
    }

    fn record_arrival(&mut self, call: &AdmitCall, now: Instant) {
        self.retries.earn();
        if let CallName::Model(name) = &call.call {
            self.fleet.arrived(name, call.tokens, call.max_tokens, now);
        }
    }

    pub(super) fn request_ended(&mut self, request_key: RequestKey) {
        self.deadline_queue.leave(&request_key);
        let Some(request) = self.requests.remove(request_key) else {
            return;
        };
        if let Some(call) = self.uses.get_mut(&request.call) {
            call.usage.ended();
        }
    }

    /// Admits no more requests if none is in flight, and returns whether that is
    /// so. A request admitted between a check and a later close would be cut off
    /// when the process ends.
    pub(super) fn close_if_idle(&mut self) -> bool {
        self.closed |= self.requests.is_empty();
        self.closed
    }

    fn check_open(&self) -> Result<(), Problem> {
        if !self.closed {
            return Ok(());
        }
        self.metrics.count("refused.stopping");
        let detail = "this router is stopping; send the request to another router";
        Err(Problem::not_run(503, "stopping", detail).retry_after(STOPPING_RETRY))
    }

    fn check_sync_state(&self, now: Instant) -> Result<(), Problem> {
        let detail = match self.sync_state(now) {
            SyncState::Current => return Ok(()),
            SyncState::Behind => "this router is taking up a newer configuration",
            SyncState::Disconnected => "this router is cut off from the others and the platform",
        };
        self.metrics.count("refused.standing");
        Err(Problem::not_run(503, "not-current", detail).retry_after(NOT_CURRENT_RETRY))
    }

    fn check_suspicion(&self, fingerprint: &Fingerprint) -> Result<(), Problem> {
        match self.suspects.suspicion(fingerprint) {
            Some(Suspicion::Blocked) => Err(request_blocked()),
            _ => Ok(()),
        }
    }

    fn check_limits(
        &mut self,
        key: &CallKey,
        limits: &CallLimits,
        tokens: u64,
        now: Instant,
    ) -> Result<(), Problem> {
        let call = self.call_use(key, limits, now);
        call.arrived(now);
        let admitted = call.usage.admit(tokens, now);
        admitted.map_err(|refusal| {
            self.metrics.count("refused.limit");
            over_limit(key, refusal)
        })
    }
}

/// Returns the refusal of a request that crashes engines.
pub(super) fn request_blocked() -> Problem {
    let detail = "engines that run this request die of it; it is not run again, change it";
    Problem::not_run(422, "crashes-engines", detail)
}

fn bad_key() -> Problem {
    let detail = "no contract has this key; send `Authorization: Bearer KEY`";
    Problem::not_run(401, "key-not-known", detail)
}

fn call_key(contract: &VersionedContract, call: &CallName) -> CallKey {
    let call = match call {
        CallName::Model(name) => format_compact!("model/{name}"),
        CallName::Service(name) => format_compact!("service/{name}"),
    };
    CallKey {
        customer: contract.contract.customer.clone(),
        call,
    }
}

fn terms(contract: &VersionedContract, call: &AdmitCall) -> Result<Terms, Problem> {
    let contract = &contract.contract;
    match &call.call {
        CallName::Model(name) => {
            let terms = contract.model(name).ok_or_else(|| not_in_contract(name))?;
            if call.tokens > terms.max_prompt_tokens {
                return Err(too_long(call.tokens, terms.max_prompt_tokens));
            }
            Ok(Terms {
                time_limit: terms.time_limit,
                repeatable: true,
                limits: terms.limits,
            })
        }
        CallName::Service(name) => {
            let terms = contract
                .service(name)
                .ok_or_else(|| not_in_contract(name))?;
            Ok(Terms {
                time_limit: terms.time_limit,
                repeatable: terms.repeatable,
                limits: terms.limits,
            })
        }
    }
}

fn not_in_contract(name: &str) -> Problem {
    let detail = format!("the contract has no terms for `{name}`; ask its operator");
    Problem::not_run(403, "not-in-contract", detail)
}

fn too_long(tokens: u64, max: u64) -> Problem {
    let detail = format!("the prompt has about {tokens} tokens and the contract allows {max}");
    Problem::not_run(413, "prompt-too-long", detail)
}

fn over_limit(key: &CallKey, refusal: LimitRefusal) -> Problem {
    let what = match refusal.limit {
        OverLimit::Requests => "requests a second",
        OverLimit::Tokens => "prompt tokens a second",
        OverLimit::InFlight => "requests in flight",
    };
    let detail = format!(
        "the contract's limit of {what} for `{}` is reached",
        key.call
    );
    Problem::not_run(429, "over-limit", detail).retry_after(refusal.retry_after)
}

fn fingerprint(contract: &VersionedContract, call: &AdmitCall) -> Fingerprint {
    let customer = contract.contract.customer.as_bytes();
    Digest::of_parts(&[customer, &call.content.to_bytes()])
}
