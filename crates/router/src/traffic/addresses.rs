//! Lists the router addresses that a caller should use.

use briarhall_net::Body;
use briarhall_net::json;
use briarhall_net::problem;
use briarhall_types::Problem;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde::Serialize;

use super::Traffic;
use super::request;
use crate::control::Msg;

#[derive(Debug, Serialize)]
struct Addresses {
    /// In the order in which to try them.
    addresses: Vec<Address>,
    keep_for_seconds: u64,
}

#[derive(Debug, Serialize)]
struct Address {
    address: String,
    zone: String,
}

impl Traffic {
    pub(super) async fn addresses(&self, req: &Request<Incoming>) -> Response<Body> {
        let key = match request::key(req.headers()) {
            Ok(key) => key,
            Err(e) => return problem(&e),
        };
        let customer = self.control.ask(|reply| Msg::Customer(key, reply)).await;
        let Some(customer) = customer else {
            let detail = "no contract has this key";
            return problem(&Problem::not_run(401, "key-not-known", detail));
        };
        let entries = self
            .control
            .ask(|reply| Msg::Addresses(customer, reply))
            .await;
        let addresses = entries.into_iter().map(|entry| Address {
            address: entry.address.to_string(),
            zone: entry.zone.to_string(),
        });
        let answer = Addresses {
            addresses: addresses.collect(),
            keep_for_seconds: self.address_ttl.as_secs(),
        };
        json(StatusCode::OK, &answer)
    }
}
