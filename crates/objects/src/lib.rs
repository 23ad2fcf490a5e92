//! Client of the platform's object API.
//!
//! The platform stores versioned objects, offers conditional writes and watches,
//! and lists the VMs that run endpoints. [`ObjectApi`] is the interface the
//! rest of the system uses; [`HttpObjectApi`] implements it over HTTP.

mod api;
mod error;
mod http;
mod object;

pub use api::FleetApi;
pub use api::ObjectApi;
pub use error::PlatformError;
pub use http::HttpObjectApi;
pub use object::Change;
pub use object::ConflictReply;
pub use object::Listing;
pub use object::Object;
pub use object::Precondition;
pub use object::VmListing;
pub use object::WatchReply;
pub use object::Written;
