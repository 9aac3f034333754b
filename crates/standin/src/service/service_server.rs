//! A service stand-in over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;

use super::run_counts::RunCounts;
use super::service_faults::ServiceFaults;
use super::service_handler::ServiceHandler;
use super::service_options::ServiceOptions;
use crate::http::{HttpServer, StartError};

/// A service stand-in; stops and closes its connections when dropped.
pub struct ServiceServer {
    http: HttpServer,
    handler: Arc<ServiceHandler>,
    runs: RunCounts,
}

impl ServiceServer {
    /// Starts to serve.
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

    /// Returns the address to connect to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Changes fault switches.
    pub fn change_faults(&self, change: impl FnOnce(&mut ServiceFaults)) {
        change(&mut self.handler.faults());
    }

    /// Makes all open connections go silent; new ones work.
    pub fn mute_open_connections(&self) {
        self.http.mute_open_connections();
    }

    /// Returns how often each call ran.
    #[must_use]
    pub fn runs(&self) -> &RunCounts {
        &self.runs
    }
}
