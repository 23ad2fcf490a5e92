//! Handles operators' requests: contracts, status, audit trail, drain.

mod apply;
mod audit;

use std::net::SocketAddr;
use std::sync::Arc;

use briarhall_net::Body;
use briarhall_net::Handler;
use briarhall_net::json;
use briarhall_net::problem;
use briarhall_net::status;
use briarhall_objects::ObjectApi;
use briarhall_settings::OperatorKey;
use briarhall_types::Contract;
use briarhall_types::Problem;
use briarhall_types::Revision;
use compact_str::CompactString;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde::Serialize;

use crate::control::ControlHandle;
use crate::control::Msg;
use crate::traffic::request;

/// Handles operators' requests.
#[derive(Debug, Clone)]
pub struct OperatorApi<P> {
    /// The control thread.
    pub control: ControlHandle,
    /// The platform.
    pub platform: P,
    /// Keys of the operators.
    pub keys: Arc<Vec<OperatorKey>>,
    /// Sends a message when an operator asks this router to drain.
    pub drain: async_channel::Sender<()>,
}

#[derive(Debug, Serialize)]
struct ContractInForce {
    version: Revision,
    contract: Arc<Contract>,
}

impl<P> OperatorApi<P>
where
    P: ObjectApi,
{
    async fn route(&self, req: Request<Incoming>) -> Result<Response<Body>, Problem> {
        let operator = self.operator(&req)?;
        let path = req.uri().path().to_owned();
        let query = req.uri().query().unwrap_or_default().to_owned();
        let parts = path.trim_start_matches('/').split('/').collect::<Vec<_>>();
        match (req.method().clone(), parts.as_slice()) {
            (Method::GET, ["operator", "status"]) => {
                let status = self.control.ask(Msg::Status).await;
                Ok(json(StatusCode::OK, &status))
            }
            (Method::GET, ["operator", "contracts"]) => {
                let status = self.control.ask(Msg::Status).await;
                Ok(json(StatusCode::OK, &status.contracts))
            }
            (Method::GET, ["operator", "contracts", customer]) => self.contract(customer).await,
            (Method::PUT, ["operator", "contracts", customer]) => {
                let customer = CompactString::from(*customer);
                self.apply(operator, &customer, req).await
            }
            (Method::GET, ["operator", "audit"]) => self.audit(&query).await,
            (Method::POST, ["operator", "drain"]) => {
                // A repeated request changes nothing.
                let _already_draining = self.drain.try_send(());
                Ok(status(StatusCode::ACCEPTED))
            }
            (method, _) => {
                let detail = format!("there is no {method} {path} for operators");
                Err(Problem::not_run(404, "no-such-path", detail))
            }
        }
    }

    fn operator(&self, req: &Request<Incoming>) -> Result<CompactString, Problem> {
        let key = request::key(req.headers())?;
        // Compares every digest, so that the time taken reveals nothing.
        let mut found = None;
        for known in self.keys.iter() {
            if known.digest == key {
                found = Some(known.name.clone());
            }
        }
        found.ok_or_else(|| {
            let detail = "no operator has this key; see `operator_keys` in the settings";
            Problem::not_run(401, "key-not-known", detail)
        })
    }

    async fn contract(&self, customer: &str) -> Result<Response<Body>, Problem> {
        let name = CompactString::from(customer);
        let found = self.control.ask(|reply| Msg::Contract(name, reply)).await;
        let (version, contract) = found.ok_or_else(|| {
            let detail = format!("there is no contract for `{customer}`");
            Problem::not_run(404, "no-such-contract", detail)
        })?;
        Ok(json(StatusCode::OK, &ContractInForce { version, contract }))
    }
}

impl<P> Handler for OperatorApi<P>
where
    P: ObjectApi,
{
    async fn handle(&self, req: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        match self.route(req).await {
            Ok(reply) => reply,
            Err(e) => problem(&e),
        }
    }
}
