//! One attempt at one engine: starts it, forwards its tokens, and resumes the
//! stream on a new connection when it is silent or broken.

use std::net::SocketAddr;
use std::time::Duration;

use briarhall_endpoint::EngineClient;
use briarhall_endpoint::EngineError;
use briarhall_endpoint::Event;
use briarhall_endpoint::EventStream;
use briarhall_endpoint::Lease;
use briarhall_endpoint::RefusalKind;
use briarhall_endpoint::RunStatus;
use briarhall_net::HttpError;
use briarhall_policy::fleet::AttemptKey;
use briarhall_types::AttemptId;
use bytes::Bytes;
use futures_lite::future;

use super::Traffic;
use super::deadline::Deadline;
use super::response::CallerGone;
use super::response::ResponseWriter;
use crate::control::AttemptEnd;
use crate::control::Msg;

/// Silence after which a stream is resumed on a new connection and the caller is
/// sent a keep-alive.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for an engine to accept a request.
const START_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for an engine to answer about a running request.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Unanswered probes after which an attempt is lost.
const MAX_FAILED_PROBES: u32 = 2;

/// An attempt to make.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Its id, checked on every frame.
    pub id: AttemptId,
    /// The engine.
    pub address: SocketAddr,
    /// Body of the call.
    pub body: Bytes,
    /// Key of the attempt at the control thread.
    pub key: AttemptKey,
    /// Lease on the memory it holds.
    pub lease: Lease,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The whole answer was sent.
    Complete,
    /// The caller disconnected.
    CallerGone,
    /// The deadline passed.
    Deadline,
    /// The engine refused before running anything.
    Refused(RefusalKind),
    /// The request did not reach the engine.
    NotSent(AttemptEnd),
    /// The attempt is lost and may have run.
    Lost(AttemptEnd),
}

impl AttemptOutcome {
    /// Returns the end to report to the control thread.
    pub fn attempt_end(self) -> AttemptEnd {
        match self {
            Self::Complete => AttemptEnd::Done,
            Self::CallerGone | Self::Deadline => AttemptEnd::Abandoned,
            Self::Refused(RefusalKind::Draining) => AttemptEnd::Draining,
            Self::Refused(_) => AttemptEnd::Full,
            Self::NotSent(end) | Self::Lost(end) => end,
        }
    }

    /// Returns whether the engine may have run part of it.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Self::Refused(_) | Self::NotSent(_))
    }
}

/// Makes an attempt and sends its tokens to the caller.
pub async fn run(
    traffic: &Traffic,
    attempt: &Attempt,
    writer: &mut ResponseWriter,
    deadline: Deadline,
) -> AttemptOutcome {
    let from = writer.tokens();
    let starting = start(&traffic.engines, attempt, from, deadline);
    let outcome = match with_keep_alive(writer, starting).await {
        Ok(stream) => read(traffic, attempt, stream, writer, deadline).await,
        Err(outcome) => outcome,
    };
    if outcome != AttemptOutcome::Complete {
        // Runs in the background, so that the caller does not wait for it.
        let cancelling = cancel(traffic.engines.clone(), attempt.clone());
        traffic.executor.detach(cancelling);
    }
    outcome
}

/// Waits for a stream while keep-alives are sent to the caller.
async fn with_keep_alive<F>(
    writer: &mut ResponseWriter,
    stream: F,
) -> Result<EventStream, AttemptOutcome>
where
    F: Future<Output = Result<EventStream, AttemptOutcome>>,
{
    let gone = async {
        writer.keep_alive_until_gone().await;
        Err(AttemptOutcome::CallerGone)
    };
    future::or(stream, gone).await
}

async fn start(
    engines: &EngineClient,
    attempt: &Attempt,
    from: u64,
    deadline: Deadline,
) -> Result<EventStream, AttemptOutcome> {
    let started = engines.start(
        attempt.address,
        attempt.id,
        attempt.body.clone(),
        from,
        &attempt.lease,
        deadline.left_up_to(START_TIMEOUT),
    );
    match started.await {
        Ok(stream) => Ok(stream),
        Err(e) => match not_started(&e) {
            Some(outcome) => Err(outcome),
            // The request may have arrived: ask on another connection.
            None => reopen(engines, attempt, from, deadline).await,
        },
    }
}

fn not_started(e: &EngineError) -> Option<AttemptOutcome> {
    match e {
        EngineError::Refused { kind, .. } => Some(AttemptOutcome::Refused(*kind)),
        EngineError::Http(HttpError::Connect { .. }) => {
            Some(AttemptOutcome::NotSent(AttemptEnd::Failed))
        }
        EngineError::Http(_) if e.run_status() == RunStatus::NotRun => {
            Some(AttemptOutcome::NotSent(AttemptEnd::Failed))
        }
        EngineError::Http(_) => None,
    }
}

async fn read(
    traffic: &Traffic,
    attempt: &Attempt,
    mut stream: EventStream,
    writer: &mut ResponseWriter,
    deadline: Deadline,
) -> AttemptOutcome {
    let first = writer.tokens();
    loop {
        if deadline.has_passed() {
            return AttemptOutcome::Deadline;
        }
        let next = stream.next(deadline.left_up_to(SILENCE_TIMEOUT));
        let gone = async {
            writer.caller_gone().await;
            Err(None)
        };
        let event = future::or(async { next.await.map_err(Some) }, gone).await;
        match event {
            Ok(Event::Token(text)) => {
                if writer.push_token(&text).await == Err(CallerGone) {
                    return AttemptOutcome::CallerGone;
                }
                if writer.tokens() == first + 1 {
                    traffic.control.send(Msg::FirstToken(attempt.key)).await;
                }
            }
            Ok(Event::Done) => return AttemptOutcome::Complete,
            Err(None) => return AttemptOutcome::CallerGone,
            Err(Some(e)) => {
                if writer.keep_alive_if_due().await == Err(CallerGone) {
                    return AttemptOutcome::CallerGone;
                }
                log::debug!(attempt = attempt.id.to_string().as_str(), error = e.to_string().as_str(); "stream silent or broken; resuming on a new connection");
                let from = writer.tokens();
                let reopening = reopen(&traffic.engines, attempt, from, deadline);
                match with_keep_alive(writer, reopening).await {
                    Ok(reopened) => stream = reopened,
                    Err(outcome) => return outcome,
                }
            }
        }
    }
}

/// Resumes the stream on a new connection, or finds out how the attempt ended.
async fn reopen(
    engines: &EngineClient,
    attempt: &Attempt,
    from: u64,
    deadline: Deadline,
) -> Result<EventStream, AttemptOutcome> {
    for _ in 0..MAX_FAILED_PROBES {
        if deadline.has_passed() {
            return Err(AttemptOutcome::Deadline);
        }
        let limit = deadline.left_up_to(PROBE_TIMEOUT);
        let reopened = engines.resume(attempt.address, attempt.id, from, limit);
        match reopened.await {
            Ok(stream) => return Ok(stream),
            // Another process listens there, or none: the engine has ended.
            Err(EngineError::Refused { .. }) => return Err(AttemptOutcome::Lost(AttemptEnd::Died)),
            Err(EngineError::Http(HttpError::Connect { refused: true, .. })) => {
                return Err(AttemptOutcome::Lost(AttemptEnd::Died));
            }
            Err(_) => {}
        }
    }
    Err(AttemptOutcome::Lost(AttemptEnd::Failed))
}

/// Frees what the attempt holds. If the engine cannot be reached, the lease
/// expires and a steward frees it.
async fn cancel(engines: EngineClient, attempt: Attempt) {
    let cancelled = engines.cancel(attempt.address, attempt.id, PROBE_TIMEOUT);
    if let Err(e) = cancelled.await {
        log::debug!(attempt = attempt.id.to_string().as_str(), error = e.to_string().as_str(); "cannot cancel an attempt");
    }
}
