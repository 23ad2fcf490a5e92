//! Stand-in for a plain service whose calls have effects.

use std::collections::BTreeMap;
use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_io::Timer;
use briarhall_net::Body;
use briarhall_net::Handler;
use briarhall_net::json;
use briarhall_net::read_limited;
use briarhall_net::status;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::Serialize;

const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Faults to inject from now on.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Delay before the effect, in milliseconds.
    pub delay_before_ms: u64,
    /// Delay after the effect, in milliseconds.
    pub delay_after_ms: u64,
    /// Percentage of calls that have their effect and get no answer.
    pub lost_answers_percent: u8,
}

/// Answer to a call that had its effect.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Receipt {
    /// Key of the call.
    pub key: String,
    /// Number of effects that this service has counted for the key.
    pub effects: u64,
    /// The call's body.
    pub echo: String,
}

#[derive(Debug, Default)]
struct State {
    effects: BTreeMap<String, u64>,
    faults: ServiceFaults,
    loss_counter: u64,
}

/// Handles the service's calls.
#[derive(Debug, Clone, Default)]
pub struct ServiceHandler {
    state: Arc<Mutex<State>>,
}

impl ServiceHandler {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn apply_effect(&self, key: String, body: Vec<u8>) -> Response<Body> {
        let faults = self.state().faults;
        if faults.delay_before_ms > 0 {
            Timer::after(Duration::from_millis(faults.delay_before_ms)).await;
        }
        let (effects, lost) = self.count_effect(&key, faults);
        if lost {
            return pending().await;
        }
        if faults.delay_after_ms > 0 {
            Timer::after(Duration::from_millis(faults.delay_after_ms)).await;
        }
        let echo = String::from_utf8_lossy(&body).into_owned();
        json(StatusCode::OK, &Receipt { key, effects, echo })
    }

    fn count_effect(&self, key: &str, faults: ServiceFaults) -> (u64, bool) {
        let mut state = self.state();
        // 37 and 100 have no common divisor, so the counter takes each value from 0
        // to 99 once in 100 calls and exactly the given percentage is lost.
        state.loss_counter = (state.loss_counter + 37) % 100;
        let lost = state.loss_counter < u64::from(faults.lost_answers_percent);
        let effects = state.effects.entry(key.to_owned()).or_default();
        *effects += 1;
        (*effects, lost)
    }

    fn set_faults(&self, body: &[u8]) -> Response<Body> {
        match serde_json::from_slice(body) {
            Ok(faults) => {
                self.state().faults = faults;
                status(StatusCode::OK)
            }
            Err(_e) => status(StatusCode::BAD_REQUEST),
        }
    }
}

impl Handler for ServiceHandler {
    async fn handle(&self, req: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        let method = req.method().clone();
        let path = req.uri().path().to_owned();
        let key = req.headers().get("idempotency-key");
        let key = key.and_then(|value| value.to_str().ok()).map(str::to_owned);
        let Ok(body) = read_limited(req.into_body(), MAX_BODY_BYTES).await else {
            return status(StatusCode::PAYLOAD_TOO_LARGE);
        };
        match (&method, path.as_str()) {
            (&Method::GET, "/control/effects") => json(StatusCode::OK, &self.state().effects),
            (&Method::POST, "/control/faults") => self.set_faults(&body),
            (&Method::GET, "/healthz") => status(StatusCode::OK),
            _ => match key {
                Some(key) => self.apply_effect(key, body.to_vec()).await,
                None => json(StatusCode::OK, &path),
            },
        }
    }
}
