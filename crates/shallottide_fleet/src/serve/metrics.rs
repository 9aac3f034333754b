//! Counters and latency histograms, served as text.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use hdrhistogram::Histogram;
use http::Response;
use http_body_util::Full;

use super::logs;
use super::node::Node;

/// Quantiles that are served of each histogram.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.95, 0.99];

/// Histogram of the time that an event stays in this node: from when it is taken from the upstream's
/// connection to when the caller's connection takes it.
pub(super) const EVENT_PASS: &str = "event_pass";

/// Counters and histograms of one node, since its start.
#[derive(Debug, Default)]
pub(super) struct Metrics {
    counters: RefCell<BTreeMap<(&'static str, CompactString), u64>>,
    /// In microseconds.
    histograms: RefCell<BTreeMap<&'static str, Histogram<u64>>>,
}

impl Metrics {
    /// Counts one event of a kind.
    pub(super) fn count(&self, name: &'static str, kind: &str) {
        *self
            .counters
            .borrow_mut()
            .entry((name, kind.into()))
            .or_default() += 1;
    }

    /// Records a duration.
    pub(super) fn time(&self, name: &'static str, duration: Duration) {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        let mut histograms = self.histograms.borrow_mut();
        let histogram = histograms
            .entry(name)
            .or_insert_with(|| Histogram::new(2).expect("two digits are allowed"));
        histogram.saturating_record(micros);
    }
}

impl Metrics {
    /// Returns a quantile of a histogram in microseconds, and the number of its values.
    fn quantile(&self, name: &str, quantile: f64) -> Option<(u64, u64)> {
        let histograms = self.histograms.borrow();
        let histogram = histograms.get(name)?;
        Some((histogram.value_at_quantile(quantile), histogram.len()))
    }
}

/// Logs the figures that tell whether a node is well.
pub(super) fn log_figures(node: &Node) {
    let state = node.state.borrow();
    let store_age = state
        .store_heard
        .map(|at| node.now().saturating_duration_since(at).as_millis());
    let events = node.metrics.quantile(EVENT_PASS, 0.99);
    tracing::info!(
        calls_in_flight = state.in_flight, upstreams = state.view.upstreams.len(),
        nodes = state.view.nodes.len(), index = %state.view.index, store_age_ms = store_age,
        event_pass_p99_us = events.map(|(p99, _)| p99), events = events.map(|(_, events)| events),
        lines_dropped = logs::dropped(), "figures"
    );
}

/// Answers a request for metrics.
pub(super) fn answer(node: &Node) -> Response<Full<Bytes>> {
    let mut text = String::new();
    let mut line = |name: &str, labels: &str, value: String| {
        // Writing to a string can't fail.
        let _ = writeln!(text, "shallottide_{name}{labels} {value}");
    };
    for ((name, kind), value) in node.metrics.counters.borrow().iter() {
        line(name, &format!("{{kind=\"{kind}\"}}"), value.to_string());
    }
    for (name, histogram) in node.metrics.histograms.borrow().iter() {
        for quantile in QUANTILES {
            let value = histogram.value_at_quantile(quantile);
            line(
                &format!("{name}_us"),
                &format!("{{quantile=\"{quantile}\"}}"),
                value.to_string(),
            );
        }
        line(&format!("{name}_us_count"), "", histogram.len().to_string());
    }
    let state = node.state.borrow();
    let now = node.now();
    let heard = state
        .store_heard
        .map(|at| now.saturating_duration_since(at).as_millis());
    line("calls_in_flight", "", state.in_flight.to_string());
    line("upstreams", "", state.view.upstreams.len().to_string());
    line("nodes", "", state.view.nodes.len().to_string());
    line(
        "config_version",
        "",
        state.routes_version.unwrap_or(0).to_string(),
    );
    line("store_index", "", state.view.index.to_string());
    line(
        "store_age_ms",
        "",
        heard.map_or("NaN".into(), |ms| ms.to_string()),
    );
    line(
        "upstream_connections_opened",
        "",
        node.pool.opened().to_string(),
    );
    line("log_lines_dropped", "", logs::dropped().to_string());
    for (key, upstreams) in &state.view.serving {
        let model = key.1.as_ref().map_or("", |model| model.as_str());
        let labels = format!("{{service=\"{}\",model=\"{model}\"}}", key.0);
        line("serving", &labels, upstreams.len().to_string());
    }
    for (domain, census) in &state.engines {
        for (doing, engines) in census {
            let labels = format!("{{domain=\"{domain}\",doing=\"{doing}\"}}");
            line("engines", &labels, engines.to_string());
        }
    }
    Response::new(Full::new(Bytes::from(text)))
}
