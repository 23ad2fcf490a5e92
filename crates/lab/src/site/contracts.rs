//! Contracts for the lab's customers.

use briarhall_types::Digest;

use super::MODEL;
use super::SERVICE;

/// A customer of the lab.
#[derive(Debug, Clone)]
pub struct CustomerSpec {
    /// Name.
    pub name: String,
    /// Key.
    pub key: String,
    /// `short-slowdown` or `first-token`.
    pub objective: String,
    /// Time limit of completions, in seconds.
    pub model_seconds: u64,
    /// Time limit of service calls, in seconds.
    pub service_seconds: u64,
    /// Requests a second.
    pub requests_per_second: u32,
    /// Requests in flight.
    pub in_flight: u32,
}

impl CustomerSpec {
    /// Returns a customer that weighs the slowdown of short requests most.
    #[must_use]
    pub fn tidewire() -> Self {
        Self {
            name: "tidewire".to_owned(),
            key: "tidewire-key-of-the-lab".to_owned(),
            objective: "short-slowdown".to_owned(),
            model_seconds: 30,
            service_seconds: 5,
            requests_per_second: 5_000,
            in_flight: 20_000,
        }
    }

    /// Returns a customer that weighs time to first token at all lengths.
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
        model_seconds,
        service_seconds,
        requests_per_second,
        in_flight,
    } = customer;
    let digest = Digest::of(key.as_bytes());
    format!(
        "customer: {name}\nkey_digests:\n  - {digest}\nobjective: {objective}\n\
         models:\n  - name: {MODEL}\n    time_limit: {model_seconds}s\n    \
         max_prompt_tokens: 1000000\n    limits:\n      \
         requests_per_second: {requests_per_second}\n      in_flight: {in_flight}\n\
         services:\n  - name: {SERVICE}\n    repeatable: false\n    \
         time_limit: {service_seconds}s\n    limits:\n      \
         requests_per_second: {requests_per_second}\n      in_flight: {in_flight}\n"
    )
}
