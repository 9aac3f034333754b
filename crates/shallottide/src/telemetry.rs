//! Logs as JSON lines, trace spans of calls, and metrics.

mod call_span;
mod gauge_service;
mod logging;
mod metrics;

pub use call_span::{CallSpan, new_trace};
pub use gauge_service::GaugeService;
pub use logging::{LoggingError, init_logging};
pub use metrics::Metrics;
