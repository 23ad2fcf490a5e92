//! Memory reserved at several engines for a prompt that does not fit in one.
//!
//! A reservation has a short lifetime and is renewed, so that memory is free
//! again within seconds when this process dies or hangs; it is released as soon
//! as the request has ended. If one engine does not grant it, all are released
//! at once, so two prompts never wait for each other.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use briarhall_net::Connection;
use briarhall_net::Executor;
use briarhall_net::HttpClient;
use briarhall_policy::departures::ReplicaProcess;
use briarhall_policy::health::SendOutcome;
use briarhall_types::ReplicaId;
use compact_str::CompactString;
use compact_str::format_compact;
use futures::future::join_all;
use hyper::StatusCode;

use crate::outcomes::record_failure;
use crate::outcomes::record_notice;
use crate::outcomes::record_outcome;
use crate::state::Shared;
use crate::wire::EngineAt;
use crate::wire::Helper;
use crate::wire::Wire;

/// Lifetime of a reservation: below the four seconds after which unused memory
/// counts as lost.
const RESERVATION_TTL: Duration = Duration::from_millis(3_200);
/// Time between two renewals; one of them may fail.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_200);
/// Time limit for an engine to answer a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Attempts to release memory until the engine answers.
const RELEASE_ATTEMPTS: u32 = 3;

/// Memory reserved at helpers until this is dropped.
#[derive(Debug)]
pub struct Reservation<W>
where
    W: Wire,
{
    calls: EngineCalls<W>,
    executor: Executor,
    reservations: Vec<EngineReservation>,
    /// Task that renews the reservation until it is dropped.
    _renewal: Connection,
}

/// A reservation at one engine.
#[derive(Debug, Clone)]
struct EngineReservation {
    replica: ReplicaId,
    started_unix_ms: Option<u64>,
    address: SocketAddr,
    id: CompactString,
    tokens: u64,
}

/// Calls engines to reserve and release memory.
#[derive(Debug, Clone)]
pub struct EngineCalls<W> {
    /// Control state, where engines that fail are recorded.
    pub shared: Arc<Shared>,
    /// Writes the calls.
    pub wire: W,
    /// Opens connections.
    pub client: HttpClient,
}

impl<W> Reservation<W>
where
    W: Wire,
{
    /// Reserves `tokens` at every helper and sets its reservation id. Returns
    /// `None` unless all of them grant it.
    pub async fn acquire(
        calls: EngineCalls<W>,
        executor: Executor,
        helpers: &mut [Helper],
        tokens: u64,
        name: &str,
    ) -> Option<Self> {
        let reservations = reservations(&calls.shared, helpers, tokens, name);
        let granted = join_all(
            reservations
                .iter()
                .map(|reservation| calls.reserve(reservation)),
        )
        .await;
        let all_granted = granted.iter().all(|granted| *granted);
        log::info!(
            event = "reserved",
            request = name,
            engines = reservations.len(),
            tokens,
            granted = all_granted;
            "engines answered a reservation"
        );
        for (helper, reservation) in helpers.iter_mut().zip(&reservations) {
            helper.reservation_id = Some(reservation.id.clone());
        }
        let renewal = executor.spawn(renew(calls.clone(), reservations.clone()));
        let reservation = Self {
            calls,
            executor,
            reservations,
            _renewal: renewal,
        };
        // If it is dropped here, it releases what was granted and what may
        // still be granted.
        all_granted.then_some(reservation)
    }
}

impl<W> Drop for Reservation<W>
where
    W: Wire,
{
    fn drop(&mut self) {
        for reservation in self.reservations.drain(..) {
            let calls = self.calls.clone();
            self.executor
                .detach(async move { calls.release(&reservation).await });
        }
    }
}

/// Returns a reservation of `tokens` at each helper.
fn reservations(
    shared: &Shared,
    helpers: &[Helper],
    tokens: u64,
    name: &str,
) -> Vec<EngineReservation> {
    let state = shared.state();
    let reservations = helpers.iter().enumerate().map(|(index, helper)| {
        let record = state.replicas.get(&helper.replica);
        EngineReservation {
            replica: helper.replica.clone(),
            started_unix_ms: record.and_then(|record| record.started_unix_ms),
            address: helper.address,
            id: format_compact!("{name}-{index}"),
            tokens,
        }
    });
    reservations.collect()
}

async fn renew<W>(calls: EngineCalls<W>, reservations: Vec<EngineReservation>)
where
    W: Wire,
{
    let mut next = Instant::now();
    loop {
        next += RENEW_INTERVAL;
        Timer::at(next).await;
        join_all(
            reservations
                .iter()
                .map(|reservation| calls.reserve(reservation)),
        )
        .await;
    }
}

impl<W> EngineCalls<W>
where
    W: Wire,
{
    async fn reserve(&self, reservation: &EngineReservation) -> bool {
        let engine = EngineAt {
            replica: &reservation.replica,
            address: reservation.address,
        };
        let call = self
            .wire
            .reserve(engine, &reservation.id, reservation.tokens, RESERVATION_TTL);
        let outcome = match self.client.send(call, CALL_TIMEOUT).await {
            Ok(reply) => {
                let (parts, _body) = reply.into_parts();
                let process = ReplicaProcess {
                    id: reservation.replica.clone(),
                    started_unix_ms: reservation.started_unix_ms,
                };
                let notice = self.wire.reply_head(&parts).notice;
                record_notice(&self.shared, &process, parts.status, notice);
                match parts.status {
                    StatusCode::ACCEPTED => SendOutcome::Refused,
                    status if status.is_success() => return true,
                    status => {
                        log_failure("reserve", reservation, status.as_str());
                        SendOutcome::Refused
                    }
                }
            }
            Err(e) => {
                log_failure("reserve", reservation, &e.to_string());
                record_failure(&self.shared, &reservation.replica, SendOutcome::Unreachable);
                return false;
            }
        };
        // The next plan avoids it.
        record_outcome(&self.shared, &reservation.replica, outcome);
        false
    }

    async fn release(&self, reservation: &EngineReservation) {
        for _ in 0..RELEASE_ATTEMPTS {
            let call = self.wire.release(reservation.address, &reservation.id);
            match self.client.send(call, CALL_TIMEOUT).await {
                Ok(_done) => return,
                Err(e) => log_failure("release", reservation, &e.to_string()),
            }
            Timer::after(CALL_TIMEOUT).await;
        }
    }
}

fn log_failure(order: &str, reservation: &EngineReservation, error: &str) {
    let address = reservation.address.to_string();
    log::info!(
        event = "order_failed",
        order,
        ticket = reservation.id.as_str(),
        address = address.as_str(),
        error;
        "reservation call to an engine failed"
    );
}
