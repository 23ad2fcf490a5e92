//! Finds out whether this gateway is cut off from all replicas, and when it no longer is.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_io::Timer;
use briarhall_net::HttpClient;
use briarhall_policy::reach;
use briarhall_policy::reach::RECHECK_INTERVAL;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use futures_lite::future;

use crate::attempt::CONNECT_TIMEOUT;
use crate::state::Shared;

/// Time after which further replicas are tried beside the first.
const NEXT_AFTER: Duration = Duration::from_millis(100);

/// Tries to connect to replicas, except the one at `failed` if there is one, and returns
/// whether one could be reached. With no other replica nothing shows that the links are at fault.
pub async fn reaches_another(
    shared: &Arc<Shared>,
    client: &HttpClient,
    failed: Option<SocketAddr>,
) -> bool {
    if shared.state().reach.is_cut_off() {
        return false;
    }
    let began = Instant::now();
    let others = drawn(shared, failed);
    if others.is_empty() || reaches_any(client, others).await {
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

/// Checks the links of this gateway whenever those of another one are cut: what has cut
/// them may have cut these too, and without requests nothing else shows it.
pub async fn run_on_request(shared: Arc<Shared>, client: HttpClient, requests: Receiver<()>) {
    while requests.recv().await.is_ok() {
        reaches_another(&shared, &client, None).await;
    }
}

/// Tries from time to time, while this gateway is cut off, whether it still is.
pub async fn run(shared: Arc<Shared>, client: HttpClient) {
    loop {
        Timer::after(RECHECK_INTERVAL).await;
        if !shared.state().reach.is_cut_off() {
            continue;
        }
        let began = Instant::now();
        if reaches_any(&client, drawn(&shared, None)).await {
            record_reached(&shared, began);
        }
    }
}

/// Records that a replica was reached on a connection opened at `opened_at`.
pub fn record_reached(shared: &Shared, opened_at: Instant) {
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

fn drawn(shared: &Shared, except: Option<SocketAddr>) -> Vec<SocketAddr> {
    let state = shared.state();
    let others = state.replicas.usable();
    let others = others.filter(|record| !state.evacuations.is_evacuated(&record.zone));
    let others = others.map(|record| record.address);
    let others = others.filter(|address| Some(*address) != except);
    reach::checked(others, &mut rand::rng())
}

/// Tries to connect to the first of these addresses, and to the others soon after or when
/// that fails, and returns whether one accepts.
async fn reaches_any(client: &HttpClient, addresses: Vec<SocketAddr>) -> bool {
    let mut addresses = addresses.into_iter();
    let Some(first) = addresses.next() else {
        return false;
    };
    let mut trying = FuturesUnordered::new();
    trying.push(accepts(client, first));
    let early = async { trying.next().await == Some(true) };
    let late = async {
        Timer::after(NEXT_AFTER).await;
        false
    };
    if future::or(early, late).await {
        return true;
    }
    trying.extend(addresses.map(|address| accepts(client, address)));
    while let Some(reached) = trying.next().await {
        if reached {
            return true;
        }
    }
    false
}

async fn accepts(client: &HttpClient, address: SocketAddr) -> bool {
    let connected = client.check_listening(address, CONNECT_TIMEOUT).await;
    connected.is_ok()
}
