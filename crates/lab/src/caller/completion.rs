//! A streamed completion whose every token is checked.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use briarhall_net::Body;
use briarhall_net::Call;
use briarhall_net::read_limited;
use briarhall_net::timeout;
use briarhall_standins::engine::token_text;
use briarhall_types::Outcome;
use briarhall_types::Problem;
use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::Value;
use serde_json::json;

use super::CallOutcome;
use super::Caller;
use crate::site::MODEL;

/// Time without data after which a caller closes a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
const MAX_PROBLEM_BYTES: usize = 64 * 1024;

/// Parameters of a completion.
#[derive(Debug, Clone)]
pub struct CompletionRequest {
    /// The prompt.
    pub prompt: String,
    /// Tokens to generate.
    pub max_tokens: u64,
    /// Idempotency key, for a request that must not run twice.
    pub idempotency_key: Option<String>,
}

impl CompletionRequest {
    /// Returns the digest under which the stand-in engines record the prompt.
    #[must_use]
    pub fn digest(&self) -> blake3::Hash {
        blake3::hash(self.prompt.as_bytes())
    }
}

/// Outcome of a completion with its times.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The outcome.
    pub outcome: CallOutcome,
    /// Time to the first token.
    pub first_token: Option<Duration>,
    /// Time from the request to its outcome.
    pub total: Duration,
    /// Longest time between two consecutive tokens.
    pub longest_gap: Duration,
    /// Seconds after which a refusal allows a retry.
    pub retry_after: Option<u64>,
}

/// Sends a completion to a router and checks the answer.
pub async fn complete(caller: &Caller, address: SocketAddr, request: &CompletionRequest) -> Answer {
    let body = json!({
        "model": MODEL,
        "prompt": request.prompt,
        "max_tokens": request.max_tokens,
        "stream": true,
    });
    let mut call = Call::post(address, "/v1/completions")
        .header("authorization", caller.authorization())
        .header("content-type", "application/json");
    if let Some(key) = &request.idempotency_key {
        call = call
            .header("idempotency-key", key)
            .header("briarhall-repeatable", "no");
    }
    let call = call.body(Body::full(body.to_string()));
    let mut reader = AnswerReader::new(request);
    let exchange = exchange(caller, call, &mut reader);
    let outcome = match timeout(caller.answer_timeout, exchange).await {
        Ok(outcome) => outcome,
        Err(_elapsed) => CallOutcome::Lost("no final answer in time".to_owned()),
    };
    Answer {
        outcome,
        first_token: reader.first_token,
        total: reader.started.elapsed(),
        longest_gap: reader.longest_gap,
        retry_after: reader.retry_after,
    }
}

async fn exchange(caller: &Caller, call: Call, reader: &mut AnswerReader<'_>) -> CallOutcome {
    // The response head comes with the first token, or with the first keep-alive
    // after a second.
    let reply = match caller.client.send(call, IDLE_TIMEOUT).await {
        Ok(reply) => reply,
        Err(e) => return CallOutcome::Lost(e.to_string()),
    };
    if !reply.status().is_success() {
        let text = read_limited(reply.into_body(), MAX_PROBLEM_BYTES).await;
        let problem = text
            .ok()
            .and_then(|text| serde_json::from_slice(&text).ok());
        return match problem {
            Some(problem) => reader.record_problem(&problem),
            None => CallOutcome::Lost("a failure without a problem document".to_owned()),
        };
    }
    reader.read(reply.into_body()).await
}

struct AnswerReader<'a> {
    request: &'a CompletionRequest,
    digest: blake3::Hash,
    started: Instant,
    first_token: Option<Duration>,
    last_token: Option<Instant>,
    longest_gap: Duration,
    tokens: u64,
    retry_after: Option<u64>,
}

impl<'a> AnswerReader<'a> {
    fn new(request: &'a CompletionRequest) -> Self {
        Self {
            request,
            digest: request.digest(),
            started: Instant::now(),
            first_token: None,
            last_token: None,
            longest_gap: Duration::ZERO,
            tokens: 0,
            retry_after: None,
        }
    }

    async fn read(&mut self, mut body: Incoming) -> CallOutcome {
        let mut buf = BytesMut::new();
        loop {
            while let Some(event) = take_event(&mut buf) {
                if let Some(outcome) = self.handle_event(&event) {
                    return outcome;
                }
            }
            // A running request sends a token or a keep-alive every second.
            let Ok(frame) = timeout(IDLE_TIMEOUT, body.frame()).await else {
                return CallOutcome::Lost("the stream fell silent".to_owned());
            };
            match frame {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        buf.extend_from_slice(&data);
                    }
                }
                Some(Err(e)) => return CallOutcome::Lost(e.to_string()),
                None => return CallOutcome::Lost("the stream ended without an end".to_owned()),
            }
        }
    }

    fn handle_event(&mut self, event: &[u8]) -> Option<CallOutcome> {
        let data = event.strip_prefix(b"data: ")?;
        if data == b"[DONE]" {
            let complete = self.tokens == self.request.max_tokens;
            return Some(if complete {
                CallOutcome::Answered
            } else {
                CallOutcome::WrongAnswer
            });
        }
        let Ok(value) = serde_json::from_slice::<Value>(data) else {
            return Some(CallOutcome::WrongAnswer);
        };
        if !value["error"].is_null() {
            let problem = serde_json::from_value(value["error"].clone());
            return Some(match problem {
                Ok(problem) => self.record_problem(&problem),
                Err(e) => CallOutcome::Lost(e.to_string()),
            });
        }
        let text = value["choices"][0]["text"].as_str().unwrap_or_default();
        if text.is_empty() {
            return None;
        }
        self.check_token(text)
    }

    fn check_token(&mut self, text: &str) -> Option<CallOutcome> {
        if text != token_text(&self.digest, self.tokens) {
            return Some(CallOutcome::WrongAnswer);
        }
        self.tokens += 1;
        let now = Instant::now();
        if let Some(last) = self.last_token {
            self.longest_gap = self.longest_gap.max(now - last);
        } else {
            self.first_token = Some(now - self.started);
        }
        self.last_token = Some(now);
        None
    }

    fn record_problem(&mut self, problem: &Problem) -> CallOutcome {
        self.retry_after = problem.retry_after;
        match problem.outcome {
            Outcome::NotRun => CallOutcome::NotRun(problem.status),
            Outcome::Unknown => CallOutcome::Unknown(problem.status),
            Outcome::Answered => CallOutcome::Lost("a failure that says answered".to_owned()),
        }
    }
}

fn take_event(buf: &mut BytesMut) -> Option<Bytes> {
    let end = buf.windows(2).position(|pair| pair == b"\n\n")?;
    let event = buf.split_to(end).freeze();
    let _separator = buf.split_to(2);
    Some(event)
}
