//! Counters and latency histograms, served in the Prometheus text format.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compact_str::CompactString;
use hdrhistogram::Histogram;
use http::Response;
use http_body_util::Full;
use shallottide_types::id::{ModelId, ServiceId};

use super::logs;
use super::node::{Node, State};
use crate::byte_budget::ByteBudget;
use crate::upstream_links::LinkState;

/// Quantiles reported for each histogram.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.95, 0.99];

/// Histogram of the time that an event spends in this node, from its arrival on the upstream's
/// connection until the caller's connection takes it.
pub(super) const EVENT_TRANSIT: &str = "event_pass";

/// Counters and histograms of one node since its start.
#[derive(Debug, Default)]
pub(super) struct Metrics {
    counters: RefCell<BTreeMap<(&'static str, CompactString), u64>>,
    /// Durations in microseconds.
    histograms: RefCell<BTreeMap<&'static str, Histogram<u64>>>,
}

impl Metrics {
    /// Increments a counter; `kind` is its label.
    pub(super) fn count(&self, name: &'static str, kind: &str) {
        *self
            .counters
            .borrow_mut()
            .entry((name, kind.into()))
            .or_default() += 1;
    }

    /// Records a duration in a histogram.
    pub(super) fn record_duration(&self, name: &'static str, duration: Duration) {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        let mut histograms = self.histograms.borrow_mut();
        let histogram = histograms
            .entry(name)
            .or_insert_with(|| Histogram::new(2).expect("two significant digits are valid"));
        histogram.saturating_record(micros);
    }
}

impl Metrics {
    /// Returns a quantile of a histogram in microseconds, and the number of recorded values.
    fn quantile(&self, name: &str, quantile: f64) -> Option<(u64, u64)> {
        let histograms = self.histograms.borrow();
        let histogram = histograms.get(name)?;
        Some((histogram.value_at_quantile(quantile), histogram.len()))
    }
}

impl Node {
    /// Records that a body does not fit into a budget; `kind` is whose body, `needed` its length in bytes
    /// if it is known.
    pub(super) fn record_out_of_memory(
        &self,
        kind: &str,
        call: &str,
        budget: &ByteBudget,
        needed: Option<usize>,
    ) {
        self.metrics.count("out_of_memory", kind);
        tracing::info!(
            call,
            kind,
            needed_bytes = needed,
            used_bytes = budget.used(),
            limit_bytes = budget.limit(),
            "no memory for body"
        );
    }
}

/// Logs a summary of the node's load and of the age of its view.
pub(super) fn log_summary(node: &Node) {
    let state = node.state.borrow();
    let store_age = state
        .last_store_contact
        .map(|at| node.now().saturating_duration_since(at).as_millis());
    let events = node.metrics.quantile(EVENT_TRANSIT, 0.99);
    tracing::info!(
        calls_in_flight = state.in_flight, upstreams = state.view.upstreams.len(),
        nodes = state.view.nodes.len(), index = %state.view.index, store_age_ms = store_age,
        event_pass_p99_us = events.map(|(p99, _)| p99), events = events.map(|(_, events)| events),
        body_bytes = node.body_budget.used(), body_bytes_limit = node.body_budget.limit(),
        response_bytes = node.response_budget.used(),
        response_bytes_limit = node.response_budget.limit(), lines_dropped = logs::dropped(), "figures"
    );
}

/// Returns the response to a metrics request.
pub(super) fn respond(node: &Node) -> Response<Full<Bytes>> {
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
    let store_age = state
        .last_store_contact
        .map(|at| now.saturating_duration_since(at).as_millis());
    let quarantined = state.view.quarantine.len();
    let limited = state.named_limits.len();
    line("limited_upstreams", "", limited.to_string());
    line("quarantined_parts", "", quarantined.to_string());
    let services = state.view.catalog.iter().flat_map(|c| c.services.keys());
    let is_lost = |id: &&ServiceId| state.links.state(id, now) == LinkState::Lost;
    let lost = services.filter(is_lost).count();
    line("links_lost", "", lost.to_string());
    let budgets = [
        ("body_bytes", &node.body_budget),
        ("response_bytes", &node.response_budget),
    ];
    for (name, budget) in budgets {
        line(name, "", budget.used().to_string());
        line(&format!("{name}_limit"), "", budget.limit().to_string());
    }
    line("calls_in_flight", "", state.in_flight.to_string());
    line("upstreams", "", state.view.upstreams.len().to_string());
    line("nodes", "", state.view.nodes.len().to_string());
    line(
        "config_version",
        "",
        state.routes_version.unwrap_or(0).to_string(),
    );
    let index = state.view.index;
    line("store_era", "", index.era().to_string());
    line("store_index", "", index.revision().to_string());
    line(
        "store_age_ms",
        "",
        store_age.map_or("NaN".into(), |ms| ms.to_string()),
    );
    let lease = state.held_lease;
    let millis = |time: Option<Duration>| time.unwrap_or_default().as_millis().to_string();
    line("lease_asked_ms", "", millis(lease.map(|lease| lease.asked)));
    line("lease_ttl_ms", "", millis(lease.map(|lease| lease.ttl)));
    line(
        "upstream_connections_opened",
        "",
        node.pool.opened_total().to_string(),
    );
    line("log_lines_dropped", "", logs::dropped().to_string());
    for (key, upstreams) in &state.view.serving {
        let model = key.1.as_ref().map_or("", |model| model.as_str());
        let labels = format!("{{service=\"{}\",model=\"{model}\"}}", key.0);
        line("serving", &labels, upstreams.len().to_string());
    }
    for (model, load) in sampled_loads(&state, now) {
        let labels = format!("{{model=\"{model}\"}}");
        line("sampled_engines", &labels, load.engines.to_string());
        line("sampled_load", &labels, format!("{:.1}", load.load));
        line("on_time_load", &labels, format!("{:.1}", load.on_time));
        line("sample_age_ms", &labels, format!("{:.0}", load.age_ms));
    }
    for (domain, counts) in &state.engine_counts {
        for (doing, engines) in counts {
            let labels = format!("{{domain=\"{domain}\",doing=\"{doing}\"}}");
            line("engines", &labels, engines.to_string());
        }
    }
    Response::new(Full::new(Bytes::from(text)))
}

/// Engines of one model with a sample of their load; sums over them, and the mean age.
#[derive(Debug, Default)]
struct SampledLoad {
    engines: u32,
    load: f64,
    on_time: f64,
    age_ms: f64,
}

/// Sums up the loads that engines stated, and the loads at which they are expected to be on time, by model.
fn sampled_loads(state: &State, now: Instant) -> BTreeMap<ModelId, SampledLoad> {
    let mut loads: BTreeMap<ModelId, SampledLoad> = BTreeMap::new();
    for ((service, model), engines) in &state.view.serving {
        let Some(model) = model else { continue };
        let kind = (service.clone(), model.clone());
        let Some(target) = state.call_classes.tightest_target(&kind) else {
            continue;
        };
        let prompt = state.capacity.typical_prompt(&kind);
        for known in engines.iter().filter_map(|id| state.view.upstreams.get(id)) {
            let Some(estimate) = state.board.estimate(known.lifetime(), now) else {
                continue;
            };
            let slots = known.upstream.slots;
            let lifetime = known.lifetime();
            let capacity = &state.capacity;
            let sum = loads.entry(model.clone()).or_default();
            sum.on_time +=
                capacity.on_time_load(&kind, lifetime, slots, prompt, false, target, now);
            sum.load += estimate.load;
            sum.engines += 1;
            let age_ms = estimate.age.as_secs_f64() * 1_000.0;
            sum.age_ms += (age_ms - sum.age_ms) / f64::from(sum.engines);
        }
    }
    loads
}
