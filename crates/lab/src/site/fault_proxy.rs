//! A fault proxy in front of one address.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use briarhall_net::Call;
use briarhall_net::HttpClient;
use briarhall_standins::proxy::OpenConnections;
use briarhall_standins::proxy::ProxyFaults;

use super::Process;
use super::SiteError;

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// A fault proxy process in front of one address.
#[derive(Debug)]
pub struct FaultProxy {
    _process: Process,
    /// Address of its control API.
    pub control: SocketAddr,
    /// Address whose connections it forwards to the target.
    pub address: SocketAddr,
    client: HttpClient,
}

impl FaultProxy {
    /// Starts a proxy. Without a target it forwards nothing until one is set at
    /// `/target`.
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
        let address = client
            .fetch(Call::get(control, "/carried"), CALL_TIMEOUT)
            .await?;
        Ok(Self {
            _process: process,
            control,
            address,
            client: client.clone(),
        })
    }

    /// Sets the faults for new bytes and new connections.
    ///
    /// # Errors
    ///
    /// Returns an error when the proxy does not answer.
    pub async fn set(&self, faults: ProxyFaults) -> Result<(), SiteError> {
        let call = Call::post(self.control, "/faults").json(&faults);
        self.client.send(call, CALL_TIMEOUT).await?;
        Ok(())
    }

    /// Closes the open connections or stops forwarding on them.
    ///
    /// # Errors
    ///
    /// Returns an error when the proxy does not answer.
    pub async fn disrupt_open_connections(&self, action: OpenConnections) -> Result<(), SiteError> {
        let call = Call::post(self.control, "/open").json(&action);
        self.client.send(call, CALL_TIMEOUT).await?;
        Ok(())
    }

    /// Forwards nothing more: open and new connections stay open without data.
    ///
    /// # Errors
    ///
    /// Returns an error when the proxy does not answer.
    pub async fn partition(&self) -> Result<(), SiteError> {
        self.set(ProxyFaults {
            silent: true,
            ..ProxyFaults::default()
        })
        .await?;
        self.disrupt_open_connections(OpenConnections::Silence)
            .await
    }

    /// Clears the faults. Silenced connections stay silent; new ones work.
    ///
    /// # Errors
    ///
    /// Returns an error when the proxy does not answer.
    pub async fn heal(&self) -> Result<(), SiteError> {
        self.set(ProxyFaults::default()).await
    }
}
