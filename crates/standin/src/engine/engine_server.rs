//! An engine stand-in over HTTP.

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

/// An engine stand-in; stops and closes its connections when dropped.
pub struct EngineServer {
    http: HttpServer,
    shared: Arc<EngineShared>,
}

impl EngineServer {
    /// Starts to serve.
    ///
    /// # Errors
    /// [`StartError`] when the address can't be listened on.
    ///
    /// # Panics
    /// If the system has no thread left.
    pub fn start(options: EngineOptions) -> Result<Self, StartError> {
        let listen = options.listen.clone();
        let interval = options.member_check_interval;
        let shared = Arc::new(EngineShared {
            faults: Mutex::new(options.faults.clone()),
            model: Mutex::new(EngineModel::new(options)),
            runs: Mutex::default(),
        });
        let checked = Arc::downgrade(&shared);
        let checking = thread::spawn(move || check_members(&checked, interval));
        let handler = EngineHandler {
            shared: shared.clone(),
            checking: checking.thread().clone(),
        };
        let http = HttpServer::start(&listen, Arc::new(handler))?;
        Ok(Self { http, shared })
    }

    /// Returns the address to connect to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Changes fault switches.
    pub fn change_faults(&self, change: impl FnOnce(&mut EngineFaults)) {
        change(&mut self.shared.faults());
    }

    /// Makes the engine cold again.
    pub fn turn_cold(&self) {
        self.shared.model().turn_cold();
    }

    /// Restarts the engine without a model.
    pub fn restart(&self) {
        self.shared.model().restart();
    }

    /// Makes all open connections go silent; new ones work.
    pub fn mute_open_connections(&self) {
        self.http.mute_open_connections();
    }

    /// Returns the engine's report.
    #[must_use]
    pub fn report(&self) -> EngineReport {
        self.shared.model().report(Instant::now())
    }

    /// Returns how often each `X-Request-Id` ran.
    #[must_use]
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.shared.runs().counts().clone()
    }

    /// Returns how often prompts began with a cached prefix.
    #[must_use]
    pub fn cache_counts(&self) -> CacheCounts {
        self.shared.model().cache_counts()
    }

    /// Returns how often the cold engine got more than it bears.
    #[must_use]
    pub fn overloads(&self) -> u64 {
        self.shared.model().overloads()
    }
}
