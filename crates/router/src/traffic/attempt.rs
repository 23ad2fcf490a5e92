//! One attempt at one engine: start, read, and look again when it is silent.

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
use super::outlet::CallerGone;
use super::outlet::Outlet;
use crate::control::AttemptEnd;
use crate::control::Msg;

/// Silence after which a stream is opened again on a new connection, and the
/// caller is shown that the request is alive.
const SILENCE: Duration = Duration::from_secs(1);
/// Time for an engine to take a request.
const START_LIMIT: Duration = Duration::from_secs(2);
/// Time for an engine to answer about a running request.
const PROBE_LIMIT: Duration = Duration::from_secs(1);
/// Probes without an answer after which an engine is given up.
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
    /// The engine's name in routing.
    pub key: AttemptKey,
    /// Lease on what it holds.
    pub lease: Lease,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// The whole answer was given.
    Whole,
    /// The caller went away.
    CallerGone,
    /// The deadline passed.
    Deadline,
    /// The engine refused before running anything.
    Refused(RefusalKind),
    /// No byte of the request arrived.
    NotSent(AttemptEnd),
    /// The attempt is lost and may have run.
    Lost(AttemptEnd),
}

impl Ended {
    /// Returns how routing sees it.
    pub fn for_routing(self) -> AttemptEnd {
        match self {
            Self::Whole => AttemptEnd::Done,
            Self::CallerGone | Self::Deadline => AttemptEnd::GivenUp,
            Self::Refused(RefusalKind::Draining) => AttemptEnd::Draining,
            Self::Refused(_) => AttemptEnd::Full,
            Self::NotSent(end) | Self::Lost(end) => end,
        }
    }

    /// Returns whether the engine may have run something of it.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Self::Refused(_) | Self::NotSent(_))
    }
}

/// Makes an attempt and gives its tokens to the caller.
pub async fn run(
    traffic: &Traffic,
    attempt: &Attempt,
    outlet: &mut Outlet,
    deadline: Deadline,
) -> Ended {
    let from = outlet.tokens();
    let starting = start(&traffic.engines, attempt, from, deadline);
    let ended = match attended(outlet, starting).await {
        Ok(stream) => read(traffic, attempt, stream, outlet, deadline).await,
        Err(ended) => ended,
    };
    if ended != Ended::Whole {
        // The caller's answer does not wait for it.
        let cancelling = cancel(traffic.engines.clone(), attempt.clone());
        traffic.executor.detach(cancelling);
    }
    ended
}

/// Waits for a stream while the caller is shown signs of life.
async fn attended<F>(outlet: &mut Outlet, stream: F) -> Result<EventStream, Ended>
where
    F: Future<Output = Result<EventStream, Ended>>,
{
    let gone = async {
        outlet.attend().await;
        Err(Ended::CallerGone)
    };
    future::or(stream, gone).await
}

async fn start(
    engines: &EngineClient,
    attempt: &Attempt,
    from: u64,
    deadline: Deadline,
) -> Result<EventStream, Ended> {
    let started = engines.start(
        attempt.address,
        attempt.id,
        attempt.body.clone(),
        from,
        &attempt.lease,
        deadline.left_up_to(START_LIMIT),
    );
    match started.await {
        Ok(stream) => Ok(stream),
        Err(e) => match not_started(&e) {
            Some(ended) => Err(ended),
            // It may have arrived after all: ask on another connection.
            None => reopen(engines, attempt, from, deadline).await,
        },
    }
}

fn not_started(e: &EngineError) -> Option<Ended> {
    match e {
        EngineError::Refused { kind, .. } => Some(Ended::Refused(*kind)),
        EngineError::Http(HttpError::Connect { .. }) => Some(Ended::NotSent(AttemptEnd::Failed)),
        EngineError::Http(_) if e.run_status() == RunStatus::NotRun => {
            Some(Ended::NotSent(AttemptEnd::Failed))
        }
        EngineError::Http(_) => None,
    }
}

async fn read(
    traffic: &Traffic,
    attempt: &Attempt,
    mut stream: EventStream,
    outlet: &mut Outlet,
    deadline: Deadline,
) -> Ended {
    let first = outlet.tokens();
    loop {
        if deadline.has_passed() {
            return Ended::Deadline;
        }
        let next = stream.next(deadline.left_up_to(SILENCE));
        let gone = async {
            outlet.caller_gone().await;
            Err(None)
        };
        let event = future::or(async { next.await.map_err(Some) }, gone).await;
        match event {
            Ok(Event::Token(text)) => {
                if outlet.token(&text).await == Err(CallerGone) {
                    return Ended::CallerGone;
                }
                if outlet.tokens() == first + 1 {
                    traffic.control.tell(Msg::FirstToken(attempt.key)).await;
                }
            }
            Ok(Event::Done) => return Ended::Whole,
            Err(None) => return Ended::CallerGone,
            Err(Some(e)) => {
                if outlet.sign_of_life().await == Err(CallerGone) {
                    return Ended::CallerGone;
                }
                log::debug!(attempt = attempt.id.to_string().as_str(), error = e.to_string().as_str(); "looking again");
                let from = outlet.tokens();
                let reopening = reopen(&traffic.engines, attempt, from, deadline);
                match attended(outlet, reopening).await {
                    Ok(reopened) => stream = reopened,
                    Err(ended) => return ended,
                }
            }
        }
    }
}

/// Opens the stream again on a new connection, or finds out what became of the
/// attempt.
async fn reopen(
    engines: &EngineClient,
    attempt: &Attempt,
    from: u64,
    deadline: Deadline,
) -> Result<EventStream, Ended> {
    for _ in 0..MAX_FAILED_PROBES {
        if deadline.has_passed() {
            return Err(Ended::Deadline);
        }
        let limit = deadline.left_up_to(PROBE_LIMIT);
        let reopened = engines.resume(attempt.address, attempt.id, from, limit);
        match reopened.await {
            Ok(stream) => return Ok(stream),
            // Another process listens there, or none: the engine has died.
            Err(EngineError::Refused { .. }) => return Err(Ended::Lost(AttemptEnd::Died)),
            Err(EngineError::Http(HttpError::Connect { refused: true, .. })) => {
                return Err(Ended::Lost(AttemptEnd::Died));
            }
            Err(_) => {}
        }
    }
    Err(Ended::Lost(AttemptEnd::Failed))
}

/// Frees what the attempt holds. If it cannot be reached now, its lease runs
/// out and a steward frees it.
async fn cancel(engines: EngineClient, attempt: Attempt) {
    let cancelled = engines.cancel(attempt.address, attempt.id, PROBE_LIMIT);
    if let Err(e) = cancelled.await {
        log::debug!(attempt = attempt.id.to_string().as_str(), error = e.to_string().as_str(); "cannot cancel");
    }
}
