//! Requests whose answer is a stream of events.
//!
//! Nothing is shown to the client before the first whole event, so that until
//! then another replica can take over unseen. After that a stream that breaks
//! goes on at another replica after the last event, where the route allows it.

use std::pin::pin;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use briarhall_net::Body;
use briarhall_net::BodySender;
use briarhall_net::Connection;
use briarhall_net::Exchange;
use briarhall_net::read_limited;
use briarhall_net::timeout;
use briarhall_policy::health::SendOutcome;
use bytes::Bytes;
use compact_str::CompactString;
use futures_lite::future;
use futures_lite::future::pending;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::http::response;

use crate::answer::GiveUp;
use crate::attempt::Sender;
use crate::attempt::Sends;
use crate::attempt::Sent;
use crate::attempt::elapsed_ms;
use crate::headers::pass_on;
use crate::job::Job;
use crate::job::stream_patience;
use crate::place::Place;
use crate::plain::last_word;
use crate::sse::Event;
use crate::sse::EventSplitter;
use crate::state::note_ran;
use crate::wire::Wire;

/// Shortest silence that counts as a failure: the longest pass of an engine that
/// prefills nothing long is far below it.
const SHORTEST_SILENCE: Duration = Duration::from_millis(600);
/// Silence before the first event, in predicted times to it.
const SILENCE_IN_PREDICTIONS: f64 = 3.0;
/// Silence before the first event, against the time for which the client waits:
/// another engine must still be able to take over.
const SILENCE_BEFORE: f64 = 0.45;
/// Silence between events, against the same.
const SILENCE_BETWEEN: f64 = 0.6;
/// Longest answer that is no stream: a failure's text.
const MAX_FAILURE_BYTES: usize = 1024 * 1024;
/// Kept back to tell the client that its time is over.
const TO_TELL: Duration = Duration::from_millis(20);
/// Pause after a replica turned a request away.
const AFTER_REFUSAL: Duration = Duration::from_millis(10);
/// Tokens of one event, to know what a resumed stream must prefill again.
const EVENT_TOKENS: u64 = 40;

/// An answer that has begun at a replica.
struct Source<W>
where
    W: Wire,
{
    place: Place<W>,
    body: Incoming,
    splitter: EventSplitter,
    /// Why it broke off, once it has.
    broken: Option<CompactString>,
    _connection: Connection,
}

enum Next {
    Event(Event),
    /// The replica ended its answer as it should; what was not a whole event.
    End(Bytes),
    Broken(CompactString),
    Silent,
}

/// Serves a stream; its rest goes on in a task of its own.
///
/// # Errors
///
/// Returns the answer for the client when no replica began one.
pub async fn serve<W>(sender: &Sender<W>, job: Job) -> Result<Response<Body>, GiveUp>
where
    W: Wire,
{
    let mut sends = Sends::default();
    loop {
        let place = sender.place(&job, &sends, 0).await?;
        let began = begin(sender, &job, place, None, &mut sends).await;
        let ran = match began {
            Began::Events {
                parts,
                source,
                first,
            } => {
                let (tx, body) = Body::channel();
                let mut reply = pass_on(*parts, body);
                reply.headers_mut().remove(CONTENT_LENGTH);
                let sender = sender.clone();
                let executor = sender.executor.clone();
                executor.detach(async move {
                    Relay::new(sender, job, sends).run(*source, first, tx).await;
                });
                return Ok(reply);
            }
            Began::Other(parts, body) => {
                let again = parts.status.is_server_error() && sends.allow_another(&job, true);
                if !again {
                    log_end(&job, "passed_on", parts.status.as_u16(), 0, &sends);
                    return Ok(pass_on(*parts, Body::whole(body)));
                }
                true
            }
            Began::NotRun => false,
            Began::Lost => true,
        };
        if !sends.allow_another(&job, ran) {
            return Err(last_word(&job, &sends));
        }
        if !ran {
            Timer::after(AFTER_REFUSAL).await;
        }
    }
}

/// How an answer began.
enum Began<W>
where
    W: Wire,
{
    Events {
        parts: Box<response::Parts>,
        source: Box<Source<W>>,
        first: Next,
    },
    /// An answer that is no stream of events, whole.
    Other(Box<response::Parts>, Bytes),
    NotRun,
    Lost,
}

async fn begin<W>(
    sender: &Sender<W>,
    job: &Job,
    place: Place<W>,
    resume_after: Option<&str>,
    sends: &mut Sends,
) -> Began<W>
where
    W: Wire,
{
    let left = job.left().saturating_sub(TO_TELL);
    let predicted = Duration::from_secs_f64(place.predicted_ms.max(0.0) / 1_000.0);
    let patience = stream_patience(&job.route);
    let silence = predicted
        .mul_f64(SILENCE_IN_PREDICTIONS)
        .max(patience.mul_f64(SILENCE_BEFORE))
        .max(SHORTEST_SILENCE);
    let again = job.repeatable()
        && sends.may_have_run + 1 < job.route.max_attempts
        && sender.shared.has_budget(&job.service);
    let limit = if again { silence.min(left) } else { left };
    let until = Instant::now() + limit;
    let exchange = match sender.send(job, &place, resume_after, limit, sends).await {
        Sent::Answer(exchange, _head) => *exchange,
        Sent::NotRun => return Began::NotRun,
        Sent::Lost => return Began::Lost,
    };
    let Exchange { reply, connection } = exchange;
    let (parts, body) = reply.into_parts();
    if !parts.status.is_success() {
        let whole = read_limited(body, MAX_FAILURE_BYTES);
        return match timeout(left, whole).await {
            Ok(Ok(body)) => {
                if parts.status.is_server_error() {
                    let id = &place.replica.id;
                    note_ran(&sender.shared, job, id, place.since, SendOutcome::Failed);
                }
                Began::Other(Box::new(parts), body)
            }
            Ok(Err(_)) | Err(_) => Began::Lost,
        };
    }
    let mut source = Source {
        place,
        body,
        splitter: EventSplitter::default(),
        broken: None,
        _connection: connection,
    };
    let wait = until.saturating_duration_since(Instant::now());
    let first = source.next(wait).await;
    if let Next::Broken(_) | Next::Silent = &first {
        let Place { replica, since, .. } = &source.place;
        log_break(job, &replica.id, &first, 0);
        note_ran(&sender.shared, job, &replica.id, *since, outcome_of(&first));
        return Began::Lost;
    }
    source.place.work_guard.prefilled();
    Began::Events {
        parts: Box::new(parts),
        source: Box::new(source),
        first,
    }
}

impl<W> Source<W>
where
    W: Wire,
{
    /// Returns what comes next, within `limit`. What is cut off here is not
    /// lost: the next call goes on.
    async fn next(&mut self, limit: Duration) -> Next {
        if let Some(reason) = &self.broken {
            return Next::Broken(reason.clone());
        }
        let next = timeout(limit, self.read()).await;
        let next = next.unwrap_or(Next::Silent);
        if let Next::Broken(reason) = &next {
            self.broken = Some(reason.clone());
        }
        next
    }

    async fn read(&mut self) -> Next {
        loop {
            if let Some(event) = self.splitter.next_event() {
                return Next::Event(event);
            }
            match self.body.frame().await {
                None => return Next::End(self.splitter.take_rest()),
                Some(Err(e)) => return Next::Broken(CompactString::from(e.to_string())),
                Some(Ok(frame)) => {
                    let Some(data) = frame.data_ref() else {
                        continue;
                    };
                    if let Err(e) = self.splitter.push(data) {
                        return Next::Broken(CompactString::from(e.to_string()));
                    }
                }
            }
        }
    }
}

/// Passes the events of one stream on, from one replica after the other.
struct Relay<W> {
    sender: Sender<W>,
    job: Job,
    sends: Sends,
    last_id: Option<CompactString>,
    events: u64,
}

enum Ended {
    Complete,
    ClientLeft,
    TimeOver,
    Broken,
}

impl Ended {
    fn as_str(&self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::ClientLeft => "client_left",
            Self::TimeOver => "time_over",
            Self::Broken => "broken",
        }
    }
}

impl<W> Relay<W>
where
    W: Wire,
{
    fn new(sender: Sender<W>, job: Job, sends: Sends) -> Self {
        Self {
            sender,
            job,
            sends,
            last_id: None,
            events: 0,
        }
    }

    async fn run(mut self, source: Source<W>, first: Next, tx: BodySender) {
        let ends = self.job.ends;
        let metrics = self.sender.shared.metrics.clone();
        metrics.time("stream_first_event", self.job.arrived.elapsed());
        let first_ms = elapsed_ms(self.job.arrived);
        let ended = {
            let left = async {
                tx.closed().await;
                Ended::ClientLeft
            };
            let over = async {
                Timer::at(ends).await;
                Ended::TimeOver
            };
            let events = pin!(self.events(source, first, &tx));
            future::or(events, future::or(left, over)).await
        };
        metrics.time("stream", self.job.arrived.elapsed());
        metrics.count(&format!("stream_{}", ended.as_str()));
        log::info!(
            event = "ended",
            request = self.job.head.id.as_str(),
            outcome = ended.as_str(),
            first_ms,
            events = self.events,
            sends = self.sends.may_have_run + self.sends.refused,
            total_ms = elapsed_ms(self.job.arrived);
            "ended"
        );
        if matches!(ended, Ended::Complete) {
            tx.finish().await;
        }
        // Dropping the sender without an end breaks the client's connection.
    }

    async fn events(&mut self, mut source: Source<W>, first: Next, tx: &BodySender) -> Ended {
        let patience = stream_patience(&self.job.route);
        let silence = patience.mul_f64(SILENCE_BETWEEN);
        let mut next = first;
        loop {
            match next {
                Next::Event(event) => {
                    if !self.is_repeated(&event) {
                        if event.id.is_some() {
                            self.last_id.clone_from(&event.id);
                        }
                        self.events += 1;
                        if tx.send(event.bytes).await.is_err() {
                            return Ended::ClientLeft;
                        }
                    }
                }
                Next::End(rest) => {
                    self.note(&source.place, SendOutcome::Answered);
                    if !rest.is_empty() && tx.send(rest).await.is_err() {
                        return Ended::ClientLeft;
                    }
                    return Ended::Complete;
                }
                Next::Broken(_) => {
                    let id = &source.place.replica.id;
                    log_break(&self.job, id, &next, self.events);
                    self.note(&source.place, SendOutcome::Broken);
                    drop(source);
                    match self.resume().await {
                        Some((resumed, event)) => {
                            source = resumed;
                            next = event;
                            continue;
                        }
                        None => return Ended::Broken,
                    }
                }
                Next::Silent => {
                    // With no time left each wait ends at once, and this task
                    // would never let another run.
                    if self.job.left().is_zero() {
                        return Ended::TimeOver;
                    }
                    let id = &source.place.replica.id;
                    log_break(&self.job, id, &next, self.events);
                    self.note(&source.place, SendOutcome::Silent);
                    (source, next) = self.overtake(source).await;
                    continue;
                }
            }
            next = source.next(silence).await;
        }
    }

    fn note(&self, place: &Place<W>, outcome: SendOutcome) {
        let id = &place.replica.id;
        note_ran(&self.sender.shared, &self.job, id, place.since, outcome);
    }

    /// Returns whether the client has an event already.
    fn is_repeated(&self, event: &Event) -> bool {
        let number = |id: &CompactString| id.parse::<u64>().ok();
        match (
            self.last_id.as_ref().and_then(number),
            event.id.as_ref().and_then(number),
        ) {
            (Some(last), Some(id)) => id <= last,
            _ => false,
        }
    }

    /// Lets another replica go on where one is silent, and takes whichever has
    /// something first. The silent one is not given up before: it may be all
    /// there is.
    async fn overtake(&mut self, mut silent: Source<W>) -> (Source<W>, Next) {
        let left = self.job.left();
        let other = {
            let awakes = async {
                match silent.next(left).await {
                    // The other one may still go on.
                    Next::Broken(_) => pending().await,
                    next => Err(next),
                }
            };
            let takes_over = async { Ok(self.resume().await) };
            future::or(awakes, takes_over).await
        };
        match other {
            Ok(Some(other)) => other,
            Err(next) => (silent, next),
            Ok(None) => {
                let next = silent.next(self.job.left()).await;
                (silent, next)
            }
        }
    }

    async fn resume(&mut self) -> Option<(Source<W>, Next)> {
        let after = self.last_id.clone();
        // Without an id nobody can say where the stream broke.
        if after.is_none() && self.events > 0 {
            return None;
        }
        let mut ran = true;
        while self.sends.allow_another(&self.job, ran) {
            let generated = self.events * EVENT_TOKENS;
            let place = self
                .sender
                .place(&self.job, &self.sends, generated)
                .await
                .ok()?;
            let after = after.as_deref();
            match begin(&self.sender, &self.job, place, after, &mut self.sends).await {
                Began::Events { source, first, .. } => return Some((*source, first)),
                Began::Other(..) => return None,
                Began::NotRun => {
                    ran = false;
                    Timer::after(AFTER_REFUSAL).await;
                }
                Began::Lost => ran = true,
            }
        }
        None
    }
}

fn outcome_of(next: &Next) -> SendOutcome {
    match next {
        Next::Silent => SendOutcome::Silent,
        Next::Broken(_) => SendOutcome::Broken,
        Next::Event(_) | Next::End(_) => SendOutcome::Answered,
    }
}

fn log_break(job: &Job, replica: &str, next: &Next, events: u64) {
    let reason = match next {
        Next::Broken(reason) => reason.as_str(),
        _ => "silent",
    };
    log::info!(
        event = "stream_broken",
        request = job.head.id.as_str(),
        replica,
        reason,
        events,
        after_ms = elapsed_ms(job.arrived);
        "stream broken"
    );
}

fn log_end(job: &Job, outcome: &str, status: u16, events: u64, sends: &Sends) {
    log::info!(
        event = "ended",
        request = job.head.id.as_str(),
        outcome,
        status,
        events,
        sends = sends.may_have_run + sends.refused,
        total_ms = elapsed_ms(job.arrived);
        "ended"
    );
}
