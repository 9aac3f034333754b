//! Metrics sent to a statsd server.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use cadence::prelude::*;
use cadence::{NopMetricSink, StatsdClient, UdpMetricSink};

/// Prefix of all metric names.
const PREFIX: &str = "shallottide";

/// Handle that sends metrics over UDP without a guarantee of delivery; cheap to clone.
#[derive(Debug, Clone)]
pub struct Metrics {
    client: Arc<StatsdClient>,
}

impl Metrics {
    /// Creates a handle that sends to a statsd server, or discards metrics if there is none.
    ///
    /// # Errors
    /// If the local UDP socket can't be opened.
    pub fn new(statsd: Option<SocketAddr>) -> Result<Self, cadence::MetricError> {
        let client = match statsd {
            None => return Ok(Self::disabled()),
            Some(address) => {
                let socket = UdpSocket::bind("0.0.0.0:0")?;
                socket.set_nonblocking(true)?;
                StatsdClient::from_sink(PREFIX, UdpMetricSink::from(address, socket)?)
            }
        };
        Ok(Self {
            client: Arc::new(client),
        })
    }

    /// Creates a handle that discards all metrics.
    #[must_use]
    pub fn disabled() -> Self {
        Self {
            client: Arc::new(StatsdClient::from_sink(PREFIX, NopMetricSink)),
        }
    }

    /// Records `call.duration` in milliseconds, tagged by hop and outcome.
    pub fn record_call(&self, hop: &str, outcome: &str, duration: Duration) {
        self.client
            .time_with_tags("call.duration", duration)
            .with_tag("hop", hop)
            .with_tag("outcome", outcome)
            .send();
    }

    /// Records `platform.duration` in milliseconds, tagged by operation and outcome.
    pub fn record_platform_call(&self, operation: &str, ok: bool, duration: Duration) {
        self.client
            .time_with_tags("platform.duration", duration)
            .with_tag("operation", operation)
            .with_tag("outcome", if ok { "ok" } else { "failed" })
            .send();
    }

    /// Records `peer.bytes`, the size of one control message, tagged by kind and outcome.
    pub fn record_control_message(&self, kind: &str, bytes: u64, ok: bool) {
        self.client
            .histogram_with_tags("peer.bytes", bytes)
            .with_tag("kind", kind)
            .with_tag("outcome", if ok { "sent" } else { "lost" })
            .send();
    }

    /// Sets the gauge `name`, without the common prefix, to `value`.
    pub fn set_gauge(&self, name: &str, value: u64) {
        // A lost value is replaced by the next report within a second.
        let _ = self.client.gauge(name, value);
    }
}
