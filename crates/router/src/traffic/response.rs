//! Writes the answer of a completion request to its caller: a stream of events,
//! or one document.
//!
//! The head of a streamed answer is sent with the first token or, after a second
//! without one, with the first keep-alive. A refusal before that can still be a
//! plain HTTP status.

use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use briarhall_net::Body;
use briarhall_net::BodySender;
use briarhall_net::event;
use briarhall_net::json;
use briarhall_net::problem;
use briarhall_types::Outcome;
use briarhall_types::Problem;
use briarhall_types::RequestId;
use bytes::Bytes;
use futures_lite::future;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use serde::Serialize;

use super::request::Completion;
use super::request::Form;

/// Longest silence on a stream before a keep-alive is sent.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEP_ALIVE: &[u8] = b": keep-alive\n\n";
const DONE: &[u8] = b"data: [DONE]\n\n";

/// The caller disconnected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerGone;

/// Writes one answer to its caller.
#[derive(Debug)]
pub struct ResponseWriter {
    id: RequestId,
    form: Form,
    model: String,
    head: Sender<Response<Body>>,
    stream: Streaming,
    text: String,
    tokens: u64,
    last_sent: Instant,
}

#[derive(Debug)]
enum Streaming {
    /// The answer is one document.
    No,
    /// The answer is a stream whose head was not sent yet.
    HeadNotSent,
    /// Events are being sent.
    Open(BodySender),
}

#[derive(Debug, Serialize)]
struct Document<'a> {
    id: String,
    object: &'a str,
    model: &'a str,
    choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Debug, Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Message<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Message<'a>>,
    finish_reason: Option<&'a str>,
}

#[derive(Debug, Serialize)]
struct Message<'a> {
    role: &'a str,
    content: &'a str,
}

#[derive(Debug, Serialize)]
struct Usage {
    completion_tokens: u64,
}

#[derive(Debug, Serialize)]
struct Failure<'a> {
    error: &'a Problem,
}

impl ResponseWriter {
    /// Creates a writer, and the receiver of the response.
    pub fn new(id: RequestId, req: &Completion) -> (Self, Receiver<Response<Body>>) {
        let (head, rx) = async_channel::bounded(1);
        let stream = if req.stream {
            Streaming::HeadNotSent
        } else {
            Streaming::No
        };
        let writer = Self {
            id,
            form: req.form,
            model: req.model.clone(),
            head,
            stream,
            text: String::new(),
            tokens: 0,
            last_sent: Instant::now(),
        };
        (writer, rx)
    }

    /// Returns the number of tokens passed to [`Self::push_token`].
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Waits until the caller disconnects.
    pub async fn caller_gone(&self) {
        match &self.stream {
            Streaming::Open(tx) => tx.closed().await,
            Streaming::No | Streaming::HeadNotSent => self.head.closed().await,
        }
    }

    /// Sends a token, or appends it to the document.
    pub async fn push_token(&mut self, text: &str) -> Result<(), CallerGone> {
        self.tokens += 1;
        if matches!(self.stream, Streaming::No) {
            self.text.push_str(text);
            return Ok(());
        }
        let bytes = event(&self.document(Some(text), None, None));
        self.send(bytes).await
    }

    /// Sends a keep-alive if the stream was silent for long enough.
    pub async fn keep_alive_if_due(&mut self) -> Result<(), CallerGone> {
        if matches!(self.stream, Streaming::No) || self.last_sent.elapsed() < KEEP_ALIVE_INTERVAL {
            return Ok(());
        }
        self.send(Bytes::from_static(KEEP_ALIVE)).await
    }

    /// Sends keep-alives until the caller disconnects.
    pub async fn keep_alive_until_gone(&mut self) -> CallerGone {
        loop {
            let gone = async {
                self.caller_gone().await;
                true
            };
            let due = async {
                Timer::after(KEEP_ALIVE_INTERVAL).await;
                false
            };
            if future::or(gone, due).await || self.keep_alive_if_due().await.is_err() {
                return CallerGone;
            }
        }
    }

    /// Ends a complete answer.
    pub async fn finish(mut self) -> Result<(), CallerGone> {
        if matches!(self.stream, Streaming::No) {
            let usage = Usage {
                completion_tokens: self.tokens,
            };
            let document = self.document(Some(&self.text), Some("length"), Some(usage));
            let reply = with_outcome(json(StatusCode::OK, &document), Outcome::Answered);
            return self.head.try_send(reply).map_err(|_e| CallerGone);
        }
        let end = event(&self.document(None, Some("length"), None));
        self.send(end).await?;
        self.send(Bytes::from_static(DONE)).await?;
        if let Streaming::Open(tx) = self.stream {
            tx.finish().await;
        }
        Ok(())
    }

    /// Ends an answer with a failure.
    pub async fn fail(mut self, failure: &Problem) {
        if let Streaming::Open(_) = &self.stream {
            // The missing `[DONE]` shows that the answer is incomplete.
            let _gone = self.send(event(&Failure { error: failure })).await;
            if let Streaming::Open(tx) = self.stream {
                tx.finish().await;
            }
            return;
        }
        // A caller that disconnected needs no answer.
        let _gone = self.head.try_send(problem(failure));
    }

    async fn send(&mut self, bytes: Bytes) -> Result<(), CallerGone> {
        self.last_sent = Instant::now();
        if matches!(self.stream, Streaming::HeadNotSent) {
            self.open()?;
        }
        match &self.stream {
            Streaming::Open(tx) => tx.send(bytes).await.map_err(|_e| CallerGone),
            Streaming::No | Streaming::HeadNotSent => Ok(()),
        }
    }

    fn open(&mut self) -> Result<(), CallerGone> {
        let (tx, body) = Body::channel();
        let mut reply = Response::new(body);
        let media_type = HeaderValue::from_static("text/event-stream");
        reply.headers_mut().insert(CONTENT_TYPE, media_type);
        self.head.try_send(reply).map_err(|_e| CallerGone)?;
        self.stream = Streaming::Open(tx);
        Ok(())
    }

    fn document<'a>(
        &'a self,
        text: Option<&'a str>,
        finish_reason: Option<&'a str>,
        usage: Option<Usage>,
    ) -> Document<'a> {
        let streams = !matches!(self.stream, Streaming::No);
        let message = text.map(|content| Message {
            role: "assistant",
            content,
        });
        let choice = match (self.form, streams) {
            (Form::Prompt, _) => Choice {
                index: 0,
                text: Some(text.unwrap_or_default()),
                message: None,
                delta: None,
                finish_reason,
            },
            (Form::Chat, false) => Choice {
                index: 0,
                text: None,
                message,
                delta: None,
                finish_reason,
            },
            (Form::Chat, true) => Choice {
                index: 0,
                text: None,
                message: None,
                delta: message,
                finish_reason,
            },
        };
        Document {
            id: self.id.to_string(),
            object: self.object(streams),
            model: &self.model,
            choices: [choice],
            usage,
        }
    }

    fn object(&self, streams: bool) -> &'static str {
        match (self.form, streams) {
            (Form::Prompt, _) => "text_completion",
            (Form::Chat, false) => "chat.completion",
            (Form::Chat, true) => "chat.completion.chunk",
        }
    }
}

/// Adds the outcome header to a reply.
pub fn with_outcome(mut reply: Response<Body>, outcome: Outcome) -> Response<Body> {
    let value = HeaderValue::from_static(outcome.as_str());
    reply.headers_mut().insert(Outcome::HEADER, value);
    reply
}
