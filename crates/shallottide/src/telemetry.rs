//! Logs as JSON lines, spans of calls, and metrics.

mod call_span;
mod logging;
mod metrics;

pub use call_span::{CallSpan, new_trace};
pub use logging::{LoggingError, init_logging};
pub use metrics::Metrics;
