//! Settings of a steward.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use briarhall_types::ZoneName;

use crate::Document;
use crate::Fields;
use crate::Findings;
use crate::router::duration;

const DEFAULT_PLATFORM_LIMIT: Duration = Duration::from_secs(1);
const DEFAULT_SWEEP_EVERY: Duration = Duration::from_secs(1);
const DEFAULT_LAPSED_FOR: Duration = Duration::from_secs(2);
const DEFAULT_LOG: &str = "info";

/// Validated settings of a steward.
#[derive(Debug, Clone)]
pub struct StewardSettings {
    /// Availability zone.
    pub zone: ZoneName,
    /// The platform's object API.
    pub platform: SocketAddr,
    /// Time limit of one call to the platform.
    pub platform_limit: Duration,
    /// Interval between sweeps of engines for memory that nobody owns.
    pub sweep_every: Duration,
    /// How long a lease on engine memory must have lapsed before the memory is freed.
    pub lapsed_for: Duration,
    /// Log levels.
    pub log: String,
    /// Address that metrics are sent to.
    pub metrics_address: Option<SocketAddr>,
}

/// Reads a steward's settings and validates them.
///
/// # Errors
///
/// Returns all errors in the file.
pub fn read_steward_settings(path: &Path) -> Result<StewardSettings, Findings> {
    let document = Document::read(path)?;
    let mut fields = Fields::new(&document);
    let settings = read_fields(&mut fields);
    fields.unknown_fields();
    fields.finish(settings)
}

fn read_fields(fields: &mut Fields<'_>) -> Option<StewardSettings> {
    let zone = fields.required("zone");
    let platform = fields.required("platform");
    let platform_limit = duration(fields, "platform_limit", DEFAULT_PLATFORM_LIMIT);
    let sweep_every = duration(fields, "sweep_every", DEFAULT_SWEEP_EVERY);
    let lapsed_for = duration(fields, "lapsed_for", DEFAULT_LAPSED_FOR);
    let log = fields.optional("log");
    let metrics_address = fields.optional("metrics_address");
    Some(StewardSettings {
        zone: zone?,
        platform: platform?,
        platform_limit,
        sweep_every,
        lapsed_for,
        log: log.unwrap_or_else(|| DEFAULT_LOG.to_owned()),
        metrics_address,
    })
}
