//! One call to the plain service, which must not have its effect twice.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use briarhall_net::Call;
use briarhall_net::read_limited;
use briarhall_net::timeout;
use briarhall_standins::service::Receipt;
use briarhall_types::Outcome;
use serde_json::json;

use super::Caller;
use super::Verdict;
use crate::site::SERVICE;

const MAX_REPLY_BYTES: usize = 256 * 1024;

/// A verdict and how long it took.
#[derive(Debug, Clone)]
pub struct TopUp {
    /// The verdict.
    pub verdict: Verdict,
    /// Time to the end.
    pub total: Duration,
}

/// Tops up once under an idempotency key.
pub async fn top_up(caller: &Caller, address: SocketAddr, key: &str) -> TopUp {
    let started = Instant::now();
    let body = json!({ "vessel": key, "minutes": 30 });
    let call = Call::post(address, format!("/services/{SERVICE}/topups"))
        .header("authorization", caller.authorization())
        .header("idempotency-key", key)
        .json(&body);
    let exchange = exchange(caller, call, key, body.to_string());
    let verdict = match timeout(caller.patience, exchange).await {
        Ok(verdict) => verdict,
        Err(_elapsed) => Verdict::Lost("no final answer in time".to_owned()),
    };
    TopUp {
        verdict,
        total: started.elapsed(),
    }
}

async fn exchange(caller: &Caller, call: Call, key: &str, sent: String) -> Verdict {
    let reply = match caller.client.send(call, caller.call_limit).await {
        Ok(reply) => reply,
        Err(e) => return Verdict::Lost(e.to_string()),
    };
    let status = reply.status().as_u16();
    let outcome = reply.headers().get(Outcome::HEADER);
    let outcome = outcome.and_then(|v| Outcome::from_text(v.to_str().ok()?));
    let text = match read_limited(reply.into_body(), MAX_REPLY_BYTES).await {
        Ok(text) => text,
        Err(e) => return Verdict::Lost(e.to_string()),
    };
    match outcome {
        Some(Outcome::Answered) => match serde_json::from_slice::<Receipt>(&text) {
            Ok(receipt) if receipt.key == key && receipt.echo == sent => Verdict::Answered,
            _ => Verdict::Crossed,
        },
        Some(Outcome::NotRun) => Verdict::NotRun(status),
        Some(Outcome::Unknown) => Verdict::Unknown(status),
        None => Verdict::Lost("an answer without an outcome".to_owned()),
    }
}
