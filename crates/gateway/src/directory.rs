//! Serves the gateways' addresses to clients, and this gateway's readiness to
//! the platform.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use briarhall_net::Body;
use briarhall_net::Handler;
use briarhall_net::status;
use briarhall_policy::advertised::advertised;
use briarhall_policy::advertised::advertised_in_hard_load;
use briarhall_policy::advertised::answer;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;

use crate::state::Shared;
use crate::wire::Wire;

/// Most addresses in one answer, as many as clients accept.
const MAX_ADDRESSES: usize = 64;

/// Answers calls to the directory and readiness ports.
#[derive(Debug, Clone)]
pub struct Directory<W> {
    /// Reads calls and writes answers.
    pub wire: W,
    /// Control state.
    pub shared: Arc<Shared>,
}

impl<W> Handler for Directory<W>
where
    W: Wire,
{
    async fn handle(&self, req: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        if self.wire.is_address_request(req.uri()) {
            let addresses = self.serving_addresses();
            if addresses.is_empty() {
                return status(StatusCode::SERVICE_UNAVAILABLE);
            }
            let ttl = self.shared.settings.address_ttl;
            return self.wire.addresses_response(&addresses, ttl);
        }
        if self.wire.is_readiness_check(req.uri()) {
            let ready = self.shared.state().is_ready();
            let code = if ready {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            };
            return status(code);
        }
        status(StatusCode::NOT_FOUND)
    }
}

impl<W> Directory<W> {
    fn serving_addresses(&self) -> Vec<SocketAddr> {
        let now = Instant::now();
        let state = self.shared.state();
        let own = self.shared.presence(&state, now);
        let own = own.ready.then_some(&own);
        let serving = state.peers.serving(now).chain(own);
        let advertised = if state.expects_hard_load() {
            advertised_in_hard_load(serving)
        } else {
            advertised(serving)
        };
        let named = answer(&advertised, MAX_ADDRESSES, &mut rand::rng());
        named.into_iter().map(|p| p.client_address).collect()
    }
}
