//! An HTTP agent for one attempt.

use std::time::Duration;

use ureq::Agent;
use ureq::config::Config;

use super::literal_resolver::LiteralResolver;
use crate::http_connect::MarkingConnector;

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Creates an agent for one request on a connection of its own, which ends within `total` and
/// never waits longer than `idle` for input.
pub(super) fn attempt_agent(total: Duration, idle: Duration) -> Agent {
    let config = Config::builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .proxy(None)
        .max_idle_connections(0)
        .timeout_global(Some(total))
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .timeout_per_read(Some(idle))
        .timeout_per_write(Some(idle))
        .build();
    Agent::with_parts(
        config,
        MarkingConnector::default(),
        LiteralResolver::default(),
    )
}
