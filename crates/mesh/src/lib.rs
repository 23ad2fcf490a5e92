//! Calls between routers, over tarpc.
//!
//! The caller opens a connection with the digest of a secret that all routers
//! share. A connection without it is closed before a call is read.

mod client;
mod messages;
mod server;
mod transport;

pub use client::MeshError;
pub use client::MeshPeer;
pub use messages::ClaimReply;
pub use messages::ClaimRequest;
pub use messages::PullReply;
pub use messages::PullRequest;
pub use messages::ResultReply;
pub use messages::ResultRequest;
pub use messages::ShareReply;
pub use messages::ShareRequest;
pub use messages::StoredResult;
pub use server::MeshHandler;
pub use server::serve_mesh;
