//! Decisions of the serving layer as plain state machines.
//!
//! A method takes the time and a typed event and returns typed results. The
//! crate has no sockets, threads, clocks or random sources, so that fuzzing can
//! drive every interleaving and benchmarks can run at the target scale. In the
//! larger modules, commands (which change state) and queries (which read it)
//! are in separate files.

pub mod advertised;
pub mod answer_times;
pub mod capacity;
pub mod claims;
pub mod cold_replicas;
pub mod config_store;
pub mod crashes;
pub mod crashing_parts;
pub mod deadline_queue;
pub mod delivery;
pub mod departures;
pub mod detours;
pub mod engine;
pub mod evacuations;
pub mod fleet;
pub mod gang;
pub mod health;
pub mod holdings;
pub mod in_flight;
pub mod lease;
pub mod limits;
pub mod load_tracker;
pub mod members;
pub mod pace;
pub mod pauses;
pub mod peer_reads;
pub mod peers;
pub mod placement;
pub mod policies;
pub mod prompt_queue;
pub mod reach;
pub mod rendezvous;
pub mod replica_limits;
pub mod replicas;
pub mod request_rate;
pub mod resumption;
pub mod retry;
pub mod return_after_stop;
pub mod routes;
pub mod share_allocator;
pub mod shares_in_shortage;
pub mod signal_time;
pub mod size_classes;
pub mod store_checks;
pub mod store_readers;
pub mod suspects;
pub mod watch_pace;
pub mod window_budget;
pub mod zone_delays;
