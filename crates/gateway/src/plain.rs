//! Requests that have one whole answer.
//!
//! The answer is read whole before the client sees any of it, so that one that
//! breaks off can be repeated or told as a failure, and never looks complete.

use std::time::Duration;

use async_io::Timer;
use briarhall_net::Body;
use briarhall_net::Exchange;
use briarhall_net::read_limited;
use briarhall_net::timeout;
use briarhall_policy::health::SendOutcome;
use hyper::Response;

use crate::answer::COME_BACK;
use crate::answer::GiveUp;
use crate::attempt::Sender;
use crate::attempt::Sends;
use crate::attempt::Sent;
use crate::attempt::elapsed_ms;
use crate::headers::pass_on;
use crate::job::Job;
use crate::state::note_outcome;
use crate::state::note_ran;
use crate::wire::Wire;

/// Longest answer that is held; longer ones belong on streaming routes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Part of the time left that one send of a repeatable request may take while
/// another is still allowed.
const PART_OF_TIME: f64 = 0.5;
/// Pause after every replica turned a request away.
const AFTER_REFUSAL: Duration = Duration::from_millis(10);
/// Kept back to tell the client that its time is over.
const TO_TELL: Duration = Duration::from_millis(20);

/// Serves a request with one whole answer.
///
/// # Errors
///
/// Returns the answer for the client when no replica gave one.
pub async fn serve<W>(sender: &Sender<W>, job: &Job) -> Result<Response<Body>, GiveUp>
where
    W: Wire,
{
    let mut sends = Sends::default();
    loop {
        let place = sender.place(job, &sends, 0).await?;
        let left = job.left().saturating_sub(TO_TELL);
        let may_repeat = job.repeatable()
            && sends.may_have_run + 1 < job.route.max_attempts
            && sender.shared.has_budget(&job.service);
        let limit = if may_repeat {
            left.mul_f64(PART_OF_TIME)
        } else {
            left
        };
        let sent = sender.send(job, &place, None, limit, &mut sends).await;
        let id = &place.replica.id;
        let ran = match sent {
            Sent::Answer(exchange, _head) => {
                let Exchange { reply, connection } = *exchange;
                let (parts, body) = reply.into_parts();
                let whole = read_limited(body, MAX_ANSWER_BYTES);
                let read = timeout(job.left().saturating_sub(TO_TELL), whole).await;
                drop(connection);
                match read {
                    Ok(Ok(body)) => {
                        let failed = parts.status.is_server_error();
                        let outcome = if failed {
                            SendOutcome::Failed
                        } else {
                            SendOutcome::Answered
                        };
                        note_ran(&sender.shared, job, id, place.since, outcome);
                        if failed && sends.allow_another(job, true) {
                            true
                        } else {
                            sender.shared.metrics.time("request", job.arrived.elapsed());
                            log_end(job, id, parts.status.as_u16(), &sends);
                            return Ok(pass_on(parts, Body::whole(body)));
                        }
                    }
                    Ok(Err(e)) => {
                        note_ran(&sender.shared, job, id, place.since, SendOutcome::Broken);
                        log::info!(
                            event = "answer_broken",
                            request = job.head.id.as_str(),
                            replica = id.as_str(),
                            error = e.to_string().as_str();
                            "answer broken"
                        );
                        true
                    }
                    Err(_elapsed) => {
                        note_outcome(&sender.shared, id, SendOutcome::Silent);
                        true
                    }
                }
            }
            Sent::NotRun => false,
            Sent::Lost => true,
        };
        drop(place);
        if !sends.allow_another(job, ran) {
            return Err(last_word(job, &sends));
        }
        if !ran {
            Timer::after(AFTER_REFUSAL).await;
        }
    }
}

/// Returns what to tell when nothing more can be sent.
pub fn last_word(job: &Job, sends: &Sends) -> GiveUp {
    if sends.may_have_run == 0 {
        GiveUp::NotRun {
            retry_after: COME_BACK,
        }
    } else if job.left() <= TO_TELL {
        GiveUp::TimeOver
    } else {
        GiveUp::AnswerLost
    }
}

fn log_end(job: &Job, replica: &str, status: u16, sends: &Sends) {
    log::info!(
        event = "ended",
        request = job.head.id.as_str(),
        replica,
        status,
        sends = sends.may_have_run + sends.refused,
        total_ms = elapsed_ms(job.arrived);
        "ended"
    );
}
