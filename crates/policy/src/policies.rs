//! Placement policies that the router and the gateway accept by name: lanes, and
//! the baselines that they are compared with.

use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// How endpoints and replicas are chosen. All but [`Policy::Lanes`] are
/// baselines for comparison.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// One after the other.
    RoundRobin,
    /// Fewest requests in flight.
    LeastRequests,
    /// Fewest queued tokens.
    LeastTokens,
    /// Of two drawn at random, the one with fewer requests in flight.
    TwoChoices,
    /// Shortest predicted time to first token, with lanes by length.
    #[default]
    Lanes,
}

/// The error for a text that is not the name of a policy.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error(
    "`{0}` is not a policy; use round-robin, least-requests, least-tokens, two-choices or lanes"
)]
pub struct UnknownPolicy(String);

impl FromStr for Policy {
    type Err = UnknownPolicy;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "round-robin" => Ok(Self::RoundRobin),
            "least-requests" => Ok(Self::LeastRequests),
            "least-tokens" => Ok(Self::LeastTokens),
            "two-choices" => Ok(Self::TwoChoices),
            "lanes" => Ok(Self::Lanes),
            _ => Err(UnknownPolicy(text.to_owned())),
        }
    }
}
