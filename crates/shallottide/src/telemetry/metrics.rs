//! Counters, gauges and timers sent to a statsd server.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use cadence::prelude::*;
use cadence::{NopMetricSink, StatsdClient, UdpMetricSink};

/// Prefix of all metric names.
const PREFIX: &str = "shallottide";

/// A cheap cloneable handle that sends metrics; losing them is harmless.
#[derive(Clone)]
pub struct Metrics {
    client: Arc<StatsdClient>,
}

impl Metrics {
    /// Creates a handle that sends to a statsd server, or nowhere.
    ///
    /// # Errors
    /// Those of opening a local UDP socket.
    pub fn new(statsd: Option<SocketAddr>) -> Result<Self, cadence::MetricError> {
        let client = match statsd {
            None => StatsdClient::from_sink(PREFIX, NopMetricSink),
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

    /// Adds one to a counter.
    pub fn count(&self, name: &str) {
        let _ = self.client.count(name, 1);
    }

    /// Adds one to a counter, with a tag.
    pub fn count_tagged(&self, name: &str, tag: &str, value: &str) {
        let _ = self
            .client
            .count_with_tags(name, 1)
            .with_tag(tag, value)
            .try_send();
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Records a duration in milliseconds.
    pub fn time(&self, name: &str, duration: Duration) {
        let _ = self.client.time(name, duration);
    }
}
