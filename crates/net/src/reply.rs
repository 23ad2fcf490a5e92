//! HTTP replies in the formats that all programs share.

use briarhall_types::Outcome;
use briarhall_types::Problem;
use bytes::Bytes;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use serde::Serialize;

use crate::Body;

/// Replies with a JSON document.
#[must_use]
pub fn json<T>(code: StatusCode, value: &T) -> Response<Body>
where
    T: Serialize,
{
    let text = serde_json::to_vec(value).unwrap_or_default();
    let mut reply = Response::new(Body::full(text));
    *reply.status_mut() = code;
    let media_type = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(CONTENT_TYPE, media_type);
    reply
}

/// Replies with a status and an empty body.
#[must_use]
pub fn status(code: StatusCode) -> Response<Body> {
    let mut reply = Response::new(Body::empty());
    *reply.status_mut() = code;
    reply
}

/// Replies with a problem document.
#[must_use]
pub fn problem(problem: &Problem) -> Response<Body> {
    let code = StatusCode::from_u16(problem.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut reply = json(code, problem);
    let headers = reply.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(Problem::MEDIA_TYPE));
    headers.insert(
        Outcome::HEADER,
        HeaderValue::from_static(problem.outcome.as_str()),
    );
    if let Some(seconds) = problem.retry_after {
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    reply
}

/// Formats one server-sent event whose data is a JSON document.
#[must_use]
pub fn event<T>(value: &T) -> Bytes
where
    T: Serialize,
{
    let mut text = b"data: ".to_vec();
    // Writing to memory fails only for types that JSON cannot represent.
    let _result = serde_json::to_writer(&mut text, value);
    text.extend_from_slice(b"\n\n");
    Bytes::from(text)
}
