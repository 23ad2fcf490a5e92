//! A call to the plain service, whose effect must not take place twice.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use briarhall_net::Call;
use briarhall_net::read_limited;
use briarhall_net::timeout;
use briarhall_standins::service::Receipt;
use briarhall_types::Outcome;
use serde_json::json;

use super::CallOutcome;
use super::Caller;
use crate::site::SERVICE;

const MAX_REPLY_BYTES: usize = 256 * 1024;

/// Outcome of a top-up and its duration.
#[derive(Debug, Clone)]
pub struct TopUpAnswer {
    /// The outcome.
    pub outcome: CallOutcome,
    /// Time from the request to its outcome.
    pub total: Duration,
}

/// Sends one top-up under an idempotency key.
pub async fn top_up(caller: &Caller, address: SocketAddr, key: &str) -> TopUpAnswer {
    let started = Instant::now();
    let body = json!({ "vessel": key, "minutes": 30 });
    let call = Call::post(address, format!("/services/{SERVICE}/topups"))
        .header("authorization", caller.authorization())
        .header("idempotency-key", key)
        .json(&body);
    let exchange = exchange(caller, call, key, body.to_string());
    let outcome = match timeout(caller.answer_timeout, exchange).await {
        Ok(outcome) => outcome,
        Err(_elapsed) => CallOutcome::Lost("no final answer in time".to_owned()),
    };
    TopUpAnswer {
        outcome,
        total: started.elapsed(),
    }
}

async fn exchange(caller: &Caller, call: Call, key: &str, sent: String) -> CallOutcome {
    let reply = match caller.client.send(call, caller.call_timeout).await {
        Ok(reply) => reply,
        Err(e) => return CallOutcome::Lost(e.to_string()),
    };
    let status = reply.status().as_u16();
    let outcome = reply.headers().get(Outcome::HEADER);
    let outcome = outcome.and_then(|v| Outcome::from_text(v.to_str().ok()?));
    let text = match read_limited(reply.into_body(), MAX_REPLY_BYTES).await {
        Ok(text) => text,
        Err(e) => return CallOutcome::Lost(e.to_string()),
    };
    match outcome {
        Some(Outcome::Answered) => match serde_json::from_slice::<Receipt>(&text) {
            Ok(receipt) if receipt.key == key && receipt.echo == sent => CallOutcome::Answered,
            _ => CallOutcome::WrongAnswer,
        },
        Some(Outcome::NotRun) => CallOutcome::NotRun(status),
        Some(Outcome::Unknown) => CallOutcome::Unknown(status),
        None => CallOutcome::Lost("an answer without an outcome".to_owned()),
    }
}
