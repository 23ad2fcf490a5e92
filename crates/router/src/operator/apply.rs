//! Changes a contract: writes it on condition that its version is unchanged, then
//! waits until it is in force.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use briarhall_net::Body;
use briarhall_net::json;
use briarhall_objects::ObjectApi;
use briarhall_objects::PlatformError;
use briarhall_objects::Precondition;
use briarhall_policy::config_store::CONTRACT_PREFIX;
use briarhall_policy::config_store::ConfigValue;
use briarhall_policy::config_store::ContractRecord;
use briarhall_types::Contract;
use briarhall_types::CustomerName;
use briarhall_types::Problem;
use briarhall_types::Revision;
use briarhall_types::new_id;
use compact_str::CompactString;
use compact_str::format_compact;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::Serialize;

use super::OperatorApi;
use crate::control::AcceptanceWait;
use crate::control::Msg;
use crate::control::tasks::CONFIG_KIND;
use crate::traffic::request;

const ACCEPT_TIMEOUT: Duration = Duration::from_secs(10);
const RETRY_AFTER: Duration = Duration::from_secs(1);
const CONFIRM_TRIES: u32 = 5;
const CONFIRM_PAUSE: Duration = Duration::from_millis(300);

/// Body of a change.
#[derive(Debug, Deserialize)]
struct ApplyCall {
    /// Version that the change was made from; absent for a new contract.
    from_version: Option<Revision>,
    contract: Contract,
}

/// Answer to a change.
#[derive(Debug, Serialize)]
struct ApplyReply {
    version: Revision,
    /// `accepted`: in force at every router that admits. `pending`: written,
    /// and not yet known to be in force everywhere.
    state: &'static str,
    took_ms: u64,
}

/// A change that was checked.
#[derive(Debug)]
pub(super) struct Change {
    pub(super) id: CompactString,
    pub(super) operator: CompactString,
    pub(super) customer: CustomerName,
    pub(super) from_version: Option<Revision>,
    pub(super) before: Option<Arc<Contract>>,
    pub(super) contract: Arc<Contract>,
}

impl<P> OperatorApi<P>
where
    P: ObjectApi,
{
    pub(super) async fn apply(
        &self,
        operator: CompactString,
        customer: &CustomerName,
        req: Request<Incoming>,
    ) -> Result<Response<Body>, Problem> {
        let began = Instant::now();
        let (body, _hold) = request::body(req).await?;
        let call = serde_json::from_slice::<ApplyCall>(&body)
            .map_err(|e| request::bad_request(format!("the change is not understood: {e}")))?;
        check(customer, &call.contract)?;
        let name = customer.clone();
        let held = self.control.ask(|reply| Msg::Contract(name, reply)).await;
        let change = Change {
            id: CompactString::from(new_id().to_string()),
            operator,
            customer: customer.clone(),
            from_version: call.from_version,
            before: held.map(|(_, contract)| contract),
            contract: Arc::new(call.contract),
        };
        self.audit_proposed(&change).await?;
        let version = self.write(&change).await?;
        self.audit_written(&change, version).await;
        let accepted = self.wait_accepted(version).await;
        let reply = ApplyReply {
            version,
            state: if accepted { "accepted" } else { "pending" },
            took_ms: u64::try_from(began.elapsed().as_millis()).unwrap_or(u64::MAX),
        };
        let code = if accepted {
            StatusCode::OK
        } else {
            StatusCode::ACCEPTED
        };
        Ok(json(code, &reply))
    }

    async fn write(&self, change: &Change) -> Result<Revision, Problem> {
        let name = format_compact!("{CONTRACT_PREFIX}{}", change.customer);
        let value = ConfigValue::Contract(ContractRecord {
            change: change.id.clone(),
            operator: change.operator.clone(),
            contract: Arc::clone(&change.contract),
        });
        let precondition = change
            .from_version
            .map_or(Precondition::Absent, Precondition::Version);
        let written = self.platform.put(CONFIG_KIND, &name, precondition, &value);
        match written.await {
            Ok(written) => Ok(written.version),
            Err(e) if e.may_have_written() => self.confirm_write(change, &name).await,
            Err(e) => Err(not_written(&e)),
        }
    }

    /// Finds out whether a change was written when the answer to the write was
    /// lost, by the id of the change in the object.
    async fn confirm_write(&self, change: &Change, name: &str) -> Result<Revision, Problem> {
        for _ in 0..CONFIRM_TRIES {
            async_io::Timer::after(CONFIRM_PAUSE).await;
            if let Ok(object) = self.platform.get::<ConfigValue>(CONFIG_KIND, name).await {
                let is_ours = matches!(
                    &object.value,
                    ConfigValue::Contract(record) if record.change == change.id
                );
                if is_ours {
                    return Ok(object.version);
                }
                if Some(object.version) > change.from_version {
                    return Err(contract_changed(Some(object.version)));
                }
            }
        }
        let detail = "the platform did not answer; the change may have been written, look with `briarhall contract diff`";
        Err(Problem::unknown(504, "change-unknown", detail).retry_after(RETRY_AFTER))
    }

    async fn wait_accepted(&self, revision: Revision) -> bool {
        let ask = self
            .control
            .ask(|reply| Msg::WaitAccepted(AcceptanceWait { revision, reply }));
        briarhall_net::timeout(ACCEPT_TIMEOUT, ask).await.is_ok()
    }
}

fn check(customer: &str, contract: &Contract) -> Result<(), Problem> {
    if contract.customer != customer {
        let detail = format!(
            "the path names `{customer}` and the contract `{}`",
            contract.customer
        );
        return Err(request::bad_request(detail));
    }
    let problems = contract.problems();
    if problems.is_empty() {
        return Ok(());
    }
    let lines = problems
        .iter()
        .map(|p| format!("`{}` {}", p.field, p.message));
    let detail = lines.collect::<Vec<_>>().join("; ");
    Err(Problem::not_run(422, "contract-wrong", detail))
}

fn contract_changed(current: Option<Revision>) -> Problem {
    let now = current.map_or_else(
        || "gone".to_owned(),
        |version| format!("at version {version}"),
    );
    let detail = format!(
        "the contract changed meanwhile and is {now}; look at the difference and apply again"
    );
    Problem::not_run(409, "contract-changed", detail)
}

fn not_written(e: &PlatformError) -> Problem {
    match e {
        PlatformError::Conflict { current } => contract_changed(*current),
        e => {
            let detail = format!("nothing was changed: {e}");
            Problem::not_run(503, "platform", detail).retry_after(RETRY_AFTER)
        }
    }
}
