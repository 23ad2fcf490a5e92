//! A fault proxy before one address.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use briarhall_net::Call;
use briarhall_net::HttpClient;
use briarhall_standins::proxy::OpenConnections;
use briarhall_standins::proxy::ProxyFaults;

use super::Process;
use super::SiteError;

const CALL_LIMIT: Duration = Duration::from_secs(5);

/// A fault proxy before one address.
#[derive(Debug)]
pub struct ProxiedAddress {
    _process: Process,
    /// Address of its switches.
    pub control: SocketAddr,
    /// Address that it carries.
    pub carried: SocketAddr,
    client: HttpClient,
}

impl ProxiedAddress {
    /// Starts a proxy.
    ///
    /// # Errors
    ///
    /// Returns an error when it does not start.
    pub async fn start(
        name: &str,
        target: Option<SocketAddr>,
        dir: &Path,
        client: &HttpClient,
    ) -> Result<Self, SiteError> {
        let args = match target {
            Some(target) => vec!["--target".to_owned(), target.to_string()],
            None => Vec::new(),
        };
        let process = Process::start("fault-proxy", &format!("{name}-proxy"), &args, dir)?;
        let control = process.address("listening")?;
        let carried = client
            .fetch(Call::get(control, "/carried"), CALL_LIMIT)
            .await?;
        Ok(Self {
            _process: process,
            control,
            carried,
            client: client.clone(),
        })
    }

    /// Sets what happens to new bytes and connections.
    ///
    /// # Errors
    ///
    /// Returns an error when the proxy does not answer.
    pub async fn set(&self, faults: ProxyFaults) -> Result<(), SiteError> {
        let call = Call::post(self.control, "/faults").json(&faults);
        self.client.send(call, CALL_LIMIT).await?;
        Ok(())
    }

    /// Cuts or silences the connections that are open now.
    ///
    /// # Errors
    ///
    /// Returns an error when the proxy does not answer.
    pub async fn open_connections(&self, order: OpenConnections) -> Result<(), SiteError> {
        let call = Call::post(self.control, "/open").json(&order);
        self.client.send(call, CALL_LIMIT).await?;
        Ok(())
    }

    /// Carries nothing: open connections go silent and new ones are closed.
    ///
    /// # Errors
    ///
    /// Returns an error when the proxy does not answer.
    pub async fn cut_off(&self) -> Result<(), SiteError> {
        self.set(ProxyFaults {
            silent: true,
            ..ProxyFaults::default()
        })
        .await?;
        self.open_connections(OpenConnections::Silence).await
    }

    /// Carries everything again.
    ///
    /// # Errors
    ///
    /// Returns an error when the proxy does not answer.
    pub async fn heal(&self) -> Result<(), SiteError> {
        self.set(ProxyFaults::default()).await
    }
}
