//! Serves an engine stand-in over HTTP.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

use shallottide_types::engine::EngineReport;

use super::completion_run::EngineShared;
use super::engine_faults::EngineFaults;
use super::engine_handler::EngineHandler;
use super::engine_model::EngineModel;
use super::engine_options::EngineOptions;
use super::member_check::check_members;
use super::prefix_cache::CacheCounts;
use crate::http::{HttpServer, StartError};

/// An engine stand-in; dropping it stops it and closes its connections.
pub struct EngineServer {
    http: HttpServer,
    shared: Arc<EngineShared>,
}

impl EngineServer {
    /// Binds the address and starts serving.
    ///
    /// # Errors
    /// [`StartError`] when the address can't be listened on.
    ///
    /// # Panics
    /// If the system can't start a thread.
    pub fn start(options: EngineOptions) -> Result<Self, StartError> {
        let listen = options.listen.clone();
        let interval = options.member_check_interval;
        let shared = Arc::new(EngineShared {
            faults: Mutex::new(options.faults.clone()),
            model: Mutex::new(EngineModel::new(options)),
            runs: Mutex::default(),
        });
        let weak_shared = Arc::downgrade(&shared);
        let handle = thread::spawn(move || check_members(&weak_shared, interval));
        let handler = EngineHandler {
            shared: shared.clone(),
            member_check_thread: handle.thread().clone(),
        };
        let http = HttpServer::start(&listen, Arc::new(handler))?;
        Ok(Self { http, shared })
    }

    /// Returns the bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Changes fault switches.
    pub fn change_faults(&self, change: impl FnOnce(&mut EngineFaults)) {
        change(&mut self.shared.faults());
    }

    /// Resets the engine to cold.
    pub fn turn_cold(&self) {
        self.shared.model().turn_cold();
    }

    /// Restarts the engine without a model.
    pub fn restart(&self) {
        self.shared.model().restart();
    }

    /// Silences all open connections without closing them; new connections work.
    pub fn mute_open_connections(&self) {
        self.http.mute_open_connections();
    }

    /// Returns the engine's report.
    #[must_use]
    pub fn report(&self) -> EngineReport {
        self.shared.model().report(Instant::now())
    }

    /// Returns the number of runs by `X-Request-Id`.
    #[must_use]
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.shared.runs().counts().clone()
    }

    /// Returns how often prompts began with a cached prefix.
    #[must_use]
    pub fn cache_counts(&self) -> CacheCounts {
        self.shared.model().cache_counts()
    }

    /// Returns how often requests exceeded the cold capacity.
    #[must_use]
    pub fn overloads(&self) -> u64 {
        self.shared.model().overloads()
    }
}
