//! The audit trail: one object for each change, written before the change
//! itself, so that no change made here goes unrecorded.

use std::time::SystemTime;

use briarhall_net::Body;
use briarhall_net::json;
use briarhall_objects::ObjectApi;
use briarhall_objects::Precondition;
use briarhall_types::CustomerName;
use briarhall_types::Problem;
use briarhall_types::Revision;
use compact_str::CompactString;
use hyper::Response;
use hyper::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

use super::OperatorApi;
use super::apply::Change;

/// Kind of the objects that hold the audit trail.
const AUDIT_KIND: &str = "audit";

/// State of a recorded change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum AuditState {
    /// It was about to be written.
    Proposed,
    /// It was written.
    Written,
}

/// One field that a change modified.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Difference {
    field: String,
    before: Value,
    after: Value,
}

/// One change.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct AuditEntry {
    change: CompactString,
    /// Milliseconds since the epoch.
    at_ms: u64,
    operator: CompactString,
    customer: CustomerName,
    from_version: Option<Revision>,
    to_version: Option<Revision>,
    state: AuditState,
    differences: Vec<Difference>,
}

impl<P> OperatorApi<P>
where
    P: ObjectApi,
{
    pub(super) async fn audit_proposed(&self, change: &Change) -> Result<(), Problem> {
        let entry = entry(change, None);
        let written = self
            .platform
            .put(AUDIT_KIND, &change.id, Precondition::Absent, &entry);
        match written.await {
            Ok(_) => Ok(()),
            // The entry may exist; `audit_written` creates it if it does not.
            Err(e) if e.may_have_written() => Ok(()),
            Err(e) => {
                let detail = format!("the change cannot be recorded, nothing was changed: {e}");
                Err(Problem::not_run(503, "platform", detail))
            }
        }
    }

    pub(super) async fn audit_written(&self, change: &Change, version: Revision) {
        let recorded = self
            .platform
            .get::<AuditEntry>(AUDIT_KIND, &change.id)
            .await;
        let precondition = match recorded {
            Ok(object) => Precondition::Version(object.version),
            Err(_) => Precondition::Absent,
        };
        let entry = entry(change, Some(version));
        let written = self
            .platform
            .put(AUDIT_KIND, &change.id, precondition, &entry);
        if let Err(e) = written.await {
            // The contract object also holds the id of the change, so a reader
            // can compare the two.
            log::warn!(change = change.id.as_str(), error = e.to_string().as_str(); "cannot mark an audit entry as written; it stays `proposed`");
        }
    }

    pub(super) async fn audit(&self, query: &str) -> Result<Response<Body>, Problem> {
        let customer = query.strip_prefix("customer=");
        let listing = self.platform.list::<AuditEntry>(AUDIT_KIND, 0).await;
        let listing = listing.map_err(|e| {
            let detail = format!("the audit trail cannot be read: {e}");
            Problem::not_run(503, "platform", detail)
        })?;
        let entries = listing.items.into_iter().map(|object| object.value);
        let wanted = |entry: &AuditEntry| customer.is_none_or(|name| entry.customer == name);
        let mut entries = entries.filter(wanted).collect::<Vec<_>>();
        entries.sort_by_key(|entry| entry.at_ms);
        Ok(json(StatusCode::OK, &entries))
    }
}

fn entry(change: &Change, version: Option<Revision>) -> AuditEntry {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let before = change.before.as_ref();
    let before = before.and_then(|contract| serde_json::to_value(contract).ok());
    let after = serde_json::to_value(&change.contract).unwrap_or_default();
    AuditEntry {
        change: change.id.clone(),
        at_ms: u64::try_from(now.unwrap_or_default().as_millis()).unwrap_or(u64::MAX),
        operator: change.operator.clone(),
        customer: change.customer.clone(),
        from_version: change.from_version,
        to_version: version,
        state: if version.is_some() {
            AuditState::Written
        } else {
            AuditState::Proposed
        },
        differences: differences(&before.unwrap_or_default(), &after),
    }
}

fn differences(before: &Value, after: &Value) -> Vec<Difference> {
    let empty = Map::new();
    let before = before.as_object().unwrap_or(&empty);
    let after = after.as_object().unwrap_or(&empty);
    let mut fields = before.keys().chain(after.keys()).collect::<Vec<_>>();
    fields.sort();
    fields.dedup();
    let differs = |field: &&&String| before.get(**field) != after.get(**field);
    let value =
        |map: &Map<String, Value>, field: &String| map.get(field).cloned().unwrap_or_default();
    fields
        .iter()
        .filter(differs)
        .map(|field| Difference {
            field: (*field).clone(),
            before: value(before, field),
            after: value(after, field),
        })
        .collect()
}
