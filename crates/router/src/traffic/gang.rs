//! Runs a prompt that is too large for one engine on several: reserves memory at
//! all of them or none, prefills the parts, and generates on the first.

use std::time::Duration;

use async_channel::Sender;
use briarhall_endpoint::EngineClient;
use briarhall_endpoint::EngineError;
use briarhall_endpoint::Lease;
use briarhall_endpoint::RefusalKind;
use briarhall_endpoint::RunStatus;
use briarhall_endpoint::wire::HoldingKind;
use briarhall_endpoint::wire::KvPart;
use briarhall_endpoint::wire::PrefillCall;
use briarhall_endpoint::wire::ReserveCall;
use briarhall_net::Executor;
use briarhall_policy::fleet::AttemptKey;
use briarhall_policy::gang::GangError;
use briarhall_types::Problem;
use briarhall_types::new_id;
use compact_str::CompactString;
use compact_str::format_compact;
use futures::future::join_all;
use futures::future::try_join_all;
use futures_lite::future;

use super::Traffic;
use super::attempt;
use super::attempt::Attempt;
use super::attempt::AttemptOutcome;
use super::completions::GivenUp;
use super::completions::Job;
use super::response::ResponseWriter;
use crate::control::AttemptEnd;
use crate::control::GangPart;
use crate::control::GangPlan;
use crate::control::Msg;

/// Time after which a reservation expires unless it is renewed.
const RESERVATION_LIFETIME: Duration = Duration::from_secs(5);
const RENEW_INTERVAL: Duration = Duration::from_secs(1);
const RESERVE_TIMEOUT: Duration = Duration::from_secs(1);
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);
const RELEASE_TRIES: u32 = 3;
/// Range of the delay before reserving again; random, so that two prompts that
/// collided once do not collide again.
const RETRY_PAUSE_MS: std::ops::Range<u64> = 40..160;

/// How a gang's attempt ended, and the attempt at the engine that ended it.
#[derive(Debug, Clone, Copy)]
struct GangOutcome {
    outcome: AttemptOutcome,
    attempt: Option<AttemptKey>,
}

/// Reservations at the engines of a gang. Dropping this releases all of them,
/// however the request ends.
#[derive(Debug)]
struct Reservations {
    name: CompactString,
    parts: Vec<GangPart>,
    engines: EngineClient,
    executor: Executor,
    /// Dropping it ends the renewal.
    renewal: Option<Sender<()>>,
}

impl Drop for Reservations {
    fn drop(&mut self) {
        drop(self.renewal.take());
        let engines = self.engines.clone();
        let name = self.name.clone();
        let parts = std::mem::take(&mut self.parts);
        self.executor.detach(async move {
            let releases = parts.iter().map(|part| release(&engines, part, &name));
            join_all(releases).await;
        });
    }
}

async fn release(engines: &EngineClient, part: &GangPart, name: &str) {
    for _ in 0..RELEASE_TRIES {
        if engines
            .release(part.address, name, RELEASE_TIMEOUT)
            .await
            .is_ok()
        {
            return;
        }
    }
    // The lease expires, and a steward frees the memory.
    log::warn!(reservation = name, engine = part.address.to_string().as_str(); "cannot release a reservation");
}

impl Traffic {
    /// Returns whether the prompt is larger than one engine can hold.
    pub(super) async fn needs_gang(&self, job: &Job) -> bool {
        let model = CompactString::from(job.req.model.as_str());
        let largest = self
            .control
            .ask(|reply| Msg::LargestSingle(model, reply))
            .await;
        largest.is_some_and(|largest| job.req.tokens + job.req.max_tokens > largest)
    }

    pub(super) async fn gang_attempt(
        &self,
        job: &mut Job,
        writer: &mut ResponseWriter,
    ) -> Result<AttemptOutcome, GivenUp> {
        let call = job.route_call();
        let plan = match self.control.ask(|reply| Msg::Gang(call, reply)).await {
            Ok(plan) => plan,
            Err(GangError::TooLarge) => return Err(Some(job.refused(too_large(job)))),
            Err(GangError::InsufficientMemory) => {
                self.pause(job, writer, retry_pause()).await?;
                return Ok(AttemptOutcome::Refused(RefusalKind::Full));
            }
        };
        let GangOutcome { outcome, attempt } = self.run_gang(job, &plan, writer).await;
        for part in &plan.parts {
            let end = if attempt == Some(part.attempt) {
                outcome.attempt_end()
            } else {
                AttemptEnd::Abandoned
            };
            self.control
                .send(Msg::AttemptEnded(part.attempt, end))
                .await;
        }
        if outcome == AttemptOutcome::Refused(RefusalKind::Full) {
            self.pause(job, writer, retry_pause()).await?;
        }
        Ok(outcome)
    }

    async fn run_gang(
        &self,
        job: &Job,
        plan: &GangPlan,
        writer: &mut ResponseWriter,
    ) -> GangOutcome {
        let working = async {
            let reservations = self.reserve_all(job, plan).await?;
            self.prefill_all(job, plan, &reservations).await?;
            Ok(reservations)
        };
        let gone = async {
            writer.keep_alive_until_gone().await;
            Err(GangOutcome {
                outcome: AttemptOutcome::CallerGone,
                attempt: None,
            })
        };
        let reservations = match future::or(working, gone).await {
            Ok(reservations) => reservations,
            Err(end) => return end,
        };
        self.generate(job, plan, &reservations, writer).await
    }

    /// Generates on the first engine, which fetches the rest of the KV cache
    /// from the others.
    async fn generate(
        &self,
        job: &Job,
        plan: &GangPlan,
        reservations: &Reservations,
        writer: &mut ResponseWriter,
    ) -> GangOutcome {
        let Some((lead, others)) = plan.parts.split_first() else {
            return GangOutcome {
                outcome: AttemptOutcome::Refused(RefusalKind::Full),
                attempt: None,
            };
        };
        let kv_parts = others.iter().map(|part| KvPart {
            address: part.address,
            reservation: reservations.name.clone(),
        });
        let kv_parts = kv_parts.collect();
        let reservation = Some(reservations.name.clone());
        let attempt = Attempt {
            id: new_id(),
            address: lead.address,
            body: job.body(writer.tokens(), plan.priority, reservation, kv_parts),
            key: lead.attempt,
            lease: job.lease(&self.router),
        };
        let outcome = attempt::run(self, &attempt, writer, job.deadline).await;
        GangOutcome {
            outcome,
            attempt: Some(lead.attempt),
        }
    }

    /// Makes the reservations in the order of the plan. On the first failure all
    /// of them are released.
    async fn reserve_all(&self, job: &Job, plan: &GangPlan) -> Result<Reservations, GangOutcome> {
        let mut reservations = Reservations {
            name: format_compact!("gang-{}", new_id()),
            parts: Vec::new(),
            engines: self.engines.clone(),
            executor: self.executor.clone(),
            renewal: None,
        };
        for part in &plan.parts {
            let call = ReserveCall {
                name: reservations.name.clone(),
                tokens: part.tokens,
                owner: self.router.clone(),
                lease_ms: u64::try_from(RESERVATION_LIFETIME.as_millis()).unwrap_or(u64::MAX),
            };
            let limit = job.deadline.left_up_to(RESERVE_TIMEOUT);
            // The reservation may exist even if no answer arrives, so it is
            // recorded before the call.
            reservations.parts.push(part.clone());
            let reserved = self.engines.reserve(part.address, &call, limit).await;
            reserved.map_err(|e| gang_outcome(&e, part))?;
            self.check_allowance(part, limit).await?;
        }
        reservations.renewal = Some(self.renew_while_open(&reservations));
        Ok(reservations)
    }

    /// Checks that all reservations at the engine fit in its allowance. Load
    /// reports lag, so two gangs may have planned for the same memory; the
    /// engine's own list of holdings is current.
    async fn check_allowance(&self, part: &GangPart, limit: Duration) -> Result<(), GangOutcome> {
        let holdings = self.engines.holdings(part.address, limit).await;
        let holdings = holdings.map_err(|e| gang_outcome(&e, part))?;
        let reserved = holdings
            .iter()
            .filter(|h| h.kind == HoldingKind::Reservation);
        if reserved.map(|holding| holding.tokens).sum::<u64>() <= part.allowance {
            return Ok(());
        }
        Err(GangOutcome {
            outcome: AttemptOutcome::Refused(RefusalKind::Full),
            attempt: Some(part.attempt),
        })
    }

    /// Renews the reservations until the returned sender is dropped.
    fn renew_while_open(&self, reservations: &Reservations) -> Sender<()> {
        let (tx, rx) = async_channel::bounded::<()>(1);
        let engines = self.engines.clone();
        let parts = reservations.parts.clone();
        let name = reservations.name.clone();
        let lease = Lease {
            owner: self.router.clone(),
            duration: RESERVATION_LIFETIME,
        };
        self.executor.detach(async move {
            while briarhall_net::timeout(RENEW_INTERVAL, rx.recv())
                .await
                .is_err()
            {
                let renewals = parts.iter().map(|part| {
                    engines.renew_reservation(part.address, &name, &lease, RESERVE_TIMEOUT)
                });
                join_all(renewals).await;
            }
        });
        tx
    }

    async fn prefill_all(
        &self,
        job: &Job,
        plan: &GangPlan,
        reservations: &Reservations,
    ) -> Result<(), GangOutcome> {
        let mut left = job.req.tokens;
        let mut calls = Vec::new();
        // The first part also holds the answer, so the prompt fills the others
        // first.
        for part in plan.parts.iter().rev() {
            let tokens = part.tokens.min(left);
            left -= tokens;
            let call = PrefillCall {
                tokens,
                whole_tokens: job.req.tokens,
                priority: plan.priority,
            };
            calls.push((part, call));
        }
        let limit = job.deadline.left();
        let prefills = calls.iter().map(|(part, call)| async {
            let done = self
                .engines
                .prefill(part.address, &reservations.name, call, limit)
                .await;
            done.map_err(|e| gang_outcome(&e, part))
        });
        try_join_all(prefills).await?;
        Ok(())
    }
}

fn gang_outcome(e: &EngineError, part: &GangPart) -> GangOutcome {
    let outcome = match e {
        EngineError::Refused { kind, .. } => AttemptOutcome::Refused(*kind),
        EngineError::Http(_) if e.run_status() == RunStatus::NotRun => {
            AttemptOutcome::NotSent(AttemptEnd::Failed)
        }
        EngineError::Http(_) => AttemptOutcome::Lost(AttemptEnd::Failed),
    };
    GangOutcome {
        outcome,
        attempt: Some(part.attempt),
    }
}

fn too_large(job: &Job) -> Problem {
    let tokens = job.req.tokens;
    let detail = format!("the prompt has about {tokens} tokens, more than all engines can hold");
    Problem::not_run(413, "prompt-too-large", detail)
}

fn retry_pause() -> Duration {
    Duration::from_millis(rand::random_range(RETRY_PAUSE_MS))
}
