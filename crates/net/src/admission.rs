//! Admits clients to what the process has left for all of them together.
//!
//! [`Holdings`] decides; here those who want more wait until those who have to go have gone.

use std::future::poll_fn;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Poll;
use std::task::Waker;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use briarhall_policy::capacity::Capacity;
use briarhall_policy::holdings::Decision;
use briarhall_policy::holdings::GroupTag;
use briarhall_policy::holdings::HolderKey;
use briarhall_policy::holdings::Holdings;
use briarhall_policy::holdings::Pool;
use briarhall_policy::holdings::Stage;
use slotmap::SecondaryMap;
use thiserror::Error;

use crate::Metrics;
use crate::byte_budget::ByteHold;
use crate::chunk_pace::ChunkPace;

/// Shortest time between two log lines about clients that were turned away.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The process has no room for more, and nobody has to go for this client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the process has no room for more")]
pub struct NoRoom;

/// Admits clients to a process.
#[derive(Debug, Clone)]
pub struct Admission {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    chunk_pace: ChunkPace,
    metrics: Metrics,
}

#[derive(Debug)]
struct State {
    holdings: Holdings,
    /// Closed to tell a client to go.
    signals: SecondaryMap<HolderKey, Sender<()>>,
    /// Those who want more, until something is given back.
    waiting: Vec<Waker>,
    turned_away: TurnedAway,
}

/// Clients that were turned away since the last log line.
#[derive(Debug, Default)]
struct TurnedAway {
    refused: u64,
    evicted: u64,
    logged_at: Option<Instant>,
}

impl Admission {
    /// Creates the pools of a process whose part of a core is `millicores`.
    #[must_use]
    pub fn new(capacity: Capacity, millicores: u32, metrics: Metrics) -> Self {
        let holdings = Holdings::new([
            (Pool::Clients, capacity.clients),
            (Pool::Peers, capacity.peers),
            (Pool::Directory, capacity.directory),
            (Pool::HealthChecks, capacity.health_checks),
            (Pool::Metrics, capacity.metrics),
            (Pool::Requests, capacity.requests),
            (Pool::Bodies, capacity.body_bytes),
            (Pool::Answers, capacity.answer_bytes),
        ]);
        let state = State {
            holdings,
            signals: SecondaryMap::new(),
            waiting: Vec::new(),
            turned_away: TurnedAway::default(),
        };
        Self {
            shared: Arc::new(Shared {
                state: Mutex::new(state),
                chunk_pace: ChunkPace::new(millicores),
                metrics,
            }),
        }
    }

    /// Admits a connection from this address, once there is a place for it.
    ///
    /// # Errors
    ///
    /// Returns an error when all have a request that must not be ended.
    pub async fn connect(&self, pool: Pool, address: IpAddr) -> Result<Admitted, NoRoom> {
        let client = self.join(address);
        let connection = client.take(pool, 1).await?;
        Ok(Admitted { client, connection })
    }

    fn join(&self, address: IpAddr) -> Arc<Client> {
        let (signal, evicted) = async_channel::bounded(1);
        let mut state = self.shared.state();
        let key = state.holdings.join(address, Instant::now());
        state.signals.insert(key, signal);
        Arc::new(Client {
            shared: Arc::clone(&self.shared),
            key,
            evicted,
        })
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a client that is turned away, and logs how many were, now and then.
    fn record_turned_away(
        &self,
        state: &mut State,
        pool: Pool,
        count: fn(&mut TurnedAway),
        what: &str,
    ) {
        self.metrics.count(what);
        let turned_away = &mut state.turned_away;
        count(turned_away);
        let now = Instant::now();
        let is_due = |at: Instant| now.saturating_duration_since(at) >= LOG_INTERVAL;
        if !turned_away.logged_at.is_none_or(is_due) {
            return;
        }
        log::warn!(
            event = "crowded",
            short_of = pool_name(pool),
            refused = turned_away.refused,
            evicted = turned_away.evicted,
            used = state.holdings.used(pool),
            capacity = state.holdings.capacity(pool);
            "clients were turned away: all of them together hold too much"
        );
        *turned_away = TurnedAway {
            logged_at: Some(now),
            ..TurnedAway::default()
        };
    }
}

impl State {
    fn wake_all(&mut self) {
        for waker in self.waiting.drain(..) {
            waker.wake();
        }
    }
}

/// Returns the name of a pool in logs.
fn pool_name(pool: Pool) -> &'static str {
    match pool {
        Pool::Clients => "client_connections",
        Pool::Peers => "peer_connections",
        Pool::Directory => "directory_connections",
        Pool::HealthChecks => "health_check_connections",
        Pool::Metrics => "metrics_connections",
        Pool::Requests => "requests",
        Pool::Bodies => "body_bytes",
        Pool::Answers => "answer_bytes",
    }
}

/// A connection that was admitted.
#[derive(Debug)]
pub struct Admitted {
    /// Its client.
    pub client: Arc<Client>,
    /// Its place among the connections.
    pub connection: Share,
}

/// A client's connection and all that is held for it.
#[derive(Debug)]
pub struct Client {
    shared: Arc<Shared>,
    key: HolderKey,
    evicted: Receiver<()>,
}

impl Client {
    /// Takes a part of a pool.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no room, or this client has to go itself.
    pub async fn take(self: &Arc<Self>, pool: Pool, amount: usize) -> Result<Share, NoRoom> {
        let mut share = self.share(pool);
        share.raise(amount).await?;
        Ok(share)
    }

    /// Starts a part of a pool, of which nothing is taken yet.
    #[must_use]
    pub fn share(self: &Arc<Self>, pool: Pool) -> Share {
        Share {
            client: Arc::clone(self),
            pool,
            amount: 0,
        }
    }

    /// Records what the client does from now on.
    pub fn set_stage(&self, stage: Stage) {
        let now = Instant::now();
        self.shared.state().holdings.set_stage(self.key, stage, now);
    }

    /// Records that all of a request has come.
    ///
    /// # Errors
    ///
    /// Returns an error when the client was told to go before.
    pub fn begin_waiting(&self) -> Result<(), NoRoom> {
        let mut state = self.shared.state();
        if state.holdings.is_evicted(self.key) {
            return Err(NoRoom);
        }
        state
            .holdings
            .set_stage(self.key, Stage::Waiting, Instant::now());
        Ok(())
    }

    /// Records that so many bytes were sent or read.
    pub fn progress(&self, bytes: usize) {
        let mut state = self.shared.state();
        state.holdings.progress(self.key, bytes, Instant::now());
    }

    /// Records for whom and to which service the request is.
    pub fn set_request(&self, organisation: Option<GroupTag>, service: GroupTag) {
        let mut state = self.shared.state();
        state.holdings.set_request(self.key, organisation, service);
    }

    /// Waits until the client has to go.
    pub async fn evicted(&self) {
        // Nothing is ever sent on the channel; it is only closed.
        let _closed = self.evicted.recv().await;
    }

    /// Waits for its turn to read more small chunks.
    pub async fn small_chunks_turn(&self) {
        self.shared.chunk_pace.turn().await;
    }

    /// Returns whether so many bytes fit into a pool that holds nothing else.
    #[must_use]
    pub fn may_fit(&self, pool: Pool, bytes: usize) -> bool {
        bytes <= self.shared.state().holdings.capacity(pool)
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        let mut state = self.shared.state();
        state.holdings.leave(self.key);
        state.signals.remove(self.key);
        state.wake_all();
    }
}

/// A client's part of a pool, which is given back when this is dropped.
#[derive(Debug)]
pub struct Share {
    client: Arc<Client>,
    pool: Pool,
    amount: usize,
}

impl Share {
    /// Takes so much more.
    async fn raise(&mut self, more: usize) -> Result<(), NoRoom> {
        let client = &self.client;
        let granted = poll_fn(|cx| {
            let shared = &client.shared;
            let mut state = shared.state();
            loop {
                if state.holdings.is_evicted(client.key) {
                    return Poll::Ready(Err(NoRoom));
                }
                let now = Instant::now();
                match state.holdings.take(client.key, self.pool, more, now) {
                    Decision::Granted => return Poll::Ready(Ok(())),
                    Decision::Evict(other) => {
                        if let Some(signal) = state.signals.get(other) {
                            signal.close();
                        }
                        state.wake_all();
                        let count = |turned_away: &mut TurnedAway| turned_away.evicted += 1;
                        shared.record_turned_away(&mut state, self.pool, count, "client_evicted");
                    }
                    Decision::Wait => {
                        state.waiting.push(cx.waker().clone());
                        return Poll::Pending;
                    }
                    Decision::Refused => {
                        let count = |turned_away: &mut TurnedAway| turned_away.refused += 1;
                        shared.record_turned_away(&mut state, self.pool, count, "client_refused");
                        return Poll::Ready(Err(NoRoom));
                    }
                }
            }
        });
        granted.await?;
        self.amount += more;
        Ok(())
    }
}

impl ByteHold for Share {
    async fn raise_to(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.amount);
        more == 0 || self.raise(more).await.is_ok()
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        if self.amount == 0 {
            return;
        }
        let mut state = self.client.shared.state();
        state
            .holdings
            .give_back(self.client.key, self.pool, self.amount);
        state.wake_all();
    }
}
