//! Finds out whether this gateway is cut off from all replicas, and when it no longer is.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_io::Timer;
use briarhall_net::Call;
use briarhall_net::HttpClient;
use briarhall_net::timeout;
use briarhall_policy::reach;
use briarhall_policy::reach::RECHECK_INTERVAL;
use compact_str::CompactString;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use futures_lite::future;
use hyper::StatusCode;

use crate::attempt::CONNECT_TIMEOUT;
use crate::state::Shared;

/// Time after which further replicas are tried beside the first.
const NEXT_AFTER: Duration = Duration::from_millis(100);
/// Time limit for an answer to a health check: an engine answers between two passes, of
/// which the longest is far below it.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);
/// Time after an answer in which a requested check is left out: a cut that began since is
/// found by the sends to come.
const ANSWER_PROVES: Duration = Duration::from_secs(1);

/// A replica that is checked.
struct Checked {
    address: SocketAddr,
    health_path: Option<CompactString>,
}

/// Returns whether a replica has answered on a connection opened at `since` or later. If
/// none has, checks the health of some, except the one at `failed` if there is one. With
/// no other replica nothing shows that the links are at fault.
pub async fn reaches_another(
    shared: &Arc<Shared>,
    client: &HttpClient,
    failed: Option<SocketAddr>,
    since: Instant,
) -> bool {
    if shared.state().reach.is_cut_off() {
        return false;
    }
    if shared.state().reach.has_reached_since(since) {
        return true;
    }
    let began = Instant::now();
    let others = drawn(shared, failed);
    if others.is_empty() || reaches_any(shared, client, others).await {
        record_reached(shared, began);
        return true;
    }
    let is_news = shared.state().reach.none_reached(began);
    if is_news {
        shared.metrics.count("cut_off");
        log::warn!(event = "cut_off", cut_off = true; "this gateway reaches no replica");
        shared.request_heartbeat();
    }
    false
}

/// Checks the links of this gateway whenever a send stays without an answer, or the links
/// of another gateway are cut: what has cut them may have cut these too, and without
/// requests nothing else shows it.
pub async fn run_on_request(shared: Arc<Shared>, client: HttpClient, requests: Receiver<()>) {
    while requests.recv().await.is_ok() {
        let now = Instant::now();
        let since = now.checked_sub(ANSWER_PROVES).unwrap_or(now);
        reaches_another(&shared, &client, None, since).await;
    }
}

/// Waits for the head of an answer on a connection opened at `opened_at`, and requests a
/// check of the links when it takes too long and no later send was answered either.
pub async fn await_head<F>(
    shared: &Shared,
    opened_at: Instant,
    predicted: Duration,
    head: F,
) -> F::Output
where
    F: Future,
{
    let mut head = pin!(head);
    if let Ok(head) = timeout(reach::unanswered_limit(predicted), head.as_mut()).await {
        return head;
    }
    let is_answered = shared.state().reach.has_reached_since(opened_at);
    if !is_answered {
        shared.request_link_check();
    }
    head.await
}

/// Tries from time to time, while this gateway is cut off, whether it still is.
pub async fn run(shared: Arc<Shared>, client: HttpClient) {
    loop {
        Timer::after(RECHECK_INTERVAL).await;
        if !shared.state().reach.is_cut_off() {
            continue;
        }
        let began = Instant::now();
        if reaches_any(&shared, &client, drawn(&shared, None)).await {
            record_reached(&shared, began);
        }
    }
}

/// Records that the head of an answer arrived on a connection opened at `opened_at`.
pub fn record_answered(shared: &Shared, opened_at: Instant) {
    shared.state().reach.answered(Instant::now());
    record_reached(shared, opened_at);
}

/// Records that a replica answered on a connection opened at `opened_at`.
fn record_reached(shared: &Shared, opened_at: Instant) {
    let mut state = shared.state();
    if !state.reach.reached(opened_at) {
        return;
    }
    // What failed in the cut was no replica's fault.
    state.health.forget_own();
    drop(state);
    log::warn!(event = "cut_off", cut_off = false; "this gateway reaches replicas again");
    shared.request_heartbeat();
}

fn drawn(shared: &Shared, except: Option<SocketAddr>) -> Vec<Checked> {
    let state = shared.state();
    let others = state.replicas.usable();
    let others = others.filter(|record| !state.evacuations.is_evacuated(&record.zone));
    let others = others.filter(|record| Some(record.address) != except);
    let drawn = reach::checked(others, &mut rand::rng());
    let services = state.current_configuration.iter();
    let services = services.flat_map(|current| &current.configuration.services);
    let services = services.collect::<Vec<_>>();
    let drawn = drawn.into_iter().map(|record| {
        let service = services.iter().find(|spec| spec.name == record.service);
        Checked {
            address: record.address,
            health_path: service.and_then(|spec| spec.health_path.clone()),
        }
    });
    drawn.collect()
}

/// Checks the first of these replicas, and the others soon after or when that fails, and
/// returns whether one answers.
async fn reaches_any(shared: &Shared, client: &HttpClient, replicas: Vec<Checked>) -> bool {
    let mut replicas = replicas.into_iter();
    let Some(first) = replicas.next() else {
        return false;
    };
    let mut trying = FuturesUnordered::new();
    trying.push(answers(shared, client, first));
    let early = async { trying.next().await == Some(true) };
    let late = async {
        Timer::after(NEXT_AFTER).await;
        false
    };
    if future::or(early, late).await {
        return true;
    }
    trying.extend(replicas.map(|replica| answers(shared, client, replica)));
    while let Some(reached) = trying.next().await {
        if reached {
            return true;
        }
    }
    false
}

/// Returns whether a replica answers a health check or, without one, accepts a connection.
async fn answers(shared: &Shared, client: &HttpClient, replica: Checked) -> bool {
    let Checked {
        address,
        health_path,
    } = replica;
    let Some(path) = health_path else {
        let connected = client.check_listening(address, CONNECT_TIMEOUT).await;
        return connected.is_ok();
    };
    shared.metrics.count("reach_check");
    let reply = client.send(Call::get(address, path), ANSWER_TIMEOUT).await;
    reply.is_ok_and(|reply| !may_come_from_between(reply.status()))
}

/// Returns whether proxies answer with this status when they cannot reach their server.
fn may_come_from_between(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::BAD_GATEWAY | StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
    )
}
