//! Handles callers' requests on the traffic threads.

mod addresses;
mod attempt;
mod completions;
mod deadline;
mod gang;
mod idempotency;
pub mod request;
mod response;
mod services;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use briarhall_endpoint::EngineClient;
use briarhall_endpoint::ServiceClient;
use briarhall_net::Body;
use briarhall_net::Executor;
use briarhall_net::Handler;
use briarhall_net::Metrics;
use briarhall_net::problem;
use briarhall_net::status;
use briarhall_types::Problem;
use briarhall_types::RouterName;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;

use crate::control::ControlHandle;
use crate::peers::Peers;

/// Handles callers' requests.
#[derive(Debug, Clone)]
pub struct Traffic {
    /// This router's name.
    pub router: RouterName,
    /// The control thread.
    pub control: ControlHandle,
    /// Engines.
    pub engines: EngineClient,
    /// Plain services.
    pub services: ServiceClient,
    /// Other routers.
    pub peers: Peers,
    /// Where requests run.
    pub executor: Executor,
    /// How long callers may cache an address list.
    pub address_ttl: Duration,
    /// Whether this router is about to stop.
    pub draining: Arc<AtomicBool>,
    /// Metrics.
    pub metrics: Metrics,
}

impl Traffic {
    async fn route(&self, req: Request<Incoming>) -> Response<Body> {
        let path = req.uri().path().to_owned();
        match (req.method(), path.as_str()) {
            (&Method::GET, "/healthz") => status(StatusCode::OK),
            (&Method::GET, "/v1/addresses") => self.addresses(&req).await,
            (&Method::POST, "/v1/completions") => self.completion(req, request::Form::Prompt).await,
            (&Method::POST, "/v1/chat/completions") => {
                self.completion(req, request::Form::Chat).await
            }
            (_, path) if path.starts_with("/services/") => self.service(req).await,
            (method, path) => {
                let detail =
                    format!("there is no {method} {path}; see the guide for what there is");
                problem(&Problem::not_run(404, "no-such-path", detail))
            }
        }
    }
}

impl Handler for Traffic {
    async fn handle(&self, req: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        let mut reply = self.route(req).await;
        if self.draining.load(Ordering::Relaxed) {
            // Makes the caller send its next request to another router.
            let close = HeaderValue::from_static("close");
            reply.headers_mut().insert(CONNECTION, close);
        }
        reply
    }
}
