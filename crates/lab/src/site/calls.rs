//! Calls to a running site: operator requests, fault injection at the stand-ins,
//! and the stand-ins' records of what they did.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use briarhall_endpoint::wire::Ledger;
use briarhall_net::Call;
use briarhall_standins::platform::Faults;
use briarhall_standins::platform::Stats;
use briarhall_types::EndpointRecord;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::json;

use super::CustomerSpec;
use super::OPERATOR_KEY;
use super::Router;
use super::Site;
use super::SiteError;
use super::contract_yaml;
use super::process;

const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Longer than a router waits for a change to be in force.
const OPERATOR_CALL_TIMEOUT: Duration = Duration::from_secs(15);

impl Site {
    /// Adds an endpoint to the platform's list of VMs, or replaces its entry.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform does not answer.
    pub async fn register_vm(&self, record: &EndpointRecord) -> Result<(), SiteError> {
        let body = json!({ "name": record.name, "record": record });
        self.post(self.platform_address, "/v1/control/vms", &body)
            .await
    }

    /// Removes an endpoint from the platform's list of VMs.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform does not answer.
    pub async fn deregister_vm(&self, name: &str) -> Result<(), SiteError> {
        let body = json!({ "name": name, "record": null });
        self.post(self.platform_address, "/v1/control/vms", &body)
            .await
    }

    /// Returns a router's status.
    ///
    /// # Errors
    ///
    /// Returns an error when it does not answer.
    pub async fn status(&self, router: &Router) -> Result<Value, SiteError> {
        let call = Call::get(router.operators, "/operator/status");
        self.operator_call(call).await
    }

    /// Applies a contract through a router and returns its answer.
    ///
    /// # Errors
    ///
    /// Returns an error when the change is refused or not answered.
    pub async fn apply(
        &self,
        router: &Router,
        contract: &Value,
        from_version: Option<u64>,
    ) -> Result<Value, SiteError> {
        let customer = contract["customer"].as_str().unwrap_or_default();
        let path = format!("/operator/contracts/{customer}");
        let body = json!({ "from_version": from_version, "contract": contract });
        let call = Call::new(hyper::Method::PUT, router.operators, path).json(&body);
        Box::pin(self.operator_call(call)).await
    }

    /// Makes a call with the operator's key.
    ///
    /// # Errors
    ///
    /// Returns an error when the call is refused or not answered.
    pub async fn operator_call(&self, call: Call) -> Result<Value, SiteError> {
        let call = call.header("authorization", format!("Bearer {OPERATOR_KEY}"));
        Ok(Box::pin(self.client.fetch(call, OPERATOR_CALL_TIMEOUT)).await?)
    }

    /// Applies contracts with `briarhall contract apply`, as an operator would.
    ///
    /// # Errors
    ///
    /// Returns an error when the command fails.
    pub fn apply_contracts(&self, customers: &[CustomerSpec]) -> Result<(), SiteError> {
        let router = self.routers.values().next().ok_or(SiteError::NoRouter)?;
        let key = self.dir.join("operator-key");
        process::write(&key, OPERATOR_KEY)?;
        for customer in customers {
            let path = self.dir.join(format!("{}.yaml", customer.name));
            process::write(&path, &contract_yaml(customer))?;
            let args = [
                "--router".to_owned(),
                router.operators.to_string(),
                "--key-file".to_owned(),
                key.display().to_string(),
                "contract".to_owned(),
                "apply".to_owned(),
                path.display().to_string(),
            ];
            process::run_to_end("briarhall", &args)?;
        }
        Ok(())
    }

    /// Sets the faults of the platform.
    ///
    /// # Errors
    ///
    /// Returns an error when it does not answer.
    pub async fn platform_faults(&self, faults: Faults) -> Result<(), SiteError> {
        self.post(self.platform_address, "/v1/control/faults", &faults)
            .await
    }

    /// Returns the platform's counters.
    ///
    /// # Errors
    ///
    /// Returns an error when it does not answer.
    pub async fn platform_stats(&self) -> Result<Stats, SiteError> {
        self.get(self.platform_address, "/v1/control/stats").await
    }

    /// Returns how often the effect of each idempotency key took place, summed over
    /// all services.
    ///
    /// # Errors
    ///
    /// Returns an error when a service does not answer.
    pub async fn effects(&self) -> Result<BTreeMap<String, u64>, SiteError> {
        let mut all = BTreeMap::new();
        for service in self.services.values() {
            let path = "/control/effects";
            let effects = self
                .get::<BTreeMap<String, u64>>(service.address, path)
                .await?;
            for (key, count) in effects {
                *all.entry(key).or_default() += count;
            }
        }
        Ok(all)
    }

    /// Returns each engine's record of the requests, memory and orders it had.
    ///
    /// # Errors
    ///
    /// Returns an error when an engine does not answer.
    pub async fn ledgers(&self) -> Result<Vec<Ledger>, SiteError> {
        let mut ledgers = Vec::new();
        for engine in self.engines.values() {
            ledgers.push(self.get(engine.address, "/v1/ledger").await?);
        }
        Ok(ledgers)
    }

    /// Returns whether any engine accepted the prompt with this digest.
    ///
    /// # Errors
    ///
    /// Returns an error when an engine does not answer.
    pub async fn any_engine_accepted(&self, digest: &blake3::Hash) -> Result<bool, SiteError> {
        for engine in self.engines.values() {
            let path = format!("/v1/taken/{}", digest.to_hex());
            if self.get::<bool>(engine.address, &path).await? {
                return Ok(true);
            }
        }
        Ok(false)
    }

    /// Gets a JSON document.
    ///
    /// # Errors
    ///
    /// Returns an error when the process does not answer.
    pub async fn get<T>(&self, address: SocketAddr, path: &str) -> Result<T, SiteError>
    where
        T: DeserializeOwned,
    {
        Ok(self
            .client
            .fetch(Call::get(address, path), CALL_TIMEOUT)
            .await?)
    }

    /// Posts a JSON document to the control API of a stand-in.
    ///
    /// # Errors
    ///
    /// Returns an error when the process does not answer.
    pub async fn post<T>(&self, address: SocketAddr, path: &str, body: &T) -> Result<(), SiteError>
    where
        T: serde::Serialize,
    {
        let call = Call::post(address, path).json(body);
        self.client.send(call, CALL_TIMEOUT).await?;
        Ok(())
    }
}
