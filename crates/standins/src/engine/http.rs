//! The engine's HTTP interface and the loop that advances its time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use async_channel::Receiver;
use async_io::Timer;
use briarhall_endpoint::wire::CompletionCall;
use briarhall_endpoint::wire::Frame;
use briarhall_endpoint::wire::Holding;
use briarhall_endpoint::wire::HoldingKind;
use briarhall_endpoint::wire::KvExport;
use briarhall_endpoint::wire::KvPart;
use briarhall_endpoint::wire::Ledger;
use briarhall_endpoint::wire::Order;
use briarhall_endpoint::wire::PrefillCall;
use briarhall_endpoint::wire::ReserveCall;
use briarhall_net::Body;
use briarhall_net::BodySender;
use briarhall_net::Call;
use briarhall_net::Executor;
use briarhall_net::Handler;
use briarhall_net::HttpClient;
use briarhall_net::event;
use briarhall_net::json;
use briarhall_net::read_limited;
use briarhall_net::status;
use briarhall_types::LoadReport;
use briarhall_types::estimate_tokens;
use bytes::Bytes;
use compact_str::CompactString;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;

use super::cache::block_chain;
use super::model::Model;
use super::simulation::Limits;
use super::simulation::Refusal;
use super::simulation::Submission;
use super::state::CacheEvent;
use super::state::Ownership;
use super::state::State;
use super::state::Stream;
use super::text::token_text;

const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// A prompt with this text makes the engine's process exit when it is prefilled.
const CRASH_TEXT: &str = "<<crash-engine>>";
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(50);
const PEER_TIMEOUT: Duration = Duration::from_secs(2);
const MIN_SLEEP: Duration = Duration::from_micros(200);

/// How the engine behaves.
#[derive(Debug, Clone, Copy)]
pub struct EngineOptions {
    /// Engine that is simulated.
    pub model: Model,
    /// Sizes.
    pub limits: Limits,
    /// Simulated seconds per real second.
    pub time_scale: f64,
    /// Real time by which load reports lag.
    pub report_lag: Duration,
    /// Whether orders with an old fencing token are refused.
    pub checks_fencing: bool,
    /// Percentage of cache events that are never published.
    pub lost_events_percent: u64,
}

/// Handles the engine's calls.
#[derive(Debug, Clone)]
pub struct EngineHandler {
    options: EngineOptions,
    executor: Executor,
    client: HttpClient,
    incarnation: u64,
    state: Arc<Mutex<State>>,
}

impl EngineHandler {
    /// Creates an idle engine.
    #[must_use]
    pub fn new(options: EngineOptions, executor: &Executor) -> Self {
        let state = State::new(&options);
        let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let nanos = since_epoch.map_or(0, |d| d.as_nanos());
        Self {
            options,
            executor: executor.clone(),
            client: HttpClient::new(executor.clone()),
            incarnation: u64::try_from(nanos).unwrap_or(u64::MAX),
            state: Arc::new(Mutex::new(state)),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs the simulation's passes at the configured time scale, forever.
    pub async fn run_clock(self) {
        loop {
            let pass = self.state().simulation.begin_pass();
            self.record_load();
            let Some(duration) = pass else {
                self.wait_for_work().await;
                continue;
            };
            let real = duration.div_f64(self.options.time_scale);
            Timer::after(real.max(MIN_SLEEP)).await;
            self.finish_pass();
        }
    }

    async fn wait_for_work(&self) {
        let (tx, rx) = async_channel::bounded(1);
        self.state().clock_wake = Some(tx);
        // Load must be recorded while idle too, so this also returns periodically.
        let _woken_or_idle = briarhall_net::timeout(IDLE_POLL_INTERVAL, rx.recv()).await;
    }

    fn finish_pass(&self) {
        let mut state = self.state();
        let progress = state.simulation.end_pass();
        for p in progress {
            state.apply_progress(p, self.options.lost_events_percent);
        }
    }

    fn record_load(&self) {
        let mut state = self.state();
        let report = LoadReport {
            draining: state.draining,
            incarnation: self.incarnation,
            ..state.simulation.load()
        };
        state.history.record(report, Instant::now());
    }

    async fn route(&self, req: Request<Incoming>) -> Response<Body> {
        let method = req.method().clone();
        let path = req.uri().path().to_owned();
        let query = req.uri().query().unwrap_or_default().to_owned();
        let header = |name: &str| {
            let value = req.headers().get(name)?.to_str().ok()?;
            Some(CompactString::from(value))
        };
        let attempt = header("x-request-id");
        let owner = header("x-owner").unwrap_or_default();
        let lease = header("x-lease-ms").and_then(|text| text.parse().ok());
        let lease = Duration::from_millis(lease.unwrap_or(60_000));
        let Ok(body) = read_limited(req.into_body(), MAX_BODY_BYTES).await else {
            return status(StatusCode::PAYLOAD_TOO_LARGE);
        };
        let parts = path.trim_start_matches('/').split('/').collect::<Vec<_>>();
        match (&method, parts.as_slice()) {
            (&Method::POST, ["v1", "completions"]) => {
                let Some(id) = attempt else {
                    return refuse(StatusCode::BAD_REQUEST, "x-request-id is missing");
                };
                self.complete(id, owner, lease, &body).await
            }
            (&Method::GET, ["v1", "requests", id, "stream"]) => {
                let from = query.strip_prefix("from=").and_then(|n| n.parse().ok());
                self.stream(CompactString::from(*id), from.unwrap_or(0))
            }
            (&Method::POST, ["v1", "requests", id, "renew"]) => self.renew(id, lease),
            (&Method::DELETE, ["v1", "requests", id]) => self.cancel(id),
            (&Method::POST, ["v1", "reservations"]) => match serde_json::from_slice(&body) {
                Ok(call) => self.reserve(call),
                Err(e) => refuse(StatusCode::BAD_REQUEST, &e.to_string()),
            },
            (&Method::GET, ["v1", "reservations", name]) => self.reservation(name),
            (&Method::POST, ["v1", "reservations", name, "renew"]) => self.renew(name, lease),
            (&Method::DELETE, ["v1", "reservations", name]) => self.release(name),
            (&Method::POST, ["v1", "reservations", name, "prefill"]) => {
                match serde_json::from_slice(&body) {
                    Ok(call) => self.prefill(name, call).await,
                    Err(e) => refuse(StatusCode::BAD_REQUEST, &e.to_string()),
                }
            }
            (&Method::GET, ["v1", "reservations", name, "kv"]) => self.export_kv(name),
            (&Method::POST, ["v1", "reservations", name, "kv"]) => {
                match serde_json::from_slice(&body) {
                    Ok(export) => self.import_kv(name, &export),
                    Err(e) => refuse(StatusCode::BAD_REQUEST, &e.to_string()),
                }
            }
            (&Method::GET, ["v1", "load"]) => self.load(),
            (&Method::GET, ["v1", "holdings"]) => self.holdings(),
            (&Method::GET, ["v1", "events"]) => self.events(&query),
            (&Method::GET, ["v1", "ledger"]) => self.ledger(),
            (&Method::GET, ["v1", "taken", digest]) => {
                let digest = blake3::Hash::from_hex(digest);
                let accepted =
                    digest.is_ok_and(|digest| self.state().accepted_prompts.contains(&digest));
                json(StatusCode::OK, &accepted)
            }
            (&Method::POST, ["v1", "orders"]) => match serde_json::from_slice(&body) {
                Ok(order) => self.accept_order(order),
                Err(e) => refuse(StatusCode::BAD_REQUEST, &e.to_string()),
            },
            (&Method::POST, ["v1", "control", "leave"]) => {
                self.state().draining = true;
                status(StatusCode::OK)
            }
            _ => status(StatusCode::NOT_FOUND),
        }
    }

    async fn complete(
        &self,
        id: CompactString,
        owner: CompactString,
        lease: Duration,
        body: &[u8],
    ) -> Response<Body> {
        let call = match serde_json::from_slice::<CompletionCall>(body) {
            Ok(call) => call,
            Err(e) => return refuse(StatusCode::BAD_REQUEST, &e.to_string()),
        };
        if self.state().draining {
            return refuse(StatusCode::SERVICE_UNAVAILABLE, "leaving");
        }
        let held_elsewhere = match self.parts_prefilled(&call.kv_parts).await {
            Ok(tokens) => tokens,
            Err(reply) => return reply,
        };
        if let Err(refusal) = self.submit(&id, owner, lease, &call, held_elsewhere) {
            return from_refusal(refusal);
        }
        self.stream(id, call.resume_from)
    }

    fn submit(
        &self,
        id: &CompactString,
        owner: CompactString,
        lease: Duration,
        call: &CompletionCall,
        held_elsewhere: u64,
    ) -> Result<(), Refusal> {
        let chain = block_chain(call.prompt.as_bytes());
        let digest = blake3::hash(call.prompt.as_bytes());
        let prompt_tokens = estimate_tokens(call.prompt.len());
        let mut state = self.state();
        let held_here = call.reservation.as_ref().map_or(0, |name| {
            let reservation = state.simulation.reservations().get(name);
            reservation.map_or(0, |r| r.prefilled)
        });
        state.simulation.submit(Submission {
            id: id.clone(),
            priority: call.priority,
            prompt_tokens: prompt_tokens.saturating_sub(held_elsewhere + held_here),
            whole_tokens: prompt_tokens,
            max_tokens: call.max_tokens,
            resume_from: call.resume_from,
            reservation: call.reservation.clone(),
            chain,
        })?;
        let stream = Stream {
            digest,
            crashes: call.prompt.contains(CRASH_TEXT),
            produced: call.resume_from,
            done: false,
            wake: None,
        };
        state.accepted_prompts.insert(digest);
        state.streams.insert(id.clone(), stream);
        let expires_at = Instant::now() + lease;
        state
            .owners
            .insert(id.clone(), Ownership { owner, expires_at });
        state.clock_wake = None;
        Ok(())
    }

    /// Returns the number of tokens that other engines have prefilled for the
    /// prompt.
    async fn parts_prefilled(&self, parts: &[KvPart]) -> Result<u64, Response<Body>> {
        let mut tokens = 0;
        for part in parts {
            let path = format!("/v1/reservations/{}", part.reservation);
            let call = Call::get(part.address, path);
            let held = self.client.fetch::<Holding>(call, PEER_TIMEOUT).await;
            let held = held.map_err(|e| refuse(StatusCode::CONFLICT, &e.to_string()))?;
            tokens += held.prefilled;
        }
        Ok(tokens)
    }

    fn stream(&self, id: CompactString, from: u64) -> Response<Body> {
        if !self.state().streams.contains_key(&id) {
            return refuse(StatusCode::NOT_FOUND, "no such request");
        }
        let (tx, body) = Body::channel();
        let engine = self.clone();
        self.executor.detach(engine.write_stream(id, from, tx));
        let mut reply = Response::new(body);
        let media_type = HeaderValue::from_static("text/event-stream");
        reply.headers_mut().insert(CONTENT_TYPE, media_type);
        reply
    }

    async fn write_stream(self, id: CompactString, from: u64, tx: BodySender) {
        let mut next = from;
        loop {
            let Some((digest, produced, done, changed)) = self.watch_stream(&id) else {
                return;
            };
            while next < produced {
                let frame = Frame {
                    id: id.clone(),
                    index: next,
                    text: token_text(&digest, next),
                    finish_reason: None,
                };
                if tx.send(event(&frame)).await.is_err() {
                    return;
                }
                next += 1;
            }
            if done {
                break;
            }
            // Woken by progress, by another reader, or by a cancel.
            let _woken = changed.recv().await;
        }
        let end = Frame {
            id,
            index: next,
            text: String::new(),
            finish_reason: Some(CompactString::from("length")),
        };
        if tx.send(event(&end)).await.is_ok()
            && tx
                .send(Bytes::from_static(b"data: [DONE]\n\n"))
                .await
                .is_ok()
        {
            tx.finish().await;
        }
    }

    fn watch_stream(&self, id: &str) -> Option<(blake3::Hash, u64, bool, Receiver<()>)> {
        let mut state = self.state();
        let stream = state.streams.get_mut(id)?;
        let (tx, rx) = async_channel::bounded(1);
        stream.wake = Some(tx);
        Some((stream.digest, stream.produced, stream.done, rx))
    }

    fn cancel(&self, id: &str) -> Response<Body> {
        let mut state = self.state();
        state.streams.remove(id);
        state.owners.remove(id);
        let known = state.simulation.cancel(id);
        status(if known {
            StatusCode::OK
        } else {
            StatusCode::NOT_FOUND
        })
    }

    fn renew(&self, name: &str, lease: Duration) -> Response<Body> {
        let mut state = self.state();
        match state.owners.get_mut(name) {
            Some(ownership) => {
                ownership.expires_at = Instant::now() + lease;
                status(StatusCode::OK)
            }
            None => status(StatusCode::NOT_FOUND),
        }
    }

    fn reserve(&self, call: ReserveCall) -> Response<Body> {
        let mut state = self.state();
        if state.draining {
            return refuse(StatusCode::SERVICE_UNAVAILABLE, "leaving");
        }
        let reserved = state
            .simulation
            .reserve(call.name.clone(), call.tokens, call.owner.clone());
        match reserved {
            Ok(()) => {
                let expires_at = Instant::now() + Duration::from_millis(call.lease_ms);
                let owner = call.owner;
                state
                    .owners
                    .insert(call.name, Ownership { owner, expires_at });
                status(StatusCode::CREATED)
            }
            Err(refusal) => from_refusal(refusal),
        }
    }

    fn reservation(&self, name: &str) -> Response<Body> {
        let state = self.state();
        match state.simulation.reservations().get(name) {
            Some(held) => json(
                StatusCode::OK,
                &Holding {
                    name: CompactString::from(name),
                    kind: HoldingKind::Reservation,
                    tokens: held.tokens,
                    prefilled: held.prefilled,
                    owner: held.owner.clone(),
                    lease_left_ms: state.lease_left_ms(name),
                },
            ),
            None => status(StatusCode::NOT_FOUND),
        }
    }

    fn release(&self, name: &str) -> Response<Body> {
        let mut state = self.state();
        state.streams.remove(name);
        state.owners.remove(name);
        let known = state.simulation.release(name);
        status(if known {
            StatusCode::OK
        } else {
            StatusCode::NOT_FOUND
        })
    }

    fn export_kv(&self, name: &str) -> Response<Body> {
        let state = self.state();
        match state.simulation.reservations().get(name) {
            Some(held) => json(
                StatusCode::OK,
                &KvExport {
                    tokens: held.prefilled,
                },
            ),
            None => status(StatusCode::NOT_FOUND),
        }
    }

    fn import_kv(&self, name: &str, export: &KvExport) -> Response<Body> {
        match self.state().simulation.import(name, export.tokens) {
            Ok(()) => status(StatusCode::OK),
            Err(refusal) => from_refusal(refusal),
        }
    }

    /// Replies when the part is prefilled.
    async fn prefill(&self, name: &str, call: PrefillCall) -> Response<Body> {
        let id = CompactString::from(name);
        let submitted = self.submit_part(&id, &call);
        match submitted {
            Ok(()) | Err(Refusal::Duplicate) => {}
            Err(refusal) => return from_refusal(refusal),
        }
        loop {
            let Some((_, _, done, changed)) = self.watch_stream(&id) else {
                return refuse(StatusCode::CONFLICT, "the reservation was released");
            };
            if done {
                return status(StatusCode::OK);
            }
            let _woken = changed.recv().await;
        }
    }

    fn submit_part(&self, id: &CompactString, call: &PrefillCall) -> Result<(), Refusal> {
        let mut state = self.state();
        if state.streams.contains_key(id) {
            return Err(Refusal::Duplicate);
        }
        state.simulation.submit(Submission {
            id: id.clone(),
            priority: call.priority,
            prompt_tokens: call.tokens,
            whole_tokens: call.whole_tokens.max(call.tokens),
            max_tokens: 0,
            resume_from: 0,
            reservation: Some(id.clone()),
            chain: Vec::new(),
        })?;
        let stream = Stream {
            digest: blake3::hash(b""),
            crashes: false,
            produced: 0,
            done: false,
            wake: None,
        };
        state.streams.insert(id.clone(), stream);
        state.clock_wake = None;
        Ok(())
    }

    fn load(&self) -> Response<Body> {
        let state = self.state();
        match state.history.lagged(Instant::now()) {
            Some(report) => json(StatusCode::OK, report),
            None => status(StatusCode::SERVICE_UNAVAILABLE),
        }
    }

    fn holdings(&self) -> Response<Body> {
        let state = self.state();
        let reservations = state.simulation.reservations().iter();
        let mut holdings = reservations
            .map(|(name, held)| Holding {
                name: name.clone(),
                kind: HoldingKind::Reservation,
                tokens: held.tokens,
                prefilled: held.prefilled,
                owner: held.owner.clone(),
                lease_left_ms: state.lease_left_ms(name),
            })
            .collect::<Vec<_>>();
        let running = state.simulation.running().map(|(id, tokens)| Holding {
            name: id.clone(),
            kind: HoldingKind::Request,
            tokens,
            prefilled: 0,
            owner: state
                .owners
                .get(id)
                .map_or_else(CompactString::default, |o| o.owner.clone()),
            lease_left_ms: state.lease_left_ms(id),
        });
        holdings.extend(running);
        json(StatusCode::OK, &holdings)
    }

    fn events(&self, query: &str) -> Response<Body> {
        let after = query.strip_prefix("after=").and_then(|n| n.parse().ok());
        let after: u64 = after.unwrap_or(0);
        let state = self.state();
        let lag = self.options.report_lag;
        let is_visible = |e: &&CacheEvent| e.at.elapsed() >= lag;
        let events = state.events.iter().filter(|e| e.number > after);
        let events = events.filter(is_visible);
        json(StatusCode::OK, &events.cloned().collect::<Vec<_>>())
    }

    fn ledger(&self) -> Response<Body> {
        let state = self.state();
        let counts = state.simulation.counts();
        let load = state.simulation.load();
        json(
            StatusCode::OK,
            &Ledger {
                started: counts.started,
                finished: counts.finished,
                kv_used: load.kv_used,
                kv_peak: counts.kv_peak,
                requests: load.requests,
                reservations: state.simulation.reservations().len() as u64,
                orders: state.orders.clone(),
                cached_tokens: counts.cached_tokens,
            },
        )
    }

    fn accept_order(&self, order: Order) -> Response<Body> {
        let mut state = self.state();
        if self.options.checks_fencing && order.fencing_token < state.fencing_token {
            return refuse(StatusCode::PRECONDITION_FAILED, "old fencing number");
        }
        state.fencing_token = state.fencing_token.max(order.fencing_token);
        state.orders.push(order);
        status(StatusCode::OK)
    }
}

fn refuse(code: StatusCode, reason: &str) -> Response<Body> {
    let mut reply = Response::new(Body::full(reason.to_owned()));
    *reply.status_mut() = code;
    reply
}

fn from_refusal(refusal: Refusal) -> Response<Body> {
    let code = match refusal {
        Refusal::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
        Refusal::QueueFull => StatusCode::TOO_MANY_REQUESTS,
        Refusal::NoMemory => StatusCode::INSUFFICIENT_STORAGE,
        Refusal::Duplicate | Refusal::NoReservation => StatusCode::CONFLICT,
    };
    refuse(code, &refusal.to_string())
}

impl Handler for EngineHandler {
    async fn handle(&self, req: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        self.route(req).await
    }
}
