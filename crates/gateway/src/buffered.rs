//! Requests whose answer is not a stream.
//!
//! The answer is buffered completely before the client gets any of it, so that
//! when it breaks the request can be retried or the failure reported, and a
//! partial answer never looks complete.

use std::time::Duration;

use async_io::Timer;
use briarhall_net::Body;
use briarhall_net::Exchange;
use briarhall_net::Framing;
use briarhall_net::read_within;
use briarhall_net::timeout;
use briarhall_policy::health::SendOutcome;
use briarhall_policy::holdings::Pool;
use hyper::Response;
use hyper::http::response;

use crate::attempt::Attempts;
use crate::attempt::Dispatcher;
use crate::attempt::SendResult;
use crate::attempt::elapsed_ms;
use crate::headers::client_response;
use crate::job::Job;
use crate::outcomes::UnreadAnswer;
use crate::outcomes::Written;
use crate::outcomes::record_run;
use crate::outcomes::record_unread_answer;
use crate::patience::Patience;
use crate::request_error::DEFAULT_RETRY_AFTER;
use crate::request_error::RequestError;
use crate::wire::Wire;

/// Longest answer that is buffered; longer ones belong on streaming routes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Share of the time left that one send of a retryable request may take while
/// another is still allowed.
const RETRYABLE_SEND_SHARE: f64 = 0.5;
/// Delay after a replica refused a request.
const REFUSAL_PAUSE: Duration = Duration::from_millis(10);
/// Time reserved to send the client an error before its deadline.
const RESPONSE_MARGIN: Duration = Duration::from_millis(20);

/// Serves a request whose answer is not a stream.
///
/// # Errors
///
/// Returns the error for the client when no replica gave an answer.
pub async fn serve<W>(dispatcher: &Dispatcher<W>, job: &Job) -> Result<Response<Body>, RequestError>
where
    W: Wire,
{
    let mut attempts = Attempts::default();
    loop {
        let placement = dispatcher.place(job, &attempts, 0).await?;
        let left = job.time_left().saturating_sub(RESPONSE_MARGIN);
        let retry_after = left.mul_f64(RETRYABLE_SEND_SHARE);
        let shared = &dispatcher.shared;
        let patience = Patience::new(shared, job, &attempts, &placement, retry_after, left);
        let sent = dispatcher
            .send(job, &placement, None, patience, &mut attempts)
            .await;
        let id = &placement.replica.id;
        let may_have_run = match sent {
            SendResult::Answer(exchange, _head) => {
                let Exchange { reply, connection } = *exchange;
                let (parts, body) = reply.into_parts();
                let hold = job.client.share(Pool::Answers);
                let whole = read_within(body, MAX_RESPONSE_BYTES, hold);
                let read = timeout(job.time_left().saturating_sub(RESPONSE_MARGIN), whole).await;
                drop(connection);
                match read {
                    Ok(Ok(body)) => {
                        let failed = parts.status.is_server_error();
                        let outcome = if failed {
                            SendOutcome::Failed
                        } else {
                            SendOutcome::Answered
                        };
                        let shared = &dispatcher.shared;
                        record_run(shared, job, placement.sent_to(), outcome, Written::Some);
                        if !failed {
                            let took = placement.placed_at.elapsed();
                            shared.record_answer_time(&job.route.name, took);
                        }
                        if let Some(watch) = placement.pace_watch.as_ref().filter(|_| !failed) {
                            watch.call_answered(shared, job);
                        }
                        if failed && attempts.allow_another(job, true) {
                            true
                        } else {
                            dispatcher
                                .shared
                                .metrics
                                .time("request", job.arrived.elapsed());
                            log_end(job, id, &parts, &attempts);
                            return Ok(client_response(parts, Body::full(body)));
                        }
                    }
                    Ok(Err(e)) => {
                        let why = UnreadAnswer::Broken(&e);
                        record_unread_answer(&dispatcher.shared, job, placement.sent_to(), why);
                        true
                    }
                    Err(_elapsed) => {
                        let why = UnreadAnswer::Silent;
                        record_unread_answer(&dispatcher.shared, job, placement.sent_to(), why);
                        true
                    }
                }
            }
            SendResult::NotRun => false,
            SendResult::MayHaveRun => true,
            SendResult::GivenUp(e) => return Err(e),
        };
        drop(placement);
        if !attempts.allow_another(job, may_have_run) {
            return Err(final_error(job, &attempts));
        }
        if !may_have_run {
            Timer::after(REFUSAL_PAUSE).await;
        }
    }
}

/// Returns the error for the client when nothing more can be sent.
pub fn final_error(job: &Job, attempts: &Attempts) -> RequestError {
    if attempts.may_have_run == 0 {
        RequestError::NotRun {
            retry_after: DEFAULT_RETRY_AFTER,
        }
    } else if job.time_left() <= RESPONSE_MARGIN {
        RequestError::DeadlineExceeded
    } else {
        RequestError::AnswerLost
    }
}

fn log_end(job: &Job, replica: &str, parts: &response::Parts, attempts: &Attempts) {
    log::info!(
        event = "ended",
        request = job.head.id.as_str(),
        replica,
        status = parts.status.as_u16(),
        framing = Framing::of(&parts.headers).as_str(),
        sends = attempts.may_have_run + attempts.refused,
        total_ms = elapsed_ms(job.arrived);
        "request ended"
    );
}
