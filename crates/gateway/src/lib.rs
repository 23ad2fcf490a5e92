//! A gateway in front of replicas of services that it does not manage.
//!
//! It selects a route by host and path, checks the caller's key, chooses a
//! replica for the request, retries where that is safe, and forwards the
//! answer. Formats on the wire and in the store are left to two traits:
//! [`Wire`] reads and writes heads, [`ControlPlane`] reads the configuration
//! and the registry of replicas. Decisions are taken in `briarhall-policy`.

mod attempt;
mod buffered;
mod candidates;
mod client_request;
mod cold;
mod config_watch;
mod control_plane;
mod crash_check;
mod delivery_check;
mod detour;
mod directory;
mod error;
mod evacuated;
mod evacuation_watch;
mod even_load;
pub mod event_sequence;
mod follow;
mod gossip;
mod guards;
mod headers;
pub mod heartbeat;
mod heartbeat_sections;
mod job;
mod limits_in_force;
mod outcomes;
mod pace_watch;
mod patience;
mod pause_guard;
mod place;
mod reach_check;
mod refusals;
mod relay;
mod replica_stream;
mod replica_watch;
mod request_error;
mod reservation;
mod session_limits;
mod settings;
pub mod shared_text;
mod shortage;
mod signal_clock;
pub mod sse;
mod start;
mod state;
mod stop;
mod store_check;
mod store_gate;
mod stream;
mod stream_log;
mod wire;

pub use briarhall_policy::capacity::ProcessLimits;
pub use briarhall_policy::cold_replicas::ColdBound;
pub use briarhall_policy::evacuations::EvacuationChange;
pub use briarhall_policy::pace::ReportedLoad;
pub use briarhall_policy::policies::Policy;
pub use briarhall_policy::store_readers::ALL_READ_UP_TO;
pub use briarhall_policy::window_budget::BudgetBound;
pub use control_plane::ConfigurationChange;
pub use control_plane::ConfigurationSnapshot;
pub use control_plane::ControlPlane;
pub use control_plane::EvacuationChanges;
pub use control_plane::EvacuationSnapshot;
pub use control_plane::Reading;
pub use control_plane::ReplicaChanges;
pub use control_plane::ReplicaSnapshot;
pub use error::StartError;
pub use headers::remove_connection_headers;
pub use settings::Settings;
pub use start::run;
pub use wire::EngineAt;
pub use wire::FailedReplica;
pub use wire::ForwardedRequest;
pub use wire::HeadError;
pub use wire::Helper;
pub use wire::PromptPartId;
pub use wire::ReplicaNotice;
pub use wire::ReplyHead;
pub use wire::RequestHead;
pub use wire::UnsendableHeader;
pub use wire::Wire;
