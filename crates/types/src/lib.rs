//! Ids, contracts, outcomes and problem documents shared by every crate.
//!
//! This crate does no I/O, so that the decision code and the programs share types
//! without sharing transports.

mod configuration;
mod contract;
mod durations;
mod endpoint;
mod ids;
mod key;
mod outcome;
mod position;
mod problem;
mod replica;
mod tokens;

pub use configuration::ClientLimits;
pub use configuration::ColdSpec;
pub use configuration::Configuration;
pub use configuration::ConfigurationVersion;
pub use configuration::EngineSpec;
pub use configuration::Organisation;
pub use configuration::Route;
pub use configuration::RouteKind;
pub use configuration::RouteName;
pub use configuration::ServiceSpec;
pub use configuration::Target;
pub use configuration::ZoneDelay;
pub use contract::CallLimits;
pub use contract::Contract;
pub use contract::ContractProblem;
pub use contract::ModelTerms;
pub use contract::Objective;
pub use contract::ServiceTerms;
pub use durations::DurationTextError;
pub use durations::duration_text;
pub use durations::format_duration;
pub use durations::parse_duration;
pub use endpoint::EndpointKind;
pub use endpoint::EndpointRecord;
pub use endpoint::EndpointState;
pub use endpoint::LoadReport;
pub use ids::AttemptId;
pub use ids::CustomerName;
pub use ids::EndpointName;
pub use ids::ModelName;
pub use ids::RequestId;
pub use ids::Revision;
pub use ids::RouterName;
pub use ids::ServiceName;
pub use ids::ZoneName;
pub use ids::new_id;
pub use key::Digest;
pub use key::KeyDigestError;
pub use outcome::Outcome;
pub use position::StoreEra;
pub use position::StorePosition;
pub use problem::Problem;
pub use replica::ReplicaChange;
pub use replica::ReplicaEntry;
pub use replica::ReplicaId;
pub use replica::ReplicaRecord;
pub use tokens::BYTES_PER_TOKEN;
pub use tokens::LengthClass;
pub use tokens::estimate_tokens;
