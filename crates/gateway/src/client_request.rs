//! Handles client requests: admits each as a job and returns the answer or an
//! error.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Instant;

use briarhall_net::Body;
use briarhall_net::Client;
use briarhall_net::Handler;
use briarhall_net::ReadBodyError;
use briarhall_net::ReadWithinError;
use briarhall_net::read_from_client;
use briarhall_net::timeout;
use briarhall_policy::holdings::Pool;
use briarhall_policy::holdings::group_tag;
use briarhall_policy::routes;
use briarhall_policy::routes::RouteTable;
use briarhall_types::Organisation;
use briarhall_types::Route;
use briarhall_types::RouteKind;
use compact_str::CompactString;
use futures_lite::future;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::http::request;

use crate::attempt::Dispatcher;
use crate::attempt::elapsed_ms;
use crate::buffered;
use crate::detour::CANNOT_SEND_ON;
use crate::detour::DETOUR;
use crate::detour::mark_own;
use crate::guards::InFlight;
use crate::job::Job;
use crate::job::deadline;
use crate::request_error::DEFAULT_RETRY_AFTER;
use crate::request_error::RequestError;
use crate::state::Shared;
use crate::stream;
use crate::wire::RequestHead;
use crate::wire::Wire;

/// Answers clients' requests.
#[derive(Debug, Clone)]
pub struct ClientRequests<W> {
    /// Chooses replicas and sends.
    pub dispatcher: Dispatcher<W>,
}

/// What the configuration defines for a request.
struct Admitted {
    table: Arc<RouteTable>,
    route: Arc<Route>,
    organisation: Option<Arc<Organisation>>,
}

/// Logs a client that disconnects before the head of its answer: the server
/// then drops this together with the request.
struct PendingResponse {
    shared: Arc<Shared>,
    id: CompactString,
    arrived: Instant,
    answered: bool,
}

impl PendingResponse {
    fn new(shared: &Arc<Shared>, id: &str, arrived: Instant) -> Self {
        Self {
            shared: Arc::clone(shared),
            id: CompactString::from(id),
            arrived,
            answered: false,
        }
    }

    fn finish(mut self) {
        self.answered = true;
    }
}

impl Drop for PendingResponse {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        self.shared.metrics.count("client_left");
        log::info!(
            event = "client_left",
            request = self.id.as_str(),
            total_ms = elapsed_ms(self.arrived);
            "client disconnected before the answer began"
        );
    }
}

impl<W> Handler for ClientRequests<W>
where
    W: Wire,
{
    async fn handle(&self, req: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        let answered = self.answer(req, None).await;
        let mut reply = answered.unwrap_or_else(|e| e.response());
        if self.dispatcher.shared.state().stopping {
            let headers = reply.headers_mut();
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        reply
    }
}

impl<W> ClientRequests<W>
where
    W: Wire,
{
    /// Answers a request that another gateway sends on, which at most `max_attempts`
    /// replicas may run.
    pub async fn handle_detour(
        &self,
        mut req: Request<Incoming>,
        max_attempts: u32,
    ) -> Response<Body> {
        req.headers_mut().remove(DETOUR);
        self.dispatcher.shared.metrics.count("detour_served");
        match self.answer(req, Some(max_attempts)).await {
            Ok(mut reply) => {
                // No replica's answer may look like this gateway's own.
                reply.headers_mut().remove(DETOUR);
                reply
            }
            Err(RequestError::CutOff { .. } | RequestError::NotReady) => {
                mark_own(briarhall_net::status(CANNOT_SEND_ON))
            }
            Err(e) => mark_own(e.response()),
        }
    }

    async fn answer(
        &self,
        req: Request<Incoming>,
        detour: Option<u32>,
    ) -> Result<Response<Body>, RequestError> {
        let arrived = Instant::now();
        let (parts, body) = req.into_parts();
        match self.dispatcher.wire.request_head(&parts) {
            Ok(head) => {
                let id = head.id.clone();
                let pending = PendingResponse::new(&self.dispatcher.shared, &id, arrived);
                let served = self.serve(arrived, parts, head, body, detour).await;
                pending.finish();
                served.inspect_err(|e| self.record_refusal(&id, e, arrived))
            }
            Err(problem) => {
                let e = RequestError::Head(problem);
                self.record_refusal("", &e, arrived);
                Err(e)
            }
        }
    }

    async fn serve(
        &self,
        arrived: Instant,
        parts: request::Parts,
        head: RequestHead,
        body: Incoming,
        detour: Option<u32>,
    ) -> Result<Response<Body>, RequestError> {
        let shared = &self.dispatcher.shared;
        let in_flight = InFlight::new(shared, head.id.clone(), arrived);
        let in_flight = Arc::new(in_flight.ok_or_else(|| self.not_run_in_stop())?);
        let served = self.serve_admitted(arrived, parts, head, body, detour, &in_flight);
        let ended = async {
            shared.requests_end().await;
            Err(if in_flight.was_sent() {
                RequestError::AnswerLost
            } else {
                self.not_run_in_stop()
            })
        };
        future::or(served, ended).await
    }

    /// Returns the error of a request that has not run, and will not as this process ends.
    fn not_run_in_stop(&self) -> RequestError {
        let wait = self.dispatcher.return_after_stop();
        RequestError::NotRun {
            retry_after: wait.unwrap_or(DEFAULT_RETRY_AFTER),
        }
    }

    async fn serve_admitted(
        &self,
        arrived: Instant,
        mut parts: request::Parts,
        head: RequestHead,
        body: Incoming,
        detour: Option<u32>,
        in_flight: &Arc<InFlight>,
    ) -> Result<Response<Body>, RequestError> {
        self.dispatcher.pause_guard.confirmed().await;
        let Admitted {
            table,
            route,
            organisation,
        } = self.admit(&head, parts.uri.path())?;
        let deadline = deadline(&head, &route, arrived);
        let service =
            routes::choose_service(&route, rand::random()).ok_or(RequestError::NoRoute)?;
        let service = service.clone();
        // Sessions add their client to each request.
        let client = parts.extensions.remove::<Arc<Client>>();
        let client = client.ok_or(RequestError::Crowded)?;
        let of = organisation.as_ref().map(|o| group_tag(&o.name));
        client.set_request(of, group_tag(&service));
        let place = client.take(Pool::Requests, 1).await;
        let place = place.map_err(|_no_room| RequestError::Crowded)?;
        let limit = table.limits().max_body_bytes;
        let left = deadline.saturating_duration_since(Instant::now());
        let body = timeout(left, read_from_client(body, limit, &client)).await;
        let body = body
            .map_err(|_elapsed| RequestError::BodyIncomplete)?
            .map_err(|e| match e {
                ReadWithinError::Body(ReadBodyError::TooLarge { .. }) => RequestError::BodyTooLarge,
                ReadWithinError::Body(ReadBodyError::Truncated(_)) => RequestError::BodyIncomplete,
                ReadWithinError::NoMemory { .. } => RequestError::Crowded,
            })?;
        let shared = &self.dispatcher.shared;
        shared.record_arrival(&service, detour.is_some());
        let allowed = route.max_attempts.max(1);
        let job = Job {
            head,
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body,
            configuration: table.version(),
            engine: table.engine(&service).cloned(),
            service,
            route,
            organisation,
            arrived,
            read_at: Instant::now(),
            deadline,
            max_attempts: detour.map_or(allowed, |max| max.clamp(1, allowed)),
            is_detoured: detour.is_some(),
            known_fingerprint: OnceLock::new(),
            in_flight: Arc::clone(in_flight),
            client,
            _place: place,
        };
        if job.route.kind == RouteKind::Streaming {
            stream::serve(&self.dispatcher, job).await
        } else {
            buffered::serve(&self.dispatcher, &job).await
        }
    }

    fn record_refusal(&self, id: &str, e: &RequestError, arrived: Instant) {
        let shared = &self.dispatcher.shared;
        let version = shared
            .state()
            .current_configuration
            .as_ref()
            .map(|current| current.table.version());
        shared
            .metrics
            .count(&format!("request_refused_{}", e.reason()));
        shared.metrics.time(
            &format!("request_refused_{}_after", e.reason()),
            arrived.elapsed(),
        );
        log::info!(
            event = "refused",
            request = id,
            reason = e.reason(),
            status = e.status().as_u16(),
            configuration = version.unwrap_or(0),
            total_ms = elapsed_ms(arrived);
            "request refused"
        );
    }

    fn admit(&self, head: &RequestHead, path: &str) -> Result<Admitted, RequestError> {
        let state = self.dispatcher.shared.state();
        let current = state
            .current_configuration
            .as_ref()
            .ok_or(RequestError::NotReady)?;
        let table = Arc::clone(&current.table);
        if !state.evacuations.is_known() {
            return Err(RequestError::EvacuationsUnknown);
        }
        drop(state);
        let route = table.find(&head.host, path).ok_or(RequestError::NoRoute)?;
        let route = Arc::clone(route);
        let organisation = if table.requires_key() && !route.anonymous {
            let known = head
                .api_key
                .as_ref()
                .and_then(|key| table.organisation(key));
            Some(Arc::clone(known.ok_or(RequestError::Unauthorised)?))
        } else {
            None
        };
        Ok(Admitted {
            table,
            route,
            organisation,
        })
    }
}
