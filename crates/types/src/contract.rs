//! Contracts: the terms of each customer, as operators write them.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::CustomerName;
use crate::Digest;
use crate::ModelName;
use crate::ServiceName;
use crate::durations::duration_text;

const MAX_TIME_LIMIT: Duration = Duration::from_hours(1);
const MIN_TIME_LIMIT: Duration = Duration::from_millis(100);
const MAX_NAME_LEN: usize = 63;

/// The latency measure that matters more to a customer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Objective {
    /// Slowdown of short requests while long ones run.
    ShortSlowdown,
    /// Time to first token, which counts the same at all lengths.
    #[default]
    FirstToken,
}

/// Limits on calls to one model or service, over all routers together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallLimits {
    /// Requests admitted a second.
    pub requests_per_second: u32,
    /// Prompt tokens admitted a second; not used for services.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tokens_per_second: Option<u64>,
    /// Requests in flight.
    pub in_flight: u32,
}

/// Terms for one model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelTerms {
    /// Name of the model.
    pub name: ModelName,
    /// Time within which each request finishes or fails.
    #[serde(with = "duration_text")]
    pub time_limit: Duration,
    /// Longest prompt, in tokens.
    pub max_prompt_tokens: u64,
    /// Limits over all routers.
    pub limits: CallLimits,
}

/// Terms for one plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceTerms {
    /// Name of the service.
    pub name: ServiceName,
    /// Whether a call may be sent again after it may have run.
    pub repeatable: bool,
    /// Time within which each call finishes or fails.
    #[serde(with = "duration_text")]
    pub time_limit: Duration,
    /// Limits over all routers.
    pub limits: CallLimits,
}

/// What one customer may use and expect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    /// Name of the customer.
    pub customer: CustomerName,
    /// Digests of the keys that authenticate the customer.
    pub key_digests: Vec<Digest>,
    /// The latency measure that matters more.
    #[serde(default)]
    pub objective: Objective,
    /// How long an idempotency key is remembered.
    #[serde(with = "duration_text", default = "default_window")]
    pub idempotency_window: Duration,
    /// Terms for each model.
    #[serde(default)]
    pub models: Vec<ModelTerms>,
    /// Terms for each plain service.
    #[serde(default)]
    pub services: Vec<ServiceTerms>,
}

fn default_window() -> Duration {
    Duration::from_mins(10)
}

/// One error in a contract.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ContractProblem {
    /// Path of the field, such as `models[0].time_limit`.
    pub field: String,
    /// What is wrong, and the remedy.
    pub message: String,
}

impl Contract {
    /// Returns the terms for a model, if the contract has any.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<&ModelTerms> {
        self.models.iter().find(|terms| terms.name == name)
    }

    /// Returns the terms for a service, if the contract has any.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceTerms> {
        self.services.iter().find(|terms| terms.name == name)
    }

    /// Returns all errors in the contract; empty when it is valid.
    #[must_use]
    pub fn problems(&self) -> Vec<ContractProblem> {
        let mut checker = Checker::default();
        checker.name("customer", &self.customer);
        if self.key_digests.is_empty() {
            checker.add(
                "key_digests",
                "needs at least one digest; print one with `briarhall key digest`",
            );
        }
        if self.models.is_empty() && self.services.is_empty() {
            checker.add(
                "models",
                "names no model and no service; add at least one entry",
            );
        }
        let mut seen = BTreeSet::new();
        for (i, terms) in self.models.iter().enumerate() {
            let path = format!("models[{i}]");
            checker.terms(&path, &terms.name, terms.time_limit, &terms.limits);
            checker.range(
                &format!("{path}.max_prompt_tokens"),
                terms.max_prompt_tokens,
                1,
                1_000_000,
            );
            if !seen.insert(terms.name.clone()) {
                checker.add(
                    &format!("{path}.name"),
                    "stands twice; keep one entry for each model",
                );
            }
        }
        seen.clear();
        for (i, terms) in self.services.iter().enumerate() {
            let path = format!("services[{i}]");
            checker.terms(&path, &terms.name, terms.time_limit, &terms.limits);
            if terms.limits.tokens_per_second.is_some() {
                checker.add(
                    &format!("{path}.limits.tokens_per_second"),
                    "does not apply to a service; remove it",
                );
            }
            if !seen.insert(terms.name.clone()) {
                checker.add(
                    &format!("{path}.name"),
                    "stands twice; keep one entry for each service",
                );
            }
        }
        checker.problems
    }
}

#[derive(Debug, Default)]
struct Checker {
    problems: Vec<ContractProblem>,
}

impl Checker {
    fn add(&mut self, field: &str, message: &str) {
        self.problems.push(ContractProblem {
            field: field.to_owned(),
            message: message.to_owned(),
        });
    }

    fn name(&mut self, field: &str, name: &str) {
        let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
        if name.is_empty() || name.len() > MAX_NAME_LEN || !name.chars().all(allowed) {
            self.add(field, "must be 1 to 63 of a-z, 0-9 and `-`");
        }
    }

    fn range(&mut self, field: &str, value: u64, min: u64, max: u64) {
        if value < min || value > max {
            self.add(field, &format!("is {value}; choose {min} to {max}"));
        }
    }

    fn terms(&mut self, path: &str, name: &str, time_limit: Duration, limits: &CallLimits) {
        self.name(&format!("{path}.name"), name);
        if time_limit < MIN_TIME_LIMIT || time_limit > MAX_TIME_LIMIT {
            self.add(
                &format!("{path}.time_limit"),
                "is out of range; choose 100ms to 1h",
            );
        }
        let limits_path = format!("{path}.limits");
        self.range(
            &format!("{limits_path}.requests_per_second"),
            u64::from(limits.requests_per_second),
            1,
            1_000_000,
        );
        self.range(
            &format!("{limits_path}.in_flight"),
            u64::from(limits.in_flight),
            1,
            1_000_000,
        );
        if limits.tokens_per_second == Some(0) {
            self.add(
                &format!("{limits_path}.tokens_per_second"),
                "is 0; remove it for no limit, or choose at least 1",
            );
        }
    }
}
