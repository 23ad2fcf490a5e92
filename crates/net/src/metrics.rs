//! Metrics as `StatsD` datagrams.

use std::io;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

use cadence::Counted;
use cadence::Gauged;
use cadence::NopMetricSink;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;
use cadence::Timed;
use cadence::UdpMetricSink;
use thiserror::Error;

/// Says why metrics could not start.
#[derive(Debug, Error)]
#[error("cannot open a socket for metrics to {address}: {source}; check `metrics_address`")]
pub struct MetricsError {
    address: SocketAddr,
    source: io::Error,
}

/// Sends metrics, or drops them when no address is set.
#[derive(Debug, Clone)]
pub struct Metrics {
    client: Arc<StatsdClient>,
}

impl Metrics {
    /// Creates a sender with a name prefix.
    ///
    /// # Errors
    ///
    /// Returns an error when the socket cannot be opened.
    pub fn start(prefix: &str, address: Option<SocketAddr>) -> Result<Self, MetricsError> {
        let client = match address {
            None => StatsdClient::from_sink(prefix, NopMetricSink),
            Some(address) => {
                let error = |source| MetricsError { address, source };
                let socket = UdpSocket::bind("0.0.0.0:0").map_err(error)?;
                socket.set_nonblocking(true).map_err(error)?;
                let sink =
                    UdpMetricSink::from(address, socket).map_err(|e| error(io::Error::other(e)))?;
                StatsdClient::from_sink(prefix, QueuingMetricSink::from(sink))
            }
        };
        Ok(Self {
            client: Arc::new(client),
        })
    }

    /// Counts one occurrence.
    pub fn count(&self, name: &str) {
        // A lost datagram is a lost sample, nothing more.
        let _lost = self.client.count(name, 1);
    }

    /// Reports a level.
    pub fn gauge(&self, name: &str, value: u64) {
        let _lost = self.client.gauge(name, value);
    }

    /// Reports a duration.
    pub fn time(&self, name: &str, duration: Duration) {
        let _lost = self.client.time(name, duration);
    }
}
