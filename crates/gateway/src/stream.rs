//! Requests whose answer is a stream of events.
//!
//! The client gets nothing before the first complete event, so until then
//! another replica can take over without the client noticing. A stream that
//! breaks later is resumed at another replica after the last event, where the
//! route allows it.

use std::pin::pin;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use briarhall_net::Body;
use briarhall_net::BodySender;
use briarhall_net::ByteHold;
use briarhall_net::CHANNEL_FRAMES;
use briarhall_net::Exchange;
use briarhall_net::Framing;
use briarhall_net::Share;
use briarhall_net::read_within;
use briarhall_net::timeout;
use briarhall_policy::engine;
use briarhall_policy::health::SendOutcome;
use briarhall_policy::holdings::Pool;
use briarhall_policy::holdings::Stage;
use bytes::Bytes;
use compact_str::CompactString;
use futures_lite::future;
use futures_lite::future::pending;
use hyper::Response;
use hyper::header::CONTENT_LENGTH;
use hyper::http::response;

use crate::attempt::Attempts;
use crate::attempt::Dispatcher;
use crate::attempt::SendResult;
use crate::attempt::elapsed_ms;
use crate::buffered::final_error;
use crate::event_sequence::EventSequence;
use crate::headers::client_response;
use crate::job::Job;
use crate::job::event_timeout;
use crate::outcomes::UnreadAnswer;
use crate::outcomes::Written;
use crate::outcomes::record_run;
use crate::outcomes::record_unread_answer;
use crate::outcomes::record_written;
use crate::patience::Patience;
use crate::place::Placement;
use crate::replica_stream::ReplicaStream;
use crate::replica_stream::StreamItem;
use crate::replica_stream::is_event_stream;
use crate::request_error::RequestError;
use crate::sse::Event;
use crate::stream_log::StreamEnd;
use crate::stream_log::log_break;
use crate::stream_log::log_end;
use crate::wire::Wire;

/// Shortest silence that counts as a failure: the longest pass of an engine
/// that prefills no long prompt is far below it.
const MIN_SILENCE: Duration = Duration::from_millis(600);
/// Silence before the first event that counts as a failure, as a multiple of
/// the predicted time to that event.
const FIRST_EVENT_PREDICTION_FACTOR: f64 = 3.0;
/// The same as a share of the time that the client waits for an event: another
/// engine must still be able to take over.
const FIRST_EVENT_SILENCE_SHARE: f64 = 0.45;
/// Silence between events that counts as a failure, as a share of the same
/// time.
const NEXT_EVENT_SILENCE_SHARE: f64 = 0.6;
/// Longest answer that is not a stream, mostly the text of an error.
const MAX_WHOLE_BYTES: usize = 1024 * 1024;
/// Longest event that counts as a part of its request.
const UNCOUNTED_EVENT_BYTES: usize = 1024;
/// Events that wait for the client: those of the channel, and one on each side of it.
const MAX_WAITING_EVENTS: usize = CHANNEL_FRAMES + 2;
/// Time reserved to send the client an error before its deadline.
const RESPONSE_MARGIN: Duration = Duration::from_millis(20);
/// Delay after a replica refused a request.
const REFUSAL_PAUSE: Duration = Duration::from_millis(10);
/// Why a resumed stream is broken whose first event does not follow those before it.
const NOT_CONTINUED: &str = "the answer does not go on after the last event";
/// Tokens in one event, to estimate what a resumed stream must prefill again.
const TOKENS_PER_EVENT: u64 = 40;

/// Serves a streamed answer; after the first event it is forwarded by a
/// separate task.
///
/// # Errors
///
/// Returns the error for the client when no replica began an answer.
pub async fn serve<W>(dispatcher: &Dispatcher<W>, job: Job) -> Result<Response<Body>, RequestError>
where
    W: Wire,
{
    let mut attempts = Attempts::default();
    loop {
        let placement = dispatcher.place(&job, &attempts, 0).await?;
        let start = start_stream(dispatcher, &job, placement, None, &mut attempts).await;
        let may_have_run = match start {
            StreamStart::Events {
                parts,
                source,
                first,
            } => {
                let (tx, body) = Body::channel();
                let mut reply = client_response(*parts, body);
                reply.headers_mut().remove(CONTENT_LENGTH);
                let dispatcher = dispatcher.clone();
                let executor = dispatcher.executor.clone();
                executor.detach(async move {
                    StreamForwarder::new(dispatcher, job, attempts, source.framing)
                        .run(*source, first, tx)
                        .await;
                });
                return Ok(reply);
            }
            StreamStart::Other(parts, body) => {
                let retry = parts.status.is_server_error() && attempts.allow_another(&job, true);
                if !retry {
                    log_end(&job, "passed_on", parts.status.as_u16(), 0, &attempts);
                    return Ok(client_response(*parts, Body::full(body)));
                }
                true
            }
            StreamStart::NotRun => false,
            StreamStart::MayHaveRun => true,
            StreamStart::GivenUp(e) => return Err(e),
        };
        if !attempts.allow_another(&job, may_have_run) {
            return Err(final_error(&job, &attempts));
        }
        if !may_have_run {
            Timer::after(REFUSAL_PAUSE).await;
        }
    }
}

/// Result of starting a streamed answer at a replica.
enum StreamStart<W>
where
    W: Wire,
{
    Events {
        parts: Box<response::Parts>,
        source: Box<ReplicaStream<W>>,
        first: StreamItem,
    },
    /// A complete answer that is not a stream of events.
    Other(Box<response::Parts>, Bytes),
    NotRun,
    MayHaveRun,
    GivenUp(RequestError),
}

async fn start_stream<W>(
    dispatcher: &Dispatcher<W>,
    job: &Job,
    placement: Placement<W>,
    resume_after: Option<&str>,
    attempts: &mut Attempts,
) -> StreamStart<W>
where
    W: Wire,
{
    let left = job.time_left().saturating_sub(RESPONSE_MARGIN);
    let predicted = engine::predicted_time(placement.predicted_ms);
    let event_timeout = event_timeout(&job.route);
    let silence = predicted
        .mul_f64(FIRST_EVENT_PREDICTION_FACTOR)
        .max(event_timeout.mul_f64(FIRST_EVENT_SILENCE_SHARE))
        .max(MIN_SILENCE);
    let patience = Patience::new(&dispatcher.shared, job, attempts, &placement, silence, left);
    let exchange = match dispatcher
        .send(job, &placement, resume_after, patience, attempts)
        .await
    {
        SendResult::Answer(exchange, _head) => *exchange,
        SendResult::NotRun => return StreamStart::NotRun,
        SendResult::MayHaveRun => return StreamStart::MayHaveRun,
        SendResult::GivenUp(e) => return StreamStart::GivenUp(e),
    };
    let Exchange { reply, connection } = exchange;
    let (parts, body) = reply.into_parts();
    if !parts.status.is_success() || !is_event_stream(&parts.headers) {
        let hold = job.client.share(Pool::Answers);
        let whole = read_within(body, MAX_WHOLE_BYTES, hold);
        return match timeout(left, whole).await {
            Ok(Ok(body)) => {
                let outcome = if parts.status.is_server_error() {
                    Some(SendOutcome::Failed)
                } else if parts.status.is_success() {
                    Some(SendOutcome::Answered)
                } else {
                    None
                };
                if let Some(outcome) = outcome {
                    let shared = &dispatcher.shared;
                    record_run(shared, job, placement.sent_to(), outcome, Written::Some);
                }
                StreamStart::Other(Box::new(parts), body)
            }
            unread => {
                let why = match &unread {
                    Ok(Err(e)) => UnreadAnswer::Broken(e),
                    _ => UnreadAnswer::Silent,
                };
                record_unread_answer(&dispatcher.shared, job, placement.sent_to(), why);
                StreamStart::MayHaveRun
            }
        };
    }
    let mut source = ReplicaStream::new(placement, &parts.headers, body, connection);
    let first = patience.wait(source.next(left)).await;
    let first = first.unwrap_or(StreamItem::Silent);
    if let StreamItem::Broken(_) | StreamItem::Silent = &first {
        let sent_to = source.placement.sent_to();
        log_break(job, sent_to.id, &first, source.framing, 0);
        record_run(
            &dispatcher.shared,
            job,
            sent_to,
            outcome_of(&first),
            Written::Nothing,
        );
        return StreamStart::MayHaveRun;
    }
    source.placement.work_guard.prefilled();
    if let Some(watch) = &mut source.placement.pace_watch {
        watch.first_event(&dispatcher.shared);
    }
    StreamStart::Events {
        parts: Box::new(parts),
        source: Box::new(source),
        first,
    }
}

/// Forwards the events of one stream to the client, resuming it at another
/// replica when one fails.
struct StreamForwarder<W> {
    dispatcher: Dispatcher<W>,
    job: Job,
    attempts: Attempts,
    sequence: EventSequence,
    events: u64,
    /// How the last replica's answer is framed.
    framing: Framing,
    /// Bytes after the last event of an answer that has ended.
    rest_bytes: usize,
    /// Time that was waited for replicas since the first event.
    waited: Duration,
    /// Bytes of events that the client has not read.
    waiting_events: Share,
}

impl<W> StreamForwarder<W>
where
    W: Wire,
{
    fn new(dispatcher: Dispatcher<W>, job: Job, attempts: Attempts, framing: Framing) -> Self {
        let waiting_events = job.client.share(Pool::Answers);
        Self {
            dispatcher,
            job,
            attempts,
            waiting_events,
            sequence: EventSequence::default(),
            events: 0,
            framing,
            rest_bytes: 0,
            waited: Duration::ZERO,
        }
    }

    async fn run(mut self, source: ReplicaStream<W>, first: StreamItem, tx: BodySender) {
        let deadline = self.job.deadline;
        let metrics = self.dispatcher.shared.metrics.clone();
        metrics.time("stream_first_event", self.job.arrived.elapsed());
        let first_ms = elapsed_ms(self.job.arrived);
        let ended = {
            let client_left = async {
                tx.closed().await;
                StreamEnd::ClientLeft
            };
            let deadline_passed = async {
                Timer::at(deadline).await;
                StreamEnd::DeadlineExceeded
            };
            let events = pin!(self.events(source, first, &tx));
            future::or(events, future::or(client_left, deadline_passed)).await
        };
        metrics.time("stream", self.job.arrived.elapsed());
        metrics.count(&format!("stream_{}", ended.as_str()));
        log::info!(
            event = "ended",
            request = self.job.head.id.as_str(),
            outcome = ended.as_str(),
            first_ms,
            events = self.events,
            framing = self.framing.as_str(),
            rest_bytes = self.rest_bytes,
            sends = self.attempts.may_have_run + self.attempts.refused,
            total_ms = elapsed_ms(self.job.arrived);
            "request ended"
        );
        if matches!(ended, StreamEnd::Complete) {
            self.record_answer_time();
            tx.finish().await;
        }
        // Dropping `tx` without `finish` breaks the client's connection.
    }

    async fn events(
        &mut self,
        mut source: ReplicaStream<W>,
        first: StreamItem,
        tx: &BodySender,
    ) -> StreamEnd {
        let event_timeout = event_timeout(&self.job.route);
        let silence = event_timeout.mul_f64(NEXT_EVENT_SILENCE_SHARE);
        // Time waited since the last event that is not blank: a stalled replica may still
        // send comments.
        let mut silent_for = Duration::ZERO;
        let mut next = first;
        loop {
            self.framing = source.framing;
            match next {
                StreamItem::Event(event) => {
                    if !event.is_blank {
                        silent_for = Duration::ZERO;
                    }
                    self.record_begun(&source, &event);
                    if !self.sequence.is_repeated(&event) {
                        self.sequence.record(&event);
                        self.events += u64::from(!event.is_blank);
                        if let Err(end) = self.deliver(tx, event.bytes).await {
                            return end;
                        }
                    }
                }
                StreamItem::End(rest) => {
                    self.record(&source, SendOutcome::Answered);
                    self.rest_bytes = rest.len();
                    return match self.deliver(tx, rest).await {
                        Ok(()) => StreamEnd::Complete,
                        Err(end) => end,
                    };
                }
                StreamItem::Broken(_) => {
                    let id = &source.placement.replica.id;
                    log_break(&self.job, id, &next, source.framing, self.events);
                    self.record(&source, SendOutcome::Broken);
                    drop(source);
                    match self.resume().await {
                        Some((resumed, event)) => {
                            source = resumed;
                            next = event;
                            continue;
                        }
                        None => return StreamEnd::Broken,
                    }
                }
                StreamItem::Silent => {
                    // With no time left each wait ends at once, and this task
                    // would never yield to others.
                    if self.job.time_left().is_zero() {
                        return StreamEnd::DeadlineExceeded;
                    }
                    let id = &source.placement.replica.id;
                    log_break(&self.job, id, &next, source.framing, self.events);
                    self.record(&source, SendOutcome::Silent);
                    (source, next) = self.resume_or_wait(source).await;
                    silent_for = Duration::ZERO;
                    continue;
                }
            }
            // A replica that sends faster than the client reads would keep this task
            // from giving way, also to the deadline.
            future::yield_now().await;
            let asked = Instant::now();
            next = source.next(silence.saturating_sub(silent_for)).await;
            let waited = asked.elapsed();
            silent_for += waited;
            self.waited += waited;
            if let Some(watch) = &mut source.placement.pace_watch {
                watch.next_item(&self.dispatcher.shared, &next, waited);
            }
        }
    }

    /// Sends bytes to the client. While it reads nothing, it may have to go for others.
    async fn deliver(&mut self, tx: &BodySender, bytes: Bytes) -> Result<(), StreamEnd> {
        if bytes.is_empty() {
            return Ok(());
        }
        if bytes.len() > UNCOUNTED_EVENT_BYTES {
            let waiting = bytes.len().saturating_mul(MAX_WAITING_EVENTS);
            if !self.waiting_events.raise_to(waiting).await {
                return Err(StreamEnd::NoMemory);
            }
        }
        let mut sent = pin!(tx.send(bytes));
        let sent = if let Some(sent) = future::poll_once(sent.as_mut()).await {
            sent
        } else {
            self.job.client.set_stage(Stage::Reading);
            let sent = sent.await;
            self.job.client.set_stage(Stage::Waiting);
            sent
        };
        sent.map_err(|_left| StreamEnd::ClientLeft)
    }

    /// Records the time of a complete answer, unless it was resumed.
    fn record_answer_time(&self) {
        if self.attempts.may_have_run > 1 {
            return;
        }
        let route = &self.job.route.name;
        let shared = &self.dispatcher.shared;
        shared.record_answer_time(route, self.waited);
    }

    fn record(&self, source: &ReplicaStream<W>, outcome: SendOutcome) {
        record_run(
            &self.dispatcher.shared,
            &self.job,
            source.placement.sent_to(),
            outcome,
            Written::events(source.events),
        );
    }

    /// Records, once for each replica, that it could begin the answer.
    fn record_begun(&self, source: &ReplicaStream<W>, last: &Event) {
        let before = source.events - u64::from(!last.is_blank);
        if Written::events(before) != Written::events(source.events) {
            record_written(&self.dispatcher.shared, &self.job);
        }
    }

    /// Resumes a silent stream at another replica, and continues with whichever
    /// of the two delivers first. The silent stream is kept until then, as no
    /// other replica may be able to resume it.
    async fn resume_or_wait(
        &mut self,
        mut silent: ReplicaStream<W>,
    ) -> (ReplicaStream<W>, StreamItem) {
        let left = self.job.time_left();
        let other = {
            let from_silent = async {
                loop {
                    match silent.next(left).await {
                        StreamItem::Event(event) if event.is_blank => {}
                        // The other replica may still resume the stream.
                        StreamItem::Broken(_) => pending().await,
                        next => return Err(next),
                    }
                }
            };
            let from_other = async { Ok(self.resume().await) };
            future::or(from_silent, from_other).await
        };
        match other {
            Ok(Some(other)) => other,
            Err(next) => (silent, next),
            Ok(None) => {
                let next = silent.next(self.job.time_left()).await;
                (silent, next)
            }
        }
    }

    async fn resume(&mut self) -> Option<(ReplicaStream<W>, StreamItem)> {
        let after = self.sequence.last_id.clone();
        // Without an event id, a replica cannot find where to resume.
        if after.is_none() && self.events > 0 {
            return None;
        }
        let mut may_have_run = true;
        while self.attempts.allow_another(&self.job, may_have_run) {
            let generated = self.events * TOKENS_PER_EVENT;
            let placement = self
                .dispatcher
                .place(&self.job, &self.attempts, generated)
                .await
                .ok()?;
            let after = after.as_deref();
            match start_stream(
                &self.dispatcher,
                &self.job,
                placement,
                after,
                &mut self.attempts,
            )
            .await
            {
                StreamStart::Events { source, first, .. } => {
                    let goes_on = match &first {
                        StreamItem::Event(event) => self.sequence.is_continued_by(event),
                        _ => true,
                    };
                    if goes_on {
                        return Some((*source, first));
                    }
                    let reason = CompactString::const_new(NOT_CONTINUED);
                    let broken = StreamItem::Broken(reason);
                    let id = &source.placement.replica.id;
                    log_break(&self.job, id, &broken, source.framing, self.events);
                    self.record(&source, SendOutcome::Broken);
                    may_have_run = true;
                }
                StreamStart::Other(..) | StreamStart::GivenUp(_) => return None,
                StreamStart::NotRun => {
                    may_have_run = false;
                    Timer::after(REFUSAL_PAUSE).await;
                }
                StreamStart::MayHaveRun => may_have_run = true,
            }
        }
        None
    }
}

fn outcome_of(next: &StreamItem) -> SendOutcome {
    match next {
        StreamItem::Silent => SendOutcome::Silent,
        StreamItem::Broken(_) => SendOutcome::Broken,
        StreamItem::Event(_) | StreamItem::End(_) => SendOutcome::Answered,
    }
}
