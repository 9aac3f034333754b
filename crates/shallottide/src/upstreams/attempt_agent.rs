//! An HTTP agent for one attempt that knows whether a byte may have left.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use ureq::Agent;
use ureq::config::Config;
use ureq::unversioned::transport::{ConnectionDetails, Connector, TcpConnector, Transport};

use super::literal_resolver::LiteralResolver;

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Makes one connection, used for one request.
pub(super) struct AttemptAgent {
    pub(super) agent: Agent,
    connected: Arc<AtomicBool>,
}

impl AttemptAgent {
    /// Creates an agent whose request ends within `total` and never waits longer than
    /// `idle` for input.
    pub(super) fn new(total: Duration, idle: Duration) -> Self {
        let connected = Arc::new(AtomicBool::new(false));
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
        let connector = TcpConnector::default().chain(NoteConnected(connected.clone()));
        Self {
            agent: Agent::with_parts(config, connector, LiteralResolver::default()),
            connected,
        }
    }

    /// Tells whether a connection was made, so that part of the request may have left.
    pub(super) fn may_have_sent(&self) -> bool {
        self.connected.load(Ordering::Acquire)
    }
}

/// Last link of the connector chain: notes that a connection exists.
#[derive(Debug)]
struct NoteConnected(Arc<AtomicBool>);

impl<In: Transport> Connector<In> for NoteConnected {
    type Out = In;

    fn connect(
        &self,
        _: &ConnectionDetails,
        chained: Option<In>,
    ) -> Result<Option<In>, ureq::Error> {
        self.0.store(chained.is_some(), Ordering::Release);
        Ok(chained)
    }
}
