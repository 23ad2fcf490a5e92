//! Contracts in YAML.

use std::path::Path;

use briarhall_types::CallLimits;
use briarhall_types::Contract;
use briarhall_types::ModelTerms;
use briarhall_types::ServiceTerms;
use briarhall_types::parse_duration;

use crate::Document;
use crate::Fields;
use crate::Findings;

const DEFAULT_IDEMPOTENCY_WINDOW: &str = "10m";

/// Reads a contract from a file and validates it.
///
/// # Errors
///
/// Returns all errors in the file.
pub fn read_contract(path: &Path) -> Result<Contract, Findings> {
    contract_from(&Document::read(path)?)
}

/// Reads a contract from a document and validates it.
///
/// # Errors
///
/// Returns all errors in the document.
pub fn contract_from(document: &Document) -> Result<Contract, Findings> {
    let mut fields = Fields::new(document);
    let contract = read_contract_fields(&mut fields);
    fields.unknown_fields();
    let contract = fields.finish(contract)?;
    for problem in contract.problems() {
        fields.problem(&problem.field, &problem.message);
    }
    fields.finish(Some(contract))
}

fn read_contract_fields(fields: &mut Fields<'_>) -> Option<Contract> {
    let customer = fields.required("customer");
    let key_digests = fields.required("key_digests");
    let objective = fields.optional("objective").unwrap_or_default();
    let window = fields.parsed("idempotency_window", parse_duration);
    let models = fields.list("models").into_iter().map(read_model_terms);
    let models = models.collect::<Vec<_>>();
    let services = fields.list("services").into_iter().map(read_service_terms);
    let services = services.collect::<Vec<_>>();
    Some(Contract {
        customer: customer?,
        key_digests: key_digests?,
        objective,
        idempotency_window: window.or_else(|| parse_duration(DEFAULT_IDEMPOTENCY_WINDOW).ok())?,
        models: models.into_iter().collect::<Option<_>>()?,
        services: services.into_iter().collect::<Option<_>>()?,
    })
}

fn read_model_terms(mut fields: Fields<'_>) -> Option<ModelTerms> {
    let name = fields.required("name");
    let time_limit = required_duration(&mut fields, "time_limit");
    let max_prompt_tokens = fields.required("max_prompt_tokens");
    let limits = read_limits(&mut fields);
    fields.unknown_fields();
    Some(ModelTerms {
        name: name?,
        time_limit: time_limit?,
        max_prompt_tokens: max_prompt_tokens?,
        limits: limits?,
    })
}

fn read_service_terms(mut fields: Fields<'_>) -> Option<ServiceTerms> {
    let name = fields.required("name");
    let repeatable = fields.required("repeatable");
    let time_limit = required_duration(&mut fields, "time_limit");
    let limits = read_limits(&mut fields);
    fields.unknown_fields();
    Some(ServiceTerms {
        name: name?,
        repeatable: repeatable?,
        time_limit: time_limit?,
        limits: limits?,
    })
}

fn read_limits(fields: &mut Fields<'_>) -> Option<CallLimits> {
    let mut limits = fields.section("limits")?;
    let requests_per_second = limits.required("requests_per_second");
    let tokens_per_second = limits.optional("tokens_per_second");
    let in_flight = limits.required("in_flight");
    limits.unknown_fields();
    Some(CallLimits {
        requests_per_second: requests_per_second?,
        tokens_per_second,
        in_flight: in_flight?,
    })
}

fn required_duration(fields: &mut Fields<'_>, name: &'static str) -> Option<std::time::Duration> {
    fields.required::<serde_json::Value>(name)?;
    fields.parsed(name, parse_duration)
}
