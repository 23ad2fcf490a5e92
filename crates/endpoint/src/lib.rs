//! Clients of model engines and plain services.
//!
//! For every failure, both report whether the endpoint may have run the request,
//! because the answer to the caller depends on nothing else.

mod engine;
mod error;
mod service;
mod stream;
pub mod wire;

pub use engine::EngineClient;
pub use engine::Lease;
pub use error::EngineError;
pub use error::RefusalKind;
pub use error::RunStatus;
pub use service::ServiceClient;
pub use service::ServiceReply;
pub use service::ServiceRequest;
pub use stream::Event;
pub use stream::EventStream;
pub use stream::StreamError;
