//! Splits the memory and the descriptors of a process between those who connect to it.

/// Costs of one connection in bytes: the parser's buffers, and what waits in the buffers of
/// its socket.
const CONNECTION_BYTES: usize = 64 * 1024;
/// Costs of one request in bytes beyond that: its head, its task, and the connection to a
/// replica.
const REQUEST_BYTES: usize = 128 * 1024;
/// Descriptors of the settings that are not for sockets and pipes.
const FILE_DESCRIPTORS: usize = 200;
/// Fewest connections of each kind.
const MIN_CONNECTIONS: usize = 4;
/// Most bytes of answers that their clients have not read, however large the VM is.
const MAX_ANSWER_BYTES: usize = 24 * 1024 * 1024;
/// Memory of a process whose settings state none, in bytes.
pub const DEFAULT_MEMORY_BYTES: usize = 1024 * 1024 * 1024;
/// Descriptors of a process whose settings state none.
pub const DEFAULT_DESCRIPTORS: usize = 8_192;

/// What a process may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Memory in bytes.
    pub memory_bytes: usize,
    /// Open descriptors.
    pub descriptors: usize,
}

impl Default for ProcessLimits {
    fn default() -> Self {
        Self {
            memory_bytes: DEFAULT_MEMORY_BYTES,
            descriptors: DEFAULT_DESCRIPTORS,
        }
    }
}

/// The parts of a process's memory and descriptors. What is left of the memory is for the
/// process itself, what is left of the descriptors for replicas, the store and other
/// gateways.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Capacity {
    /// Connections of clients.
    pub clients: usize,
    /// Connections of other gateways.
    pub peers: usize,
    /// Connections to the directory, or of operators.
    pub directory: usize,
    /// Connections of health checks.
    pub health_checks: usize,
    /// Connections that read metrics.
    pub metrics: usize,
    /// Requests that are not yet answered.
    pub requests: usize,
    /// Bytes of requests' bodies.
    pub body_bytes: usize,
    /// Bytes of answers that their clients have not read.
    pub answer_bytes: usize,
}

impl Capacity {
    /// Splits what a process may use.
    #[must_use]
    pub fn of(limits: ProcessLimits) -> Self {
        let part = limits.memory_bytes / 16;
        let sockets = limits.descriptors.saturating_sub(FILE_DESCRIPTORS);
        let connections = (part * 5 / CONNECTION_BYTES).min(sockets / 2);
        let eighths = |n: usize| (connections * n / 8).max(MIN_CONNECTIONS);
        let clients = eighths(4);
        let requests = (part * 4 / REQUEST_BYTES).min(sockets / 3);
        Self {
            clients,
            peers: eighths(2),
            directory: eighths(1),
            health_checks: (connections / 16).max(MIN_CONNECTIONS),
            metrics: (connections / 16).max(MIN_CONNECTIONS),
            // With more of them than connections, those that wait for one silent service
            // could have all.
            requests: requests.min(clients),
            body_bytes: part * 3,
            answer_bytes: (part * 2).min(MAX_ANSWER_BYTES),
        }
    }
}
