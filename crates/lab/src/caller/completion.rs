//! One completion, streamed and checked.

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

use super::Caller;
use super::Verdict;
use crate::site::MODEL;

/// Silence after which a caller gives a connection up.
const SILENCE_LIMIT: Duration = Duration::from_secs(4);
const MAX_PROBLEM_BYTES: usize = 64 * 1024;

/// A completion to ask for.
#[derive(Debug, Clone)]
pub struct CompletionPlan {
    /// The prompt.
    pub prompt: String,
    /// Tokens to generate.
    pub max_tokens: u64,
    /// Idempotency key of a request that must not run twice.
    pub once_key: Option<String>,
}

impl CompletionPlan {
    /// Returns the digest that the stand-in engines know the prompt by.
    #[must_use]
    pub fn digest(&self) -> blake3::Hash {
        blake3::hash(self.prompt.as_bytes())
    }
}

/// A verdict and when its parts came.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The verdict.
    pub verdict: Verdict,
    /// Time to the first token.
    pub first_token: Option<Duration>,
    /// Time to the end.
    pub total: Duration,
    /// Longest time between two tokens.
    pub longest_gap: Duration,
    /// When a refusal said to come back.
    pub retry_after: Option<u64>,
}

/// Asks a router for a completion and checks the answer.
pub async fn complete(caller: &Caller, address: SocketAddr, plan: &CompletionPlan) -> Answer {
    let body = json!({
        "model": MODEL,
        "prompt": plan.prompt,
        "max_tokens": plan.max_tokens,
        "stream": true,
    });
    let mut call = Call::post(address, "/v1/completions")
        .header("authorization", caller.authorization())
        .header("content-type", "application/json");
    if let Some(key) = &plan.once_key {
        call = call
            .header("idempotency-key", key)
            .header("briarhall-repeatable", "no");
    }
    let call = call.body(Body::full(body.to_string()));
    let mut reader = Reader::new(plan);
    let exchange = exchange(caller, call, &mut reader);
    let verdict = match timeout(caller.patience, exchange).await {
        Ok(verdict) => verdict,
        Err(_elapsed) => Verdict::Lost("no final answer in time".to_owned()),
    };
    Answer {
        verdict,
        first_token: reader.first_token,
        total: reader.started.elapsed(),
        longest_gap: reader.longest_gap,
        retry_after: reader.retry_after,
    }
}

async fn exchange(caller: &Caller, call: Call, reader: &mut Reader<'_>) -> Verdict {
    // The head comes with the first token, or as a sign of life after a second.
    let reply = match caller.client.send(call, SILENCE_LIMIT).await {
        Ok(reply) => reply,
        Err(e) => return Verdict::Lost(e.to_string()),
    };
    if !reply.status().is_success() {
        let text = read_limited(reply.into_body(), MAX_PROBLEM_BYTES).await;
        let problem = text
            .ok()
            .and_then(|text| serde_json::from_slice(&text).ok());
        return match problem {
            Some(problem) => reader.problem(&problem),
            None => Verdict::Lost("a failure without a problem document".to_owned()),
        };
    }
    reader.read(reply.into_body()).await
}

struct Reader<'a> {
    plan: &'a CompletionPlan,
    digest: blake3::Hash,
    started: Instant,
    first_token: Option<Duration>,
    last_token: Option<Instant>,
    longest_gap: Duration,
    tokens: u64,
    retry_after: Option<u64>,
}

impl<'a> Reader<'a> {
    fn new(plan: &'a CompletionPlan) -> Self {
        Self {
            plan,
            digest: plan.digest(),
            started: Instant::now(),
            first_token: None,
            last_token: None,
            longest_gap: Duration::ZERO,
            tokens: 0,
            retry_after: None,
        }
    }

    async fn read(&mut self, mut body: Incoming) -> Verdict {
        let mut buf = BytesMut::new();
        loop {
            while let Some(event) = take_event(&mut buf) {
                if let Some(verdict) = self.event(&event) {
                    return verdict;
                }
            }
            // A request that is alive shows it every second.
            let Ok(frame) = timeout(SILENCE_LIMIT, body.frame()).await else {
                return Verdict::Lost("the stream fell silent".to_owned());
            };
            match frame {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        buf.extend_from_slice(&data);
                    }
                }
                Some(Err(e)) => return Verdict::Lost(e.to_string()),
                None => return Verdict::Lost("the stream ended without an end".to_owned()),
            }
        }
    }

    fn event(&mut self, event: &[u8]) -> Option<Verdict> {
        let data = event.strip_prefix(b"data: ")?;
        if data == b"[DONE]" {
            let whole = self.tokens == self.plan.max_tokens;
            return Some(if whole {
                Verdict::Answered
            } else {
                Verdict::Crossed
            });
        }
        let Ok(value) = serde_json::from_slice::<Value>(data) else {
            return Some(Verdict::Crossed);
        };
        if !value["error"].is_null() {
            let problem = serde_json::from_value(value["error"].clone());
            return Some(match problem {
                Ok(problem) => self.problem(&problem),
                Err(e) => Verdict::Lost(e.to_string()),
            });
        }
        let text = value["choices"][0]["text"].as_str().unwrap_or_default();
        if text.is_empty() {
            return None;
        }
        self.token(text)
    }

    fn token(&mut self, text: &str) -> Option<Verdict> {
        if text != token_text(&self.digest, self.tokens) {
            return Some(Verdict::Crossed);
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

    fn problem(&mut self, problem: &Problem) -> Verdict {
        self.retry_after = problem.retry_after;
        match problem.outcome {
            Outcome::NotRun => Verdict::NotRun(problem.status),
            Outcome::Unknown => Verdict::Unknown(problem.status),
            Outcome::Answered => Verdict::Lost("a failure that says answered".to_owned()),
        }
    }
}

fn take_event(buf: &mut BytesMut) -> Option<Bytes> {
    let end = buf.windows(2).position(|pair| pair == b"\n\n")?;
    let event = buf.split_to(end).freeze();
    let _separator = buf.split_to(2);
    Some(event)
}
