//! Names and ids, as aliases so that signatures say what a value identifies.

use compact_str::CompactString;
use uuid::Uuid;

/// Name of a customer, unique within a platform.
pub type CustomerName = CompactString;
/// Name of a language model.
pub type ModelName = CompactString;
/// Name of a plain service.
pub type ServiceName = CompactString;
/// Name of an endpoint (one replica of a model or a service).
pub type EndpointName = CompactString;
/// Name of a router process, unique for each incarnation.
pub type RouterName = CompactString;
/// Name of an availability zone.
pub type ZoneName = CompactString;
/// Id of one request of a caller, kept across its attempts.
pub type RequestId = Uuid;
/// Id of one attempt of a request at one endpoint.
pub type AttemptId = Uuid;
/// Revision of the platform's object API; grows with each write.
pub type Revision = u64;

/// Returns a new id; ids sort by their time of creation.
#[must_use]
pub fn new_id() -> Uuid {
    Uuid::now_v7()
}
