//! Counters, levels and latency histograms: sent as `StatsD` datagrams, kept
//! for whoever reads them over HTTP, or both.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use cadence::Counted;
use cadence::Gauged;
use cadence::NopMetricSink;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;
use cadence::Timed;
use cadence::UdpMetricSink;
use compact_str::CompactString;
use hdrhistogram::Histogram;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use thiserror::Error;

use crate::Body;
use crate::Handler;

/// Digits of a latency that a histogram keeps; enough to tell 100 ms from
/// 101 ms.
const DIGITS: u8 = 2;
/// Longest latency that a histogram keeps, in milliseconds: ten minutes.
const LONGEST_MS: u64 = 600_000;
/// Quantiles that are served.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 1.0];

/// Says why metrics could not start.
#[derive(Debug, Error)]
#[error("cannot open a socket for metrics to {address}: {source}; check `metrics_address`")]
pub struct MetricsError {
    address: SocketAddr,
    source: io::Error,
}

/// Takes metrics.
#[derive(Debug, Clone)]
pub struct Metrics {
    client: Arc<StatsdClient>,
    stored: Option<Arc<Mutex<StoredMetrics>>>,
}

#[derive(Debug, Default)]
struct StoredMetrics {
    counts: BTreeMap<CompactString, u64>,
    levels: BTreeMap<CompactString, u64>,
    times: BTreeMap<CompactString, Histogram<u64>>,
}

impl Metrics {
    /// Creates a sender with a name prefix; without an address it drops them.
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
            stored: None,
        })
    }

    /// Creates one that keeps metrics for [`MetricsService`].
    #[must_use]
    pub fn in_memory(prefix: &str) -> Self {
        Self {
            client: Arc::new(StatsdClient::from_sink(prefix, NopMetricSink)),
            stored: Some(Arc::default()),
        }
    }

    /// Counts one occurrence.
    pub fn count(&self, name: &str) {
        self.store(|stored| *stored.counts.entry(name.into()).or_default() += 1);
        // A lost datagram is a lost sample, nothing more.
        let _lost = self.client.count(name, 1);
    }

    /// Reports a level.
    pub fn gauge(&self, name: &str, value: u64) {
        self.store(|stored| {
            stored.levels.insert(name.into(), value);
        });
        let _lost = self.client.gauge(name, value);
    }

    /// Reports a duration.
    ///
    /// # Panics
    ///
    /// Never, as long as the bounds of a histogram are those of this module.
    pub fn time(&self, name: &str, duration: Duration) {
        self.store(|stored| {
            let ms = u64::try_from(duration.as_millis()).unwrap_or(LONGEST_MS);
            let times = stored.times.entry(name.into()).or_insert_with(|| {
                Histogram::new_with_max(LONGEST_MS, DIGITS).expect("the bounds are valid")
            });
            times.saturating_record(ms);
        });
        let _lost = self.client.time(name, duration);
    }

    fn store<F>(&self, change: F)
    where
        F: FnOnce(&mut StoredMetrics),
    {
        if let Some(stored) = &self.stored {
            change(&mut stored.lock().unwrap_or_else(PoisonError::into_inner));
        }
    }

    /// Returns what was kept, one metric a line.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::new();
        let Some(stored) = &self.stored else {
            return text;
        };
        let stored = stored.lock().unwrap_or_else(PoisonError::into_inner);
        // Writing to memory does not fail.
        for (name, count) in &stored.counts {
            let _written = writeln!(text, "{name}_total {count}");
        }
        for (name, level) in &stored.levels {
            let _written = writeln!(text, "{name} {level}");
        }
        for (name, times) in &stored.times {
            for quantile in QUANTILES {
                let ms = times.value_at_quantile(quantile);
                let _written = writeln!(text, "{name}_ms{{quantile=\"{quantile}\"}} {ms}");
            }
            let _written = writeln!(text, "{name}_ms_count {}", times.len());
        }
        text
    }
}

/// Serves metrics as text.
#[derive(Debug, Clone)]
pub struct MetricsService {
    /// Where they are kept.
    pub metrics: Metrics,
}

impl Handler for MetricsService {
    async fn handle(&self, req: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        if req.uri().path() == "/metrics" {
            return Response::new(Body::whole(self.metrics.text()));
        }
        crate::status(StatusCode::NOT_FOUND)
    }
}
