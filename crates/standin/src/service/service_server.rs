//! Serves a service stand-in over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;

use super::run_counts::RunCounts;
use super::service_faults::ServiceFaults;
use super::service_handler::ServiceHandler;
use super::service_options::ServiceOptions;
use crate::http::{HttpServer, StartError};

/// A service stand-in; dropping it stops it and closes its connections.
pub struct ServiceServer {
    http: HttpServer,
    handler: Arc<ServiceHandler>,
    runs: RunCounts,
}

impl ServiceServer {
    /// Binds the address and starts serving.
    ///
    /// # Errors
    /// [`StartError`] when the address can't be listened on.
    pub fn start(options: ServiceOptions) -> Result<Self, StartError> {
        let listen = options.listen.clone();
        let runs = options.runs.clone();
        let handler = Arc::new(ServiceHandler::new(options));
        let http = HttpServer::start(&listen, handler.clone())?;
        Ok(Self {
            http,
            handler,
            runs,
        })
    }

    /// Returns the bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Changes fault switches.
    pub fn change_faults(&self, change: impl FnOnce(&mut ServiceFaults)) {
        change(&mut self.handler.faults());
    }

    /// Silences all open connections without closing them; new connections work.
    pub fn mute_open_connections(&self) {
        self.http.mute_open_connections();
    }

    /// Returns the run counts.
    #[must_use]
    pub fn runs(&self) -> &RunCounts {
        &self.runs
    }
}
