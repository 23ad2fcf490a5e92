//! Stand-in for the platform's object API, list of VMs and weight store.

mod faults;
mod http;
mod rate;
mod store;
mod vms;

pub use faults::Faults;
pub use faults::Outage;
pub use http::PlatformHandler;
pub use http::PlatformOptions;
pub use http::Stats;
pub use rate::RateLimit;
pub use store::Condition;
pub use store::Store;
pub use store::WriteError;
