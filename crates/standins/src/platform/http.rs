//! The stand-in's HTTP interface.

use std::collections::BTreeMap;
use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use briarhall_net::Body;
use briarhall_net::Handler;
use briarhall_net::json;
use briarhall_net::read_limited;
use briarhall_net::status;
use briarhall_net::timeout;
use briarhall_objects::ConflictReply;
use briarhall_objects::WatchReply;
use briarhall_objects::Written;
use briarhall_types::EndpointRecord;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use super::Condition;
use super::Faults;
use super::Outage;
use super::RateLimit;
use super::Store;
use super::WriteError;
use super::vms::Vms;

const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
const MAX_WATCH_WAIT: Duration = Duration::from_mins(1);

/// Rate limits and lag of the stand-in.
#[derive(Debug, Clone, Copy)]
pub struct PlatformOptions {
    /// Writes per second.
    pub writes_per_second: f64,
    /// Reads and watches per second.
    pub reads_per_second: f64,
    /// Bytes per second from the weight store.
    pub weight_bytes_per_second: f64,
    /// Lag of the list of VMs.
    pub vm_lag: Duration,
}

/// Counts of calls since the start.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Stats {
    /// Reads.
    pub reads: u64,
    /// Writes that took effect.
    pub writes: u64,
    /// Writes rejected because their condition did not hold.
    pub conflicts: u64,
    /// Watches.
    pub watches: u64,
    /// Calls rejected by a rate limit.
    pub limited: u64,
    /// Writes that took effect, by kind.
    pub writes_by_kind: BTreeMap<String, u64>,
}

#[derive(Debug)]
struct State {
    store: Store,
    vms: Vms,
    faults: Faults,
    writes: RateLimit,
    reads: RateLimit,
    weights: RateLimit,
    stats: Stats,
    watchers: Vec<Sender<()>>,
    loss_counter: u64,
}

/// Handles the platform's calls.
#[derive(Debug, Clone)]
pub struct PlatformHandler {
    options: PlatformOptions,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Deserialize)]
struct VmChange {
    name: String,
    record: Option<EndpointRecord>,
}

#[derive(Debug, Deserialize)]
struct WeightCall {
    bytes: u64,
}

impl PlatformHandler {
    /// Creates an empty platform.
    #[must_use]
    pub fn new(options: PlatformOptions) -> Self {
        let now = Instant::now();
        let state = State {
            store: Store::default(),
            vms: Vms::default(),
            faults: Faults::default(),
            writes: RateLimit::new(options.writes_per_second, now),
            reads: RateLimit::new(options.reads_per_second, now),
            weights: RateLimit::new(options.weight_bytes_per_second, now),
            stats: Stats::default(),
            watchers: Vec::new(),
            loss_counter: 0,
        };
        Self {
            options,
            state: Arc::new(Mutex::new(state)),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn route(&self, req: Request<Incoming>) -> Response<Body> {
        let method = req.method().clone();
        let path = req.uri().path().to_owned();
        let query = req.uri().query().unwrap_or_default().to_owned();
        let parts = path.trim_start_matches('/').split('/').collect::<Vec<_>>();
        let body = match read_limited(req.into_body(), MAX_BODY_BYTES).await {
            Ok(body) => body,
            Err(_e) => return status(StatusCode::PAYLOAD_TOO_LARGE),
        };
        if let ["v1", "control", action] = parts.as_slice() {
            return self.control(action, &method, &body);
        }
        if let Some(refusal) = self.inject_fault().await {
            return refusal;
        }
        match (&method, parts.as_slice()) {
            (&Method::GET, ["v1", "objects", kind]) => self.list(kind, &query),
            (&Method::GET, ["v1", "objects", kind, name]) => self.get(kind, name),
            (&Method::PUT, ["v1", "objects", kind, name]) => {
                let Ok(value) = serde_json::from_slice(&body) else {
                    return status(StatusCode::BAD_REQUEST);
                };
                self.write(kind, name, &query, Some(value)).await
            }
            (&Method::DELETE, ["v1", "objects", kind, name]) => {
                self.write(kind, name, &query, None).await
            }
            (&Method::GET, ["v1", "watch", kind]) => self.watch(kind, &query).await,
            (&Method::GET, ["v1", "vms"]) => self.vms(),
            (&Method::POST, ["v1", "weights", _model]) => self.weights(&body),
            _ => status(StatusCode::NOT_FOUND),
        }
    }

    fn control(&self, action: &str, method: &Method, body: &[u8]) -> Response<Body> {
        let mut state = self.state();
        match (method, action) {
            (&Method::GET, "stats") => json(StatusCode::OK, &state.stats),
            (&Method::POST, "faults") => match serde_json::from_slice(body) {
                Ok(faults) => {
                    state.faults = faults;
                    json(StatusCode::OK, &faults)
                }
                Err(_e) => status(StatusCode::BAD_REQUEST),
            },
            (&Method::POST, "vms") => match serde_json::from_slice::<VmChange>(body) {
                Ok(change) => {
                    let lag = self.options.vm_lag;
                    let name = change.name.into();
                    state.vms.change(name, change.record, lag, Instant::now());
                    status(StatusCode::OK)
                }
                Err(_e) => status(StatusCode::BAD_REQUEST),
            },
            _ => status(StatusCode::NOT_FOUND),
        }
    }

    async fn inject_fault(&self) -> Option<Response<Body>> {
        let faults = self.state().faults;
        if faults.slow_ms > 0 {
            Timer::after(Duration::from_millis(faults.slow_ms)).await;
        }
        match faults.outage {
            Outage::None => None,
            Outage::Refuse => Some(status(StatusCode::SERVICE_UNAVAILABLE)),
            Outage::Hang => pending().await,
        }
    }

    #[expect(
        clippy::result_large_err,
        reason = "the error is the HTTP response itself"
    )]
    fn admit_read(&self) -> Result<MutexGuard<'_, State>, Response<Body>> {
        let mut state = self.state();
        if let Err(wait) = state.reads.take(1.0, Instant::now()) {
            state.stats.limited += 1;
            return Err(limited(wait));
        }
        state.stats.reads += 1;
        Ok(state)
    }

    fn list(&self, kind: &str, query: &str) -> Response<Body> {
        let state = match self.admit_read() {
            Ok(state) => state,
            Err(refusal) => return refusal,
        };
        let at_least = query_number(query, "at_least").unwrap_or(0);
        let max_lag = state.store.revision().saturating_sub(at_least);
        let lag = state.faults.stale_by.min(max_lag);
        json(StatusCode::OK, &state.store.list(kind, lag))
    }

    fn get(&self, kind: &str, name: &str) -> Response<Body> {
        let state = match self.admit_read() {
            Ok(state) => state,
            Err(refusal) => return refusal,
        };
        if state.faults.stale_by > 0 {
            let listing = state.store.list(kind, state.faults.stale_by);
            return match listing.items.iter().find(|object| object.name == name) {
                Some(object) => json(StatusCode::OK, object),
                None => status(StatusCode::NOT_FOUND),
            };
        }
        match state.store.get(kind, name) {
            Some(object) => json(StatusCode::OK, object),
            None => status(StatusCode::NOT_FOUND),
        }
    }

    async fn write(
        &self,
        kind: &str,
        name: &str,
        query: &str,
        value: Option<Value>,
    ) -> Response<Body> {
        let Some(condition) = condition(query) else {
            return status(StatusCode::BAD_REQUEST);
        };
        let (reply, lost) = self.apply(kind, name, condition, value);
        if lost {
            return pending().await;
        }
        reply
    }

    fn apply(
        &self,
        kind: &str,
        name: &str,
        condition: Condition,
        value: Option<Value>,
    ) -> (Response<Body>, bool) {
        let mut state = self.state();
        if let Err(wait) = state.writes.take(1.0, Instant::now()) {
            state.stats.limited += 1;
            return (limited(wait), false);
        }
        let written = match value {
            Some(value) => state.store.put(kind, name, condition, value),
            None => state.store.delete(kind, name, condition),
        };
        match written {
            Ok(version) => {
                state.stats.writes += 1;
                *state
                    .stats
                    .writes_by_kind
                    .entry(kind.to_owned())
                    .or_default() += 1;
                state.watchers.clear();
                // 37 and 100 have no common divisor, so the counter takes each value
                // from 0 to 99 once in 100 writes and exactly the given percentage
                // is lost.
                state.loss_counter = (state.loss_counter + 37) % 100;
                let lost = state.loss_counter < u64::from(state.faults.lost_answers_percent);
                (json(StatusCode::OK, &Written { version }), lost)
            }
            Err(WriteError::Conflict(current)) => {
                state.stats.conflicts += 1;
                (
                    json(StatusCode::CONFLICT, &ConflictReply { current }),
                    false,
                )
            }
            Err(WriteError::TooLarge) => (status(StatusCode::PAYLOAD_TOO_LARGE), false),
        }
    }

    async fn watch(&self, kind: &str, query: &str) -> Response<Body> {
        match self.admit_read() {
            Ok(mut state) => state.stats.watches += 1,
            Err(refusal) => return refusal,
        }
        let since = query_number(query, "since").unwrap_or(0);
        let wait =
            Duration::from_millis(query_number(query, "wait_ms").unwrap_or(0)).min(MAX_WATCH_WAIT);
        let end = Instant::now() + wait;
        let lost_watches = self.state().faults.lost_watches;
        loop {
            if self.state().faults.lost_watches != lost_watches {
                return futures_lite::future::pending().await;
            }
            let changed = {
                let mut state = self.state();
                let Some(changes) = state.store.changes(kind, since) else {
                    return status(StatusCode::GONE);
                };
                if !changes.is_empty() || Instant::now() >= end {
                    let revision = state.store.revision();
                    let reply = WatchReply {
                        revision,
                        era: 0,
                        changes,
                    };
                    return json(StatusCode::OK, &reply);
                }
                subscribe(&mut state)
            };
            let left = end.saturating_duration_since(Instant::now());
            // After a change or a timeout alike, the loop checks again.
            let _woken = timeout(left, changed.recv()).await;
            if self.state().faults.outage != Outage::None {
                return status(StatusCode::SERVICE_UNAVAILABLE);
            }
        }
    }

    fn vms(&self) -> Response<Body> {
        match self.admit_read() {
            Ok(mut state) => json(StatusCode::OK, &state.vms.list(Instant::now())),
            Err(refusal) => refusal,
        }
    }

    fn weights(&self, body: &[u8]) -> Response<Body> {
        let Ok(call) = serde_json::from_slice::<WeightCall>(body) else {
            return status(StatusCode::BAD_REQUEST);
        };
        #[expect(
            clippy::cast_precision_loss,
            reason = "weights are far below 2^52 bytes"
        )]
        let bytes = call.bytes as f64;
        match self.state().weights.take(bytes, Instant::now()) {
            Ok(()) => json(StatusCode::OK, &()),
            Err(wait) => limited(wait),
        }
    }
}

fn subscribe(state: &mut State) -> Receiver<()> {
    // Clearing the list of senders closes the channels, which wakes every watch.
    let (tx, rx) = async_channel::bounded(1);
    state.watchers.push(tx);
    rx
}

fn limited(wait: Duration) -> Response<Body> {
    let mut reply = status(StatusCode::TOO_MANY_REQUESTS);
    let seconds = wait.as_secs() + 1;
    reply
        .headers_mut()
        .insert(RETRY_AFTER, HeaderValue::from(seconds));
    reply
}

fn query_parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

fn query_number(query: &str, name: &str) -> Option<u64> {
    query_parameter(query, name)?.parse().ok()
}

fn condition(query: &str) -> Option<Condition> {
    match query_parameter(query, "if") {
        None => Some(Condition::Any),
        Some("absent") => Some(Condition::Absent),
        Some(version) => version.parse().ok().map(Condition::Version),
    }
}

impl Handler for PlatformHandler {
    async fn handle(&self, req: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        self.route(req).await
    }
}
