//! Health checks of targets, as a load balancer makes them.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use ureq::Agent;

/// Time between two checks of a target.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// How long a target has to answer a check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Readiness of the targets. A target counts as ready until a check fails.
#[derive(Debug, Default)]
pub struct TargetHealth {
    targets: Vec<SocketAddr>,
    not_ready: Mutex<BTreeSet<SocketAddr>>,
    stopped: AtomicBool,
}

impl TargetHealth {
    /// Creates the state with all targets ready.
    #[must_use]
    pub fn new(targets: &[SocketAddr]) -> Self {
        Self {
            targets: targets.to_vec(),
            ..Self::default()
        }
    }

    /// Records the result of a check.
    ///
    /// # Panics
    /// If another thread panicked while it recorded a result.
    pub fn record_check(&self, target: SocketAddr, ready: bool) {
        let mut not_ready = self.not_ready.lock().expect("no holder panics");
        if ready {
            not_ready.remove(&target);
        } else {
            not_ready.insert(target);
        }
    }

    /// Returns `target`, or the next ready one in the list. Returns `target` if none is ready, as load
    /// balancers do.
    ///
    /// # Panics
    /// If another thread panicked while it recorded a result.
    #[must_use]
    pub fn select_target(&self, target: SocketAddr) -> SocketAddr {
        let not_ready = self.not_ready.lock().expect("no holder panics");
        let start = self.targets.iter().position(|t| *t == target);
        let candidates = self.targets.iter().cycle().skip(start.unwrap_or(0));
        let mut candidates = candidates.take(self.targets.len());
        *candidates
            .find(|t| !not_ready.contains(t))
            .unwrap_or(&target)
    }

    /// Checks one target periodically until [`TargetHealth::stop`] is called.
    pub(crate) fn run_checks(&self, target: SocketAddr) {
        let agent: Agent = Agent::config_builder()
            .timeout_global(Some(CHECK_TIMEOUT))
            .max_idle_connections(0)
            .build()
            .into();
        while !self.stopped.load(Ordering::Acquire) {
            let ready = agent.get(format!("http://{target}/readyz")).call().is_ok();
            self.record_check(target, ready);
            thread::sleep(CHECK_INTERVAL);
        }
    }

    /// Makes all [`TargetHealth::run_checks`] return after their current check.
    pub(crate) fn stop(&self) {
        self.stopped.store(true, Ordering::Release);
    }
}
