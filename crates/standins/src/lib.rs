//! Small stand-ins for the systems that briarhall talks to: the platform, model
//! engines and plain services, and a proxy that injects faults between processes.
//!
//! They speak the published protocols of the real systems as far as briarhall
//! uses them. They are for tests and the lab alone and are not shipped.

pub mod engine;
pub mod platform;
pub mod proxy;
pub mod service;

mod start;

pub use start::StartError;
pub use start::run;
