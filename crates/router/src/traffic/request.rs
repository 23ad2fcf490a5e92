//! Reads and checks callers' requests.

use std::sync::Arc;
use std::time::Duration;

use briarhall_net::Client;
use briarhall_net::ReadBodyError;
use briarhall_net::ReadWithinError;
use briarhall_net::Share;
use briarhall_net::read_from_client;
use briarhall_net::timeout;
use briarhall_policy::holdings::Pool;
use briarhall_types::Digest;
use briarhall_types::Problem;
use briarhall_types::estimate_tokens;
use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use serde::Deserialize;

const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Time for a body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Copies of a body that exist while its request runs: as text, and as it is sent.
const BODY_COPIES: usize = 2;
const CROWDED_RETRY_AFTER: Duration = Duration::from_secs(1);
const DEFAULT_MAX_TOKENS: u64 = 16;
const MAX_MAX_TOKENS: u64 = 32_768;
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;

/// Header by which a caller says that a request must not run twice.
pub const REPEATABLE_HEADER: &str = "briarhall-repeatable";
const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Form of a completion request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Form {
    /// A prompt.
    Prompt,
    /// Messages of a chat.
    Chat,
}

/// Whether a request may run twice, according to its headers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RepeatPolicy {
    /// Value of `Idempotency-Key`.
    pub idempotency_key: Option<String>,
    /// Whether the caller forbids running it twice.
    pub forbidden: bool,
}

/// A checked completion request.
#[derive(Debug, Clone)]
pub struct Completion {
    /// Form of the request.
    pub form: Form,
    /// Model.
    pub model: String,
    /// Prompt.
    pub prompt: String,
    /// Tokens of the prompt, estimated.
    pub tokens: u64,
    /// Tokens to generate.
    pub max_tokens: u64,
    /// Whether the answer is streamed.
    pub stream: bool,
}

#[derive(Debug, Deserialize)]
struct PromptBody {
    model: String,
    prompt: String,
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

#[derive(Debug, Deserialize)]
struct ChatBody {
    model: String,
    messages: Vec<ChatMessage>,
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

#[derive(Debug, Deserialize)]
struct ChatMessage {
    role: String,
    content: String,
}

/// Returns the digest of the caller's key.
///
/// # Errors
///
/// Returns a problem when there is none.
pub fn key(headers: &HeaderMap) -> Result<Digest, Problem> {
    let value = headers.get(AUTHORIZATION).and_then(|v| v.to_str().ok());
    let key = value.and_then(|v| v.strip_prefix("Bearer "));
    let missing = || {
        let detail = "send the contract's key as `Authorization: Bearer KEY`";
        Problem::not_run(401, "key-missing", detail)
    };
    Ok(Digest::of(key.ok_or_else(missing)?.as_bytes()))
}

/// Reads the headers that say whether a request may run twice.
///
/// # Errors
///
/// Returns a problem when a header is invalid.
pub fn repeat_policy(headers: &HeaderMap) -> Result<RepeatPolicy, Problem> {
    let text = |name: &str| headers.get(name).map(|v| v.to_str().unwrap_or_default());
    let forbidden = match text(REPEATABLE_HEADER) {
        None | Some("yes") => false,
        Some("no") => true,
        Some(_) => {
            let detail = "`Briarhall-Repeatable` must be `yes` or `no`";
            return Err(bad_request(detail));
        }
    };
    let idempotency_key = match text(IDEMPOTENCY_HEADER) {
        None => None,
        Some(key) if key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES => {
            let detail = "`Idempotency-Key` must have 1 to 255 visible characters";
            return Err(bad_request(detail));
        }
        Some(key) => Some(key.to_owned()),
    };
    Ok(RepeatPolicy {
        idempotency_key,
        forbidden,
    })
}

/// What a request holds of the process until it has ended, whether its caller is still there
/// or not.
#[derive(Debug)]
pub struct RequestHold {
    _place: Share,
    _copies: Share,
}

/// Reads a body.
///
/// # Errors
///
/// Returns a problem when it is too long or cut short, or when callers together hold too much
/// of the process.
pub async fn body(mut req: Request<Incoming>) -> Result<(Bytes, RequestHold), Problem> {
    // Sessions add their client to each request.
    let client = req.extensions_mut().remove::<Arc<Client>>();
    let client = client.ok_or_else(crowded)?;
    let place = client.take(Pool::Requests, 1).await;
    let place = place.map_err(|_no_room| crowded())?;
    let reading = read_from_client(req.into_body(), MAX_BODY_BYTES, &client);
    let read = timeout(BODY_TIMEOUT, reading).await;
    let read = read.map_err(|_e| {
        let detail = "the body did not arrive in time; send it again";
        Problem::not_run(408, "body-timeout", detail)
    })?;
    let body = read.map_err(|e| match e {
        ReadWithinError::Body(ReadBodyError::TooLarge { limit }) => {
            let detail = format!("the body is longer than {limit} bytes; send a shorter one");
            Problem::not_run(413, "body-too-large", detail)
        }
        ReadWithinError::Body(ReadBodyError::Truncated(reason)) => {
            bad_request(format!("the body was cut short: {reason}"))
        }
        ReadWithinError::NoMemory { .. } => crowded(),
    })?;
    let copies = body.len().saturating_mul(BODY_COPIES);
    let copies = client.take(Pool::Bodies, copies).await;
    let hold = RequestHold {
        _place: place,
        _copies: copies.map_err(|_no_room| crowded())?,
    };
    Ok((body, hold))
}

fn crowded() -> Problem {
    let detail = "callers together hold too much of this router; send the request again later";
    Problem::not_run(503, "crowded", detail).retry_after(CROWDED_RETRY_AFTER)
}

/// Parses a completion request.
///
/// # Errors
///
/// Returns a problem that names what is wrong.
pub fn completion(form: Form, body: &[u8]) -> Result<Completion, Problem> {
    let (model, prompt, max_tokens, stream) = match form {
        Form::Prompt => {
            let body = serde_json::from_slice::<PromptBody>(body).map_err(|e| not_json(&e))?;
            (body.model, body.prompt, body.max_tokens, body.stream)
        }
        Form::Chat => {
            let body = serde_json::from_slice::<ChatBody>(body).map_err(|e| not_json(&e))?;
            let prompt = chat_prompt(&body.messages);
            (body.model, prompt, body.max_tokens, body.stream)
        }
    };
    if prompt.is_empty() {
        return Err(bad_request("the prompt is empty"));
    }
    let max_tokens = max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    if max_tokens == 0 || max_tokens > MAX_MAX_TOKENS {
        return Err(bad_request(format!(
            "`max_tokens` is {max_tokens}; choose 1 to {MAX_MAX_TOKENS}"
        )));
    }
    Ok(Completion {
        form,
        model,
        tokens: estimate_tokens(prompt.len()),
        prompt,
        max_tokens,
        stream,
    })
}

/// Returns a problem for an invalid request.
pub fn bad_request(detail: impl Into<String>) -> Problem {
    Problem::not_run(400, "bad-request", detail)
}

fn not_json(e: &serde_json::Error) -> Problem {
    bad_request(format!("the body is not the expected JSON: {e}"))
}

fn chat_prompt(messages: &[ChatMessage]) -> String {
    let mut prompt = String::new();
    for message in messages {
        prompt.push_str(&message.role);
        prompt.push_str(": ");
        prompt.push_str(&message.content);
        prompt.push('\n');
    }
    prompt
}
