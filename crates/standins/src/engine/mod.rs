//! Stand-in for a model engine: continuous batching in simulated time.
//!
//! [`Simulation`] is the engine itself, without sockets or clocks; the handler
//! advances its time and serves its streams.

mod cache;
mod http;
mod load;
mod model;
mod simulation;
mod state;
mod text;

pub use briarhall_endpoint::wire::CompletionCall;
pub use briarhall_endpoint::wire::Frame;
pub use briarhall_endpoint::wire::Holding;
pub use briarhall_endpoint::wire::HoldingKind;
pub use briarhall_endpoint::wire::KvExport;
pub use briarhall_endpoint::wire::KvPart;
pub use briarhall_endpoint::wire::Ledger;
pub use briarhall_endpoint::wire::Order;
pub use briarhall_endpoint::wire::PrefillCall;
pub use briarhall_endpoint::wire::ReserveCall;
pub use http::EngineHandler;
pub use http::EngineOptions;
pub use model::Model;
pub use model::UnknownModel;
pub use simulation::Limits;
pub use simulation::Progress;
pub use simulation::Refusal;
pub use simulation::Simulation;
pub use simulation::Submission;
pub use text::answer;
pub use text::token_text;
