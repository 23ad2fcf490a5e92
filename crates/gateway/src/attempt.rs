//! One send of a request, and what came of it.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use briarhall_net::Body;
use briarhall_net::Exchange;
use briarhall_net::Executor;
use briarhall_net::FailurePoint;
use briarhall_net::HttpClient;
use briarhall_net::HttpError;
use briarhall_net::timeout;
use briarhall_policy::health::SendOutcome;
use briarhall_types::ReplicaId;
use hyper::Request;
use hyper::StatusCode;

use crate::answer::COME_BACK;
use crate::answer::GiveUp;
use crate::job::Job;
use crate::place::Place;
use crate::state::Shared;
use crate::state::note_outcome;
use crate::state::note_ran;
use crate::wire::ForwardedRequest;
use crate::wire::ReplyHead;
use crate::wire::Wire;

/// Time to open a connection: a hundred times what one between availability
/// zones takes, and less than a repeated SYN.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);
/// Sends that were turned away, not run, before the client is told.
const MOST_REFUSALS: u32 = 4;

/// Sends of one client request so far.
#[derive(Debug, Default)]
pub struct Sends {
    /// Sends that may have run.
    pub may_have_run: u32,
    /// Sends that were turned away.
    pub refused: u32,
    /// Replicas not to use again.
    pub tried: Vec<ReplicaId>,
}

impl Sends {
    /// Returns whether the job may be sent once more after a send that was
    /// turned away (`ran` false) or may have run.
    #[must_use]
    pub fn allow_another(&self, job: &Job, ran: bool) -> bool {
        let allowed = self.may_have_run < job.route.max_attempts.max(1);
        let safe = !ran || job.repeatable();
        allowed && safe && self.refused < MOST_REFUSALS && !job.left().is_zero()
    }

    /// Returns whether anything was sent.
    #[must_use]
    pub fn any(&self) -> bool {
        self.may_have_run + self.refused > 0
    }

    /// Returns what to tell when nothing more can be sent.
    #[must_use]
    pub fn last_word(&self) -> GiveUp {
        if self.may_have_run > 0 {
            GiveUp::AnswerLost
        } else {
            GiveUp::NotRun {
                retry_after: COME_BACK,
            }
        }
    }
}

/// What came of a send.
#[derive(Debug)]
pub enum Sent {
    /// The replica's answer begins.
    Answer(Box<Exchange>, ReplyHead),
    /// It has not run and will not.
    NotRun,
    /// It may have run.
    Lost,
}

/// Finds a place for the job and sends it.
#[derive(Debug, Clone)]
pub struct Sender<W> {
    /// Spells heads.
    pub wire: W,
    /// Opens connections.
    pub client: HttpClient,
    /// Runs what outlives a request.
    pub executor: Executor,
    /// Control state.
    pub shared: Arc<Shared>,
}

impl<W> Sender<W>
where
    W: Wire,
{
    /// Sends the job to its place and waits for the head of the answer, no
    /// longer than `limit`.
    pub async fn send(
        &self,
        job: &Job,
        place: &Place<W>,
        resume_after: Option<&str>,
        limit: Duration,
        sends: &mut Sends,
    ) -> Sent {
        let id = &place.replica.id;
        sends.tried.push(id.clone());
        let req = self.request(job, place, resume_after);
        let address = place.replica.address;
        let exchange = self.client.start(address, req, CONNECT_LIMIT);
        let exchange = match timeout(limit, exchange).await {
            Ok(Ok(exchange)) => exchange,
            Ok(Err(e)) => return self.failed(job, place, &e, sends),
            Err(_elapsed) => {
                note_outcome(&self.shared, id, SendOutcome::Silent);
                sends.may_have_run += 1;
                log_send(job, id, "silent", limit.as_millis());
                return Sent::Lost;
            }
        };
        let (parts, body) = exchange.reply.into_parts();
        let head = self.wire.reply_head(&parts);
        let exchange = Exchange {
            reply: hyper::Response::from_parts(parts, body),
            connection: exchange.connection,
        };
        if head.answers.as_ref().is_some_and(|a| *a != job.head.id) {
            // It lives, and answers something: no sign of a crash.
            note_outcome(&self.shared, id, SendOutcome::Broken);
            sends.may_have_run += 1;
            log_send(job, id, "answer_to_another", 0);
            return Sent::Lost;
        }
        let status = exchange.reply.status();
        if head.not_run || status == StatusCode::MISDIRECTED_REQUEST {
            let at_fault = head.failed_replica.as_ref().unwrap_or(id);
            let outcome = if head.failed_replica.is_some() {
                SendOutcome::Unreachable
            } else {
                SendOutcome::Refused
            };
            note_outcome(&self.shared, at_fault, outcome);
            sends.refused += 1;
            log_send(job, at_fault, "refused", u128::from(status.as_u16()));
            return Sent::NotRun;
        }
        sends.may_have_run += 1;
        if status.is_success() && (!head.signed || head.encoded) {
            note_outcome(&self.shared, id, SendOutcome::Broken);
            log_send(job, id, "not_the_replicas", u128::from(status.as_u16()));
            return Sent::Lost;
        }
        Sent::Answer(Box::new(exchange), head)
    }

    fn failed(&self, job: &Job, place: &Place<W>, e: &HttpError, sends: &mut Sends) -> Sent {
        let id = &place.replica.id;
        let address = place.replica.address;
        let before = e.failure_point() == FailurePoint::BeforeSend;
        if before {
            note_outcome(&self.shared, id, SendOutcome::Unreachable);
        } else {
            note_ran(&self.shared, job, id, place.since, SendOutcome::Broken);
        }
        log::info!(
            event = "send_failed",
            request = job.head.id.as_str(),
            replica = id.as_str(),
            address = address.to_string().as_str(),
            error = e.to_string().as_str(),
            after_ms = elapsed_ms(job.arrived);
            "send failed"
        );
        if before {
            sends.refused += 1;
            Sent::NotRun
        } else {
            sends.may_have_run += 1;
            Sent::Lost
        }
    }

    fn request(&self, job: &Job, place: &Place<W>, resume_after: Option<&str>) -> Request<Body> {
        let forwarded = ForwardedRequest {
            deadline: job.head.deadline.map(|_| job.left()),
            replica: &place.replica.id,
            organisation: job.organisation.as_ref().map(|o| o.name.as_str()),
            resume_after,
            helpers: &place.helpers,
        };
        let body = if job.body.is_empty() {
            Body::empty()
        } else {
            Body::whole(job.body.clone())
        };
        let mut req = Request::new(body);
        *req.method_mut() = job.method.clone();
        *req.uri_mut() = job.uri.clone();
        *req.headers_mut() = self.wire.forwarded_headers(&job.headers, &forwarded);
        req
    }
}

fn log_send(job: &Job, id: &ReplicaId, outcome: &str, detail: u128) {
    log::info!(
        event = "send_failed",
        request = job.head.id.as_str(),
        replica = id.as_str(),
        outcome,
        detail,
        after_ms = elapsed_ms(job.arrived);
        "send failed"
    );
}

/// Returns whole milliseconds since `since`, for logs.
pub fn elapsed_ms(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX)
}
