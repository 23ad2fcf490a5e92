//! Counters, gauges and latency histograms, sent as `StatsD` datagrams or kept
//! in memory to be read over HTTP.

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

/// Significant digits that a histogram keeps; enough to tell 100 ms from
/// 101 ms.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Longest latency that a histogram keeps: ten minutes.
const MAX_LATENCY_MS: u64 = 600_000;
/// Quantiles that are reported over HTTP.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 1.0];

/// An error that occurs when the socket for metrics cannot be opened.
#[derive(Debug, Error)]
#[error("cannot open a socket for metrics to {address}: {source}; check `metrics_address`")]
pub struct MetricsError {
    address: SocketAddr,
    source: io::Error,
}

/// Records metrics.
#[derive(Debug, Clone)]
pub struct Metrics {
    client: Arc<StatsdClient>,
    stored: Option<Arc<Mutex<StoredMetrics>>>,
}

#[derive(Debug, Default)]
struct StoredMetrics {
    counts: BTreeMap<CompactString, u64>,
    gauges: BTreeMap<CompactString, u64>,
    latencies: BTreeMap<CompactString, Histogram<u64>>,
}

impl Metrics {
    /// Creates metrics that are sent to `address` with a name prefix, or dropped
    /// without an address.
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

    /// Creates metrics that are kept in memory for [`MetricsService`].
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
        // A lost datagram loses no more than one sample.
        let _lost = self.client.count(name, 1);
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        self.store(|stored| {
            stored.gauges.insert(name.into(), value);
        });
        let _lost = self.client.gauge(name, value);
    }

    /// Records a duration.
    ///
    /// # Panics
    ///
    /// Never: the bounds of the histograms are constants that are valid.
    pub fn time(&self, name: &str, duration: Duration) {
        self.store(|stored| {
            let ms = u64::try_from(duration.as_millis()).unwrap_or(MAX_LATENCY_MS);
            let histogram = stored.latencies.entry(name.into()).or_insert_with(|| {
                Histogram::new_with_max(MAX_LATENCY_MS, SIGNIFICANT_DIGITS)
                    .expect("the bounds are valid")
            });
            histogram.saturating_record(ms);
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

    /// Returns the stored metrics, one value a line.
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
        for (name, value) in &stored.gauges {
            let _written = writeln!(text, "{name} {value}");
        }
        for (name, histogram) in &stored.latencies {
            for quantile in QUANTILES {
                let ms = histogram.value_at_quantile(quantile);
                let _written = writeln!(text, "{name}_ms{{quantile=\"{quantile}\"}} {ms}");
            }
            let _written = writeln!(text, "{name}_ms_count {}", histogram.len());
        }
        text
    }
}

/// Serves the metrics that are kept in memory, as text.
#[derive(Debug, Clone)]
pub struct MetricsService {
    /// The metrics to serve.
    pub metrics: Metrics,
}

impl Handler for MetricsService {
    async fn handle(&self, req: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        if req.uri().path() == "/metrics" {
            return Response::new(Body::full(self.metrics.text()));
        }
        crate::status(StatusCode::NOT_FOUND)
    }
}
