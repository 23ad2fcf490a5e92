//! Settings and contracts in YAML, checked whole before anything starts.
//!
//! A document is read once into plain values; [`Fields`] then takes it apart
//! field by field and collects everything that is wrong, each with its line, so
//! that an operator mends a file in one go.

mod contract;
mod document;
mod fields;
mod invocation;
mod lines;
mod router;
mod steward;

pub use contract::contract_from;
pub use contract::read_contract;
pub use document::Document;
pub use fields::Fields;
pub use fields::Finding;
pub use fields::Findings;
pub use invocation::Invocation;
pub use invocation::InvocationError;
pub use router::OperatorKey;
pub use router::RouterSettings;
pub use router::read_router_settings;
pub use steward::StewardSettings;
pub use steward::read_steward_settings;
