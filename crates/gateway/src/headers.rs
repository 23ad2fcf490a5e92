//! Removes hop-by-hop headers from messages that are forwarded.

use briarhall_net::Body;
use hyper::HeaderMap;
use hyper::Response;
use hyper::header::CONNECTION;
use hyper::header::HeaderName;
use hyper::header::TRANSFER_ENCODING;
use hyper::header::UPGRADE;
use hyper::http::response;

/// Returns a replica's answer for the client, without hop-by-hop headers.
#[must_use]
pub fn client_response(parts: response::Parts, body: Body) -> Response<Body> {
    let mut reply = Response::new(body);
    *reply.status_mut() = parts.status;
    *reply.headers_mut() = parts.headers;
    remove_connection_headers(reply.headers_mut());
    reply
}

/// Removes hop-by-hop headers, including those that `Connection` names.
pub fn remove_connection_headers(headers: &mut HeaderMap) {
    let named = headers.get_all(CONNECTION).iter();
    let named = named.filter_map(|value| value.to_str().ok());
    let named = named.flat_map(|value| value.split(','));
    let named = named.filter_map(|name| name.trim().parse::<HeaderName>().ok());
    let named = named.collect::<Vec<_>>();
    for name in named {
        headers.remove(name);
    }
    for name in [CONNECTION, TRANSFER_ENCODING, UPGRADE] {
        headers.remove(name);
    }
    for name in ["keep-alive", "proxy-connection", "te", "trailer"] {
        headers.remove(name);
    }
}
