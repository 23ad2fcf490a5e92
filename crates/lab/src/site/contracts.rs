//! Contracts of the lab's customers.

use briarhall_types::Digest;

use super::MODEL;
use super::SERVICE;

/// A customer and the terms of its contract.
#[derive(Debug, Clone)]
pub struct CustomerSpec {
    /// Name of the customer.
    pub name: String,
    /// API key of the customer.
    pub key: String,
    /// Objective: `short-slowdown` or `first-token`.
    pub objective: String,
    /// Time limit of completions, in seconds.
    pub model_time_limit_s: u64,
    /// Time limit of service calls, in seconds.
    pub service_time_limit_s: u64,
    /// Limit of requests per second, for the model and for the service.
    pub requests_per_second: u32,
    /// Limit of requests in flight, for the model and for the service.
    pub in_flight: u32,
}

impl CustomerSpec {
    /// Returns a customer with the objective `short-slowdown`: the slowdown of short
    /// requests weighs most.
    #[must_use]
    pub fn tidewire() -> Self {
        Self {
            name: "tidewire".to_owned(),
            key: "tidewire-key-of-the-lab".to_owned(),
            objective: "short-slowdown".to_owned(),
            model_time_limit_s: 30,
            service_time_limit_s: 5,
            requests_per_second: 5_000,
            in_flight: 20_000,
        }
    }

    /// Returns a customer with the objective `first-token`: time to first token
    /// counts at all prompt lengths.
    #[must_use]
    pub fn lagon_bleu() -> Self {
        Self {
            name: "lagon-bleu".to_owned(),
            key: "lagon-bleu-key-of-the-lab".to_owned(),
            objective: "first-token".to_owned(),
            ..Self::tidewire()
        }
    }
}

/// Returns the contract of a customer, in YAML.
#[must_use]
pub fn contract_yaml(customer: &CustomerSpec) -> String {
    let CustomerSpec {
        name,
        key,
        objective,
        model_time_limit_s,
        service_time_limit_s,
        requests_per_second,
        in_flight,
    } = customer;
    let digest = Digest::of(key.as_bytes());
    format!(
        "customer: {name}\nkey_digests:\n  - {digest}\nobjective: {objective}\n\
         models:\n  - name: {MODEL}\n    time_limit: {model_time_limit_s}s\n    \
         max_prompt_tokens: 1000000\n    limits:\n      \
         requests_per_second: {requests_per_second}\n      in_flight: {in_flight}\n\
         services:\n  - name: {SERVICE}\n    repeatable: false\n    \
         time_limit: {service_time_limit_s}s\n    limits:\n      \
         requests_per_second: {requests_per_second}\n      in_flight: {in_flight}\n"
    )
}
