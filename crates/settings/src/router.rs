//! Settings of a router.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use briarhall_policy::capacity::ProcessLimits;
use briarhall_policy::policies::Policy;
use briarhall_types::Digest;
use briarhall_types::ZoneName;
use briarhall_types::parse_duration;
use compact_str::CompactString;

use crate::Document;
use crate::Fields;
use crate::Findings;

const DEFAULT_TRAFFIC_THREADS: usize = 2;
const MAX_TRAFFIC_THREADS: usize = 64;
const DEFAULT_ADDRESS_TTL: Duration = Duration::from_secs(5);
const DEFAULT_REPORT_LAG: Duration = Duration::from_millis(300);
const DEFAULT_PLATFORM_LIMIT: Duration = Duration::from_secs(1);
const DEFAULT_LOG: &str = "info";
const MIN_SECRET_BYTES: usize = 16;
/// Memory and descriptors that a router can do with.
const MIN_MEMORY_MB: usize = 24;
const MIN_DESCRIPTORS: usize = 300;
const MEBIBYTE: usize = 1024 * 1024;

/// An operator and the digest of their key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorKey {
    /// Name for the audit trail.
    pub name: CompactString,
    /// Digest of the key.
    pub digest: Digest,
}

/// Validated settings of a router.
#[derive(Debug, Clone)]
pub struct RouterSettings {
    /// Availability zone.
    pub zone: ZoneName,
    /// Address that callers connect to.
    pub callers: SocketAddr,
    /// Address that operators connect to.
    pub operators: SocketAddr,
    /// Address that other routers connect to.
    pub mesh: SocketAddr,
    /// Address advertised to callers, if not `callers`.
    pub advertise_callers: Option<SocketAddr>,
    /// Address advertised to other routers, if not `mesh`.
    pub advertise_mesh: Option<SocketAddr>,
    /// The platform's object API.
    pub platform: SocketAddr,
    /// Time limit of one call to the platform.
    pub platform_limit: Duration,
    /// Routers to query when the platform is down at start-up.
    pub mesh_seeds: Vec<SocketAddr>,
    /// Digest of the secret with which routers authenticate to each other.
    pub mesh_secret: Digest,
    /// Operators who may change contracts.
    pub operator_keys: Vec<OperatorKey>,
    /// Number of threads for traffic.
    pub traffic_threads: usize,
    /// Memory and descriptors that the router may use.
    pub process_limits: ProcessLimits,
    /// How long callers may cache the list of addresses.
    pub address_ttl: Duration,
    /// Maximum lag of load reports.
    pub report_lag: Duration,
    /// How endpoints are chosen.
    pub policy: Policy,
    /// Log levels.
    pub log: String,
    /// Address that metrics are sent to.
    pub metrics_address: Option<SocketAddr>,
}

/// Reads a router's settings and validates them.
///
/// # Errors
///
/// Returns all errors in the file.
pub fn read_router_settings(path: &Path) -> Result<RouterSettings, Findings> {
    let document = Document::read(path)?;
    let mut fields = Fields::new(&document);
    let settings = read_fields(&mut fields);
    fields.unknown_fields();
    fields.finish(settings)
}

fn read_fields(fields: &mut Fields<'_>) -> Option<RouterSettings> {
    let zone = fields.required("zone");
    let callers = fields.required("callers");
    let operators = fields.required("operators");
    let mesh = fields.required("mesh");
    let advertise_callers = fields.optional("advertise_callers");
    let advertise_mesh = fields.optional("advertise_mesh");
    let platform = fields.required("platform");
    let platform_limit = duration(fields, "platform_limit", DEFAULT_PLATFORM_LIMIT);
    let mesh_seeds = fields.optional("mesh_seeds").unwrap_or_default();
    let mesh_secret = secret(fields, "mesh_secret_file");
    let operator_keys = operator_keys(fields);
    let traffic_threads = traffic_threads(fields);
    let process_limits = process_limits(fields);
    let address_ttl = duration(fields, "address_ttl", DEFAULT_ADDRESS_TTL);
    let report_lag = duration(fields, "report_lag", DEFAULT_REPORT_LAG);
    let policy = fields.optional("policy").unwrap_or_default();
    let log = fields.optional("log");
    let metrics_address = fields.optional("metrics_address");
    check_distinct(
        fields,
        &[
            ("callers", callers),
            ("operators", operators),
            ("mesh", mesh),
        ],
    );
    Some(RouterSettings {
        zone: zone?,
        callers: callers?,
        operators: operators?,
        mesh: mesh?,
        advertise_callers,
        advertise_mesh,
        platform: platform?,
        platform_limit,
        mesh_seeds,
        mesh_secret: mesh_secret?,
        operator_keys,
        traffic_threads,
        process_limits,
        address_ttl,
        report_lag,
        policy,
        log: log.unwrap_or_else(|| DEFAULT_LOG.to_owned()),
        metrics_address,
    })
}

pub(crate) fn duration(fields: &mut Fields<'_>, name: &'static str, default: Duration) -> Duration {
    let duration = fields.parsed(name, parse_duration).unwrap_or(default);
    if duration.is_zero() {
        fields.problem(name, "is zero; choose at least 1ms");
    }
    duration
}

/// Reads the secret from a separate file, so that the settings can be shown.
pub(crate) fn secret(fields: &mut Fields<'_>, name: &'static str) -> Option<Digest> {
    let path = fields.required::<PathBuf>(name)?;
    match fs::read_to_string(&path) {
        Ok(text) if text.trim().len() >= MIN_SECRET_BYTES => {
            Some(Digest::of(text.trim().as_bytes()))
        }
        Ok(_) => {
            fields.problem(
                name,
                "names a file with a secret shorter than 16 characters; write a longer one",
            );
            None
        }
        Err(e) => {
            let path = path.display();
            fields.problem(
                name,
                &format!("names {path}, which cannot be read: {e}; check the path"),
            );
            None
        }
    }
}

fn operator_keys(fields: &mut Fields<'_>) -> Vec<OperatorKey> {
    let mut keys = Vec::<OperatorKey>::new();
    for mut entry in fields.list("operator_keys") {
        let name = entry.required::<CompactString>("name");
        let digest = entry.required("digest");
        entry.unknown_fields();
        let (Some(name), Some(digest)) = (name, digest) else {
            continue;
        };
        if keys
            .iter()
            .any(|key| key.name == name || key.digest == digest)
        {
            entry.problem(
                "name",
                "or its digest appears twice; give each operator one key",
            );
        }
        keys.push(OperatorKey { name, digest });
    }
    keys
}

fn traffic_threads(fields: &mut Fields<'_>) -> usize {
    let threads = fields
        .optional("traffic_threads")
        .unwrap_or(DEFAULT_TRAFFIC_THREADS);
    if threads == 0 || threads > MAX_TRAFFIC_THREADS {
        fields.problem(
            "traffic_threads",
            &format!("is {threads}; choose 1 to {MAX_TRAFFIC_THREADS}"),
        );
    }
    threads
}

fn process_limits(fields: &mut Fields<'_>) -> ProcessLimits {
    let defaults = ProcessLimits::default();
    let memory_mb = at_least(fields, "memory_mb", MIN_MEMORY_MB);
    let descriptors = at_least(fields, "max_fds", MIN_DESCRIPTORS);
    ProcessLimits {
        memory_bytes: memory_mb.map_or(defaults.memory_bytes, |mb| mb.saturating_mul(MEBIBYTE)),
        descriptors: descriptors.unwrap_or(defaults.descriptors),
    }
}

fn at_least(fields: &mut Fields<'_>, name: &'static str, least: usize) -> Option<usize> {
    let value = fields.optional(name);
    if let Some(value) = value.filter(|value| *value < least) {
        fields.problem(name, &format!("is {value}; choose at least {least}"));
    }
    value
}

fn check_distinct(fields: &Fields<'_>, addresses: &[(&str, Option<SocketAddr>)]) {
    for (i, (name, address)) in addresses.iter().enumerate() {
        let Some(address) = address.filter(|address| address.port() != 0) else {
            continue;
        };
        let same = addresses[..i]
            .iter()
            .find(|(_, other)| *other == Some(address));
        if let Some((other, _)) = same {
            fields.problem(
                name,
                &format!("is the same address as `{other}`; choose another port"),
            );
        }
    }
}
