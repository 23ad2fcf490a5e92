//! Settings and contracts in YAML, validated in full before anything starts.
//!
//! A document is parsed once into untyped values; [`Fields`] then reads it field
//! by field and collects every error with its line, so that an operator can fix
//! a file in one pass.

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
