//! The HTTP agent of one attempt.

use std::time::Duration;

use ureq::Agent;
use ureq::config::Config;

use super::literal_resolver::LiteralResolver;
use crate::http_connect::MarkingConnector;

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Creates an agent for one request on a connection of its own. The request ends within
/// `timeout`; a single read or write waits at most `idle_timeout`.
pub(super) fn attempt_agent(timeout: Duration, idle_timeout: Duration) -> Agent {
    let config = Config::builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .proxy(None)
        .max_idle_connections(0)
        .timeout_global(Some(timeout))
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .timeout_per_read(Some(idle_timeout))
        .timeout_per_write(Some(idle_timeout))
        .build();
    Agent::with_parts(
        config,
        MarkingConnector::default(),
        LiteralResolver::default(),
    )
}
