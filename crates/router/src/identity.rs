//! Name and addresses of this router.

use std::net::SocketAddr;

use briarhall_types::RouterName;
use briarhall_types::ZoneName;
use briarhall_types::new_id;
use compact_str::CompactString;
use compact_str::format_compact;

/// Name and addresses of this router.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Name, unique for each incarnation.
    pub name: RouterName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Address announced to callers.
    pub caller_address: SocketAddr,
    /// Address announced to other routers.
    pub mesh_address: SocketAddr,
}

impl Identity {
    /// Creates the identity of a new incarnation.
    #[must_use]
    pub fn new(zone: ZoneName, caller_address: SocketAddr, mesh_address: SocketAddr) -> Self {
        let id = new_id().simple().to_string();
        Self {
            name: unique_name(&zone, &id),
            zone,
            caller_address,
            mesh_address,
        }
    }
}

fn unique_name(zone: &str, id: &str) -> CompactString {
    format_compact!("{zone}/{id}")
}
